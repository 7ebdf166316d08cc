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

// numberDialer dials connections that are consecutive numbers.
type numberDialer struct {
	next   int
	closed map[int]bool
	fail   error
}

func (n *numberDialer) pool(limit int) *Pool[int] {
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

func TestGetReusesIdleConnection(t *testing.T) {
	is := is.New(t)
	n := &numberDialer{}
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

// Guards against a caller that waits forever when the limit is reached and no
// connection is returned: the wait ends with the context.
func TestGetWaitsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := (&numberDialer{}).pool(1)
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

// Guards against failed dials that keep their places: the pool would shrink to nothing
// over time.
func TestFailedDialFreesPlace(t *testing.T) {
	is := is.New(t)
	n := &numberDialer{fail: errors.New("refused")}
	p := n.pool(1)
	for range 3 {
		_, err := p.Get(t.Context())
		is.True(errors.Is(err, n.fail))
	}
	is.Equal(p.Stats().Open, 0)
}

func TestShrinkAndStop(t *testing.T) {
	is := is.New(t)
	n := &numberDialer{}
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

// TestConnectionHasOneUser checks in random order of operations that no connection is
// used by two callers, that new connections respect the limit and that nothing leaks.
func TestConnectionHasOneUser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &numberDialer{}
		p := n.pool(3)
		taken := map[int]bool{}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		take := func() (c int, ok bool) {
			for c = range taken {
				delete(taken, c)
				return c, true
			}
			return 0, false
		}
		t.Repeat(map[string]func(*rapid.T){
			"get": func(t *rapid.T) {
				c, err := p.Get(ended)
				if err != nil {
					return
				}
				if taken[c] || n.closed[c] {
					t.Fatalf("connection %d returned by the pool while in use or after it was closed", c)
				}
				taken[c] = true
			},
			"try": func(t *rapid.T) {
				c, ok := p.TryGet()
				if ok && (taken[c] || n.closed[c]) {
					t.Fatalf("connection %d returned by the pool while in use or after it was closed", c)
				}
				if ok {
					taken[c] = true
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
				if s.Open != len(taken)+s.Idle || s.Waiting != 0 || s.Idle > s.Limit {
					t.Fatalf("%+v with %d in use", s, len(taken))
				}
			},
		})
	})
}

// Guards against callers that each dial at once when several of them find the pool
// empty: after a failover all connections to the new leader would be opened at the same
// moment.
func TestPermitsLimitOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &numberDialer{}
		p := n.pool(3)
		var requested atomic.Int64
		p.RequestPermit = func() { requested.Add(1) }
		got := make(chan int)
		for range 5 {
			go func() {
				c, err := p.Get(t.Context())
				is.NoErr(err)
				got <- c
			}()
		}
		synctest.Wait()
		is.Equal(requested.Load(), int64(3)) // at most the limit
		is.Equal(p.Stats(), Stats{Limit: 3, Waiting: 5})
		p.Permit()
		first := <-got
		is.Equal(p.Stats(), Stats{Limit: 3, Open: 1, Waiting: 4})
		p.Put(first)
		is.Equal(<-got, first) // the next waiter needs no new connection
		p.Discard(first)
		is.Equal(requested.Load(), int64(4)) // to replace the discarded one
		for range 3 {
			p.Permit()
			<-got
		}
		p.Permit() // no caller waits
		is.Equal(p.Stats(), Stats{Limit: 3, Open: 3})
	})
}

// Guards against connections of a load peak that stay open. After a power failure
// everywhere the upstreams would refuse the processes that restart, as an upstream
// counts the old connections for some more seconds.
func TestShrinkClosesUnneededConnections(t *testing.T) {
	is := is.New(t)
	n := &numberDialer{}
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
	is.Equal(p.Stats(), Stats{Limit: 8, Open: 4, Idle: 4}) // six were not needed, four are kept
	for _, c := range held {
		is.True(!n.closed[c]) // the recently used ones are kept
	}
	p.Shrink(4)
	is.Equal(p.Stats().Open, 4)
}

// Guards against statements that wait until their timeout for an upstream that is known
// to be down: some callers are dialing and others wait when the upstream is found not
// to answer, and not only those that dial must get the error.
func TestFailWaitingEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := (&numberDialer{}).pool(1)
		c, err := p.Get(t.Context())
		is.NoErr(err)
		errDown := errors.New("gone")
		result := make(chan error)
		go func() {
			_, err := p.Get(t.Context())
			result <- err
		}()
		synctest.Wait()
		p.FailWaiting(errDown)
		is.Equal(<-result, errDown)
		p.Put(c)
		is.Equal(p.Stats(), Stats{Limit: 1, Open: 1, Idle: 1})
	})
}

// Guards against statements that wait for their whole second for connections that
// cannot become available. They wait already when the limit becomes 0, or come after
// that, and a pool without ZeroLimitErr lets them wait until it is raised.
func TestWaitsFailAtZeroLimit(t *testing.T) {
	is := is.New(t)
	errNone := errors.New("none")
	p := &Pool[int]{
		Limit: 1, ZeroLimitErr: errNone, Close: func(int) {},
		Dial: func(context.Context, string) (int, error) { return 1, nil },
	}
	c, err := p.Get(t.Context())
	is.NoErr(err)
	result := make(chan error)
	go func() {
		_, err := p.Get(t.Context())
		result <- err
	}()
	for p.Stats().Waiting == 0 {
		runtime.Gosched()
	}
	p.SetLimit(0)
	is.True(errors.Is(<-result, errNone))
	_, err = p.Get(t.Context())
	is.True(errors.Is(err, errNone))
	p.Put(c)
	is.Equal(p.Stats().Open, 0)
	p.SetLimit(1)
	_, err = p.Get(t.Context())
	is.NoErr(err)
}

// ownedConn is a connection and its owner.
type ownedConn struct {
	owner  string
	number int
}

// ownerPool is a pool whose connections have owners, with a record of those that it has
// closed.
type ownerPool struct {
	Pool[ownedConn]
	mu     sync.Mutex
	opened int
	closed []ownedConn
}

func newOwnerPool(limit int) *ownerPool {
	k := &ownerPool{}
	k.Limit = limit
	k.Dial = func(_ context.Context, owner string) (ownedConn, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.opened++
		return ownedConn{owner, k.opened}, nil
	}
	k.Close = func(c ownedConn) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closed = append(k.closed, c)
	}
	k.Owner = func(c ownedConn) string { return c.owner }
	return k
}

// Guards against a statement of one tenant on a connection that was opened for another.
func TestConnectionServesOnlyItsOwner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	k := newOwnerPool(2)
	a, err := k.GetFor(ctx, "a")
	is.NoErr(err)
	k.Put(a)
	is.True(k.HasIdle("a"))
	_, ok := k.TryGetFor("b")
	is.True(!ok)
	b, err := k.GetFor(ctx, "b")
	is.NoErr(err)
	is.Equal(b, ownedConn{"b", 2})
	again, err := k.GetFor(ctx, "a")
	is.NoErr(err)
	is.Equal(again, a) // opened once
	k.Put(b)
	whichever, err := k.Get(ctx)
	is.NoErr(err)
	is.Equal(whichever, b) // Get accepts connections of any owner
}

// Guards against a pool whose connections all belong to tenants that are no longer
// active.
func TestLongestIdleConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	k := newOwnerPool(2)
	a, _ := k.GetFor(ctx, "a")
	b, _ := k.GetFor(ctx, "b")
	k.Put(a)
	k.Put(b)
	c, err := k.GetFor(ctx, "c")
	is.NoErr(err)
	is.Equal(c.owner, "c")
	is.Equal(k.closed, []ownedConn{a})
	is.Equal(k.Stats().Open, 2)
}

// Guards against a tenant that keeps all connections to itself by requesting without a
// pause.
func TestWaiterIsNotBypassedForever(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		ctx := context.Background()
		k := newOwnerPool(1)
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

// TestOwnersUnderRandomUse runs many tenants with random use: no connection is ever
// used by another owner, and no more connections are open than the limit allows.
func TestOwnersUnderRandomUse(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		k := newOwnerPool(4)
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
