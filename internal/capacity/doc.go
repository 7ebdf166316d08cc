// Package capacity holds the benchmarks whose slopes docs/CAPACITY.md is worked
// out from and that belong to no single package: what the platform's list costs
// by its length, what a sample of an upstream's state costs, and what the fleet's
// objects weigh in memory by their number.
//
// # Usage
//
//	go test ./internal/capacity -run XXX -bench .
package capacity
