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

// Parameters of the expected latency of an upstream.
const (
	// defaultLatency is the latency assumed of an upstream that has not answered yet: the
	// mean work of a read, 33 ms.
	defaultLatency = 33 * time.Millisecond
	// latencySmoothing is the weight of a new answer in the moving mean. The mean spans
	// about ten answers, a third of a second at 30 a second.
	latencySmoothing = 0.1
	// latencyHalfLife is the time in which the excess latency of an unused upstream halves,
	// so that one that was slow is tried again.
	latencyHalfLife = 2 * time.Second
)

// upstream is one upstream of a group, from one start of it to the next. All fields but the
// first five, which never change, are guarded by the group's lock.
type upstream struct {
	id     string
	slots  int // statements that it runs at a time; zero when unknown
	pool   *pooler.Pool[*conn]
	opener *opener
	gate   *limiter.Gate
	entry  cataloger.Upstream

	fairness fairness

	running          map[*run]struct{}
	peakRunning      int           // the most that ran at a time, for loans between gateways
	answeredAt       time.Time     // when it last answered anything
	wroteAt          time.Time     // when it last answered a write
	writeTimedOutAt  time.Time     // when a write there last timed out with none answered since it was sent
	latency          time.Duration // moving mean of the latency of its answers
	latencyUpdatedAt time.Time     // when latency last changed
	lag              lag
	rejectedAt       time.Time // when its gate last rejected a statement
	failures         failureRate
	usage            usage
	mark             tracker.Mark // furthest position of its log that it has stated
	drainBy          time.Time    // when it gets no more new work; zero while that is not known
	drainEndReported bool         // the end of new work was logged
	unlistedSince    time.Time    // since when the store does not list it, though it answers
	// restartedAt is when it was found to have restarted, lostLogOf when it had started
	// before, and minReceived the position that the log of a new leader must reach because
	// of that.
	restartedAt time.Time
	lostLogOf   time.Time
	minReceived tracker.Mark
	expected    replicaState

	ejected        bool
	ejectedAt      time.Time // when it was ejected
	probeAt        time.Time // when to probe it next, while ejected
	probing        bool
	checkingLeader bool // a check whether it leads is running
	probeInterval  time.Duration
	removed        bool
}

// run is an operation of this proxy on an upstream.
type run struct {
	conn              *conn
	request           string // id of the caller's request, for the log
	workspace         string
	exchangeStartedAt time.Time // when the running exchange began; zero between two
	replicasMayServe  bool      // not only the leader
	inDoubtIfLost     bool      // if its answer is lost its outcome is in doubt, so it is not aborted
}

func (u *upstream) candidate(now, upTo time.Time, leads, sameZone, tried bool, maxConns int) placer.Candidate {
	if u.opener.isBlocked() {
		maxConns = u.pool.Stats().Open
	}
	return placer.Candidate{
		IsLeader:       leads,
		Leaving:        u.entry.Leaving,
		DrainEnded:     u.drained(now),
		Ejected:        u.ejected,
		SameZone:       sameZone,
		Lagging:        u.lag.lacks(now, upTo),
		Tried:          tried,
		Mark:           u.mark,
		InFlight:       len(u.running),
		QueueWait:      u.gate.ExpectedWait(),
		MaxConnections: maxConns,
		Latency:        u.expectedLatency(now),
	}
}

// otherReplicaFactor multiplies the time to open a connection at upstreams other than the
// workspace's home replica.
const otherReplicaFactor = 2

// connectDelay returns the cost of opening a connection for a workspace when an upstream is
// chosen for a read. The leader usually has an open connection for the work that only it
// may do. Reads that used it would take the leader's slots from such work, so for reads the
// leader counts as having no open connection.
func (u *upstream) connectDelay(workspace string, leads, home bool) time.Duration {
	switch {
	case workspace == "", !leads && u.pool.HasIdle(workspace):
		return 0
	case home:
		return u.opener.expectedTime()
	default:
		return otherReplicaFactor * u.opener.expectedTime()
	}
}

// expectedLatency returns the moving mean of the latency, decayed towards the default
// latency for the time in which nothing was measured.
func (u *upstream) expectedLatency(now time.Time) time.Duration {
	if u.latencyUpdatedAt.IsZero() {
		return defaultLatency
	}
	excess := u.latency - defaultLatency
	if excess <= 0 {
		return u.latency
	}
	halfLives := now.Sub(u.latencyUpdatedAt) / latencyHalfLife
	return defaultLatency + excess>>min(uint(halfLives), 16)
}

// recordLatency adds the latency of an answer to the moving mean.
func (u *upstream) recordLatency(now time.Time, took time.Duration) {
	before := u.expectedLatency(now)
	u.latency = before + time.Duration(latencySmoothing*float64(took-before))
	u.latencyUpdatedAt = now
}

// getConn returns a connection for work that runs no statement of a caller. It opens one if
// needed, before the deadline.
func (u *upstream) getConn(deadline time.Time) (*conn, error) {
	if l, ok := u.pool.TryGet(); ok {
		return l, nil
	}
	return u.waitForConn(deadline, u.pool.Get)
}

// getConnFor returns a connection for the statements of a workspace.
func (u *upstream) getConnFor(workspace string, deadline time.Time) (*conn, error) {
	if l, ok := u.pool.TryGetFor(workspace); ok {
		return l, nil
	}
	return u.waitForConn(deadline, func(ctx context.Context) (*conn, error) { return u.pool.GetFor(ctx, workspace) })
}

func (u *upstream) waitForConn(deadline time.Time, get func(context.Context) (*conn, error)) (*conn, error) {
	if u.isFull() {
		return nil, ErrConnectionLimit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return get(ctx)
}

// isFull reports whether the upstream is at its connection limit and this process has no
// connection to it: waiting for one would be in vain.
func (u *upstream) isFull() bool { return u.opener.isBlocked() && u.pool.Stats().Open == 0 }
