// Package router decides where a statement goes: to the primary of its group or
// to which replica, and says why.
//
// A write goes to the primary. A read goes to a replica that surely holds the
// session's mark and is surely no older than the caller allows; what is not sure
// counts as not so. Among several, one in the own availability zone comes first
// unless another is clearly faster, and of two picked at random the one with the
// lower expected time is taken. If no replica is there yet, but one will be
// soon, the read may wait for it up to [Request.Patience]; otherwise it goes to
// the primary. A read of a session whose mark is not known is asked about first.
//
// [Decide] is a function of its arguments. It allocates nothing. A [Recorder]
// keeps the latest decisions, to explain them, and counts them by reason.
//
// # Usage
//
//	d := router.Decide(&req, snapshot, load, now)
//	switch d.Action {
//	case router.Go:
//		send(d.Target)
//	case router.Wait:
//		// Decide again at d.Until, or as soon as there is a new snapshot.
//	case router.Ask:
//		// Find the mark (see package marker), set Mark and Known, decide again.
//	case router.Refuse:
//		// Tell the caller that the statement has not run.
//	}
//	recorder.Add(router.Record{At: now, Group: group, Session: session, Decision: d})
package router
