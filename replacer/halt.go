package replacer

import (
	"strings"
	"time"

	"basildale.example/basildale/tracker"
)

// report is what an upstream said last in this attempt.
type report struct {
	Reported
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
	if e.heard && e.Leads && !r.view.Stuck {
		return r.calledOff(now, "the leader answers")
	}
	if now.Sub(r.began) >= verifyFor {
		r.enter(halting, now)
		return append([]Command{Explain{"halt", "", "the leader does its work no longer"}}, r.halt(now)...)
	}
	if e.due(now) {
		return []Command{Look{ID: r.from}}
	}
	return nil
}

// halted lists the upstreams that must stop receiving.
func (r *Replacer) halted() []string {
	var out []string
	for _, m := range r.view.Members {
		if m.ID == r.from || r.planned && m.ID == r.target {
			continue
		}
		out = append(out, m.ID)
	}
	return out
}

func (r *Replacer) report(ev Reported) {
	e := r.reports[ev.ID]
	if e == nil {
		return
	}
	if !ev.OK {
		return
	}
	e.Reported = ev
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
		if e.heard && highest.Less(tracker.Term{Epoch: e.Term.Epoch + 1}) {
			highest = tracker.Term{Epoch: e.Term.Epoch + 1}
		}
		if e.heard && !e.Held.Less(r.term) {
			continue
		}
		missing++
		if e.due(now) {
			out = append(out, Halt{ID: id, Term: r.term})
		}
	}
	if r.term.Less(highest) {
		// An upstream knows of a later term, so what was halted for the older one
		// may receive again.
		r.term = highest
		return out
	}
	switch {
	case missing > 0:
		if ended := r.stuck(now); ended != nil {
			return ended // what is halted now would be after it was released
		}
		return out
	case r.planned:
		r.enter(catching, now)
		return append(out, r.catch(now)...)
	default:
		r.enter(fencing, now)
		r.fenced = now
		return append(append(out, Demote{ID: r.from, Term: r.term}), r.fence(now)...)
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
	if r.view.Reached && now.Sub(r.began) < fenceFor {
		r.fenced = now.Add(joinFor)
		return nil
	}
	if now.Before(r.fenced) {
		return nil
	}
	for _, id := range r.halted() {
		if e := r.entry(id); !e.heard || e.Held.Less(r.term) {
			r.enter(halting, now)
			return r.halt(now)
		}
	}
	return r.choose(now)
}

// joined halts replicas that have come since the others were halted.
func (r *Replacer) joined(now time.Time) []Command {
	var out []Command
	for _, id := range r.halted() {
		e := r.entry(id)
		if (!e.heard || e.Held.Less(r.term)) && e.due(now) {
			out = append(out, Halt{ID: id, Term: r.term})
		}
	}
	return out
}

// Fencing returns the upstream that peers are to take the lead from, and the term
// for which; empty when there is none.
func (r *Replacer) Fencing() (string, tracker.Term) {
	if r.phase != fencing && (r.planned || r.phase != promoting) {
		return "", tracker.Term{}
	}
	return r.from, r.term
}

// choose picks the furthest of the halted replicas and promotes it.
func (r *Replacer) choose(now time.Time) []Command {
	r.target = ""
	var best *report
	for _, id := range r.halted() {
		e := r.reports[id]
		better := best == nil || best.Received.Less(e.Received)
		tie := best != nil && best.Received == e.Received && r.leaving(r.target) && !r.leaving(id)
		if better || tie {
			best, r.target = e, id
		}
	}
	if best == nil || best.Received.Less(r.view.Floor) {
		return nil
	}
	return r.promote(now, "furthest of all replicas: "+r.standing(r.halted()...))
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

// catch waits until the chosen replica has what the leader's log held after the
// others had stopped.
func (r *Replacer) catch(now time.Time) []Command {
	if r.overtaken() {
		return r.giveUp(now, "another leader, or none")
	}
	if now.Sub(r.began) > catchUp {
		return r.giveUp(now, "the chosen replica doesn't catch up: "+r.standing(r.from, r.target))
	}
	leader := r.entry(r.from)
	if r.need.IsZero() {
		if leader.heard && leader.Leads {
			r.need = leader.Received
		} else if leader.due(now) {
			return []Command{Look{ID: r.from}}
		}
	}
	if r.need.IsZero() {
		return nil
	}
	chosen := r.entry(r.target)
	if chosen.heard && !chosen.Received.Less(r.need) {
		need := r.need
		r.need = tracker.Mark{}
		return r.promote(now, "has received "+need.String())
	}
	if chosen.due(now) {
		return []Command{Look{ID: r.target}}
	}
	return nil
}
