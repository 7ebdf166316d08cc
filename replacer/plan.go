package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// plan begins to replace a leader that works.
func (r *Replacer) plan(now time.Time) []Command {
	cause := "leader is leaving, or out of reach or failing for many"
	if !r.must {
		cause = "leader is alone with more than it can do, the replicas are late"
	}
	r.begin(true, now)
	if !r.guarded {
		r.enter(guarding, now)
		return r.choice(r.from, "guard", cause, now)
	}
	return r.seek(now, cause)
}

// successors lists the replicas that a planned change may go to: those that stay.
func (r *Replacer) successors(leader string) []string {
	var out []string
	for _, m := range r.view.Upstreams {
		if m.ID != leader && !m.Leaving && !m.Unlisted {
			out = append(out, m.ID)
		}
	}
	return out
}

// seek begins to look for a successor.
func (r *Replacer) seek(now time.Time, cause string) []Command {
	r.target = ""
	r.enter(probing, now)
	return append([]Command{LogStep{"probe", r.from, cause}}, r.probe(now)...)
}

// probe waits for a replica that has received what the leader had, and only then lets
// the others be halted. Halted for the sake of one that is dark or deaf they leave nobody
// who confirms commits: one sees writes end in doubt, for 2 s a try, and the leader that
// has to go stay.
func (r *Replacer) probe(now time.Time) []Command {
	if r.overtaken() {
		return r.calledOff(now, "another leader, or none")
	}
	var out []Command
	if r.need.IsZero() {
		out = r.sample(now)
	}
	successors := r.successors(r.from)
	for _, id := range successors {
		e := r.entry(id)
		if !r.need.IsZero() && e.heard && !e.Received.Less(r.need) {
			return r.chose(id, now)
		}
		if e.due(now) {
			out = append(out, Poll{ID: id})
		}
	}
	if now.Sub(r.began) > probeFor {
		return r.giveUp(now, "no replica catches up: "+r.standing(append([]string{r.from}, successors...)...))
	}
	return out
}

// sample takes in how far the leader's log is, as it was asked in this phase: an answer
// to an earlier question may lack commits that were confirmed before the halts.
func (r *Replacer) sample(now time.Time) []Command {
	leader := r.entry(r.from)
	if leader.heard && leader.Leads && !leader.RequestedAt.Before(r.began) {
		r.need = leader.Received
		return nil
	}
	if leader.due(now) {
		return []Command{Poll{ID: r.from}}
	}
	return nil
}

// chose begins to halt all but the chosen replica.
func (r *Replacer) chose(id string, now time.Time) []Command {
	why := id + " has received " + r.need.String()
	r.target, r.need = id, tracker.Mark{}
	r.ask(now)
	r.enter(halting, now)
	return append([]Command{LogStep{"halt", id, why}}, r.halt(now)...)
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
	if r.need.IsZero() {
		out := r.sample(now)
		if r.need.IsZero() {
			return out
		}
	}
	chosen := r.entry(r.target)
	switch {
	case chosen.heard && !chosen.Received.Less(r.need) && r.around:
		return r.depose(now)
	case chosen.heard && !chosen.Received.Less(r.need):
		return r.promote(now, "has received "+r.need.String())
	case chosen.due(now):
		return []Command{Poll{ID: r.target}}
	default:
		return nil
	}
}

// goAround begins a change without those that can't be halted: the leader gives the lead
// up before the order. A leader that doesn't lead any more acknowledges nothing, and its
// log has all that it ever did, whoever confirmed it, so a replica that has as much can be
// promoted. Waiting for all to be halted kept a leader that left in use until it was gone,
// 10 s after it had said so: an upstream that is off the list counts for 15 s more. The
// group has no leader while the platform promotes, so this is done only where the leader
// must go.
func (r *Replacer) goAround(now time.Time) []Command {
	r.around = true
	r.enter(clearing, now)
	return append([]Command{LogStep{"go around", r.target, "not halted: " + r.unhalted()}}, r.clear(now)...)
}

// clear waits until nothing that was ordered can take effect any more. An order that made
// this leader lead would make it lead again after it has given the lead up, also one that
// was accepted while it led: it was seen to lead for 20 ms, and commits that one of those
// out of reach confirms then are lost. Those that are missing may answer meanwhile.
func (r *Replacer) clear(now time.Time) []Command {
	if r.overtaken() {
		return r.giveUp(now, "another leader, or none")
	}
	out := r.haltRest(now)
	switch {
	case r.unhalted() == "":
		r.around = false
	case r.cleared.IsZero() && now.Sub(r.sent) >= effect:
		return append(out, r.choice(r.from, "guard", "earlier orders may be under way", now)...)
	case r.cleared.IsZero() || now.Before(r.cleared):
		return out
	}
	r.ask(now)
	r.enter(catching, now)
	return append(out, r.catch(now)...)
}

// depose tells the leader to give the lead up.
func (r *Replacer) depose(now time.Time) []Command {
	for _, id := range []string{r.from, r.target} {
		if next := (tracker.Term{Epoch: r.entry(id).Term.Epoch + 1}); r.term.Less(next) {
			r.term = next
		}
	}
	r.ask(now)
	r.enter(yielding, now)
	return append([]Command{LogStep{"yield", r.from, r.target + " has received " + r.need.String()}}, r.yield(now)...)
}

// yield waits until the leader leads no more and the chosen replica has its whole log.
// Where that fails the leader is promoted again: nobody else surely has everything.
func (r *Replacer) yield(now time.Time) []Command {
	switch {
	case r.view.Token != r.token:
		return r.calledOff(now, "the duty is another's")
	case now.Sub(r.began) > yieldFor:
		why := "leads again: " + r.standing(r.from, r.target)
		r.target = r.from
		return r.promote(now, why)
	}
	leader := r.entry(r.from)
	if !leader.heard || leader.Leads || leader.RequestedAt.Before(r.began) {
		if leader.due(now) {
			return []Command{Demote{ID: r.from, Term: r.term}}
		}
		return nil
	}
	chosen := r.entry(r.target)
	switch {
	case chosen.heard && !chosen.Received.Less(leader.Received):
		return r.promote(now, "has received all of the former leader's log, "+leader.Received.String())
	case chosen.due(now):
		return []Command{Poll{ID: r.target}}
	default:
		return nil
	}
}
