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

// Guards against processes that refuse writes for half a second longer than others after a
// planned change of leader. The overloaded former leader has no connection free to answer
// whether it leads; the next one begins to lead right after it was asked. The others must
// be asked again before the former leader has answered.
func TestSlowUpstreamDoesNotDelayLeaderSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		c := &Registry{Now: time.Now, Log: zap.NewNop()}
		c.Dial = func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error) {
			if u.ID == "a" {
				<-ctx.Done() // no slot for another connection
				return nil, ErrHandshakeTimeout
			}
			return s.dial(ctx, u, workspace)
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.SetUpstreams([]cataloger.Upstream{upstreamAtPort("a", 1), upstreamAtPort("b", 2), upstreamAtPort("c", 3)})
		g, _ := c.Group("g")
		g.upstreams[0].answeredAt = time.Now() // it is alive
		c.CheckUpstreams()                     // all are asked, none leads yet
		time.Sleep(10 * time.Millisecond)
		s.promote()
		led := time.Now()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			c.CheckUpstreams()
			synctest.Wait()
			if g.Observe().LeaderAnswers {
				break
			}
		}
		is.Equal(g.Observe().Leader, "b")
		is.True(time.Since(led) <= 200*time.Millisecond)
		c.Stop()
		time.Sleep(time.Second)
	})
}
