package pooler

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type numbers struct {
	next   int
	closed map[int]bool
	fail   error
}

func (n *numbers) pool(limit int) *Pool[int] {
	n.closed = map[int]bool{}
	return &Pool[int]{
		Limit: limit,
		Dial: func(context.Context, string) (int, error) {
			n.next++
			return n.next, n.fail
		},
		Close: func(c int) { n.closed[c] = true },
	}
}

func TestGetReusesWarm(t *testing.T) {
	is := is.New(t)
	n := &numbers{}
	p := n.pool(2)
	is.NoErr(p.Warm(t.Context(), 2))
	a, err := p.Get(t.Context())
	is.NoErr(err)
	p.Put(a)
	b, err := p.Get(t.Context())
	is.NoErr(err)
	is.Equal(a, b)
	p.Discard(b)
	is.True(n.closed[b])
	is.Equal(p.Stats(), Stats{Limit: 2, Open: 1, Idle: 1})
}

// Symptom: a caller waits for ever for a connection. Sequence: the limit is
// reached and nobody gives one back. Cause: waiting must end with the context.
func TestGetWaitsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := (&numbers{}).pool(1)
		c, err := p.Get(t.Context())
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = p.Get(ctx)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(p.Stats().Waiting, 0)
		p.Put(c)
		is.Equal(p.Stats().Idle, 1)
	})
}

// Symptom: the pool shrinks to nothing over a day. Sequence: dialing fails
// again and again. Cause: a failed dial must free its place.
func TestFailedDialFreesPlace(t *testing.T) {
	is := is.New(t)
	n := &numbers{fail: errors.New("refused")}
	p := n.pool(1)
	for range 3 {
		_, err := p.Get(t.Context())
		is.True(errors.Is(err, n.fail))
	}
	is.Equal(p.Stats().Open, 0)
}

func TestShrinkAndStop(t *testing.T) {
	is := is.New(t)
	n := &numbers{}
	p := n.pool(3)
	is.NoErr(p.Warm(t.Context(), 3))
	a, err := p.Get(t.Context())
	is.NoErr(err)
	p.SetLimit(1)
	is.Equal(p.Stats(), Stats{Limit: 1, Open: 1})
	p.SetLimit(0)
	p.Put(a)
	is.True(n.closed[a])
	p.Stop()
	_, err = p.Get(t.Context())
	is.True(errors.Is(err, ErrClosed))
}

// TestOneOwner checks in any order of steps that no connection has two owners,
// that the limit holds for new ones and that nothing leaks.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &numbers{}
		p := n.pool(3)
		owned := map[int]bool{}
		done, cancel := context.WithCancel(context.Background())
		cancel()
		take := func() (c int, ok bool) {
			for c = range owned {
				delete(owned, c)
				return c, true
			}
			return 0, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) {
				c, err := p.Get(done)
				if err != nil {
					return
				}
				if owned[c] || n.closed[c] {
					t.Fatalf("connection %d given twice or after its end", c)
				}
				owned[c] = true
			},
			"try": func(t *rapid.T) {
				c, ok := p.TryGet()
				if ok && (owned[c] || n.closed[c]) {
					t.Fatalf("connection %d given twice or after its end", c)
				}
				if ok {
					owned[c] = true
				}
			},
			"sweep": func(*rapid.T) { p.Sweep(func(c int) bool { return c%2 == 0 }) },
			"put": func(*rapid.T) {
				if c, ok := take(); ok {
					p.Put(c)
				}
			},
			"discard": func(*rapid.T) {
				if c, ok := take(); ok {
					p.Discard(c)
				}
			},
			"limit": func(t *rapid.T) { p.SetLimit(rapid.IntRange(0, 4).Draw(t, "limit")) },
			"": func(t *rapid.T) {
				s := p.Stats()
				if s.Open != len(owned)+s.Idle || s.Waiting != 0 || s.Idle > s.Limit {
					t.Fatalf("%+v with %d owned", s, len(owned))
				}
			},
		})
	})
}

// Symptom: after a failover all connections to the new primary are opened at the
// same moment. Sequence: several ask at once of an empty pool. Cause: each opened
// its own.
func TestPermitsPaceOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &numbers{}
		p := n.pool(3)
		var asked atomic.Int64
		p.RequestPermit = func() { asked.Add(1) }
		got := make(chan int)
		for range 5 {
			go func() {
				c, err := p.Get(t.Context())
				is.NoErr(err)
				got <- c
			}()
		}
		synctest.Wait()
		is.Equal(asked.Load(), int64(3)) // no more than the limit
		is.Equal(p.Stats(), Stats{Limit: 3, Waiting: 5})
		p.Permit()
		first := <-got
		is.Equal(p.Stats(), Stats{Limit: 3, Open: 1, Waiting: 4})
		p.Put(first)
		is.Equal(<-got, first) // the next in line needs no new one
		p.Discard(first)
		is.Equal(asked.Load(), int64(4)) // in place of the one that ended
		for range 3 {
			p.Permit()
			<-got
		}
		p.Permit() // for nobody
		is.Equal(p.Stats(), Stats{Limit: 3, Open: 3})
	})
}

// Symptom: after a loss of power everywhere the upstreams refuse the processes
// that come back. Sequence: a peak opens all connections of a share, and they stay
// open. Cause: nothing closes what nobody needs; the upstream counts the old ones
// for seconds more.
func TestShrinkClosesWhatNobodyNeeded(t *testing.T) {
	is := is.New(t)
	n := &numbers{}
	p := n.pool(8)
	is.NoErr(p.Warm(t.Context(), 8))
	p.Shrink(4)
	is.Equal(p.Stats().Open, 8) // they have just been opened
	var held []int
	for range 2 {
		c, err := p.Get(t.Context())
		is.NoErr(err)
		held = append(held, c)
	}
	for _, c := range held {
		p.Put(c)
	}
	p.Shrink(4)
	is.Equal(p.Stats(), Stats{Limit: 8, Open: 4, Idle: 4}) // six weren't needed, four stay
	for _, c := range held {
		is.True(!n.closed[c]) // the ones in use lately stay
	}
	p.Shrink(4)
	is.Equal(p.Stats().Open, 4)
}

// Symptom: statements wait until their time is over for an upstream that is known
// to be gone. Sequence: two connections are being opened, others wait in line; the
// upstream is found to be silent. Cause: only those that open one are told.
func TestRefuseEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := (&numbers{}).pool(1)
		c, err := p.Get(t.Context())
		is.NoErr(err)
		gone := errors.New("gone")
		ended := make(chan error)
		go func() {
			_, err := p.Get(t.Context())
			ended <- err
		}()
		synctest.Wait()
		p.FailWaiting(gone)
		is.Equal(<-ended, gone)
		p.Put(c)
		is.Equal(p.Stats(), Stats{Limit: 1, Open: 1, Idle: 1})
	})
}

// Symptom: statements wait for their whole second for connections that can't come.
// Sequence: they are in line as the limit becomes 0, or come after that. Cause: a
// pool without a limit lets them wait until it is raised.
func TestNobodyWaitsWithoutALimit(t *testing.T) {
	is := is.New(t)
	none := errors.New("none")
	p := &Pool[int]{
		Limit: 1, ZeroLimitErr: none, Close: func(int) {},
		Dial: func(context.Context, string) (int, error) { return 1, nil },
	}
	c, err := p.Get(t.Context())
	is.NoErr(err)
	ended := make(chan error)
	go func() {
		_, err := p.Get(t.Context())
		ended <- err
	}()
	for p.Stats().Waiting == 0 {
		runtime.Gosched()
	}
	p.SetLimit(0)
	is.True(errors.Is(<-ended, none))
	_, err = p.Get(t.Context())
	is.True(errors.Is(err, none))
	p.Put(c)
	is.Equal(p.Stats().Open, 0)
	p.SetLimit(1)
	_, err = p.Get(t.Context())
	is.NoErr(err)
}

// owned is a connection and whom it was opened for.
type owned struct {
	owner  string
	number int
}

// keyed is a pool that tells owners apart, and what it has closed.
type keyed struct {
	Pool[owned]
	mu     sync.Mutex
	opened int
	closed []owned
}

func newKeyed(limit int) *keyed {
	k := &keyed{}
	k.Limit = limit
	k.Dial = func(_ context.Context, owner string) (owned, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.opened++
		return owned{owner, k.opened}, nil
	}
	k.Close = func(c owned) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closed = append(k.closed, c)
	}
	k.Owner = func(c owned) string { return c.owner }
	return k
}

// Guards against a statement of one tenant on a connection that was opened for another.
func TestAConnectionServesItsOwnerOnly(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	k := newKeyed(2)
	a, err := k.GetFor(ctx, "a")
	is.NoErr(err)
	k.Put(a)
	is.True(k.HasIdle("a"))
	_, ok := k.TryGetFor("b")
	is.True(!ok)
	b, err := k.GetFor(ctx, "b")
	is.NoErr(err)
	is.Equal(b, owned{"b", 2})
	again, err := k.GetFor(ctx, "a")
	is.NoErr(err)
	is.Equal(again, a) // opened once
	k.Put(b)
	whichever, err := k.Get(ctx)
	is.NoErr(err)
	is.Equal(whichever, b) // the pool's own work takes whatever is there
}

// Guards against a pool whose connections all belong to tenants that have gone quiet.
func TestTheConnectionIdleForLongestMakesRoom(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	k := newKeyed(2)
	a, _ := k.GetFor(ctx, "a")
	b, _ := k.GetFor(ctx, "b")
	k.Put(a)
	k.Put(b)
	c, err := k.GetFor(ctx, "c")
	is.NoErr(err)
	is.Equal(c.owner, "c")
	is.Equal(k.closed, []owned{a})
	is.Equal(k.Stats().Open, 2)
}

// Guards against a tenant that keeps all connections for itself by asking without a
// pause.
func TestNobodyIsPassedOverForEver(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		ctx := context.Background()
		k := newKeyed(1)
		held, _ := k.GetFor(ctx, "busy")
		var order []string
		for _, owner := range []string{"quiet", "busy", "busy", "busy", "busy", "busy"} {
			go func() {
				c, err := k.GetFor(ctx, owner)
				is.NoErr(err)
				k.mu.Lock()
				order = append(order, owner)
				k.mu.Unlock()
				time.Sleep(time.Millisecond)
				k.Put(c)
			}()
			synctest.Wait()
		}
		k.Put(held)
		time.Sleep(time.Second)
		k.mu.Lock()
		defer k.mu.Unlock()
		is.Equal(order, []string{"busy", "busy", "busy", "quiet", "busy", "busy"})
	})
}

// Plays drawn uses by many tenants: no connection is ever used by another owner, and
// no more are open than the limit says.
func TestOwnersInDrawnUses(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		k := newKeyed(4)
		var inUse sync.Map
		for i := range 40 {
			go func() {
				rng := rand.New(rand.NewPCG(7, uint64(i)))
				for range 50 {
					owner := string(rune('a' + rng.IntN(9)))
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(20))*time.Millisecond)
					c, err := k.GetFor(ctx, owner)
					cancel()
					if err != nil {
						continue
					}
					is.Equal(c.owner, owner)
					_, twice := inUse.LoadOrStore(c.number, true)
					is.True(!twice) // one user at a time
					time.Sleep(time.Duration(rng.IntN(5)) * time.Millisecond)
					inUse.Delete(c.number)
					if rng.IntN(10) == 0 {
						k.Discard(c)
					} else {
						k.Put(c)
					}
				}
			}()
		}
		time.Sleep(time.Minute)
		s := k.Stats()
		is.Equal(s.Waiting, 0)
		is.True(s.Open <= 4 && s.Open == s.Idle)
	})
}
