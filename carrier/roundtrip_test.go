package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// delayedLink is a connection whose opening was delayed by a busy host.
type delayedLink struct{ laggingLink }

func (delayedLink) RoundTrip() time.Duration { return 300 * time.Millisecond }

func (l delayedLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	time.Sleep(time.Millisecond)
	return l.laggingLink.Exchange(deadline, commands...)
}

// Guards against a host that was busy while connections were opened: reads were placed as if
// the upstream were far, adaptive placement stayed on in a fleet without distances, and
// statements for the leader were refused early, until other connections were opened.
func TestDelayedRoundTripsAreCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		c := &Registry{
			Zone: "z1",
			Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
				return &delayedLink{laggingLink{s, u.ID}}, nil
			},
			Now: time.Now, Features: func() Features { return Features{AdaptivePlacement: true} }, Log: zap.NewNop(),
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.SetUpstreams([]cataloger.Upstream{
			{ID: "a", Group: "g", Zone: "z2", Slots: 3, Leads: true}, {ID: "b", Group: "g", Zone: "z3", Slots: 3},
		})
		defer c.Stop()
		g, _ := c.Group("g")
		for _, u := range g.upstreams {
			for range 3 {
				g.recordRoundTrip(u, &delayedLink{laggingLink{s, u.id}})
			}
		}
		is.True(g.expected.distance.IsFar())
		a := g.Run(&Job{Arrived: time.Now(), Deadline: time.Now().Add(250 * time.Millisecond)}, Command{Verb: Write, ID: "w"})
		is.Equal(a.Code, OK)
		j := &Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
		is.Equal(g.Run(j, Command{Verb: Read, ID: "r"}).Code, OK)
		time.Sleep(100 * time.Millisecond) // probes are answered
		is.True(!g.expected.distance.IsFar())
		is.Equal(g.roundTrip(g.upstreams[0]), time.Millisecond)
		is.Equal(g.roundTrip(g.upstreams[1]), time.Millisecond)
	})
}
