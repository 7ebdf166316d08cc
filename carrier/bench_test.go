package carrier

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// BenchmarkRead measures what a read costs this process besides the exchange, without and with
// placement by expected time; with it, reads may be sent once more.
func BenchmarkRead(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "fixed", true: "expected"}[on], func(b *testing.B) {
			s := newLaggingGroup()
			var list []cataloger.Upstream
			for _, id := range []string{"a", "b", "c"} {
				list = append(list, cataloger.Upstream{ID: id, Group: "g", Slots: 3, Leads: id == "a"})
			}
			c := &Registry{
				Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
					return &instantLink{laggingLink{s, u.ID}}, nil
				},
				Now: time.Now, Features: func() Features { return Features{ExpectedPlacement: on} }, Log: zap.NewNop(),
			}
			c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
			c.SetUpstreams(list)
			defer c.Stop()
			g, _ := c.Group("g")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Now()
				if i%1000 == 0 {
					g.recordLeader(g.upstreams[0], now, mark(1, 100))
				}
				j := &Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Minute, Arrived: now, Deadline: now.Add(time.Second)}
				if a := g.Run(j, Command{Verb: Read, ID: "r"}); a.Code != OK {
					b.Fatal(a)
				}
			}
		})
	}
}

// instantLink answers every statement at once.
type instantLink struct{ laggingLink }

func (l *instantLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i := range answers {
		answers[i].Mark = mark(1, 100)
	}
	return answers, true, nil
}
