package pooler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Get, besides the errors of Dial.
var (
	// ErrClosed reports that the pool is closed.
	ErrClosed = errors.New("pooler: closed")
	// ErrWaitTimeout reports that the context ended while all connections were in use.
	ErrWaitTimeout = errors.New("pooler: no connection came back in time")
)

// Pool is a set of connections of type C. Set the exported fields before the
// first use and change Limit only by SetLimit.
type Pool[C any] struct {
	// Limit is the maximum number of open connections; 0 allows none.
	Limit int
	// Dial opens a connection for an owner. It is called without the pool's lock.
	Dial func(ctx context.Context, owner string) (C, error)
	// Close closes a connection. It is called without the pool's lock.
	Close func(C)
	// Owner, when set, returns the owner that a connection was opened for. Without it
	// all connections have the owner "".
	Owner func(C) string
	// RequestPermit, when set, rate-limits the opening of connections. It is called
	// once for each connection that a caller waits for, without the pool's lock, and
	// must lead to one call of Permit, now or later. Warm needs no permits.
	RequestPermit func()
	// ZeroLimitErr, when set, is the error of Get while the limit is 0, also for
	// callers that already wait when it becomes 0. Without it they wait until the limit
	// is raised.
	ZeroLimitErr error
	// Sharing, when set, can divide the connections by expected demand.
	Sharing *Sharing

	mu             sync.Mutex
	idle           []idleConn[C] // the most recently used one is last
	open           int
	minIdle        int // the lowest number of idle connections since the last Shrink
	pendingPermits int // permits requested and not yet granted
	waiters        []*waiter[C]
	closed         bool
	rechecking     bool // reconsider will be called
	demand         demand
}

// idleConn is a connection that is not in use, and its owner.
type idleConn[C any] struct {
	conn  C
	owner string
}

// request selects the connections that a caller accepts.
type request struct {
	owner string
	any   bool // connections of every owner match
}

func (r request) matches(owner string) bool { return r.any || r.owner == owner }

// waiter is a caller that waits. Its channel has room for one grant.
type waiter[C any] struct {
	request
	since    time.Time // when it began to wait; zero without Sharing
	bypassed int       // connections that went to callers behind it
	granted  chan grant[C]
}

// grant is an error, an open connection or, if established is false, the right to dial
// one.
type grant[C any] struct {
	conn        C
	established bool
	err         error
}

// maxBypassed is how many connections of other owners may go to callers behind the
// first waiter before one is closed to make room for it.
const maxBypassed = 3

// Stats holds a pool's limit and the numbers of its connections and waiting callers.
type Stats struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
}

// Get returns a connection of any owner, for use by the caller alone until Put or
// Discard. It takes an idle one, opens one within the limit, or waits until ctx ends.
// The error is that of ctx or of Dial, ErrClosed, ZeroLimitErr or that of FailWaiting.
func (p *Pool[C]) Get(ctx context.Context) (C, error) { return p.get(ctx, request{any: true}) }

// GetFor is Get for a connection that was opened for the owner and is used for no
// other. If the limit is reached, the connection of another owner that has been idle
// longest is closed to make room.
func (p *Pool[C]) GetFor(ctx context.Context, owner string) (C, error) {
	return p.get(ctx, request{owner: owner})
}

func (p *Pool[C]) get(ctx context.Context, r request) (C, error) {
	g, w, actions := p.acquire(r)
	p.perform(actions)
	if w != nil {
		var err error
		if g, err = p.wait(ctx, w); err != nil {
			var zero C
			return zero, err
		}
	}
	return p.connect(ctx, r.owner, g)
}

// TryGet returns an idle connection of any owner if there is one, without waiting or
// dialing.
func (p *Pool[C]) TryGet() (C, bool) { return p.try(request{any: true}) }

// TryGetFor is TryGet for the connections of one owner.
func (p *Pool[C]) TryGetFor(owner string) (C, bool) { return p.try(request{owner: owner}) }

// HasIdle reports whether a connection of the owner is idle.
func (p *Pool[C]) HasIdle(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.findIdle(request{owner: owner}) >= 0
}

func (p *Pool[C]) try(r request) (c C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.Limit || p.isReserved(r) {
		return c, false
	}
	if c, ok = p.popIdle(r); ok {
		p.recordUse(r)
	}
	return c, ok
}

// deferred holds the actions to perform after the pool's lock is released, in this
// order: a caller that replaces a connection dials only after that one is closed.
type deferred[C any] struct {
	toClose []C          // connections to close
	toDial  []*waiter[C] // waiters that may dial
	permits int          // permits to request
	recheck bool         // reconsider the waiters after a while
}

func (p *Pool[C]) perform(actions deferred[C]) {
	for _, c := range actions.toClose {
		p.Close(c)
	}
	for _, w := range actions.toDial {
		w.granted <- grant[C]{}
	}
	for range actions.permits {
		p.RequestPermit()
	}
	if actions.recheck {
		p.Sharing.After(p.Sharing.OpeningTime(), p.reconsider)
	}
}

// acquire returns a grant at once or adds a waiter.
func (p *Pool[C]) acquire(r request) (grant[C], *waiter[C], deferred[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return grant[C]{err: ErrClosed}, nil, deferred[C]{}
	}
	p.recordUse(r)
	if p.open <= p.Limit && !p.isReserved(r) {
		if c, ok := p.popIdle(r); ok {
			return grant[C]{conn: c, established: true}, nil, deferred[C]{}
		}
	}
	if p.failsAtZeroLimit() {
		return grant[C]{err: p.ZeroLimitErr}, nil, deferred[C]{}
	}
	w := &waiter[C]{request: r, granted: make(chan grant[C], 1)}
	if p.sharing() {
		w.since = p.Sharing.Now()
	}
	p.waiters = append(p.waiters, w)
	return grant[C]{}, w, p.admitWaiters()
}

// failsAtZeroLimit reports whether requests fail with ZeroLimitErr.
func (p *Pool[C]) failsAtZeroLimit() bool { return p.Limit == 0 && p.ZeroLimitErr != nil }

// FailWaiting ends the wait of all waiting callers with an error, for instance when it
// is known that no connection will become available.
func (p *Pool[C]) FailWaiting(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failWaitingLocked(err)
}

func (p *Pool[C]) failWaitingLocked(err error) {
	for len(p.waiters) > 0 {
		p.removeWaiter(0).granted <- grant[C]{err: err}
	}
}

// findIdle returns the index of the most recently used idle connection that matches, or
// a negative number.
func (p *Pool[C]) findIdle(r request) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if r.matches(p.idle[i].owner) {
			return i
		}
	}
	return -1
}

func (p *Pool[C]) popIdle(r request) (c C, ok bool) {
	i := p.findIdle(r)
	if i < 0 {
		return c, false
	}
	p.account(p.idle[i].owner).inUse++
	return p.removeIdle(i), true
}

// removeIdle removes and returns the idle connection at index i.
func (p *Pool[C]) removeIdle(i int) C {
	c := p.idle[i].conn
	p.idle = slices.Delete(p.idle, i, i+1)
	p.minIdle = min(p.minIdle, len(p.idle))
	return c
}

// Shrink closes the connections that were idle all the time since the last call, but
// leaves at least keep connections open, idle or in use. Called at a fixed interval, it
// closes the connections that a peak of load has opened.
func (p *Pool[C]) Shrink(keep int) {
	p.mu.Lock()
	n := max(0, min(p.minIdle, p.open-keep, len(p.idle)))
	unused := connsOf(p.idle[:n]) // the front was idle longest
	p.recordClosed(p.idle[:n]...)
	p.idle = slices.Delete(p.idle, 0, n)
	p.open -= n
	p.minIdle = len(p.idle)
	p.mu.Unlock()
	for _, c := range unused {
		p.Close(c)
	}
}

func connsOf[C any](list []idleConn[C]) []C {
	out := make([]C, 0, len(list))
	for _, entry := range list {
		out = append(out, entry.conn)
	}
	return out
}

func (p *Pool[C]) wait(ctx context.Context, w *waiter[C]) (grant[C], error) {
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	if p.cancelWait(w) {
		return grant[C]{}, errors.Mark(errors.Wrap(ctx.Err(), "pooler: wait for a connection"), ErrWaitTimeout)
	}
	// The grant was made while ctx ended. Dropping it would leak a connection,
	// so it is taken.
	return <-w.granted, nil
}

// cancelWait removes w from the waiters. It returns false when w already has a grant.
func (p *Pool[C]) cancelWait(w *waiter[C]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.waiters {
		if o == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// connect returns the connection or the error of a grant. It dials if the grant is the
// right to do so.
func (p *Pool[C]) connect(ctx context.Context, owner string, g grant[C]) (C, error) {
	if g.established || g.err != nil {
		return g.conn, g.err
	}
	c, err := p.Dial(ctx, owner)
	p.mu.Lock()
	a := p.account(owner)
	a.opening--
	a.inUse++
	p.mu.Unlock()
	if err != nil {
		p.releasePlace(owner)
		return c, errors.Wrap(err, "pooler: dial")
	}
	return c, nil
}

// Put returns a connection for reuse.
func (p *Pool[C]) Put(c C) {
	reused, actions := p.reuse(c)
	p.perform(actions)
	if !reused {
		p.Discard(c)
	}
}

// reuse gives c to a waiter or makes it idle. It returns false when the pool is closed
// or above its limit.
func (p *Pool[C]) reuse(c C) (bool, deferred[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.Limit {
		return false, deferred[C]{}
	}
	owner := p.ownerOf(c)
	if i := p.nextWaiter(owner); i >= 0 {
		p.removeWaiter(i).granted <- grant[C]{conn: c, established: true}
		return true, deferred[C]{}
	}
	p.account(owner).inUse--
	p.idle = append(p.idle, idleConn[C]{c, owner})
	return true, p.admitWaiters()
}

// removeWaiter removes and returns the waiter at index i.
func (p *Pool[C]) removeWaiter(i int) *waiter[C] {
	w := p.waiters[i]
	p.waiters = slices.Delete(p.waiters, i, i+1)
	return w
}

// Discard closes a connection that must not be reused and frees its place.
func (p *Pool[C]) Discard(c C) {
	p.Close(c)
	p.releasePlace(p.ownerOf(c))
}

// Warm opens connections until n are open or the limit is reached, and leaves them
// idle, so that later callers need not wait for dialing.
func (p *Pool[C]) Warm(ctx context.Context, n int) error {
	for p.reservePlace(n) {
		c, err := p.connect(ctx, "", grant[C]{})
		if err != nil {
			return err
		}
		p.Put(c)
	}
	return nil
}

// SetLimit changes the limit. Idle connections above it are closed at once, connections
// in use when they are returned.
func (p *Pool[C]) SetLimit(n int) {
	p.mu.Lock()
	p.Limit = n
	if p.failsAtZeroLimit() {
		p.failWaitingLocked(p.ZeroLimitErr)
	}
	excess := p.trimIdle()
	actions := p.admitWaiters()
	p.mu.Unlock()
	actions.toClose = append(actions.toClose, excess...)
	p.perform(actions)
}

// trimIdle removes the idle connections above the limit, longest idle first.
func (p *Pool[C]) trimIdle() []C {
	var excess []C
	for p.open > p.Limit && len(p.idle) > 0 {
		p.recordClosed(p.idle[0])
		excess = append(excess, p.removeIdle(0))
		p.open--
	}
	return excess
}

// CloseIdle closes all idle connections, for instance when their upstream has failed.
func (p *Pool[C]) CloseIdle() {
	p.mu.Lock()
	idle := connsOf(p.idle)
	p.recordClosed(p.idle...)
	p.idle = nil
	p.minIdle = 0
	p.open -= len(idle)
	actions := p.admitWaiters()
	p.mu.Unlock()
	actions.toClose = append(actions.toClose, idle...)
	p.perform(actions)
}

// Sweep closes the idle connections for which alive returns false. alive is called with
// the pool's lock held and must not block.
func (p *Pool[C]) Sweep(alive func(C) bool) {
	p.mu.Lock()
	var dead []C
	p.idle = slices.DeleteFunc(p.idle, func(candidate idleConn[C]) bool {
		if alive(candidate.conn) {
			return false
		}
		dead = append(dead, candidate.conn)
		p.recordClosed(candidate)
		return true
	})
	p.minIdle = min(p.minIdle, len(p.idle))
	p.open -= len(dead)
	actions := p.admitWaiters()
	p.mu.Unlock()
	actions.toClose = append(actions.toClose, dead...)
	p.perform(actions)
}

// Stop closes the pool: idle connections at once, others when they are returned.
// Waiting callers get ErrClosed.
func (p *Pool[C]) Stop() {
	p.mu.Lock()
	p.closed = true
	p.failWaitingLocked(ErrClosed)
	p.mu.Unlock()
	p.CloseIdle()
}

// Stats returns the current limit and counts.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.Limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.waiters)}
}
