package pooler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// learnedDemands returns the demands of owner o0 with one use in 100 ms, o1 with one in 200 ms,
// and so on.
func learnedDemands(t *testing.T, owners int) []Demand {
	p, _ := sharedPool(owners, always)
	for n := range 40 {
		for i := range owners {
			if n%(i+1) == 0 {
				useFor(t.Context(), p, fmt.Sprint("o", i), 10*time.Millisecond)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return p.Demands()
}

// preopenAll opens what a plan asks for, one after the other.
func preopenAll(t *testing.T, p *Pool[sharedConn], plan *Plan) Step {
	for {
		step, err := p.Preopen(t.Context(), plan)
		if err != nil {
			t.Error(err)
		}
		if step != Opened {
			return step
		}
	}
}

// Guards against callers that all wait for an opening after a change of the leader, and against
// connections opened ahead that leave no place for callers: at most half of the share, those
// with the highest demand.
func TestPlannedConnectionsAreOpenedByDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		demands := learnedDemands(t, 6)
		p, o := sharedPool(8, always)
		is.Equal(preopenAll(t, p, &Plan{Demands: demands}), Finished)
		is.Equal(p.Stats(), Stats{Limit: 8, Open: 4, Idle: 4})
		is.Equal(o.count, map[string]int{"o0": 1, "o1": 1, "o2": 1, "o3": 1})
		for i := range 4 { // they are kept as those of owners with demand
			useFor(t.Context(), p, fmt.Sprint("x", i), time.Millisecond)
		}
		useFor(t.Context(), p, "y", time.Millisecond)
		is.True(p.HasIdle("o0"))
		is.True(p.HasIdle("o3"))
	})
}

// Guards against openings that delay callers, and against more of them than the upstream may
// take: none while a caller waits, above the limit, or with the setting off.
func TestCallersGoBeforePlannedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		demands := learnedDemands(t, 4)
		var on, blocked atomic.Bool
		on.Store(true)
		p, _ := sharedPool(1, on.Load)
		p.RequestPermit = func() {
			if !blocked.Load() {
				go p.Permit()
			}
		}
		is.Equal(preopenAll(t, p, &Plan{Demands: demands}), Finished) // half of one is none
		p.SetLimit(4)
		c, err := p.GetFor(t.Context(), "caller")
		is.NoErr(err)
		blocked.Store(true) // no opening may start now
		go useFor(t.Context(), p, "waiting", time.Millisecond)
		synctest.Wait()
		plan := &Plan{Demands: demands}
		is.Equal(preopenAll(t, p, plan), Later)
		go p.Permit()
		time.Sleep(time.Second)
		on.Store(false)
		is.Equal(preopenAll(t, p, plan), Finished)
		is.Equal(len(p.Demands()), 0)
		on.Store(true)
		is.Equal(preopenAll(t, p, plan), Finished)
		is.Equal(p.Stats().Open, 4)
		p.Put(c)
	})
}

// Guards against openings at a start of all processes: without demand there is no plan.
func TestWithoutDemandNothingIsPlanned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, o := sharedPool(8, always)
		is.Equal(preopenAll(t, p, &Plan{Demands: p.Demands()}), Finished)
		useFor(t.Context(), p, "w", time.Millisecond)
		is.Equal(len(p.Demands()), 0) // less than one use in the time of smoothing
		useFor(t.Context(), p, "w", time.Millisecond)
		is.Equal(len(p.Demands()), 1)
		is.Equal(o.of("w"), 1)
	})
}

// Guards against openings of one goroutine that go on after another one's was refused: at its
// connection limit an upstream then refuses callers for longer.
func TestRefusedOpeningEndsPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, o := sharedPool(8, always)
		open := p.Dial
		p.Dial = func(ctx context.Context, owner string) (sharedConn, error) {
			c, err := open(ctx, owner)
			return c, errors.CombineErrors(err, errors.New("refused"))
		}
		plan := &Plan{Demands: learnedDemands(t, 4)}
		_, err := p.Preopen(t.Context(), plan)
		is.True(err != nil)
		step, err := p.Preopen(t.Context(), plan) // by another goroutine
		is.NoErr(err)
		is.Equal(step, Finished)
		is.Equal(o.of("o0"), 1)
		is.Equal(p.Stats().Open, 0)
	})
}
