package replacer

import (
	"strings"
	"time"

	"basildale.example/basildale/tracker"
)

// report is what an upstream said last in this attempt.
type report struct {
	UpstreamReport
	asked time.Time
	heard bool
}

// verify asks the leader that seems dead. One that answers and leads is left
// alone, unless it answers all but writes.
func (r *Replacer) verify(now time.Time) []Command {
	if r.overtaken() {
		return r.calledOff(now, "a leader answers")
	}
	e := r.entry(r.from)
	if e.heard && e.Leads && !r.view.CommitStalled {
		return r.calledOff(now, "the leader answers")
	}
	if now.Sub(r.began) >= verifyFor {
		r.enter(halting, now)
		return append([]Command{LogStep{"halt", "", "the leader does its work no longer"}}, r.halt(now)...)
	}
	if e.due(now) {
		return []Command{Poll{ID: r.from}}
	}
	return nil
}

// halted lists the upstreams that must stop receiving.
func (r *Replacer) halted() []string {
	var out []string
	for _, m := range r.view.Upstreams {
		if m.ID == r.from || r.planned && m.ID == r.target {
			continue
		}
		out = append(out, m.ID)
	}
	return out
}

func (r *Replacer) report(ev UpstreamReport) {
	e := r.reports[ev.ID]
	if e == nil || !ev.OK || ev.RequestedAt.Before(r.since) {
		return
	}
	e.UpstreamReport = ev
	e.heard = true
}

// entry returns what is known of an upstream in this attempt.
func (r *Replacer) entry(id string) *report {
	e := r.reports[id]
	if e == nil {
		e = &report{}
		r.reports[id] = e
	}
	return e
}

// due reports whether an upstream is to be asked now, and notes that it is.
func (e *report) due(now time.Time) bool {
	if now.Sub(e.asked) < askAgain {
		return false
	}
	e.asked = now
	return true
}

// stopped reports whether an upstream confirms nothing any more, and leads nobody.
func (r *Replacer) stopped(id string) bool {
	e := r.entry(id)
	return e.heard && !e.Leads && !e.SuspendedTerm.Less(r.term)
}

// halt tells replicas to stop receiving, until all of them have.
func (r *Replacer) halt(now time.Time) []Command {
	if r.overtaken() {
		return r.giveUp(now, "a leader answers")
	}
	var out []Command
	missing := 0
	highest := r.term
	for _, id := range r.halted() {
		e := r.entry(id)
		if next := (tracker.Term{Epoch: e.Term.Epoch + 1}); e.heard && highest.Less(next) {
			highest = next
		}
		if r.stopped(id) {
			continue
		}
		missing++
		if e.due(now) {
			out = append(out, Suspend{ID: id, Term: r.term})
		}
	}
	if r.term.Less(highest) {
		// An upstream knows of a later term, so what was halted for the older one
		// may receive again.
		r.term = highest
		return out
	}
	switch {
	case r.planned && missing > 0 && r.must && now.Sub(r.began) >= haltFor:
		return append(out, r.goAround(now)...)
	case r.planned && missing == 0:
		r.enter(catching, now)
		return append(out, r.catch(now)...)
	case r.planned && now.Sub(r.began) > haltFor:
		return r.giveUp(now, "not halted: "+r.unhalted())
	case r.planned:
		return out
	case r.secured():
		r.enter(fencing, now)
		r.fenced = now
		return append(append(out, Demote{ID: r.from, Term: r.term}), r.fence(now)...)
	case now.Sub(r.began) > stuckFor:
		return r.handOver(now)
	default:
		return append(out, r.haltFormer(now)...)
	}
}

// secured reports whether all upstreams but one have stopped. An acknowledged commit is
// at two of them at least, so that one of those that have stopped has it, whichever is
// missing: the leader that died, or another one when the leader has only lost the lead. A
// leader that isn't a member any more is the one that is missing.
func (r *Replacer) secured() bool {
	missing, most := 0, 0
	for _, m := range r.view.Upstreams {
		if m.ID == r.from {
			most = 1
		}
		if !r.stopped(m.ID) {
			missing++
		}
	}
	return missing <= most
}

// haltFormer halts a former leader that answers and leads no more, in place of a replica
// that doesn't answer. Without it a group whose leader gave the lead up for a planned
// change, and whose holder died then, waits for that replica.
func (r *Replacer) haltFormer(now time.Time) []Command {
	e := r.entry(r.from)
	switch {
	case r.from == "" || now.Sub(r.began) < haltFor || e.heard && e.Leads || !e.due(now):
		return nil
	case e.heard:
		return []Command{Suspend{ID: r.from, Term: r.term}}
	default:
		return []Command{Poll{ID: r.from}}
	}
}

// fence waits until no peer reaches the leader any more. A replica that joins
// while the others are halted isn't halted yet: one sees a commit that the leader
// had confirmed by it, and that the promoted one lacks. Where nobody reaches the
// leader, no caller can have a commit acknowledged; peers that reach it take the
// lead from it first, and what joined meanwhile is halted too.
func (r *Replacer) fence(now time.Time) []Command {
	if r.overtaken() {
		return r.giveUp(now, "a leader answers")
	}
	if r.view.ReachedByPeer && now.Sub(r.began) < fenceFor {
		r.fenced = now.Add(joinFor)
		return nil
	}
	if now.Before(r.fenced) {
		return nil
	}
	if !r.secured() {
		r.enter(halting, now)
		return r.halt(now)
	}
	return r.choose(now)
}

// haltRest halts replicas that have come since the others were halted, or didn't answer.
func (r *Replacer) haltRest(now time.Time) []Command {
	var out []Command
	for _, id := range r.halted() {
		e := r.entry(id)
		if !r.stopped(id) && e.due(now) {
			out = append(out, Suspend{ID: id, Term: r.term})
		}
	}
	return out
}

// haltJoined is the same while an order is out, unless the leader has given the lead up: then
// nobody can confirm anything.
func (r *Replacer) haltJoined(now time.Time) []Command {
	if r.around {
		return nil
	}
	return r.haltRest(now)
}

// FenceTarget returns the upstream that peers are to take the lead from, and the term
// for which; empty when there is none.
func (r *Replacer) FenceTarget() (string, tracker.Term) {
	if r.phase != fencing && (r.planned || r.phase != promoting) {
		return "", tracker.Term{}
	}
	return r.from, r.term
}

// choose picks the furthest of those that have stopped and promotes it; of several that
// are as far one that stays, and not the former leader.
func (r *Replacer) choose(now time.Time) []Command {
	r.target = ""
	var best *report
	var asked []string
	for _, m := range r.view.Upstreams {
		if !r.stopped(m.ID) {
			continue
		}
		asked = append(asked, m.ID)
		e := r.entry(m.ID)
		last := m.Leaving || m.ID == r.from
		better := best == nil || best.Received.Less(e.Received)
		tie := best != nil && best.Received == e.Received && !last
		if better || tie && (r.target == r.from || r.leaving(r.target)) {
			best, r.target = e, m.ID
		}
	}
	if best == nil || best.Received.Less(r.view.MinReceived) {
		return nil
	}
	return r.promote(now, "furthest of those that have stopped: "+r.standing(asked...))
}

// standing says how far upstreams have received, for the log.
func (r *Replacer) standing(ids ...string) string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = id + " doesn't answer"
		if e := r.entry(id); e.heard {
			out[i] = id + " at " + e.Received.String()
		}
	}
	return strings.Join(out, ", ")
}
