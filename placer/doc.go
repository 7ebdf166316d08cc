// Package placer chooses the upstream on which a read or a transaction runs.
//
// It is meant for ordinary load: many reads that any replica may serve, a few statements
// that only the leader may run, and upstreams that become slow, lag or stop answering one
// at a time. The cost of a candidate is the expected time of an answer there; the candidate
// with the lowest cost is chosen.
//
// Where placement by expected time is in force, [ChooseExpected] chooses instead. It also
// weighs the probability that a replica has a position when the read arrives, by the
// estimated [Lag], and whether it is worth to wait for that; the statements that other
// gateways have at an upstream; its [Pace] and [SlowStart]; the measured [RoundTrip]; and
// the leader's work that only it may do. [ChooseSecond] and [Hedge] decide about second
// attempts.
//
// All functions are pure: the result depends only on the arguments. Values that are
// learned, such as Lag, change only by their methods, with the time as an argument.
//
// # Usage
//
//	i, reason := placer.Choose(candidates, placer.Need{MinMark: mark})
//	if i == placer.None {
//		return refuse(reason)
//	}
//
//	lag.Observe(now, atLeast, atMost) // by each answer
//	c := placer.ChooseExpected(now, options, placer.Read{MinMark: mark, CommittedAt: at, MaxWait: placer.MaxWait(left)})
//	if c.Index != placer.None && c.Wait > 0 {
//		wait(c.Wait) // and choose anew
//	}
package placer
