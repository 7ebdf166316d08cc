package promoter

import (
	"net/netip"
	"time"
)

const (
	// drain is how long writes in flight get to finish after a hold was
	// announced, before the logs are compared.
	drain = 30 * time.Millisecond
	// moveProbe is the time between state probes while the target catches up.
	moveProbe = 10 * time.Millisecond
)

// move is a planned change of the primary under way. Writes are held by all
// proxies while it lasts, so that the target can catch up and nothing unconfirmed
// is dropped. A proxy that didn't hear of it loses nothing: its writes are
// refused for their term and haven't run.
type move struct {
	target   netip.AddrPort
	deadline time.Time
	compare  time.Time
	probeAt  time.Time
	started  bool
}

func (g *Group) startMove(ev Move) {
	switch {
	case g.rank() != 0:
		g.emit(Moved{Outcome: Rejected, Primary: g.primary, Reason: "this proxy isn't the first live holder"})
	case g.move != nil || g.attempt != nil:
		g.emit(Moved{Outcome: Rejected, Primary: g.primary, Reason: "a change is under way"})
	case g.upstream(ev.Target) == nil:
		g.emit(Moved{Outcome: Rejected, Primary: g.primary, Reason: "no such upstream in the group"})
	case ev.Target == g.primary:
		g.emit(Moved{Outcome: Done, Primary: g.primary, Reason: "it is primary already"})
	default:
		g.move = &move{target: ev.Target, deadline: ev.Deadline, compare: g.now.Add(drain)}
		g.hold = ev.Deadline
		g.emit(Hold{Until: ev.Deadline, Reason: "planned change"})
		g.tell("", "planned change: hold writes")
	}
}

// advanceMove waits until the target has the whole log, then replaces.
func (g *Group) advanceMove() {
	m := g.move
	if m == nil {
		return
	}
	g.wake(m.deadline)
	if m.started {
		g.finishMove()
		return
	}
	if !g.now.Before(m.deadline) || !g.suspicion.since.IsZero() {
		g.endMove(Rejected, "the target didn't catch up in time")
		return
	}
	if g.now.Before(m.compare) {
		g.wake(m.compare)
		return
	}
	if g.caughtUp() {
		m.started = true
		if !g.replace(netip.AddrPort{}, m.target, "planned change") {
			g.endMove(Rejected, "the grant is too old")
		}
		return
	}
	if g.now.Before(m.probeAt) {
		g.wake(m.probeAt)
		return
	}
	m.probeAt = g.now.Add(moveProbe)
	g.wake(m.probeAt)
	g.emit(Probe{Upstream: g.primary, Reason: "compare logs"})
	g.emit(Probe{Upstream: m.target, Reason: "compare logs"})
}

func (g *Group) caughtUp() bool {
	p, t := g.upstream(g.primary), g.upstream(g.move.target)
	if p == nil || t == nil {
		return false
	}
	fresh := !p.seen.Before(g.move.compare) && !t.seen.Before(g.move.compare)
	return fresh && g.behind(t) && !t.state.Mark.Less(p.state.Mark)
}

func (g *Group) finishMove() {
	m := g.move
	switch {
	case g.adopted.After(m.compare) && g.primary == m.target:
		g.endMove(Done, "promoted as planned")
	case g.adopted.After(m.compare):
		g.endMove(Rejected, "another upstream was further and was promoted")
	case g.attempt == nil:
		g.endMove(Rejected, "the attempt was refused")
	case !g.now.Before(m.deadline):
		g.endMove(Lost, "no end in time")
	}
}

// endMove reports the end. If nobody was promoted the hold is called off.
func (g *Group) endMove(o Outcome, reason string) {
	g.move = nil
	if !g.hold.IsZero() {
		g.hold = time.Time{}
		g.emit(Adopt{Primary: g.primary, Term: g.term, Reason: "planned change ended"})
		g.tell("", "planned change ended")
	}
	g.emit(Moved{Outcome: o, Primary: g.primary, Reason: reason})
}
