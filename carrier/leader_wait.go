package carrier

import "time"

// maxLeaderWait is how long statements wait for a leader, counted from its loss. A change
// of leader takes 1 to 2 s. One that has taken much longer waits for an upstream to come
// back, and callers are then refused at once.
const maxLeaderWait = 4 * time.Second

// isLeaderUnlikely reports whether waiting here for a leader is of no use to a caller: the
// group has had none for too long, or this process is isolated from the next one. The
// caller must hold g.mu.
func (g *Group) isLeaderUnlikely(now time.Time) bool {
	if g.reachableLeaderLocked() != nil {
		return false
	}
	return g.isIsolated() || !g.leaderlessSince.IsZero() && now.Sub(g.leaderlessSince) > maxLeaderWait
}

// isIsolated reports whether no upstream can be reached that could lead next: all but the
// last leader are ejected, and that one is no longer the leader. If another one is promoted
// now, this process cannot reach it until the partition ends, and a caller that is refused
// at once can go to a process on the other side. With two thirds of nine processes
// partitioned for 7 s, each of three attempts can reach the other third; a caller that is
// held for its 0.8 s has one attempt left. The caller must hold g.mu.
func (g *Group) isIsolated() bool {
	others := 0
	for _, u := range g.upstreams {
		if u.id == g.lastLeader {
			continue
		}
		if !u.ejected {
			return false
		}
		others++
	}
	return others > 0
}

// wouldStallLocked reports whether a job is a write that, if it is sent to the leader,
// would only wait there: its commits are not acknowledged, and no other upstream can be
// reached. A caller can retry a write that was not sent; one that was sent ends in doubt.
// The caller must hold g.mu.
func (g *Group) wouldStallLocked(j *Job, now time.Time) bool {
	leader := g.reachableLeaderLocked()
	return j.Writes && leader != nil && g.isCommitStalled(leader, now) && g.isIsolated()
}
