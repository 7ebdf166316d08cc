package carrier

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// Guards against a group whose writes all fail for as long as its leader is faulty: the
// leader answers every health check and fails the statements of callers. Silence alone must
// not be what counts against an upstream.
func TestFailureRateDetectsFailingUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f failureRate
	is.True(!f.isHigh(now))
	for range 20 {
		f.record(now, false)
	}
	f.record(now, true)
	f.record(now, true)
	is.True(!f.isHigh(now)) // two may be chance
	f.record(now, true)
	is.True(f.isHigh(now))
	is.True(!f.isHigh(now.Add(2 * failureRateExpiry))) // the rate has expired
	f.record(now.Add(2*failureRateExpiry), true)
	is.True(!f.isHigh(now.Add(2 * failureRateExpiry)))
}

// An upstream that loses a tenth of its answers, here every tenth one, does not count as
// failing.
func TestFewLostAnswersDoNotCountAsFailing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f failureRate
	for i := range 1000 {
		f.record(now, i%10 == 0)
		is.True(!f.isHigh(now))
	}
}

// Guards against writes that wait for half a second after another upstream leads. The
// leader dies and stays ejected; another one is promoted, and the store lists that later.
// The search for the leader must also run while the known leader does not answer.
func TestLeaderSearchWhileOldLeaderIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slotUpstream{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "old", Group: "g", Leads: true}, {ID: "new", Group: "g"}})
		g, _ := c.Group("g")
		g.mu.Lock()
		g.eject(g.leader, time.Now(), "silent")
		g.mu.Unlock()
		is.Equal(g.Observe().LeaderAnswers, false)
		c.CheckUpstreams()
		synctest.Wait()
		is.Equal(g.Observe().Leader, "new")
		is.Equal(g.Observe().LeaderAnswers, true)
		time.Sleep(2 * minProbeInterval) // the search ends
		c.Stop()
	})
}

// Guards against repeated attempts to replace a crashed leader as if it only failed for
// some processes, so that it stays the leader. The lease holder has sent nothing to the
// leader for a while and takes it for healthy, while its peers cannot reach it. The lease
// holder must ask the leader itself.
func TestVerifyLeaderEjectsCrashedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slotUpstream{free: make(chan struct{}, 6)}
		crashed := false
		c := &Registry{Now: time.Now, Log: zap.NewNop()}
		c.Dial = func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error) {
			if crashed {
				return nil, errors.New("refused")
			}
			return s.dial(ctx, u, workspace)
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "old", Group: "g", Leads: true}, {ID: "new", Group: "g"}})
		g, _ := c.Group("g")
		g.VerifyLeader()
		is.Equal(g.Observe().LeaderAnswers, true) // it is healthy
		crashed = true
		is.Equal(g.Observe().LeaderAnswers, true) // nothing has checked it yet
		g.mu.Lock()
		leader := g.leader
		g.mu.Unlock()
		leader.pool.Shrink(0)
		leader.pool.Shrink(0) // closes what nobody has needed since the first call
		g.VerifyLeader()
		synctest.Wait()
		is.Equal(g.Observe().LeaderAnswers, false)
		c.Stop()
	})
}
