package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// newBorrower returns a group of which this process has no share, and its upstream.
func newBorrower() (*Registry, *Group) {
	s := &slotUpstream{free: make(chan struct{}, 6)}
	c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{} }}
	c.DivideConnections(9, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}, {ID: "b", Group: "g"}})
	g, _ := c.Group("g")
	return c, g
}

func latest(timeout time.Duration) *Job {
	return &Job{Freshness: cataloger.Latest, Arrived: time.Now(), Deadline: time.Now().Add(timeout)}
}

// Guards against a substitute that takes part in replacing the leader, or that runs work
// which does not need the leader.
func TestSubstituteIsNoGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, g := newBorrower()
		is.True(!g.CanServe(latest(time.Second)))
		g.BorrowConns("a", 2, time.Now().Add(time.Second), true)
		is.True(g.CanServe(latest(time.Second)))
		is.True(!g.CanServe(&Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second, Arrived: time.Now()}))
		is.True(!g.IsGateway())
		is.Equal(len(c.Gateways()), 0)
		is.Equal(g.Run(latest(time.Second), Command{Verb: Read, ID: "r", Text: "1ms"}).Code, OK)
		g.BorrowConns("a", 2, time.Now().Add(time.Second), false)
		is.True(!g.CanServe(latest(time.Second))) // it is being returned
		c.Stop()
	})
}

// Guards against connections that are used after the end of their loan, when a process that
// was paused for longer than the loan goes on in the middle of a transaction, before anything
// has closed them.
func TestLoanIsNotUsedAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, g := newBorrower()
		g.BorrowConns("a", 2, time.Now().Add(time.Second), true)
		tx, answer := g.Start(latest(5*time.Second), false, Command{Verb: Read, ID: "r", Text: "1ms"})
		is.Equal(answer.Code, OK)
		time.Sleep(2 * time.Second)
		is.True(!g.CanServe(latest(time.Second)))
		is.Equal(tx.Do(latest(time.Second), Command{Verb: Read, ID: "r", Text: "1ms"}).Code, Aborted)
		tx.Rollback()
		c.Stop()
	})
}

// Guards against a loan that counts as returned while connections are open, because some
// were in use when it ended.
func TestCutConnsClosesThoseInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, g := newBorrower()
		g.BorrowConns("a", 3, time.Now().Add(time.Minute), true)
		tx, _ := g.Start(latest(5*time.Second), false, Command{Verb: Read, ID: "r", Text: "1ms"})
		held, busy := g.BorrowedConns("a")
		is.Equal([]int{held, busy}, []int{1, 1})
		g.CutConns("a")
		held, busy = g.BorrowedConns("a")
		is.Equal([]int{held, busy}, []int{0, 0})
		is.Equal(g.Run(latest(100*time.Millisecond), Command{Verb: Read, ID: "r", Text: "1ms"}).Code, Unavailable) // none is opened
		is.Equal(tx.Commit(latest(time.Second), Command{Verb: Commit}).Code, Aborted)                              // not in doubt: it was not sent
		g.UnlimitConns("a")
		is.Equal(g.LeaderContact().Open, 0)
		c.Stop()
	})
}

// Guards against a lender that goes on using what it has lent, and one that has lost its
// share and uses the connections that a lender keeps.
func TestLenderKeepsWithinItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		share := 6
		s := &slotUpstream{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": share} }}
		settings := []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}}
		c.DivideConnections(9, settings)
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}, {ID: "b", Group: "g"}})
		g, _ := c.Group("g")
		limits := func() []int {
			return []int{g.upstreams[0].pool.Stats().Limit, g.upstreams[1].pool.Stats().Limit}
		}
		g.LimitConns("a", 1)
		c.DivideConnections(9, settings)
		is.Equal(limits(), []int{1, 6}) // also after the connections are divided again
		share = 0
		c.DivideConnections(9, settings)
		is.Equal(limits(), []int{0, 0})
		share = 4
		c.DivideConnections(9, settings)
		g.UnlimitConns("a")
		is.Equal(limits(), []int{4, 4})
		c.Stop()
	})
}

// Guards against callers that are told to come back when their time is over.
func TestRetryDelayEndsBeforeDeadline(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryDelay(800*time.Millisecond), 400*time.Millisecond)
	is.Equal(RetryDelay(time.Minute), retryAfter)
	is.Equal(RetryDelay(0), 50*time.Millisecond)
	is.Equal(RetryDelay(-time.Second), 50*time.Millisecond)
}

// Guards against reads that are placed, or requests refused, as if connections that are lent
// could be used, or as if borrowed ones could not.
func TestExpectationCountsLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, g := newBorrower()
		defer c.Stop()
		g.BorrowConns("a", 2, time.Now().Add(time.Second), true)
		g.mu.Lock()
		defer g.mu.Unlock()
		is.Equal(g.option(g.upstreams[0], &Job{}, time.Now()).MaxConnections, 2)
		is.Equal(g.option(g.upstreams[1], &Job{}, time.Now()).MaxConnections, 0)
	})
}

// Guards against a loan that is confirmed as closed while a connection is open: one that was
// cut and has left the pool must not be subtracted from those that are there once more.
func TestCutConnIsSubtractedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, g := newBorrower()
		lowest := 0
		c.Now = func() time.Time {
			if g.mu.TryLock() {
				g.mu.Unlock()
			} else { // the caller holds it
				lowest = min(lowest, g.upstreams[0].heldConns())
			}
			return time.Now()
		}
		g.BorrowConns("a", 2, time.Now().Add(time.Minute), true)
		done := make(chan Answer)
		go func() { done <- g.Run(latest(5*time.Second), Command{Verb: Read, ID: "r", Text: "1s"}) }()
		time.Sleep(100 * time.Millisecond)
		g.CutConns("a")
		<-done
		is.Equal(lowest, 0)
		c.Stop()
	})
}
