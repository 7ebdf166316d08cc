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

// Guards against connections of a loan between gateways that are used or opened after its end,
// when a process that was paused goes on before anything else has closed them, and against own
// connections that are closed with them.
func TestBorrowedConnsEndByTheClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slotUpstream{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 2} }}
		settings := []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}}
		c.DivideConnections(9, settings)
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 6}})
		g, _ := c.Group("g")
		u := g.upstreams[0]
		g.ExtendConns("a", []Extra{{Count: 1, Until: time.Now().Add(time.Second), Serving: true}, {Count: 1, Until: time.Now().Add(3 * time.Second), Serving: true}})
		is.Equal(u.pool.Stats().Limit, 4)
		var open []Transaction
		for range 4 {
			tx, answer := g.Start(latest(5*time.Second), false, Command{Verb: Begin})
			is.Equal(answer.Code, OK)
			open = append(open, tx)
		}
		run := func() (served int) {
			for _, tx := range open {
				if tx.Do(latest(time.Second), Command{Verb: Begin}).Code == OK {
					served++
				}
			}
			return served
		}
		time.Sleep(2 * time.Second)
		is.Equal(run(), 3)
		is.Equal(g.DivisionState("a", true).Held, 3)
		g.LimitOwnConns("a", 1) // the loan is still there
		c.DivideConnections(9, settings)
		is.Equal(u.pool.Stats().Limit, 2)
		is.Equal(run(), 3) // those in use stay until they are returned
		g.UnlimitOwnConns("a")
		time.Sleep(2 * time.Second)
		is.Equal(run(), 2)
		is.Equal(u.pool.Stats().Limit, 2)
		is.Equal(len(g.divisions), 0)
		for _, tx := range open {
			tx.Rollback()
		}
		state := g.DivisionState("a", true)
		is.Equal([]int{state.Busy, state.Peak}, []int{0, 4})
		is.True(state.Held <= 2)
		is.Equal(g.DivisionState("a", true).Peak, 0)
		c.Stop()
	})
}

// newDividedGroup returns a group with one upstream, and what sets this process's share of its
// six connections.
func newDividedGroup(dial func(context.Context, cataloger.Upstream, string) (Link, error), share int) (*Group, func(int)) {
	c := &Registry{Dial: dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": share} }}
	setShare := func(n int) {
		share = n
		c.DivideConnections(9, []cataloger.GroupSettings{{Name: "g", MaxConnections: 10}})
	}
	setShare(share)
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true, Slots: 6}})
	g, _ := c.Group("g")
	return g, setShare
}

// Guards against own statements that are cut when the share becomes smaller while there is a
// loan: only as many connections as were borrowed are closed, and not before the loan ends.
func TestSmallerShareCutsNoOwnConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, setShare := newDividedGroup((&slotUpstream{free: make(chan struct{}, 6)}).dial, 3)
		until := time.Now().Add(2 * time.Second)
		g.ExtendConns("a", []Extra{{Count: 1, Until: until, Serving: true}})
		var open []Transaction
		for range 4 {
			tx, answer := g.Start(latest(5*time.Second), false, Command{Verb: Begin})
			is.Equal(answer.Code, OK)
			open = append(open, tx)
		}
		run := func() (served int) {
			for _, tx := range open {
				if tx.Do(latest(time.Second), Command{Verb: Begin}).Code == OK {
					served++
				}
			}
			return served
		}
		setShare(1)
		g.ExtendConns("a", []Extra{{Count: 1, Until: until}}) // the loan is being returned
		is.Equal(run(), 4)
		g.ExtendConns("a", nil)
		is.Equal(run(), 3)
		for _, tx := range open {
			tx.Rollback()
		}
		is.True(g.DivisionState("a", true).Held <= 1)
		g.dropAll()
	})
}

// Guards against an upstream that counts as not answering because this process gave up an
// opening at the end of a loan.
func TestGivenUpOpeningEjectsNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hang := func(ctx context.Context, _ cataloger.Upstream, _ string) (Link, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		g, setShare := newDividedGroup(hang, 3)
		g.ExtendConns("a", []Extra{{Count: 1, Until: time.Now().Add(2 * time.Second), Serving: true}})
		answered := make(chan Answer)
		go func() { answered <- g.Run(latest(5*time.Second), Command{Verb: Read}) }()
		time.Sleep(time.Second)
		setShare(0) // the opening is on the loan
		g.ExtendConns("a", nil)
		is.Equal((<-answered).Code, Unavailable)
		is.Equal(g.DivisionState("a", true).Obstacle, "")
		g.dropAll()
	})
}

// hangingLink is a connection on which a write is not answered.
type hangingLink struct {
	slotLink
	aborted chan struct{}
}

func (l *hangingLink) Abort() { close(l.aborted) }

func (l *hangingLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	if commands[0].Verb != Write {
		return l.slotLink.Exchange(deadline, commands...)
	}
	select {
	case <-l.aborted:
	case <-time.After(time.Until(deadline)):
	}
	return nil, true, context.DeadlineExceeded
}

// Guards against an upstream that counts as failing, or a leader as stalled, because this
// process closed connections at the end of a loan, and against a write that is cut and sent
// again.
func TestCutStatementsShowNothingOfTheUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dial := func(context.Context, cataloger.Upstream, string) (Link, error) {
			return &hangingLink{aborted: make(chan struct{})}, nil
		}
		g, _ := newDividedGroup(dial, 1)
		learned := func() (stalled bool, failureRate float64) {
			g.mu.Lock()
			defer g.mu.Unlock()
			u := g.upstreams[0]
			return !u.writeTimedOutAt.IsZero(), u.failures.rate
		}
		loan := []Extra{{Count: 1, Until: time.Now().Add(20 * time.Second), Serving: true}}
		g.ExtendConns("a", loan)
		answered := make(chan Answer, 2)
		for range 2 {
			go func() {
				j := latest(9 * time.Second)
				j.Writes = true
				answered <- g.Run(j, Command{Verb: Write})
			}()
		}
		time.Sleep(5 * time.Second)
		g.ExtendConns("a", nil)
		is.Equal((<-answered).Code, InDoubt)
		stalled, rate := learned()
		is.True(!stalled)
		is.Equal(rate, 0.0)
		is.Equal((<-answered).Code, InDoubt) // by its deadline
		stalled, _ = learned()
		is.True(stalled)

		g.ExtendConns("a", loan)
		var open []Transaction
		for range 2 {
			tx, answer := g.Start(latest(5*time.Second), false, Command{Verb: Begin})
			is.Equal(answer.Code, OK)
			open = append(open, tx)
		}
		g.ExtendConns("a", nil)
		aborted := 0
		for _, tx := range open {
			if tx.Do(latest(time.Second), Command{Verb: Begin}).Code == Aborted {
				aborted++
			}
			tx.Rollback()
		}
		is.Equal(aborted, 1)
		_, rate = learned()
		is.Equal(rate, 0.0)
		g.dropAll()
	})
}

// Guards against a lender that uses connections that are lent, between a change of its share
// and the next check of its loans.
func TestLentConnsCountAgainstSmallerShare(t *testing.T) {
	is := is.New(t)
	g, setShare := newDividedGroup(nil, 6)
	limitWith := func(n int) int {
		setShare(n)
		return g.upstreams[0].pool.Stats().Limit
	}
	g.LimitOwnConns("a", 4)
	is.Equal([]int{limitWith(6), limitWith(5), limitWith(3), limitWith(0), limitWith(7)}, []int{4, 3, 1, 0, 4})
	g.UnlimitOwnConns("a")
	is.Equal(limitWith(7), 7)
	g.dropAll()
}

// Guards against a caller that is told that its transaction wrote nothing, when the connection
// was closed at the end of a loan before the commit was sent.
func TestCommitAfterLoanIsAborted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newDividedGroup((&slotUpstream{free: make(chan struct{}, 6)}).dial, 1)
		g.ExtendConns("a", []Extra{{Count: 1, Until: time.Now().Add(20 * time.Second), Serving: true}})
		var open []Transaction
		for range 2 {
			j := latest(5 * time.Second)
			j.Writes = true
			tx, answer := g.Start(j, false, Command{Verb: Begin})
			is.Equal(answer.Code, OK)
			open = append(open, tx)
		}
		g.ExtendConns("a", nil)
		var aborted []string
		for _, tx := range open {
			if answer := tx.Commit(latest(time.Second), Command{Verb: Commit}); answer.Code != OK {
				is.Equal(answer.Code, Aborted)
				aborted = append(aborted, answer.Text)
			}
		}
		is.Equal(aborted, []string{"connection lost before the commit was sent"})
		g.dropAll()
	})
}
