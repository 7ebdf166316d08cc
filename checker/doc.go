// Package checker keeps a ledger of what callers asked for and what they were
// told, and audits it against what the database groups hold in the end.
//
// The ledger is the callers' side only: it learns nothing from proxies. It
// counts the broken promises of five kinds:
//
//   - lost: an acknowledged booking that isn't there.
//   - doubled: a booking that ran more than once or although its caller was told
//     that it did not run, or a seat that two acknowledged bookings hold.
//   - stale: a read that did not show its session's own acknowledged write.
//   - cut: a request in flight that ended without an answer.
//   - mixed: an answer or a row that belongs to somebody else's request, or a
//     transaction of which only a part is there.
//
// A [Ledger] is a value in memory without a clock. Order is the order of the
// calls: a read expects what had been acknowledged when it began.
//
// # Usage
//
//	var l checker.Ledger
//	l.Begin(checker.Booking{ID: "a", Seat: "12", Session: "s1"})
//	// send it
//	l.End("a", checker.Done)
//	e := l.Expect("s1", "a")
//	// read it
//	l.Seen(e, found)
//	report := l.Audit(rows)
//	fmt.Println(report.Counts)
package checker
