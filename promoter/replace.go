package promoter

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// announcements is how often a new primary is announced.
	announcements = 3
	// refusedPause is the pause after an own step was refused, before the delay
	// of the rank: time for the one with the higher term to finish.
	refusedPause = 50 * time.Millisecond
)

// rank returns the place of this proxy among the live holders, or -1 if it may
// not act.
func (g *Group) rank() int {
	rank := 0
	for i, id := range g.grant.holders {
		if i > 0 && g.set.NoDeputies {
			return -1
		}
		alive := g.isLive(id)
		switch {
		case id == g.Self && alive:
			return rank
		case id == g.Self:
			return -1
		case alive:
			rank++
		}
	}
	return -1
}

func (g *Group) isLive(id string) bool {
	return slices.ContainsFunc(g.live, func(m Member) bool { return m.ID == id })
}

// act begins an attempt when it is this holder's turn: the first live holder at
// once, each next one after a further delay.
func (g *Group) act() {
	if g.attempt != nil || g.move != nil {
		return
	}
	rank := g.rank()
	if rank < 0 {
		return
	}
	if g.suspicion.down {
		// Looked at early, this costs no time later.
		g.checked()
	}
	delay := time.Duration(rank) * g.set.Deputy
	var due time.Time
	var suspect netip.AddrPort
	reason := "zones agree that it is dead"
	if g.suspicion.down {
		reason += ": " + g.suspicion.reason
	}
	switch {
	case !g.suspicion.since.IsZero():
		due = g.suspicion.since.Add(delay)
		suspect = g.primary
	case !g.vacant.IsZero():
		due = g.vacant.Add(g.set.Vacancy + delay)
		reason = "nobody is primary in the highest term"
	default:
		if !g.suspicion.down {
			g.check = check{}
		}
		return
	}
	if due.Before(g.waitUntil) {
		due = g.waitUntil
	}
	if g.now.Before(due) {
		g.wake(due)
		return
	}
	if !g.checked() {
		return
	}
	var target netip.AddrPort
	if !suspect.IsValid() {
		// Keep the primary if it is still the furthest.
		target = g.primary
	}
	g.replace(suspect, target, reason)
}

// check is the look at the upstreams before an attempt.
type check struct {
	// at is when the present round of questions was sent.
	at time.Time
	// missed: a round ended without enough answers.
	missed bool
	// passed is when enough answered after that.
	passed time.Time
}

// checked reports whether enough upstreams answer now to be fenced. A proxy that
// is cut off with a minority suspects whoever leads the rest; were it to fence
// without this look, its fences would go out when the partition heals and take
// down a healthy primary.
func (g *Group) checked() bool {
	c := &g.check
	fresh := g.set.Retry / 2
	if c.at.IsZero() || !g.now.Before(c.at.Add(g.set.Retry)) {
		c.missed = c.missed || !c.at.IsZero() && !g.reaches(c.at.Add(-fresh))
		c.at = g.now
		g.askAll(fresh, "do enough answer to be fenced")
	}
	g.wake(c.at.Add(g.set.Retry))
	if !g.reaches(c.at.Add(-fresh)) {
		c.passed = time.Time{}
		return false
	}
	if !c.missed {
		return true
	}
	// It was cut off until now: the suspect may be about to answer too.
	if c.passed.IsZero() {
		c.passed = g.now
	}
	g.wake(c.passed.Add(g.set.Settle))
	return !g.now.Before(c.passed.Add(g.set.Settle))
}

// reaches reports whether a quorum of upstreams has answered since then.
func (g *Group) reaches(since time.Time) bool {
	n := 0
	for i := range g.upstreams {
		if u := &g.upstreams[i]; !u.seen.IsZero() && !u.seen.Before(since) {
			n++
		}
	}
	return n >= Quorum(len(g.upstreams))
}

// replace begins an attempt at a term above all seen. It reports false when the
// own grant is too old for one.
func (g *Group) replace(suspect, target netip.AddrPort, reason string) bool {
	place := slices.Index(g.grant.holders, g.Self)
	term, ok := NextTerm(g.grant.record.Epoch, place, g.highest)
	if !ok {
		g.grant.stale = true
		g.waitUntil = g.now.Add(g.set.Vacancy)
		g.wake(g.waitUntil)
		return false
	}
	g.see(term)
	g.attempt = NewAttempt(term, g.addrs())
	g.attempt.Suspect = suspect
	g.attempt.Target = target
	g.attempt.reason = reason
	g.attempt.fenceBy = g.now.Add(g.set.Fence)
	g.check = check{}
	g.report(term, reason)
	g.fence()
	return true
}

// fence orders every upstream that hasn't answered yet.
func (g *Group) fence() {
	a := g.attempt
	for _, b := range a.Ballots {
		if !b.Fenced {
			g.emit(Fence{Upstream: b.Upstream, Term: a.Term, Reason: a.reason})
		}
	}
	a.retryAt = g.now.Add(g.set.Retry)
}

// drive takes the attempt to its next step.
func (g *Group) drive() {
	a := g.attempt
	if a == nil {
		return
	}
	if a.Candidate.IsValid() {
		g.drivePromotion()
		return
	}
	if all, _ := a.count(); all >= Quorum(len(a.Ballots)) && a.settleAt.IsZero() {
		a.settleAt = g.now.Add(g.set.Settle)
	}
	settled := !a.settleAt.IsZero() && !g.now.Before(a.settleAt)
	if candidate, ok := a.Choose(settled); ok {
		a.Candidate = candidate
		a.promoteBy = g.now.Add(g.set.Promote)
		g.promote("furthest of a fenced majority")
		return
	}
	if !g.now.Before(a.fenceBy) {
		// Whether there is still cause for it is looked at anew.
		g.attempt = nil
		g.wake(g.now.Add(g.set.Retry))
		return
	}
	g.wake(a.settleAt)
	g.wake(a.fenceBy)
	if !g.now.Before(a.retryAt) {
		g.fence()
	}
	g.wake(a.retryAt)
}

func (g *Group) drivePromotion() {
	a := g.attempt
	if !g.now.Before(a.promoteBy) {
		// It may have been promoted all the same: this term is used up.
		g.attempt = nil
		g.waitUntil = time.Time{}
		g.vacant = time.Time{}
		g.replace(a.Suspect, netip.AddrPort{}, "the promoted upstream didn't answer")
		return
	}
	if !g.now.Before(a.retryAt) {
		g.promote("no answer yet")
	}
	g.wake(a.retryAt)
	g.wake(a.promoteBy)
}

func (g *Group) promote(reason string) {
	a := g.attempt
	a.retryAt = g.now.Add(g.set.Retry)
	g.wake(a.retryAt)
	g.emit(Promote{Upstream: a.Candidate, Term: a.Term, Reason: reason})
}

// stepped takes the answer to an order.
func (g *Group) stepped(ev Stepped) {
	if ev.Outcome == Done {
		g.heard(ev.Upstream, time.Time{})
		g.note(Stated{Upstream: ev.Upstream, State: ev.State})
	}
	if ev.Step == Following {
		g.followed(ev)
		return
	}
	a := g.attempt
	if a == nil || a.Term != ev.Term {
		return
	}
	switch {
	case ev.Outcome == Rejected:
		g.yield(ev)
	case ev.Outcome != Done:
	case ev.Step == Fencing:
		a.NoteFence(ev.Upstream, ev.State.Mark)
	case ev.Step == Promoting && ev.Upstream == a.Candidate:
		g.promoted(a)
	}
}

// yield ends the attempt because an upstream has a higher term. A leader that
// was paused finds out here that others went on without it.
func (g *Group) yield(ev Stepped) {
	if g.attempt.Candidate.IsValid() && ev.Step == Fencing {
		// A fence that was sent twice, or late: the promotion decides.
		return
	}
	g.attempt = nil
	g.waitUntil = g.now.Add(refusedPause + time.Duration(max(g.rank(), 0))*g.set.Deputy)
	g.emit(Probe{Upstream: ev.Upstream, Reason: "it refused " + ev.Term.String() + ": learn its term"})
}

func (g *Group) promoted(a *Attempt) {
	g.attempt = nil
	g.adopt(a.Candidate, a.Term, "promoted: "+a.reason)
	g.announce = repeat{at: g.now, left: announcements}
}
