package carrier

import "go.uber.org/zap"

// Fence is what this process knows of a change of leader that the lease holder has under way.
// An order to promote an upstream takes effect up to a second after it was accepted and cannot
// be taken back. What the successor hasn't received by then is lost, so no caller may get an
// acknowledgement of it.
type Fence struct {
	// Leader is the upstream that is being replaced; empty where it is unknown.
	Leader string
	// Successor is the upstream that is to lead; empty until it is chosen.
	Successor string
	// LeaderServes is true while the leader is to serve until the successor leads.
	LeaderServes bool
}

// bars reports whether no statement may be sent to an upstream as the leader.
func (f Fence) bars(id string) bool {
	switch {
	case f.LeaderServes || f == Fence{}:
		return false
	case f.Successor != "":
		return id != f.Successor
	default:
		return id == f.Leader
	}
}

// SetFence applies what is known of a change of leader. An upstream that leads and is barred
// is no longer used as the leader, also when it returns under another id, and writes that wait
// there are aborted: an upstream that joins could confirm them.
func (g *Group) SetFence(f Fence) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f == g.fence {
		return
	}
	g.log().Info("carrier: change of leader", zap.String("group", g.name), zap.String("leader", f.Leader),
		zap.String("successor", f.Successor), zap.Bool("serves", f.LeaderServes))
	g.fence = f
	if g.leader == nil || !f.bars(g.leader.id) {
		return
	}
	for r := range g.leader.running {
		if r.inDoubtIfLost && !r.exchangeStartedAt.IsZero() {
			r.conn.Abort()
		}
	}
	g.setLeader(nil, "being replaced")
}

// isBarred reports whether an upstream must not be used as the leader.
func (g *Group) isBarred(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence.bars(u.id)
}
