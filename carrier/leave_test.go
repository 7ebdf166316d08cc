package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// leaving is what an upstream that leaves may still get in these tests.
const leaving = 7 * time.Second

// leavingGroup returns a group whose leader, a, and two replicas answer, and what the
// store lists of them.
func leavingGroup(s *stuckGroup) (*Group, []cataloger.Upstream) {
	c := &Registry{Dial: s.dial, LeaveTimeout: leaving, Now: time.Now, Log: zap.NewNop()}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	all := []cataloger.Upstream{listedAt("a", 1), listedAt("b", 2), listedAt("c", 3)}
	all[0].Leads = true
	c.Apply(all)
	g, _ := c.Group("g")
	return g, all
}

// Symptom: callers' requests reach a leader that has said that it leaves, beyond the time
// in which it may get any, until it is gone. Sequence: nobody can follow it in time: one
// replica is away, and the other hasn't received what only the leader has. Cause: only a
// change of leader ended its work, and nothing did where that couldn't be. Evidence: the
// leader had been promoted again 1.2 s before its time was over, since it alone had
// everything, and no process looked at how much of its time was left.
func TestALeaderThatLeavesGetsNoWorkWhenItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, all := leavingGroup(newStuckGroup())
		all[0].Leaving = true
		g.carrier.Apply(all)
		began := time.Now()
		for time.Since(began) < leaving/2 {
			is.Equal(readLatest(g), OK)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(leaving/2 - early/2)
		asked := time.Now()
		is.Equal(readLatest(g), Busy)
		is.Equal(time.Since(asked), time.Duration(0)) // at once
		is.Equal(g.Observe().LeaderAnswers, true)     // so that the holder goes on with the change
		is.True(!g.CanServe(&Job{}))

		all[0].Leaving = false // it stays after all
		g.carrier.Apply(all)
		is.Equal(readLatest(g), OK)
		g.carrier.Stop()
		time.Sleep(time.Second)
	})
}

// Symptom: the same, by a process that has just started. Sequence: the leader leaves while
// the process starts. Cause: the time counts from when the process first heard of it.
func TestAnUpstreamThatLeavesAlreadyGetsLess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{LeaveTimeout: leaving, Now: func() time.Time { return now }, Log: zap.NewNop()}
	u := listedAt("a", 1)
	u.Leaving = true
	c.Apply([]cataloger.Upstream{u})
	g, _ := c.Group("g")
	now = now.Add(leaving/2 - early)
	is.True(g.isClosed(g.members[0]))
	c.LeaveTimeout = 0 // no bound
	g.noteLeaving(g.members[0], c.LeaveTimeout)
	is.True(!g.isClosed(g.members[0]))
}

// Symptom: the same. Sequence: a statement waits for a place at the leader while its time
// ends. Cause: the time is only looked at when an upstream is chosen.
func TestAStatementThatWaitedIsNotSentTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := leavingGroup(newStuckGroup())
		m := g.members[0]
		j := &Job{Writes: true, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
		m.ends = time.Now()
		r, refused := g.open(m, j)
		is.True(r == nil)
		is.Equal(refused.Code, Busy) // it has not run
		is.Equal(m.pool.Stats().Open, 1)
		g.carrier.Stop()
		time.Sleep(time.Second)
	})
}

// A replica whose time is over gets no reads either, also when nobody else answers.
func TestAReplicaWhoseTimeIsOverGetsNoReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStuckGroup()
		s.hangs = map[string]uint64{}
		g, _ := leavingGroup(s)
		is.Equal(readLatest(g), OK)
		g.members[0].barred, g.members[2].barred = true, true
		now := time.Now()
		job := func() *Job {
			return &Job{Freshness: cataloger.BoundedStaleness, MaxAge: time.Second, Arrived: now, Deadline: now.Add(time.Second)}
		}
		is.Equal(g.Run(job(), Command{Verb: Read, ID: "r"}).Upstream, "b")
		g.members[1].ends = now
		is.Equal(g.Run(job(), Command{Verb: Read, ID: "r"}).Code, Busy)
		g.carrier.Stop()
		time.Sleep(time.Second)
	})
}

// Symptom: callers' requests reach a leader beyond the time in which one that leaves may
// get any. Sequence: only the store has lost the leader, which counts as leaving meanwhile;
// its entry is back, and says that it leaves. Cause: that was no news.
func TestAnUpstreamThatIsListedAgainAsLeavingHasATime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{LeaveTimeout: leaving, Now: func() time.Time { return now }, Log: zap.NewNop()}
	all := []cataloger.Upstream{listedAt("a", 1), listedAt("b", 2)}
	c.Apply(all)
	g, _ := c.Group("g")
	m := g.members[0]
	m.answered = now
	c.Apply(all[1:])
	is.True(m.entry.Leaving)
	is.True(m.ends.IsZero())
	all[0].Leaving = true
	c.Apply(all)
	is.Equal(m.ends, now.Add(leaving-early))
}
