package pooler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// sharedConn is a connection of an owner.
type sharedConn struct{ owner string }

// openings counts the connections that were opened, by owner.
type openings struct {
	mu    sync.Mutex
	count map[string]int
}

func (o *openings) of(owner string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count[owner]
}

// sharedPool returns a pool whose connections are divided by demand while on returns true.
// Opening one takes 12 ms.
func sharedPool(limit int, on func() bool) (*Pool[sharedConn], *openings) {
	o := &openings{count: map[string]int{}}
	p := &Pool[sharedConn]{
		Limit: limit,
		Dial: func(_ context.Context, owner string) (sharedConn, error) {
			o.mu.Lock()
			o.count[owner]++
			o.mu.Unlock()
			time.Sleep(12 * time.Millisecond)
			return sharedConn{owner}, nil
		},
		Close: func(sharedConn) {},
		Owner: func(c sharedConn) string { return c.owner },
		Sharing: &Sharing{
			On: on, Now: time.Now,
			After:       func(d time.Duration, f func()) { time.AfterFunc(d, f) },
			OpeningTime: func() time.Duration { return 12 * time.Millisecond },
		},
	}
	p.RequestPermit = func() { go p.Permit() }
	return p, o
}

func always() bool { return true }

// useFor uses a connection of an owner for an amount of time and reports whether it got one
// within the context.
func useFor(ctx context.Context, p *Pool[sharedConn], owner string, d time.Duration) bool {
	c, err := p.GetFor(ctx, owner)
	if err != nil {
		return false
	}
	time.Sleep(d)
	p.Put(c)
	return true
}

// Guards against a hot owner that takes the connections of others that use theirs: each of
// them opens one connection in all.
func TestHotOwnerLeavesOthersTheirConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := sharedPool(8, always)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var all sync.WaitGroup
		for range 20 {
			all.Go(func() {
				for ctx.Err() == nil {
					useFor(ctx, p, "hot", 15*time.Millisecond)
				}
			})
		}
		for i := range 5 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 90 * time.Millisecond)
				for ctx.Err() == nil {
					began := time.Now()
					is.True(useFor(t.Context(), p, fmt.Sprint(i), 10*time.Millisecond))
					is.True(time.Since(began) < 100*time.Millisecond)
					time.Sleep(1500 * time.Millisecond)
				}
			})
		}
		all.Wait()
		for i := range 5 {
			is.Equal(opened.of(fmt.Sprint(i)), 1)
		}
		is.True(opened.of("hot") >= 3) // the rest is of use to it
	})
}

// Guards against the connection of an owner with much demand being closed because it has
// been idle longest.
func TestClosesConnectionOfLeastDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := sharedPool(2, always)
		for range 10 {
			useFor(t.Context(), p, "much", time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		useFor(t.Context(), p, "little", time.Millisecond)
		useFor(t.Context(), p, "new", time.Millisecond)
		is.True(p.HasIdle("much"))
		is.Equal(opened.of("much"), 1)
		is.True(!p.HasIdle("little"))
	})
}

// Guards against an opening where the owner's own connection is back earlier, and against a
// wait for one that does not come back as expected.
func TestWaitsForOwnConnectionOnlyWhileItIsFaster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, opened := sharedPool(4, always)
		for range 20 {
			useFor(t.Context(), p, "w", 4*time.Millisecond)
			time.Sleep(20 * time.Millisecond)
		}
		go useFor(t.Context(), p, "w", 4*time.Millisecond)
		time.Sleep(time.Millisecond)
		useFor(t.Context(), p, "w", 4*time.Millisecond)
		is.Equal(opened.of("w"), 1)
		go useFor(t.Context(), p, "w", time.Second)
		time.Sleep(time.Millisecond)
		began := time.Now()
		useFor(t.Context(), p, "w", 0)
		is.Equal(opened.of("w"), 2)
		is.True(time.Since(began) <= 4*12*time.Millisecond)
		time.Sleep(2 * time.Second) // the long use ends
	})
}

// Guards against demand that takes memory for every owner of a large configuration.
func TestAccountsAreBounded(t *testing.T) {
	is := is.New(t)
	var d demand
	now := time.Unix(0, 0)
	for i := range 10000 {
		now = now.Add(time.Millisecond)
		d.of(fmt.Sprint(i), now).use(now)
		d.of("much", now).use(now)
	}
	is.Equal(len(d.accounts), maxAccounts)
	is.True(d.accounts["much"].uses > 1000)
}

// Guards against waiters that nobody serves, and numbers of connections that drift, when the
// sharing is switched under load, connections break and the limit changes.
func TestSwitchingUnderLoadLosesNoWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		p, _ := sharedPool(6, func() bool { return time.Since(began)/(70*time.Millisecond)%2 == 0 })
		rng := rand.New(rand.NewPCG(1, 2))
		var all sync.WaitGroup
		for i := range 4000 {
			owner, broken, hold := fmt.Sprint(rng.IntN(9)), rng.IntN(20) == 0, time.Duration(rng.IntN(20))*time.Millisecond
			all.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				c, err := p.GetFor(t.Context(), owner)
				is.NoErr(err)
				is.Equal(c.owner, owner)
				time.Sleep(hold)
				if broken {
					p.Discard(c)
				} else {
					p.Put(c)
				}
			})
			if i%500 == 0 {
				all.Go(func() {
					time.Sleep(time.Duration(i) * 3 * time.Millisecond)
					p.SetLimit(4 + i/500%3)
					p.Sweep(func(sharedConn) bool { return i%1000 == 0 })
				})
			}
		}
		all.Wait()
		open := 0
		for _, a := range p.demand.accounts {
			is.Equal(a.inUse+a.opening, 0)
			open += a.open
		}
		is.Equal(open, p.Stats().Open)
		is.Equal(p.Stats().Idle, p.Stats().Open)
	})
}

// Guards against decisions that differ from those of a pool without Sharing while it is off.
func TestSharingThatIsOffChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		with, opened := sharedPool(4, func() bool { return false })
		without, openedWithout := sharedPool(4, nil)
		without.Sharing = nil
		rng := rand.New(rand.NewPCG(5, 6))
		for range 2000 {
			owner, discard := fmt.Sprint(rng.IntN(9)), rng.IntN(10) == 0
			for _, p := range []*Pool[sharedConn]{with, without} {
				c, err := p.GetFor(t.Context(), owner)
				is.NoErr(err)
				if discard {
					p.Discard(c)
				} else {
					p.Put(c)
				}
			}
			is.Equal(with.idle, without.idle)
		}
		is.Equal(opened.count, openedWithout.count)
		is.Equal(with.demand.accounts["0"].uses, 0.0)
	})
}
