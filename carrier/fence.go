package carrier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/tracker"
)

// successorPollInterval is the time between two requests for the position of a successor.
const successorPollInterval = 5 * time.Millisecond

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
	if f.Successor != g.fence.Successor {
		g.successorMark = tracker.Mark{}
	}
	g.fence = f
	for _, u := range g.upstreams {
		for r := range u.running {
			if f.bars(u.id) && r.inDoubtIfLost && !r.exchangeStartedAt.IsZero() {
				r.conn.Abort()
			}
		}
	}
	if g.leader != nil && f.bars(g.leader.id) {
		g.setLeader(nil, "being replaced")
	}
}

// isBarred reports whether an upstream must not be used as the leader.
func (g *Group) isBarred(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fence.bars(u.id)
}

// awaitSuccessor reports whether a commit that an upstream has acknowledged outlasts a change
// of leader that is under way. It waits until the successor has received the position; an
// upstream that has just joined may be the only one that confirmed it.
func (g *Group) awaitSuccessor(u *upstream, mark tracker.Mark, deadline time.Time) bool {
	for waited := false; ; waited = true {
		successor, decided, outlasts := g.outlastsChange(u, mark, waited)
		if decided {
			return outlasts
		}
		if !time.Now().Before(deadline) {
			return false
		}
		g.pollSuccessor(successor, deadline)
	}
}

// pollSuccessor asks a successor for its position, or waits while another commit does that:
// each request needs a connection of its own.
func (g *Group) pollSuccessor(id string, deadline time.Time) {
	g.mu.Lock()
	if polling := g.polling; polling != nil {
		g.mu.Unlock()
		select {
		case <-polling:
		case <-time.After(time.Until(deadline)):
		}
		return
	}
	done := make(chan struct{})
	g.polling = done
	g.mu.Unlock()
	report, err := g.Control(id, deadline, Command{Verb: Status})
	if err != nil || !g.recordSuccessor(id, report) {
		time.Sleep(successorPollInterval)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.polling = nil
	close(done)
}

// outlastsChange decides what awaitSuccessor waits for, where that can be decided. Otherwise it
// returns the successor to ask. waited is true once that has been necessary.
func (g *Group) outlastsChange(u *upstream, mark tracker.Mark, waited bool) (successor string, decided, outlasts bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := g.fence
	switch {
	case f.bars(u.id):
		return "", true, false
	case !f.LeaderServes || f.Successor == u.id:
		return "", true, !waited || g.leader == u // after waiting: the change was called off
	case g.successorMark.Term == mark.Term && !g.successorMark.Less(mark):
		return "", true, true
	case mark.Term.Less(g.successorMark.Term):
		return "", true, false // it leads, and whether it had received the position is unknown
	default:
		return f.Successor, false, false
	}
}

// recordSuccessor records what a successor has received, and reports whether that is more than
// was known.
func (g *Group) recordSuccessor(id string, report Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fence.Successor != id || !g.successorMark.Less(report.Received) {
		return false
	}
	g.successorMark = report.Received
	return true
}

// lostToSuccessor returns the answer to a commit that may not outlast a change of leader.
func (g *Group) lostToSuccessor(answer Answer) Answer {
	g.log().Info("carrier: commit may not outlast the change of leader", zap.String("group", g.name), zap.Stringer("at", answer.Mark))
	out := refusal(InDoubt, "committed at a leader that is being replaced, and not yet received by its successor")
	out.State, out.Mark = answer.State, answer.Mark
	return out
}
