// Package confirmer holds a write's answer back until one replica has the write.
//
// Replication is asynchronous. A write is acknowledged once a replica of the
// group states, at the term the write was answered in, a log that reaches the
// write's mark. Two upstreams of the group hold it then, and a promotion, which
// fences a quorum and takes the furthest log of it, can't lose it. A lease alone
// wouldn't do: its holder can be paused between the check and the answer.
//
// A [Group] is the pure state machine of one proxy for one database group.
// Waiting writes share one outstanding poll per replica, for the lowest mark that
// waits; its answer confirms every write up to the mark it states. The write's
// term is compared with the group's current one right before the acknowledgement.
//
// When lag or silence of the replicas shows that a write couldn't be confirmed
// before its deadline, [Group.Admit] refuses it before it runs, with the time to
// come back. Lag is measured without a caller's write at stake: while writes are
// refused the group asks for a [Sample], an entry in the log without effect.
//
// [Shared] wraps a Group for many goroutines and decides nothing itself.
//
// # Usage
//
//	var g confirmer.Group
//	g.Change(confirmer.Change{Term: term, Replicas: addrs}, now)
//	if v := g.Admit(deadline, now); !v.Admitted {
//		return notRun(v.Retry, v.Reason)
//	}
//	// Run the write; its answer carries the mark.
//	cmds := g.Wrote(confirmer.Wrote{ID: id, Term: term, Mark: mark, Deadline: deadline}, now)
//
// A write whose outcome is [Unknown] for [Replaced] can be settled on the new
// primary. If it is found there, give the settled mark to Wrote again with the new
// term: it is acknowledged once a replica has an entry of that new term, because
// an older entry alone could still lose against another replica's log.
package confirmer
