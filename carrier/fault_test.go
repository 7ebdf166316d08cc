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

// Symptom: all writes of a group fail for as long as its leader is ill. Sequence: the
// leader answers whoever asks whether it is well, and fails what callers want.
// Cause: only silence counts against an upstream.
func TestAnUpstreamThatFailsItsWorkIsNoticed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f faults
	is.True(!f.many(now))
	for range 20 {
		f.note(now, false)
	}
	f.note(now, true)
	f.note(now, true)
	is.True(!f.many(now)) // two may be chance
	f.note(now, true)
	is.True(f.many(now))
	is.True(!f.many(now.Add(2 * faultsLast))) // nothing is known any more
	f.note(now.Add(2*faultsLast), true)
	is.True(!f.many(now.Add(2 * faultsLast)))
}

// An upstream that loses a tenth of its answers, here each tenth one, does its work.
func TestSomeLostAnswersAreNoFailure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f faults
	for i := range 1000 {
		f.note(now, i%10 == 0)
		is.True(!f.many(now))
	}
}

// Symptom: writes wait for half a second after another upstream leads. Sequence: the
// leader dies and stays barred; another one is promoted, and the store lists that
// later. Cause: nobody asks the others while a leader is known that doesn't answer.
func TestALeaderIsSoughtWhileTheOldOneIsBarred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slots{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		c.Apply([]cataloger.Upstream{{ID: "old", Group: "g", Leads: true}, {ID: "new", Group: "g"}})
		g, _ := c.Group("g")
		g.mu.Lock()
		g.bar(g.leader, time.Now(), "silent")
		g.mu.Unlock()
		is.Equal(g.Observe().LeaderAnswers, false)
		c.Tick()
		synctest.Wait()
		is.Equal(g.Observe().Leader, "new")
		is.Equal(g.Observe().LeaderAnswers, true)
		time.Sleep(2 * firstPause) // the search ends
		c.Stop()
	})
}

// Symptom: a leader that has crashed is to be replaced as if it only failed for some,
// again and again, and stays. Sequence: it crashes; the holder of the duty has sent it
// nothing for a while and takes it for well, while its peers miss it. Cause: nobody
// asks the leader at that process.
func TestALeaderThatPeersMissIsAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slots{free: make(chan struct{}, 6)}
		crashed := false
		c := &Registry{Now: time.Now, Log: zap.NewNop()}
		c.Dial = func(ctx context.Context, u cataloger.Upstream, workspace string) (Link, error) {
			if crashed {
				return nil, errors.New("refused")
			}
			return s.dial(ctx, u, workspace)
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		c.Apply([]cataloger.Upstream{{ID: "old", Group: "g", Leads: true}, {ID: "new", Group: "g"}})
		g, _ := c.Group("g")
		g.VerifyLeader()
		is.Equal(g.Observe().LeaderAnswers, true) // it is well
		crashed = true
		is.Equal(g.Observe().LeaderAnswers, true) // nobody has looked
		g.mu.Lock()
		leader := g.leader
		g.mu.Unlock()
		leader.pool.Shrink(0)
		leader.pool.Shrink(0) // what nobody needed since the first one goes
		g.VerifyLeader()
		synctest.Wait()
		is.Equal(g.Observe().LeaderAnswers, false)
		c.Stop()
	})
}
