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

// Symptom: after a planned change of leader some processes refuse writes for half a
// second longer than others. Sequence: the former leader, which has more work than it can
// do, has no connection free for the question whether it leads; the next one begins to
// lead right after it was asked. Cause: nobody was asked again before all had answered.
func TestASlowMemberDoesNotHoldUpTheSearchForTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStuckGroup()
		c := &Registry{Now: time.Now, Log: zap.NewNop()}
		c.Dial = func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error) {
			if u.ID == "a" {
				<-ctx.Done() // no room for another connection
				return nil, ErrHandshakeTimeout
			}
			return s.dial(ctx, u, workspace)
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.Apply([]cataloger.Upstream{listedAt("a", 1), listedAt("b", 2), listedAt("c", 3)})
		g, _ := c.Group("g")
		g.members[0].answered = time.Now() // it lives
		c.Tick()                           // all are asked, none leads yet
		time.Sleep(10 * time.Millisecond)
		s.promote()
		led := time.Now()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			c.Tick()
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
