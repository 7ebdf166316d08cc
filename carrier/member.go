package carrier

import (
	"context"
	"time"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/pooler"
	"basildale.example/basildale/tracker"
)

// Constants of how an upstream is judged.
const (
	// ordinary is the latency assumed of an upstream that hasn't answered yet:
	// the mean work of a read, 33 ms.
	ordinary = 33 * time.Millisecond
	// smoothing is the weight of a new answer in the moving mean. About ten
	// answers make it up, a third of a second at 30 a second.
	smoothing = 0.1
	// fading is the time in which an unused upstream's excess latency halves, so
	// that one that was slow is tried again.
	fading = 2 * time.Second
)

// member is one upstream of a group, from one start of it to the next. All fields but
// the first five, which never change, are guarded by the group's lock.
type member struct {
	id     string
	slots  int // statements that it runs at a time; zero when unknown
	pool   *pooler.Pool[*conn]
	opener *opener
	gate   *limiter.Gate
	entry  cataloger.Upstream

	running  map[*run]struct{}
	answered time.Time // when it last answered anything
	wrote    time.Time // when it last acknowledged a write
	starved  time.Time // when a write was last given up there, and none had been answered since it was sent
	latency  time.Duration
	measured time.Time // when latency last changed
	lag      lag
	turned   time.Time // when its gate last refused a statement
	faults   faults
	mark     tracker.Mark
	ends     time.Time // when its time for new work is over; zero while that isn't known
	closing  bool      // that it is over was logged
	unlisted time.Time // since when the store doesn't list it, though it answers
	// restart is when it was found to have started again, and floor how far the log of
	// a new leader must reach for that.
	restart time.Time
	floor   tracker.Mark

	barred  bool
	since   time.Time // when it was barred
	probeAt time.Time // when to try it again, while barred
	probing bool
	asked   bool // whether it leads; the answer is on its way
	pause   time.Duration
	gone    bool
}

// run is something this proxy has under way at a member.
type run struct {
	conn    *conn
	started time.Time // when the running exchange began; zero between two
	harmful bool      // its loss leaves the caller in doubt, so it isn't aborted
}

func (m *member) candidate(now, upTo time.Time, leads, local, tried bool, places int) placer.Candidate {
	if m.opener.refused() {
		places = m.pool.Stats().Open
	}
	return placer.Candidate{
		IsLeader:       leads,
		Leaving:        m.entry.Leaving,
		DrainEnded:     m.closed(now),
		Ejected:        m.barred,
		SameZone:       local,
		Lagging:        m.lag.lacks(now, upTo),
		Tried:          tried,
		Mark:           m.mark,
		InFlight:       len(m.running),
		QueueWait:      m.gate.ExpectedWait(),
		MaxConnections: places,
		Latency:        m.expected(now),
	}
}

// astray is how often the time of opening a connection counts at another replica than the
// one where the workspace's reads should have theirs.
const astray = 2

// opening returns what opening a connection for a workspace counts as in the choice of an
// upstream for a read. The leader has one for whatever only it may do; reads that follow
// that would take its slots from such work, so for them it counts as one that has none.
func (m *member) opening(workspace string, leads, home bool) time.Duration {
	switch {
	case workspace == "", !leads && m.pool.HasIdle(workspace):
		return 0
	case home:
		return m.opener.expected()
	default:
		return astray * m.opener.expected()
	}
}

// expected returns the moving mean of the latency, faded towards the ordinary
// one for the time in which nothing was measured.
func (m *member) expected(now time.Time) time.Duration {
	if m.measured.IsZero() {
		return ordinary
	}
	excess := m.latency - ordinary
	if excess <= 0 {
		return m.latency
	}
	halves := now.Sub(m.measured) / fading
	return ordinary + excess>>min(uint(halves), 16)
}

// observe takes in the latency of an answer, scaled to that of an ordinary read.
func (m *member) observe(now time.Time, took time.Duration) {
	before := m.expected(now)
	m.latency = before + time.Duration(smoothing*float64(took-before))
	m.measured = now
}

// connection returns a connection for what runs no statement of a caller, opening one
// if need be, before the deadline.
func (m *member) connection(deadline time.Time) (*conn, error) {
	if l, ok := m.pool.TryGet(); ok {
		return l, nil
	}
	return m.wait(deadline, m.pool.Get)
}

// connectionFor returns a connection for the statements of a workspace.
func (m *member) connectionFor(workspace string, deadline time.Time) (*conn, error) {
	if l, ok := m.pool.TryGetFor(workspace); ok {
		return l, nil
	}
	return m.wait(deadline, func(ctx context.Context) (*conn, error) { return m.pool.GetFor(ctx, workspace) })
}

func (m *member) wait(deadline time.Time, get func(context.Context) (*conn, error)) (*conn, error) {
	if m.full() {
		return nil, ErrConnectionLimit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return get(ctx)
}

// full reports whether the upstream has no room for this process, which has no
// connection there either: who waited for one would wait in vain.
func (m *member) full() bool { return m.opener.refused() && m.pool.Stats().Open == 0 }
