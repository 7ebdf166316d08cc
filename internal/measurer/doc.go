// Package measurer compares ways of keeping read-your-writes in virtual time.
//
// It plays a seeded workload of sessions against a small model of one database
// group (three upstreams, one in each availability zone, with slots, queues and
// replication lag) and nine proxies that run the real decision code: tracker,
// marker and router. Nothing in it takes real time, and the same [Case] gives the
// same [Result] on every run.
//
// # Usage
//
//	r := measurer.Run(measurer.Case{Way: measurer.Mix, Use: measurer.Alternate})
//	fmt.Println(r)
//
// The comparison is kept in testdata and made anew by
//
//	go test ./internal/measurer -update
package measurer
