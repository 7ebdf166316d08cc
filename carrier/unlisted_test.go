package carrier

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/cataloger"
)

// Guards against a group without a leader for 2 s though its leader still runs everything.
// Only the store is partitioned from the leader, for longer than the leader's entry lasts.
// An upstream whose entry lapsed used to be dropped at once, like one that is gone; it was
// not replaced, and came back with its entry.
func TestUnlistedLeaderLeadsUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		all := []cataloger.Upstream{upstreamAtPort("a", 1), upstreamAtPort("b", 2), upstreamAtPort("c", 3)}
		all[0].Leads = true
		c.SetUpstreams(all)
		g, _ := c.Group("g")
		is.Equal(readLeader(g), OK)

		c.SetUpstreams(all[1:])
		is.Equal(readLeader(g), OK)
		seen := g.Observe()
		is.True(seen.LeaderAnswers)
		is.Equal(len(seen.Upstreams), 3)
		is.True(seen.Upstreams[2].Leaving) // so the lease holder replaces it

		time.Sleep(unlistedTimeout / 2)
		c.SetUpstreams(all) // its entry is back
		is.True(!g.Observe().Upstreams[0].Leaving)
		is.Equal(readLeader(g), OK)
		c.SetUpstreams(all[1:])
		for range 40 {
			time.Sleep(unlistedTimeout / 40)
			is.Equal(readLeader(g), OK)
		}
		c.CheckUpstreams()
		is.True(!g.Observe().LeaderAnswers) // a few seconds after it was lost it gets nothing new
		c.Stop()
		time.Sleep(time.Second) // the search for a leader has ended
	})
}

// Guards against a stop that keeps its connections open, and says in the log of each planned
// stop that upstreams were lost from the store's list.
func TestStopClosesConnectionsToUpstreamsThatAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		core, logs := observer.New(zap.WarnLevel)
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.New(core)}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		leader := upstreamAtPort("a", 1)
		leader.Leads = true
		c.SetUpstreams([]cataloger.Upstream{leader})
		g, _ := c.Group("g")
		is.Equal(readLeader(g), OK)
		u := g.findUpstream("a")
		is.True(u.pool.Stats().Open > 0)
		c.Stop()
		synctest.Wait()
		is.Equal(u.pool.Stats().Open, 0)
		is.Equal(logs.Len(), 0)
	})
}

func upstreamAtPort(id string, port uint16) cataloger.Upstream {
	return cataloger.Upstream{ID: id, Group: "g", Slots: 3, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
}

func readLeader(g *Group) Code {
	now := time.Now()
	return g.Run(&Job{Arrived: now, ObjectiveAt: now.Add(time.Second), Deadline: now.Add(time.Second)}, Command{Verb: Read, ID: "r"}).Code
}

// Other upstreams are dropped as soon as their entry lapses: one that leaves has announced
// it, one that crashed does not answer, and one with a successor at its address is
// replaced.
func TestLapsedUpstreamIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(u *upstream)
		after  []cataloger.Upstream
		kept   bool
	}{
		{"it answered a moment ago", func(*upstream) {}, nil, true},
		{"it was leaving", func(u *upstream) { u.entry.Leaving = true }, nil, false},
		{"it is ejected", func(u *upstream) { u.ejected = true }, nil, false},
		{"it has answered nothing recently", func(u *upstream) { u.answeredAt = now.Add(-2 * time.Second) }, nil, false},
		{"another is at its address", func(*upstream) {}, []cataloger.Upstream{upstreamAtPort("n", 1)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
			c.SetUpstreams([]cataloger.Upstream{upstreamAtPort("a", 1), upstreamAtPort("b", 2)})
			g, _ := c.Group("g")
			u := g.upstreams[0]
			u.answeredAt = now
			test.change(u)
			c.SetUpstreams(append(test.after, upstreamAtPort("b", 2)))
			is.Equal(!u.removed, test.kept)
			is.Equal(len(g.absent) > 0, !test.kept && test.after == nil)
		})
	}
}
