// Package proof proves under failure what the system promises, with the real
// program: its tests build the binary once, start proxies as processes of their
// own, and end, stop, freeze and misinform them. The database group and the
// platform are the stand-ins of internal/faker and live in the test, where their
// faults are ordered.
//
// Callers are those of package generator, which book, look up and move between
// proxies, and single connections where a case needs a certain order of steps.
// What they were told is kept by package checker and compared in the end with
// what the primary holds. Loads are bounded by counts of requests, faults come
// at counts, and waiting is for events that a process itself reports.
//
// docs/PROOFS.md lists which promise is proved where.
//
// # Usage
//
//	go test ./internal/proof
//	go test -run TestFaults/killed ./internal/proof
package proof
