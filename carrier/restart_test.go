package carrier

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

func startedAt(id string, ms int64) cataloger.Upstream {
	return cataloger.Upstream{
		ID: id, Group: "g", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(id[0])),
		Slots: 3, Born: time.UnixMilli(ms),
	}
}

// restarting returns a group of two, the first of which is known well, and sets its
// clock by the returned function.
func restarting() (*Group, func(time.Time)) {
	now := time.Unix(1000, 0)
	c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
	c.Apply([]cataloger.Upstream{startedAt("a", 1), startedAt("b", 1)})
	g, _ := c.Group("g")
	m := g.members[0]
	m.mark = mark(1, 90)
	m.lag.refused(now, now.Add(-time.Second))
	m.observe(now, time.Second)
	g.samples.add(now, mark(1, 100))
	return g, func(at time.Time) { now = at }
}

// Symptom: reads go to an upstream whose log is empty, with names of prepared
// statements that it never heard of. Sequence: it crashes and starts again under its
// id, at once or after its entry has gone. Cause: what was known of its former start
// counts on.
func TestAnUpstreamThatStartsAgainIsNew(t *testing.T) {
	is := is.New(t)
	for _, unlisted := range []bool{false, true} {
		g, _ := restarting()
		old := g.members[0]
		if unlisted {
			g.carrier.Apply([]cataloger.Upstream{startedAt("b", 1)})
		}
		g.carrier.Apply([]cataloger.Upstream{startedAt("a", 2), startedAt("b", 1)})
		m := g.members[0]
		is.Equal(m.id, "a")
		is.True(m != old)
		is.True(old.gone)
		is.True(m.mark.IsZero())
		is.Equal(m.lag, lag{})
		is.True(m.measured.IsZero())
		is.Equal(len(g.lost), 0)
	}
}

// Symptom: a change of leader never ends. Sequence: a replica that was halted is cut off
// from the store, so that its entry lapses. Cause: an upstream that isn't listed was
// told of without its start, and what it had reported was dropped as that of a former one.
func TestAnEntryThatLapsesIsNoNewStart(t *testing.T) {
	is := is.New(t)
	g, _ := restarting()
	g.carrier.Apply([]cataloger.Upstream{startedAt("b", 1)})
	for _, m := range g.Observe().Upstreams {
		is.True(m.StartedAt.Equal(time.UnixMilli(1)))
	}
}

// News of the former start that arrive late change nothing, nor does an entry that
// doesn't say when the upstream started.
func TestLateNewsOfAFormerStart(t *testing.T) {
	is := is.New(t)
	g, _ := restarting()
	g.carrier.Apply([]cataloger.Upstream{startedAt("a", 2), startedAt("b", 1)})
	m := g.members[0]
	g.carrier.Apply([]cataloger.Upstream{startedAt("a", 1), startedAt("b", 1)})
	is.True(g.members[0] == m)
	g.carrier.Apply([]cataloger.Upstream{{ID: "a", Group: "g"}, startedAt("b", 1)})
	is.True(g.members[0] == m)
	g.carrier.Apply([]cataloger.Upstream{startedAt("a", 2), startedAt("b", 1)})
	is.True(g.members[0] == m) // and it hasn't started once more
}

// Symptom: acknowledged bookings are missing after a change of leader. Sequence: the
// replica that confirmed them starts again and has lost its log; the leader dies before
// it has sent them anew; the other replica, which lacks them, is promoted. Cause: with
// both replicas halted the furthest was taken for complete.
func TestANewLeaderHasWhatARestartedReplicaConfirmed(t *testing.T) {
	is := is.New(t)
	g, setNow := restarting()
	is.True(g.Observe().MinReceived.IsZero())
	g.carrier.Apply([]cataloger.Upstream{startedAt("a", 2), startedAt("b", 1)})
	is.Equal(g.Observe().MinReceived, mark(1, 100)) // the newest that is known of the leader

	// The first position that the leader tells after the restart covers all of it.
	later := time.Unix(1001, 0)
	setNow(later)
	g.proved(g.members[1], later, mark(1, 120))
	is.Equal(g.Observe().MinReceived, mark(1, 120))
	setNow(later.Add(time.Second))
	g.proved(g.members[1], later.Add(time.Second), mark(1, 200))
	is.Equal(g.Observe().MinReceived, mark(1, 120)) // what came later is confirmed by live copies
}
