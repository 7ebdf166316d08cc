package replacer

import (
	"strings"
	"time"
)

// abort ends an attempt. Replicas that it suspended stay suspended for the next attempt.
func (r *Replacer) abort(now time.Time, cause string) []Command {
	r.enterPhase(idle, now)
	r.nextAttempt = now.Add(attemptInterval)
	return []Command{LogStep{"called off", r.oldLeader, cause}}
}

// handOver releases the lease to a process that may reach the upstreams that do not answer
// here. Suspended replicas resume, so the attempt must end as well: otherwise an answer still
// in flight would count as that of a suspended replica. If no process claims the lease,
// another attempt follows.
func (r *Replacer) handOver(now time.Time) []Command {
	cause := "cannot suspend from here: " + r.notSuspended()
	if !r.reachesMinReceived() {
		cause = "no suspended upstream has received " + r.view.MinReceived.String() + "; not suspended: " + r.notSuspended()
	}
	out := []Command{LogStep{"resign", "", cause}}
	r.enterPhase(idle, now)
	r.nextAttempt = now.Add(attemptInterval)
	return append(append(out, r.resumeReplicas()...), ReleaseLease{})
}

// isObsolete reports whether the reason for the replacement no longer holds, or the lease was
// lost.
func (r *Replacer) isObsolete() bool {
	if r.view.Token != r.token {
		return true
	}
	if r.planned {
		return !r.view.LeaderAnswers || r.view.Dead || r.view.Leader != r.oldLeader
	}
	return r.view.LeaderAnswers && !r.view.Dead
}

// abortAndResume ends an attempt in which no order for the target was sent, and resumes
// replication, also of the chosen replica: an earlier holder may have suspended it. A holder
// that was replaced leaves that to the next holder, which may have suspended the replicas for
// an order that is already accepted: a commit that one of them confirms then would be lost. A
// holder that has just claimed the lease leaves it to cleanUp, for the same reason.
func (r *Replacer) abortAndResume(now time.Time, cause string) []Command {
	out := []Command{LogStep{"give up", r.target, cause}}
	if r.view.Token == r.token && (r.tokenRegistered || now.Sub(r.leaseSince) >= cleanupDelay) {
		out = append(out, r.resumeReplicas()...)
	}
	r.enterPhase(idle, now)
	r.nextAttempt = now.Add(attemptInterval)
	return out
}

// replicas lists all upstreams except the leader that is replaced.
func (r *Replacer) replicas() []string {
	var out []string
	for _, u := range r.view.Upstreams {
		if u.ID != r.oldLeader {
			out = append(out, u.ID)
		}
	}
	return out
}

// cleanUp resumes replicas that an earlier holder left suspended, once none of its orders can
// still be carried out and while the leader works. Otherwise they would receive nothing until
// the next change of leader.
func (r *Replacer) cleanUp(now time.Time) []Command {
	if r.cleanedUp || r.view.Partitioned || !r.view.LeaderAnswers || now.Sub(r.leaseSince) < cleanupDelay {
		return nil
	}
	r.cleanedUp = true
	r.oldLeader = r.view.Leader
	out := []Command{LogStep{"release", "", "an earlier holder may have left replicas suspended"}}
	return append(out, r.resumeReplicas()...)
}

// resumeReplicas resumes replication at all replicas. A holder that receives from no peer may
// have been replaced without knowing it, by a process that has suspended the replicas for an
// order in flight: commits that they confirm then would be lost. It leaves that to cleanUp,
// once it receives from peers again.
func (r *Replacer) resumeReplicas() []Command {
	if r.view.Partitioned {
		r.cleanedUp = false
		return nil
	}
	var out []Command
	for _, id := range r.replicas() {
		out = append(out, Resume{ID: id})
	}
	return out
}

// notSuspended names the upstreams that must be suspended and have not confirmed it; empty when
// all have. The log needs the names: otherwise nothing shows which upstream delays a change of
// leader.
func (r *Replacer) notSuspended() string {
	var out []string
	for _, id := range r.suspendSet() {
		if !r.isSuspended(id) {
			out = append(out, id)
		}
	}
	return strings.Join(out, ", ")
}
