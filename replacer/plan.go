package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// startPlanned starts the planned change of a leader that works.
func (r *Replacer) startPlanned(now time.Time) []Command {
	cause := "leader is leaving, or unreachable or failing for many peers"
	if !r.mandatory {
		cause = "leader is overloaded and all replicas lag"
	}
	r.begin(true, now)
	if !r.tokenRegistered {
		r.enterPhase(registeringToken, now)
		return r.sendOrder(r.oldLeader, "guard", cause, now)
	}
	return r.startProbe(now, cause)
}

// successors lists the replicas that may be promoted in a planned change: those that are listed
// and not leaving.
func (r *Replacer) successors(leader string) []string {
	var out []string
	for _, u := range r.view.Upstreams {
		if u.ID != leader && !u.Leaving && !u.Unlisted {
			out = append(out, u.ID)
		}
	}
	return out
}

// startProbe starts to wait for a replica that can succeed the leader.
func (r *Replacer) startProbe(now time.Time, cause string) []Command {
	r.target = ""
	r.enterPhase(probing, now)
	return append([]Command{LogStep{"probe", r.oldLeader, cause}}, r.probe(now)...)
}

// probe waits for a replica that has received what the leader had, and only then suspends the
// others. If they were suspended for a replica that does not answer or does not receive, no
// upstream would confirm commits: writes would end in doubt, for 2 s in each attempt, and the
// leader that has to go would stay.
func (r *Replacer) probe(now time.Time) []Command {
	if r.isObsolete() {
		return r.abort(now, "the leader changed or is gone")
	}
	var out []Command
	if r.requiredMark.IsZero() {
		out = r.sampleLeader(now)
	}
	successors := r.successors(r.oldLeader)
	for _, id := range successors {
		s := r.state(id)
		if !r.requiredMark.IsZero() && s.hasReport && !s.Received.Less(r.requiredMark) {
			return r.suspendOthers(id, now)
		}
		if s.shouldRequest(now) {
			out = append(out, Poll{ID: id})
		}
	}
	if now.Sub(r.phaseStart) > probeTimeout {
		return r.abortAndResume(now, "no replica caught up: "+r.positions(append([]string{r.oldLeader}, successors...)...))
	}
	return out
}

// sampleLeader records the end of the leader's log, as requested in this phase: the answer to
// an earlier request may lack commits that were confirmed before the replicas were suspended.
func (r *Replacer) sampleLeader(now time.Time) []Command {
	leader := r.state(r.oldLeader)
	if leader.hasReport && leader.Leads && !leader.RequestedAt.Before(r.phaseStart) {
		r.requiredMark = leader.Received
		return nil
	}
	if leader.shouldRequest(now) {
		return []Command{Poll{ID: r.oldLeader}}
	}
	return nil
}

// suspendOthers starts suspending all replicas but the chosen one.
func (r *Replacer) suspendOthers(id string, now time.Time) []Command {
	cause := id + " has received " + r.requiredMark.String()
	r.target, r.chosenAt, r.requiredMark = id, now, tracker.Mark{}
	r.resetReports(now)
	r.enterPhase(suspending, now)
	return append([]Command{LogStep{"halt", id, cause}}, r.suspendReplicas(now)...)
}

// catchUp waits until the chosen replica has everything that the leader's log held after the
// others were suspended.
func (r *Replacer) catchUp(now time.Time) []Command {
	if r.isObsolete() {
		return r.abortAndResume(now, "the leader changed or is gone")
	}
	if now.Sub(r.phaseStart) > catchUpTimeout {
		return r.abortAndResume(now, "the chosen replica did not catch up: "+r.positions(r.oldLeader, r.target))
	}
	if r.requiredMark.IsZero() {
		out := r.sampleLeader(now)
		if r.requiredMark.IsZero() {
			return out
		}
	}
	chosen := r.state(r.target)
	switch {
	case now.Sub(r.chosenAt) < announceTime:
		return nil
	case chosen.hasReport && !chosen.Received.Less(r.requiredMark) && r.partial:
		return r.startStepDown(now)
	case chosen.hasReport && !chosen.Received.Less(r.requiredMark):
		return r.promote(now, "has received "+r.requiredMark.String())
	case chosen.shouldRequest(now):
		return []Command{Poll{ID: r.target}}
	default:
		return nil
	}
}

// bypassUnreachable continues a planned change without the replicas that cannot be suspended:
// the leader is demoted before the order. A demoted leader acknowledges nothing, and its log
// has everything it ever acknowledged, no matter which replica confirmed it, so a replica that
// has as much can be promoted. When the change waited for all replicas, a leaving leader
// stayed in use until it stopped, 10 s after it had announced that: an upstream that is off
// the list counts for another 15 s. The group has no leader while the platform promotes, so
// this is done only when the leader must be replaced.
func (r *Replacer) bypassUnreachable(now time.Time) []Command {
	r.partial = true
	r.enterPhase(awaitingOrders, now)
	return append([]Command{LogStep{"go around", r.target, "not suspended: " + r.notSuspended()}}, r.awaitOrders(now)...)
}

// awaitOrders waits until no earlier order can take effect any more. An order to promote this
// leader, even one accepted while it led, would make it the leader again after it was demoted.
// Such a leader was seen leading for 20 ms, and commits that an unreachable replica confirms in
// that time are lost. Missing replicas may answer in the meantime.
func (r *Replacer) awaitOrders(now time.Time) []Command {
	if r.isObsolete() {
		return r.abortAndResume(now, "the leader changed or is gone")
	}
	out := r.suspendRemaining(now)
	switch {
	case r.notSuspended() == "":
		r.partial = false
	case r.ordersDoneAt.IsZero() && now.Sub(r.lastSent) >= maxOrderEffectDelay:
		return append(out, r.sendOrder(r.oldLeader, "guard", "earlier orders may be in flight", now)...)
	case r.ordersDoneAt.IsZero() || now.Before(r.ordersDoneAt):
		return out
	}
	r.resetReports(now)
	r.enterPhase(catchingUp, now)
	return append(out, r.catchUp(now)...)
}

// startStepDown starts demoting the leader.
func (r *Replacer) startStepDown(now time.Time) []Command {
	for _, id := range []string{r.oldLeader, r.target} {
		if next := (tracker.Term{Epoch: r.state(id).Term.Epoch + 1}); r.term.Less(next) {
			r.term = next
		}
	}
	r.resetReports(now)
	r.enterPhase(steppingDown, now)
	return append([]Command{LogStep{"yield", r.oldLeader, r.target + " has received " + r.requiredMark.String()}}, r.stepDown(now)...)
}

// stepDown waits until the leader is demoted and the chosen replica has its whole log. If that
// fails, the former leader is promoted again: only it certainly has everything.
func (r *Replacer) stepDown(now time.Time) []Command {
	switch {
	case r.view.Token != r.token:
		return r.abort(now, "another process holds the lease")
	case now.Sub(r.phaseStart) > stepDownTimeout:
		cause := "leader is promoted again: " + r.positions(r.oldLeader, r.target)
		r.target = r.oldLeader
		return r.promote(now, cause)
	}
	leader := r.state(r.oldLeader)
	if !leader.hasReport || leader.Leads || leader.RequestedAt.Before(r.phaseStart) {
		if leader.shouldRequest(now) {
			return []Command{Demote{ID: r.oldLeader, Term: r.term}}
		}
		return nil
	}
	chosen := r.state(r.target)
	switch {
	case chosen.hasReport && !chosen.Received.Less(leader.Received):
		return r.promote(now, "has received all of the former leader's log, "+leader.Received.String())
	case chosen.shouldRequest(now):
		return []Command{Poll{ID: r.target}}
	default:
		return nil
	}
}
