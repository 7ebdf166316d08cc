// Package placer chooses the upstream that a read or a transaction goes to.
//
// It answers the ordinary load: many reads that any copy may serve, a few
// statements that only the leader may, and copies that turn slow, fall behind or
// stop answering one at a time. The cost of a candidate is the time that an
// answer is expected to take there; the cheapest gets the work.
//
// Everything here is a function of its arguments.
//
// # Usage
//
//	i, reason := placer.Choose(candidates, placer.Need{Since: mark})
//	if i == placer.None {
//		return refuse(reason)
//	}
package placer
