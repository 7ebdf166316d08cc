package carrier

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// Symptom: a group has no leader for 2 s, though the leader runs all that it is asked.
// Sequence: the leader is cut off from the store alone, for longer than its entry
// lasts. Cause: an upstream whose entry lapsed was dropped at once, like one that is
// gone; nobody replaced it, and it came back with its entry.
func TestALeaderThatOnlyTheStoreHasLostLeadsUntilItIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStuckGroup()
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		all := []cataloger.Upstream{listedAt("a", 1), listedAt("b", 2), listedAt("c", 3)}
		all[0].Leads = true
		c.Apply(all)
		g, _ := c.Group("g")
		is.Equal(readLatest(g), OK)

		c.Apply(all[1:])
		is.Equal(readLatest(g), OK)
		seen := g.Observe()
		is.True(seen.LeaderAnswers)
		is.Equal(len(seen.Upstreams), 3)
		is.True(seen.Upstreams[2].Leaving) // so the holder of the duty replaces it

		time.Sleep(unlistedFor / 2)
		c.Apply(all) // its entry is back
		is.True(!g.Observe().Upstreams[0].Leaving)
		is.Equal(readLatest(g), OK)
		c.Apply(all[1:])
		for range 40 {
			time.Sleep(unlistedFor / 40)
			is.Equal(readLatest(g), OK)
		}
		c.Tick()
		is.True(!g.Observe().LeaderAnswers) // a few seconds after it was lost it gets nothing new
		c.Stop()
		time.Sleep(time.Second) // what sought a leader has ended
	})
}

func listedAt(id string, port uint16) cataloger.Upstream {
	return cataloger.Upstream{ID: id, Group: "g", Slots: 3, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
}

func readLatest(g *Group) Code {
	now := time.Now()
	return g.Run(&Job{Arrived: now, ObjectiveAt: now.Add(time.Second), Deadline: now.Add(time.Second)}, Command{Verb: Read, ID: "r"}).Code
}

// Others whose entry goes are gone at once: who leaves has said so, who crashed
// doesn't answer, and who has a successor at its address is replaced.
func TestAnUpstreamThatIsGoneIsNotUsed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(m *member)
		after  []cataloger.Upstream
		stays  bool
	}{
		{"it answered a moment ago", func(*member) {}, nil, true},
		{"it was leaving", func(m *member) { m.entry.Leaving = true }, nil, false},
		{"it is barred", func(m *member) { m.barred = true }, nil, false},
		{"it has answered nothing lately", func(m *member) { m.answered = now.Add(-2 * time.Second) }, nil, false},
		{"another is at its address", func(*member) {}, []cataloger.Upstream{listedAt("n", 1)}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
			c.Apply([]cataloger.Upstream{listedAt("a", 1), listedAt("b", 2)})
			g, _ := c.Group("g")
			m := g.members[0]
			m.answered = now
			test.change(m)
			c.Apply(append(test.after, listedAt("b", 2)))
			is.Equal(!m.gone, test.stays)
			is.Equal(len(g.lost) > 0, !test.stays && test.after == nil)
		})
	}
}
