package carrier

import (
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// commitStallThreshold is how long a write at the leader may go unanswered, while no other
// is answered, before the leader counts as partitioned from its replicas. A commit takes 20
// to 80 ms, and one of five may wait for that long.
const commitStallThreshold = 700 * time.Millisecond

// commitStallHold is how long a write that timed out counts, before another one is tried.
// Without it a leader with one writer would count as healthy again each time that the
// writer's one second is over.
const commitStallHold = 1200 * time.Millisecond

// ErrUnknown means that the group has no such upstream.
var ErrUnknown = errors.New("carrier: no such upstream")

// ErrRefused means that an upstream refused a control command.
var ErrRefused = errors.New("carrier: upstream refused control command")

// UpstreamView is one upstream, as a change of leader sees it.
type UpstreamView struct {
	ID string
	// StartedAt is when it started; zero where it does not state it.
	StartedAt time.Time
	Leaving   bool
	Ejected   bool
	// ClaimsToLead means that it leads according to its own entry.
	ClaimsToLead bool
	// Unlisted means that the store no longer lists it and that its log is not accounted
	// for.
	Unlisted bool
}

// Observation is what this process sees of a group.
type Observation struct {
	// Leader is the upstream that leads or led last; LeaderAnswers is true if it answers.
	Leader        string
	LeaderAnswers bool
	// Isolated is true if neither the leader nor any upstream that could lead next can be
	// reached.
	Isolated bool
	// CommitStalled is true if the leader does not acknowledge writes.
	CommitStalled bool
	// Failing is true if the leader answers but fails much of its work.
	Failing bool
	// LeaderOverloaded is true if the leader gets more work than it can do while the
	// replicas lag too much for any read.
	LeaderOverloaded bool
	Term             tracker.Term
	Upstreams        []UpstreamView
	// MinReceived, when set, is the position that the log of a new leader must reach: some
	// absent upstreams are no longer waited for (see absentTimeout), or some have restarted
	// and lost their logs.
	MinReceived tracker.Mark
}

// Reaches reports whether an upstream answers, as far as this process knows.
func (o Observation) Reaches(id string) bool {
	for _, u := range o.Upstreams {
		if u.ID == id {
			return !u.Ejected
		}
	}
	return false
}

// Observe returns what this process sees of the group.
func (g *Group) Observe() Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	out := Observation{Leader: g.lastLeader}
	for _, u := range g.upstreams {
		out.Upstreams = append(out.Upstreams, UpstreamView{ID: u.id, StartedAt: u.entry.Born, Leaving: u.entry.Leaving, Ejected: u.ejected, ClaimsToLead: u.entry.Leads})
		if out.Term.Less(u.mark.Term) {
			out.Term = u.mark.Term
		}
	}
	out.Upstreams, out.MinReceived = g.appendAbsent(out.Upstreams, now)
	out.Isolated = g.reachableLeaderLocked() == nil && g.isIsolated()
	if g.leader != nil {
		out.Leader = g.leader.entry.ID
		out.LeaderAnswers = !g.leader.ejected
		out.CommitStalled = g.isCommitStalled(g.leader, now)
		out.Failing = g.leader.failures.isHigh(now)
		out.LeaderOverloaded = g.leaderOverloaded(now)
	}
	return out
}

// isCommitStalled reports whether an upstream has left a write unanswered for too long and
// has answered none since that one was sent. The caller must hold g.mu.
func (g *Group) isCommitStalled(u *upstream, now time.Time) bool {
	if !u.writeTimedOutAt.IsZero() && u.wroteAt.Before(u.writeTimedOutAt) && now.Sub(u.writeTimedOutAt) < commitStallHold {
		return true
	}
	for r := range u.running {
		if r.inDoubtIfLost && !r.exchangeStartedAt.IsZero() && now.Sub(r.exchangeStartedAt) > commitStallThreshold && u.wroteAt.Before(r.exchangeStartedAt) {
			return true
		}
	}
	return false
}

// Control sends a control command to an upstream on a pooled connection.
func (g *Group) Control(id string, deadline time.Time, cmd Command) (Report, error) {
	u := g.findUpstream(id)
	if u == nil {
		return g.controlAbsent(id, deadline, cmd)
	}
	c, err := u.getConn(deadline)
	for err == nil && c.reported {
		g.release(u, c, false)
		c, err = u.getConn(deadline)
	}
	if err != nil {
		g.handleOpenError(u, err)
		return Report{}, err
	}
	r := &run{conn: c}
	g.addRun(u, r)
	defer g.removeRun(u, r)
	answers, _, err := g.exchange(u, r, deadline, cmd)
	if err != nil {
		g.release(u, c, false)
		return Report{}, err
	}
	g.release(u, c, answers[0].State == Idle)
	if answers[0].Code != OK {
		return Report{}, errors.Wrapf(ErrRefused, "%s: %s", answers[0].Code, answers[0].Text)
	}
	return answers[0].Report, nil
}

func (g *Group) findUpstream(id string) *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}
