// Package comparer measures ways of queueing and of breaking against each other
// in virtual time, with the packages that run in production on a model of one
// group. Ideas that were measured and left out live here and nowhere else.
//
// The reports are exact: the same code gives the same text on each run. Golden
// files hold them.
//
// # Usage
//
//	go test ./internal/comparer -update   # writes testdata/*.golden anew
//
//	comparer.Queues(os.Stdout)
//	comparer.Tenants(os.Stdout)
//	comparer.Breakers(os.Stdout)
package comparer
