// Package retrier decides what happens to a request after an attempt at it: the
// caller gets its outcome, the request is sent again, or it is settled first.
//
// An [Outcome] is a value with one of three kinds. Done means that the caller
// has its whole answer, an error raised by the statement itself included.
// NotRun is only said with proof: nothing was sent, or the upstream refused the
// statement before it ran, or the settling step recorded its request ID as
// refused for good. Everything else is Unknown.
//
// The rules, in the order in which they are applied:
//
//   - A read is sent again after any attempt that brought no answer. A write is
//     sent again only when its last attempt is proven not run.
//   - A write whose answer was lost is settled by its request ID before its
//     caller is told anything. An ID that was settled as not run is spent: the
//     next attempt carries a new one.
//   - A statement inside a transaction is bound to its connection and is never
//     sent again; its COMMIT is settled.
//   - An attempt needs a place in the count of attempts, time before the
//     deadline, and a token of the group's [Budget], in this order, so that a
//     request that can't be in time takes no token.
//   - A request that is given up gets its outcome in the same step, and with it
//     the time at which it is worth coming back. Nothing waits for a deadline.
//
// [Exchange] sorts the answers of one connection: an answer that is late,
// crossed or doubled reaches no caller, and its connection is not used again.
//
// Everything here is a function of (state, event, now), without clocks, input,
// output or goroutines. Jitter is drawn from a seed of the request, so the same
// inputs give the same decisions.
//
// # Usage
//
//	policy := retrier.Policy{} // the zero value has usable defaults
//	budget := retrier.NewBudget(retrier.BudgetRate{})
//	req := retrier.Request{Statement: st, Latest: latest, Deadline: deadline, Seed: id}
//	budget.Deposit()
//	outcome := attempt()
//	d := policy.Decide(&req, budget, outcome, now)
//	switch d.Action {
//	case retrier.Finish:
//		// Tell the caller d.Outcome; d.Outcome.SQLState() and Hint give the words.
//	case retrier.Send:
//		// Wait until d.At and send; with d.Fresh under a new request ID.
//	case retrier.Settle:
//		// Wait until d.At, ask basildale_settle, then call policy.Settled.
//	}
package retrier
