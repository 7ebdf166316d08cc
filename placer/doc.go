// Package placer chooses the upstream on which a read or a transaction runs.
//
// It is meant for ordinary load: many reads that any replica may serve, a few statements
// that only the leader may run, and upstreams that become slow, lag or stop answering one
// at a time. The cost of a candidate is the expected time of an answer there; the candidate
// with the lowest cost is chosen.
//
// All functions are pure: the result depends only on the arguments.
//
// # Usage
//
//	i, reason := placer.Choose(candidates, placer.Need{MinMark: mark})
//	if i == placer.None {
//		return refuse(reason)
//	}
package placer
