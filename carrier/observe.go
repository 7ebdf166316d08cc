package carrier

import (
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// stuckAfter is how long a write at the leader may go unanswered, while none is
// answered, before the leader counts as cut off from its replicas. A commit takes
// 20 to 80 ms and one of five may wait for as long.
const stuckAfter = 700 * time.Millisecond

// starvedFor is how long a write that was given up counts, before another one is
// tried. Without it a leader with one writer would count as well again each time
// that the writer's second is over.
const starvedFor = 1200 * time.Millisecond

// ErrUnknown means that the group has no such upstream.
var ErrUnknown = errors.New("carrier: no such upstream")

// ErrRefused means that an upstream refused a control command.
var ErrRefused = errors.New("carrier: upstream refused")

// UpstreamView is one upstream, as the control side sees it.
type UpstreamView struct {
	ID string
	// StartedAt is when it started; zero where it doesn't say.
	StartedAt time.Time
	Leaving   bool
	Ejected   bool
	// Unlisted says that the store lists it no longer, and nobody knows what became of
	// its log.
	Unlisted bool
}

// Observation is what this process sees of a group.
type Observation struct {
	// Leader is the upstream that leads or led last; Leads says that it answers.
	Leader        string
	LeaderAnswers bool
	// Isolated says that none of the others can be reached either, so that the next
	// leader can't be.
	Isolated bool
	// CommitStalled says that the leader doesn't acknowledge writes.
	CommitStalled bool
	// Failing says that the leader fails much of what it is asked, though it answers.
	Failing bool
	// LeaderOverloaded says that the leader is asked for more than it can do, while the replicas
	// are too late for any read.
	LeaderOverloaded bool
	Term             tracker.Term
	Upstreams        []UpstreamView
	// MinReceived, when set, is how far the log of a new leader must reach: some lost
	// upstreams are no longer reckoned with, for which see excusedAfter, or some have
	// started again and hold nothing of before.
	MinReceived tracker.Mark
}

// Observe returns what this process sees of the group.
func (g *Group) Observe() Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	out := Observation{Leader: g.led}
	for _, m := range g.members {
		out.Upstreams = append(out.Upstreams, UpstreamView{ID: m.id, StartedAt: m.entry.Born, Leaving: m.entry.Leaving, Ejected: m.barred})
		if out.Term.Less(m.mark.Term) {
			out.Term = m.mark.Term
		}
	}
	out.Upstreams, out.MinReceived = g.missing(out.Upstreams, now)
	out.Isolated = g.present() == nil && g.blind()
	if g.leader != nil {
		out.Leader = g.leader.entry.ID
		out.LeaderAnswers = !g.leader.barred
		out.CommitStalled = g.stuck(g.leader, now)
		out.Failing = g.leader.faults.many(now)
		out.LeaderOverloaded = g.alone(now)
	}
	return out
}

// stuck reports whether a member has left a write unanswered for too long and
// none was answered since that one was sent. The caller has the lock.
func (g *Group) stuck(m *member, now time.Time) bool {
	if !m.starved.IsZero() && m.wrote.Before(m.starved) && now.Sub(m.starved) < starvedFor {
		return true
	}
	for r := range m.running {
		if r.harmful && !r.started.IsZero() && now.Sub(r.started) > stuckAfter && m.wrote.Before(r.started) {
			return true
		}
	}
	return false
}

// Control sends a control command to an upstream on a pooled connection.
func (g *Group) Control(id string, deadline time.Time, cmd Command) (Report, error) {
	m := g.member(id)
	if m == nil {
		return g.controlLost(id, deadline, cmd)
	}
	c, err := m.connection(deadline)
	if err != nil {
		g.refused(m, err)
		return Report{}, err
	}
	r := &run{conn: c}
	g.begin(m, r)
	defer g.end(m, r)
	answers, _, err := g.exchange(m, r, deadline, cmd)
	if err != nil {
		g.release(m, c, false)
		return Report{}, err
	}
	g.release(m, c, answers[0].State == Idle)
	if answers[0].Code != OK {
		return Report{}, errors.Wrapf(ErrRefused, "%s: %s", answers[0].Code, answers[0].Text)
	}
	return answers[0].Report, nil
}

func (g *Group) member(id string) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.id == id {
			return m
		}
	}
	return nil
}
