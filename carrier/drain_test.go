package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// leaveTimeout is how long a leaving upstream may get new work in these tests.
const leaveTimeout = 7 * time.Second

// newLeavingGroup returns a group whose leader, a, and two replicas answer, and the store's
// list of them.
func newLeavingGroup(s *laggingGroup) (*Group, []cataloger.Upstream) {
	c := &Registry{Dial: s.dial, LeaveTimeout: leaveTimeout, Now: time.Now, Log: zap.NewNop()}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	all := []cataloger.Upstream{upstreamAtPort("a", 1), upstreamAtPort("b", 2), upstreamAtPort("c", 3)}
	all[0].Leads = true
	c.SetUpstreams(all)
	g, _ := c.Group("g")
	return g, all
}

// Guards against sending requests to a leaving leader beyond the time in which it may get
// any, until it is gone. No replica can take over in time: one is unreachable, and the
// other lacks what only the leader has. Only a change of leader used to end the leader's
// work. For example, a leader that alone has everything can be promoted again 1.2 s before
// the end of its time, and then nothing checks how much of its time is left.
func TestLeavingLeaderGetsNoWorkAfterDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, all := newLeavingGroup(newLaggingGroup())
		all[0].Leaving = true
		g.registry.SetUpstreams(all)
		began := time.Now()
		for time.Since(began) < leaveTimeout/2 {
			is.Equal(readLeader(g), OK)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(leaveTimeout/2 - drainMargin/2)
		asked := time.Now()
		is.Equal(readLeader(g), Busy)
		is.Equal(time.Since(asked), time.Duration(0)) // at once
		is.Equal(g.Observe().LeaderAnswers, true)     // so the lease holder continues the change of leader
		is.True(!g.CanServe(&Job{}))

		all[0].Leaving = false // it stays after all
		g.registry.SetUpstreams(all)
		is.Equal(readLeader(g), OK)
		g.registry.Stop()
		time.Sleep(time.Second)
	})
}

// Guards against sending requests to a leaving leader beyond its time, in a process that
// starts while the leader is leaving: such a process must not count the full time from when
// it first saw the leader.
func TestUpstreamFirstSeenLeavingGetsHalfTheTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{LeaveTimeout: leaveTimeout, Now: func() time.Time { return now }, Log: zap.NewNop()}
	listed := upstreamAtPort("a", 1)
	listed.Leaving = true
	c.SetUpstreams([]cataloger.Upstream{listed})
	g, _ := c.Group("g")
	now = now.Add(leaveTimeout/2 - drainMargin)
	is.True(g.hasDrainEnded(g.upstreams[0]))
	c.LeaveTimeout = 0 // no limit
	g.setDrainTime(g.upstreams[0], c.LeaveTimeout)
	is.True(!g.hasDrainEnded(g.upstreams[0]))
}

// Guards against sending a leaving leader a statement that waits for a connection to it
// while the leader's time ends: checking the time only when an upstream is chosen is not
// enough.
func TestQueuedStatementIsNotSentAfterDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newLeavingGroup(newLaggingGroup())
		u := g.upstreams[0]
		j := &Job{Writes: true, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
		u.drainBy = time.Now()
		r, refused := g.acquireConn(u, j)
		is.True(r == nil)
		is.Equal(refused.Code, Busy) // it has not run
		is.Equal(u.pool.Stats().Open, 1)
		g.registry.Stop()
		time.Sleep(time.Second)
	})
}

// A replica whose time is over gets no reads, even when no other upstream answers.
func TestReplicaGetsNoReadsAfterDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newLaggingGroup()
		s.stoppedAt = map[string]uint64{}
		g, _ := newLeavingGroup(s)
		is.Equal(readLeader(g), OK)
		g.upstreams[0].ejected, g.upstreams[2].ejected = true, true
		now := time.Now()
		job := func() *Job {
			return &Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second, Arrived: now, Deadline: now.Add(time.Second)}
		}
		is.Equal(g.Run(job(), Command{Verb: Read, ID: "r"}).Upstream, "b")
		g.upstreams[1].drainBy = now
		is.Equal(g.Run(job(), Command{Verb: Read, ID: "r"}).Code, Busy)
		g.registry.Stop()
		time.Sleep(time.Second)
	})
}

// Guards against sending requests to a leaving leader beyond its time after its entry in
// the store had lapsed while it still answered. It counts as leaving while its entry is
// missing. The entry that comes back states that it is leaving, which must count as a
// change.
func TestUpstreamListedAgainAsLeavingGetsDrainTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{LeaveTimeout: leaveTimeout, Now: func() time.Time { return now }, Log: zap.NewNop()}
	all := []cataloger.Upstream{upstreamAtPort("a", 1), upstreamAtPort("b", 2)}
	c.SetUpstreams(all)
	g, _ := c.Group("g")
	u := g.upstreams[0]
	u.answeredAt = now
	c.SetUpstreams(all[1:])
	is.True(u.entry.Leaving)
	is.True(u.drainBy.IsZero())
	all[0].Leaving = true
	c.SetUpstreams(all)
	is.Equal(u.drainBy, now.Add(leaveTimeout-drainMargin))
}
