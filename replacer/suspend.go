package replacer

import (
	"strings"
	"time"

	"basildale.example/basildale/tracker"
)

// upstreamState is the last report of an upstream in this attempt.
type upstreamState struct {
	UpstreamReport
	lastRequest time.Time
	hasReport   bool
}

// verify polls the leader that seems dead. If it answers and leads, it is kept, unless it is
// commit-stalled.
func (r *Replacer) verify(now time.Time) []Command {
	if r.isObsolete() {
		return r.abort(now, "a leader answers")
	}
	s := r.state(r.oldLeader)
	if s.hasReport && s.Leads && !r.view.CommitStalled {
		return r.abort(now, "the leader answers")
	}
	if now.Sub(r.phaseStart) >= verifyTimeout {
		r.enterPhase(suspending, now)
		return append([]Command{LogStep{"halt", "", "the leader does not work"}}, r.suspendReplicas(now)...)
	}
	if s.shouldRequest(now) {
		return []Command{Poll{ID: r.oldLeader}}
	}
	return nil
}

// suspendSet lists the upstreams at which replication must be suspended.
func (r *Replacer) suspendSet() []string {
	var out []string
	for _, u := range r.view.Upstreams {
		if u.ID == r.oldLeader || r.planned && u.ID == r.target {
			continue
		}
		out = append(out, u.ID)
	}
	return out
}

func (r *Replacer) onReport(ev UpstreamReport) {
	s := r.states[ev.ID]
	if s == nil || !ev.OK || ev.RequestedAt.Before(r.reportsSince) {
		return
	}
	s.UpstreamReport = ev
	s.hasReport = true
}

// state returns what is known of an upstream in this attempt.
func (r *Replacer) state(id string) *upstreamState {
	s := r.states[id]
	if s == nil {
		s = &upstreamState{}
		r.states[id] = s
	}
	return s
}

// shouldRequest reports whether a command should be sent to an upstream now, and records that
// it is sent.
func (s *upstreamState) shouldRequest(now time.Time) bool {
	if now.Sub(s.lastRequest) < requestRetryInterval {
		return false
	}
	s.lastRequest = now
	return true
}

// isSuspended reports whether an upstream is not the leader and its replication is suspended,
// so that it confirms no commits.
func (r *Replacer) isSuspended(id string) bool {
	s := r.state(id)
	return s.hasReport && !s.Leads && !s.SuspendedTerm.Less(r.term)
}

// suspendReplicas sends suspend commands to replicas until all have confirmed.
func (r *Replacer) suspendReplicas(now time.Time) []Command {
	if r.isObsolete() {
		return r.abortAndResume(now, "a leader answers")
	}
	var out []Command
	missing := 0
	highest := r.term
	for _, id := range r.suspendSet() {
		s := r.state(id)
		if next := (tracker.Term{Epoch: s.Term.Epoch + 1}); s.hasReport && highest.Less(next) {
			highest = next
		}
		if r.isSuspended(id) {
			continue
		}
		missing++
		if s.shouldRequest(now) {
			out = append(out, Suspend{ID: id, Term: r.term})
		}
	}
	if r.term.Less(highest) {
		// An upstream knows of a later term, so replicas that were suspended for the older one
		// may receive again.
		r.term = highest
		return out
	}
	switch {
	case r.planned && missing > 0 && r.mandatory && now.Sub(r.phaseStart) >= suspendTimeout:
		return append(out, r.bypassUnreachable(now)...)
	case r.planned && missing == 0:
		r.enterPhase(catchingUp, now)
		return append(out, r.catchUp(now)...)
	case r.planned && now.Sub(r.phaseStart) > suspendTimeout:
		return r.abortAndResume(now, "not suspended: "+r.notSuspended())
	case r.planned:
		return out
	case r.allButOneSuspended() && r.reachesMinReceived():
		r.enterPhase(fencing, now)
		r.earliestChoice = now
		return append(append(out, Demote{ID: r.oldLeader, Term: r.term}), r.awaitFence(now)...)
	case now.Sub(r.phaseStart) > handOverTimeout:
		return r.handOver(now)
	default:
		return append(out, r.suspendOldLeader(now)...)
	}
}

// allButOneSuspended reports whether all upstreams but one are suspended. An acknowledged
// commit is on at least two of them, so one of the suspended ones has it, whichever is
// missing: the leader that died, or another one when the leader was only demoted. A leader
// that is no longer an upstream of the group is the missing one: all others must be suspended.
func (r *Replacer) allButOneSuspended() bool {
	missing, maxMissing := 0, 0
	for _, u := range r.view.Upstreams {
		if u.ID == r.oldLeader {
			maxMissing = 1
		}
		if !r.isSuspended(u.ID) {
			missing++
		}
	}
	return missing <= maxMissing
}

// reachesMinReceived reports whether a suspended upstream has everything that a new leader
// needs. Otherwise the leader must not be demoted: only from it can the replicas receive that.
func (r *Replacer) reachesMinReceived() bool {
	for _, u := range r.view.Upstreams {
		if r.isSuspended(u.ID) && !r.state(u.ID).Received.Less(r.view.MinReceived) {
			return true
		}
	}
	return false
}

// suspendOldLeader suspends a former leader that answers and no longer leads, in place of a
// replica that does not answer. Otherwise a group whose leader was demoted for a planned
// change, and whose lease holder died then, would wait for that replica.
func (r *Replacer) suspendOldLeader(now time.Time) []Command {
	s := r.state(r.oldLeader)
	switch {
	case r.oldLeader == "" || now.Sub(r.phaseStart) < suspendTimeout || s.hasReport && s.Leads || !s.shouldRequest(now):
		return nil
	case s.hasReport:
		return []Command{Suspend{ID: r.oldLeader, Term: r.term}}
	default:
		return []Command{Poll{ID: r.oldLeader}}
	}
}

// awaitFence waits until no peer reaches the leader any more. A replica that joins while the
// others are being suspended is not suspended yet: the leader could confirm a commit with it
// that the promoted replica lacks. When no process reaches the leader, no caller can have a
// commit acknowledged; peers that reach it demote it first, and replicas that have joined in
// the meantime are suspended too.
func (r *Replacer) awaitFence(now time.Time) []Command {
	if r.isObsolete() {
		return r.abortAndResume(now, "a leader answers")
	}
	if r.view.ReachedByPeer && now.Sub(r.phaseStart) < fenceTimeout {
		r.earliestChoice = now.Add(joinGracePeriod)
		return nil
	}
	if now.Before(r.earliestChoice) {
		return nil
	}
	if !r.allButOneSuspended() {
		r.enterPhase(suspending, now)
		return r.suspendReplicas(now)
	}
	return r.promoteFurthest(now)
}

// suspendRemaining suspends replicas that joined after the others were suspended, or did not
// answer then.
func (r *Replacer) suspendRemaining(now time.Time) []Command {
	var out []Command
	for _, id := range r.suspendSet() {
		s := r.state(id)
		if r.isSuspended(id) || !s.shouldRequest(now) {
			continue
		}
		leads := s.hasReport && s.Leads || !s.hasReport && r.claimsToLead(id)
		if leads && id != r.target {
			out = append(out, Demote{ID: id, Term: r.term})
		} else {
			out = append(out, Suspend{ID: id, Term: r.term})
		}
	}
	return out
}

func (r *Replacer) claimsToLead(id string) bool {
	for _, u := range r.view.Upstreams {
		if u.ID == id {
			return u.ClaimsToLead
		}
	}
	return false
}

// suspendJoined suspends the remaining replicas while an order is in flight, unless the leader
// was demoted first: then no upstream can confirm anything. In a failover it demotes the former
// leader, which may be back: under its id, or under another one as an upstream that joined. It
// leads until the order takes effect, and a replica that joins would confirm its commits.
func (r *Replacer) suspendJoined(now time.Time) []Command {
	if r.partial {
		return nil
	}
	out := r.suspendRemaining(now)
	if r.planned || r.oldLeader == "" || r.target == r.oldLeader {
		return out
	}
	s := r.state(r.oldLeader)
	if s.hasReport && !s.Leads || now.Sub(s.lastRequest) < demoteInterval {
		return out
	}
	s.lastRequest = now
	return append(out, Demote{ID: r.oldLeader, Term: r.term})
}

// FenceTarget returns the upstream that peers should demote, and the term of the demotion. The
// term is zero unless only the successor may be used as the leader; the upstream is empty where
// there is none to demote.
func (r *Replacer) FenceTarget() (string, tracker.Term) {
	ordered := r.isOrdered()
	switch {
	case r.phase != fencing && (!ordered || r.planned && !r.partial):
		return "", tracker.Term{}
	case ordered && r.target == r.oldLeader:
		return "", r.term
	default:
		return r.oldLeader, r.term
	}
}

// isOrdered reports whether an order to promote the target may take effect.
func (r *Replacer) isOrdered() bool { return r.phase == promoting || r.phase == awaitingLeader }

// Successor returns the upstream that was chosen to lead; empty while there is none, or while
// other upstreams may still confirm commits.
func (r *Replacer) Successor() string {
	switch {
	case r.isOrdered():
		return r.target
	case r.planned && (r.phase == suspending || r.phase == awaitingOrders || r.phase == catchingUp || r.phase == steppingDown):
		return r.target
	default:
		return ""
	}
}

// promoteFurthest promotes the suspended upstream with the longest log, once that reaches the
// view's MinReceived. Among equals it prefers one that is not leaving and is not the former
// leader.
func (r *Replacer) promoteFurthest(now time.Time) []Command {
	r.target = ""
	var best *upstreamState
	var suspended []string
	for _, u := range r.view.Upstreams {
		if !r.isSuspended(u.ID) {
			continue
		}
		suspended = append(suspended, u.ID)
		s := r.state(u.ID)
		lowPriority := u.Leaving || u.ID == r.oldLeader
		better := best == nil || best.Received.Less(s.Received)
		tie := best != nil && best.Received == s.Received && !lowPriority
		if better || tie && (r.target == r.oldLeader || r.isLeaving(r.target)) {
			best, r.target = s, u.ID
		}
	}
	if best == nil || best.Received.Less(r.view.MinReceived) {
		return nil
	}
	return r.promote(now, "longest log of the suspended upstreams: "+r.positions(suspended...))
}

// positions describes how far upstreams have received, for the log.
func (r *Replacer) positions(ids ...string) string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = id + " does not answer"
		if s := r.state(id); s.hasReport {
			out[i] = id + " at " + s.Received.String()
		}
	}
	return strings.Join(out, ", ")
}
