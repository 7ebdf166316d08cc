package carrier

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// Symptom: a fifth of what upstreams get is refused for lag, and reads are late.
// Sequence: a replica receives nothing, or applies a second late, for some seconds;
// reads that may be 1.5 s old come all the time. Cause: the refusal was forgotten
// after 60 ms, so each read tried each replica anew.
func TestALaggingReplicaIsSparedWhatItLacks(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l lag
	is.True(!l.lacks(now, now)) // nothing is known against it
	l.refused(now, now.Add(-time.Second))
	now = now.Add(50 * time.Millisecond)
	is.True(l.lacks(now, now.Add(-900*time.Millisecond)))
	is.True(!l.lacks(now, now.Add(-1200*time.Millisecond))) // an older log will do
	now = now.Add(lagRetry)
	is.True(!l.lacks(now, now)) // one read tries again
	l.trying(now)
	is.True(l.lacks(now, now)) // and the next ones don't
	l.served(now, now.Add(-500*time.Millisecond))
	is.True(!l.lacks(now, now.Add(-600*time.Millisecond))) // it has caught up by half
	is.True(l.lacks(now, now.Add(-400*time.Millisecond)))
	l.served(now, now.Add(-50*time.Millisecond))
	is.True(!l.lacks(now, now)) // it keeps up
}

// A sample tells when the leader's log was complete up to a mark, and up to when the
// log of a replica at a mark is.
func TestMomentsOfMarks(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * 100 * time.Millisecond) }
	for i := range 10 {
		s.add(at(i), mark(1, uint64(10*i)))
	}
	is.Equal(s.needed(mark(1, 35), at(20)), at(4)) // the first at which the log had it
	is.Equal(s.needed(mark(1, 95), at(20)), at(20))
	is.Equal(s.complete(mark(1, 35)), at(3))
	is.Equal(s.complete(mark(1, 90)), at(9))
	is.Equal(s.complete(mark(0, 35)), time.Time{}) // before all that is known
}

// replica answers reads as one whose log lacks what they need, until it has caught up.
type replica struct {
	slotLink
	caughtUp *atomic.Bool
	refused  *atomic.Int64
}

func (r *replica) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	const enough = 100 // by then the test has failed, and ends
	if last := commands[len(commands)-1]; last.Verb == Read && !r.caughtUp.Load() && r.refused.Load() < enough {
		r.refused.Add(1)
		return []Answer{{Code: Behind}}, true, nil
	}
	return r.slotLink.Exchange(deadline, commands...)
}

// Symptom: 300 reads a second of one group are refused while its leader is replaced,
// each within milliseconds, and callers use up their tries. Sequence: the group's
// replicas lag; its leader crashes; reads are offered to each replica in turn. Cause:
// a read doesn't wait for what another second will bring.
func TestReadsThatReplicasLackWaitWhileThereIsNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slots{free: make(chan struct{}, 6)}
		var caughtUp atomic.Bool
		var refused atomic.Int64
		dial := func(context.Context, cataloger.Upstream) (Link, error) {
			return &replica{slotLink{s}, &caughtUp, &refused}, nil
		}
		c := &Carrier{Dial: dial, Now: time.Now, Log: zap.NewNop()}
		c.Divide(1, []cataloger.GroupSettings{{Name: "g", Connections: 53}})
		c.Apply([]cataloger.Upstream{{ID: "crashed", Group: "g", Leads: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g"}})
		g, _ := c.Group("g")
		g.samples.add(time.Now(), mark(2, 9))
		g.mu.Lock()
		g.bar(g.leader, time.Now(), "refused")
		g.mu.Unlock()
		answers := make(chan Answer)
		go func() {
			job := &Job{Freshness: cataloger.Bounded, MaxAge: 2 * time.Second, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
			answers <- g.Run(job, Command{Verb: Read, ID: "r", Text: "1ms"})
		}()
		time.Sleep(600 * time.Millisecond)
		is.True(refused.Load() <= 6) // each replica each 250 ms, not each millisecond
		caughtUp.Store(true)
		is.Equal((<-answers).Code, OK)
		c.Stop()
	})
}
