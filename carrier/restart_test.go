package carrier

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

func upstreamStartedAt(id string, ms int64) cataloger.Upstream {
	return cataloger.Upstream{
		ID: id, Group: "g", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(id[0])),
		Slots: 3, Born: time.UnixMilli(ms),
	}
}

// newRestartGroup returns a group of two, with much known of the first, and a function that
// sets its clock.
func newRestartGroup() (*Group, func(time.Time)) {
	now := time.Unix(1000, 0)
	c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
	c.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 1)})
	g, _ := c.Group("g")
	u := g.upstreams[0]
	u.mark = mark(1, 90)
	u.lag.recordRefused(now, now.Add(-time.Second))
	u.recordLatency(now, time.Second)
	g.samples.add(now, mark(1, 100))
	return g, func(at time.Time) { now = at }
}

// Guards against reads at an upstream whose log is empty, with names of prepared statements
// that it does not have. It crashes and restarts under its id, at once or after its entry
// has lapsed. What was known of its former start must be dropped.
func TestRestartedUpstreamIsNew(t *testing.T) {
	is := is.New(t)
	for _, unlisted := range []bool{false, true} {
		g, _ := newRestartGroup()
		old := g.upstreams[0]
		if unlisted {
			g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("b", 1)})
		}
		g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 2), upstreamStartedAt("b", 1)})
		u := g.upstreams[0]
		is.Equal(u.id, "a")
		is.True(u != old)
		is.True(old.removed)
		is.True(u.mark.IsZero())
		is.Equal(u.lag, lag{})
		is.True(u.latencyUpdatedAt.IsZero())
		is.Equal(len(g.absent), 0)
	}
}

// Guards against a change of leader that never ends. A replica with suspended replication
// is partitioned from the store, so that its entry lapses. An upstream that is not listed
// was passed on without its start time, and its reports were dropped as those of a former
// start.
func TestLapsedEntryKeepsStartTime(t *testing.T) {
	is := is.New(t)
	g, _ := newRestartGroup()
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("b", 1)})
	for _, u := range g.Observe().Upstreams {
		is.True(u.StartedAt.Equal(time.UnixMilli(1)))
	}
}

// A late update about the former start changes nothing, nor does an entry without a start
// time.
func TestLateUpdateOfFormerStartIsIgnored(t *testing.T) {
	is := is.New(t)
	g, _ := newRestartGroup()
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 2), upstreamStartedAt("b", 1)})
	u := g.upstreams[0]
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 1)})
	is.True(g.upstreams[0] == u)
	g.registry.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g"}, upstreamStartedAt("b", 1)})
	is.True(g.upstreams[0] == u)
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 2), upstreamStartedAt("b", 1)})
	is.True(g.upstreams[0] == u) // and it has not restarted once more
}

// Guards against the loss of acknowledged bookings in a change of leader. The replica that
// confirmed them restarts and has lost its log; the leader dies before it has sent them
// again; the other replica, which lacks them, is promoted. With replication of both
// replicas suspended, the one that had received most was taken to be complete.
func TestNewLeaderHasWhatRestartedReplicaConfirmed(t *testing.T) {
	is := is.New(t)
	g, setNow := newRestartGroup()
	is.True(g.Observe().MinReceived.IsZero())
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 2), upstreamStartedAt("b", 1)})
	is.Equal(g.Observe().MinReceived, mark(1, 100)) // the newest known position of the leader

	// The first position that the leader states after the restart covers all of it.
	later := time.Unix(1001, 0)
	setNow(later)
	g.recordLeader(g.upstreams[1], later, mark(1, 120))
	is.Equal(g.Observe().MinReceived, mark(1, 120))
	setNow(later.Add(time.Second))
	g.recordLeader(g.upstreams[1], later.Add(time.Second), mark(1, 200))
	is.Equal(g.Observe().MinReceived, mark(1, 120)) // what came later is confirmed by copies that still exist
}

// Guards against lost commits when a replica restarts without its log while all processes are
// down: a process that has just started knows only its present start. Until the leader has
// stated a position, no log is known to have what the replica had confirmed.
func TestRecordedStartShowsRestart(t *testing.T) {
	is := is.New(t)
	g, setNow := newRestartGroup()
	recorded := g.Roster()
	g.registry.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 2)})
	is.Equal(g.Roster().MinReceived, mark(1, 100)) // known from the samples

	restarted := &Registry{Now: g.registry.Now, Log: zap.NewNop()}
	restarted.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 2)})
	r, _ := restarted.Group("g")
	is.True(r.Observe().MinReceived.IsZero())
	r.RestoreRoster(recorded)
	is.Equal(r.Observe().MinReceived, unreachableMark())
	is.True(r.Roster().Equal(recorded)) // a further process finds the restart too
	setNow(g.registry.Now().Add(time.Second))
	r.recordLeader(r.upstreams[0], g.registry.Now(), mark(1, 120))
	is.Equal(r.Observe().MinReceived, mark(1, 120))
}
