package pooler

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// What Get fails with, besides the errors of Dial.
var (
	// ErrClosed reports a pool that was closed.
	ErrClosed = errors.New("pooler: closed")
	// ErrWaitTimeout reports that the context ended while all connections were in use.
	ErrWaitTimeout = errors.New("pooler: no connection came back in time")
)

// Pool is a set of connections of type C. Set the exported fields before the
// first use and change Limit only by SetLimit.
type Pool[C any] struct {
	// Limit is the greatest number of connections open at once; 0 allows none.
	Limit int
	// Dial opens a connection for an owner. It runs without the pool's lock.
	Dial func(ctx context.Context, owner string) (C, error)
	// Close ends a connection. It runs without the pool's lock.
	Close func(C)
	// Owner, when set, tells whom a connection was opened for; without it all are of
	// the owner "".
	Owner func(C) string
	// RequestPermit, when set, spreads the opening of connections: it is called once for
	// each that somebody waits for, without the pool's lock, and has to call
	// Permit once, now or later. Warm isn't paced.
	RequestPermit func()
	// ZeroLimitErr, when set, is what Get fails with while the limit is 0, also for those
	// who wait as it becomes 0. Without it they wait until it is raised.
	ZeroLimitErr error

	mu     sync.Mutex
	idle   []warm[C] // the one that was used last is at the end
	open   int
	spare  int // the fewest that were idle since the last Shrink
	asked  int // permits asked for that have not come
	line   []*waiter[C]
	closed bool
}

// warm is a connection that nobody uses, and whom it was opened for.
type warm[C any] struct {
	conn  C
	owner string
}

// request says which connections will do.
type request struct {
	owner string
	any   bool // those of every owner
}

func (r request) takes(owner string) bool { return r.any || r.owner == owner }

// waiter is one who waits in line. Its channel has room for one grant.
type waiter[C any] struct {
	request
	passed  int // connections that went to others behind it in line
	granted chan grant[C]
}

// grant is a warm connection, or the leave to dial one.
type grant[C any] struct {
	conn C
	warm bool
	err  error
}

// mostPassed is how many connections of other owners may go to those behind the first
// in line before one is closed to make room for it.
const mostPassed = 3

// Stats counts a pool's connections and those who wait for one.
type Stats struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
}

// Get returns a connection that belongs to the one who asks until Put or
// Discard, whomever it was opened for. It takes a warm one, opens one within the
// limit, or waits until ctx ends. The error is that of ctx or of Dial, or ErrClosed.
func (p *Pool[C]) Get(ctx context.Context) (C, error) { return p.get(ctx, request{any: true}) }

// GetFor is Get for a connection that was opened for an owner and is used for no
// other. Where the limit is reached, the connection of another owner that has been
// idle for longest is closed to make room.
func (p *Pool[C]) GetFor(ctx context.Context, owner string) (C, error) {
	return p.get(ctx, request{owner: owner})
}

func (p *Pool[C]) get(ctx context.Context, r request) (C, error) {
	g, w, o := p.ask(r)
	p.settle(o)
	if w != nil {
		var err error
		if g, err = p.wait(ctx, w); err != nil {
			var none C
			return none, err
		}
	}
	return p.use(ctx, r.owner, g)
}

// TryGet returns a warm connection of any owner if there is one, without waiting or
// dialing.
func (p *Pool[C]) TryGet() (C, bool) { return p.try(request{any: true}) }

// TryGetFor is TryGet for the connections of one owner.
func (p *Pool[C]) TryGetFor(owner string) (C, bool) { return p.try(request{owner: owner}) }

// HasIdle reports whether a connection of an owner is idle.
func (p *Pool[C]) HasIdle(owner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(request{owner: owner}) >= 0
}

func (p *Pool[C]) try(r request) (c C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.Limit {
		return c, false
	}
	return p.pop(r)
}

// outcome is what is to be done once the pool's lock is released, in this order: who
// gets the place of a connection opens another one only when that is closed.
type outcome[C any] struct {
	closed  []C          // connections to close
	granted []*waiter[C] // who may open one
	wanted  int          // permits to ask for
}

func (p *Pool[C]) settle(o outcome[C]) {
	for _, c := range o.closed {
		p.Close(c)
	}
	for _, w := range o.granted {
		w.granted <- grant[C]{}
	}
	for range o.wanted {
		p.RequestPermit()
	}
}

// ask takes a grant at once or joins the line.
func (p *Pool[C]) ask(r request) (grant[C], *waiter[C], outcome[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return grant[C]{err: ErrClosed}, nil, outcome[C]{}
	}
	if p.open <= p.Limit {
		if c, ok := p.pop(r); ok {
			return grant[C]{conn: c, warm: true}, nil, outcome[C]{}
		}
	}
	if p.none() {
		return grant[C]{err: p.ZeroLimitErr}, nil, outcome[C]{}
	}
	w := &waiter[C]{request: r, granted: make(chan grant[C], 1)}
	p.line = append(p.line, w)
	return grant[C]{}, w, p.admit()
}

// none reports whether who asks for a connection is told so at once.
func (p *Pool[C]) none() bool { return p.Limit == 0 && p.ZeroLimitErr != nil }

// Permit lets the first in line open a connection within the limit, and reports
// whether somebody does. A permit that nobody needs any more is lost.
func (p *Pool[C]) Permit() bool {
	p.mu.Lock()
	p.asked--
	var o outcome[C]
	permitted := len(p.line) > 0 && p.room(&o)
	if permitted {
		o.granted = append(o.granted, p.next(0))
	}
	p.mu.Unlock()
	p.settle(o)
	return permitted
}

// room takes a place for one more connection, that of the connection which has been
// idle for longest if there is no other, and reports whether there is one.
func (p *Pool[C]) room(o *outcome[C]) bool {
	switch {
	case p.open < p.Limit:
		p.open++
		return true
	case p.open > p.Limit || len(p.idle) == 0:
		return false
	}
	o.closed = append(o.closed, p.take(0))
	return true
}

// FailWaiting ends the wait of all who are in line with an error, for instance when it
// has become known that no connection will come.
func (p *Pool[C]) FailWaiting(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse(err)
}

func (p *Pool[C]) refuse(err error) {
	for len(p.line) > 0 {
		p.next(0).granted <- grant[C]{err: err}
	}
}

// find returns the place of the connection that was used last of those that will do,
// or a negative number.
func (p *Pool[C]) find(r request) int {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if r.takes(p.idle[i].owner) {
			return i
		}
	}
	return -1
}

func (p *Pool[C]) pop(r request) (c C, ok bool) {
	i := p.find(r)
	if i < 0 {
		return c, false
	}
	return p.take(i), true
}

// take takes out one of the idle connections.
func (p *Pool[C]) take(i int) C {
	c := p.idle[i].conn
	p.idle = slices.Delete(p.idle, i, i+1)
	p.spare = min(p.spare, len(p.idle))
	return c
}

// Shrink closes the connections that nobody has needed since the last call, but
// leaves keep of them open. Called at a steady period it lets go of what a peak
// of load has opened.
func (p *Pool[C]) Shrink(keep int) {
	p.mu.Lock()
	n := max(0, min(p.spare, p.open-keep, len(p.idle)))
	cut := connections(p.idle[:n]) // the front of the stack was idle for longest
	p.idle = slices.Delete(p.idle, 0, n)
	p.open -= n
	p.spare = len(p.idle)
	p.mu.Unlock()
	for _, c := range cut {
		p.Close(c)
	}
}

func connections[C any](list []warm[C]) []C {
	out := make([]C, 0, len(list))
	for _, w := range list {
		out = append(out, w.conn)
	}
	return out
}

func (p *Pool[C]) wait(ctx context.Context, w *waiter[C]) (grant[C], error) {
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	if p.leave(w) {
		return grant[C]{}, errors.Mark(errors.Wrap(ctx.Err(), "pooler: wait for a connection"), ErrWaitTimeout)
	}
	// A grant was made while ctx ended. Dropping it would lose a connection
	// for good, so it is taken.
	return <-w.granted, nil
}

// leave takes w out of the line. It returns false when w has a grant already.
func (p *Pool[C]) leave(w *waiter[C]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.line {
		if o == w {
			p.line = append(p.line[:i], p.line[i+1:]...)
			return true
		}
	}
	return false
}

func (p *Pool[C]) use(ctx context.Context, owner string, g grant[C]) (C, error) {
	if g.warm || g.err != nil {
		return g.conn, g.err
	}
	c, err := p.Dial(ctx, owner)
	if err != nil {
		p.drop()
		return c, errors.Wrap(err, "pooler: dial")
	}
	return c, nil
}

// Put gives a connection back to be used again.
func (p *Pool[C]) Put(c C) {
	kept, o := p.keep(c)
	p.settle(o)
	if !kept {
		p.Discard(c)
	}
}

// keep hands c to one in line or makes it idle. It returns false when the pool is
// closed or above its limit.
func (p *Pool[C]) keep(c C) (bool, outcome[C]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.Limit {
		return false, outcome[C]{}
	}
	owner := ""
	if p.Owner != nil {
		owner = p.Owner(c)
	}
	if i := p.heir(owner); i >= 0 {
		p.next(i).granted <- grant[C]{conn: c, warm: true}
		return true, outcome[C]{}
	}
	p.idle = append(p.idle, warm[C]{c, owner})
	return true, p.admit()
}

// heir returns the place in line of who gets a connection that has come back, or a
// negative number. Opening another one costs the upstream's time, so that the first
// in line whom it was opened for goes before others, but not for ever.
func (p *Pool[C]) heir(owner string) int {
	i := slices.IndexFunc(p.line, func(w *waiter[C]) bool { return w.takes(owner) })
	if i > 0 {
		if p.line[0].passed >= mostPassed {
			return -1
		}
		p.line[0].passed++
	}
	return i
}

// next takes one out of the line.
func (p *Pool[C]) next(i int) *waiter[C] {
	w := p.line[i]
	p.line = slices.Delete(p.line, i, i+1)
	return w
}

// Discard closes a connection that must not be used again and frees its place.
func (p *Pool[C]) Discard(c C) {
	p.Close(c)
	p.drop()
}

// drop frees one place and lets those in line dial while there is room.
func (p *Pool[C]) drop() {
	p.mu.Lock()
	p.open--
	o := p.admit()
	p.mu.Unlock()
	p.settle(o)
}

// admit lets those in line open connections within the limit, or asks for permits.
func (p *Pool[C]) admit() (o outcome[C]) {
	if p.RequestPermit != nil {
		places := max(0, p.Limit-p.open) + len(p.idle)
		o.wanted = max(0, min(len(p.line), places)-p.asked)
		p.asked += o.wanted
		return o
	}
	for len(p.line) > 0 && p.room(&o) {
		o.granted = append(o.granted, p.next(0))
	}
	return o
}

// Warm opens connections until n are open or the limit is reached, and leaves
// them idle, so that later owners don't wait for dialing.
func (p *Pool[C]) Warm(ctx context.Context, n int) error {
	for p.reserve(n) {
		c, err := p.use(ctx, "", grant[C]{})
		if err != nil {
			return err
		}
		p.Put(c)
	}
	return nil
}

func (p *Pool[C]) reserve(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(n, p.Limit) {
		return false
	}
	p.open++
	return true
}

// SetLimit changes the limit. Idle connections above it are closed at once,
// those in use when they come back.
func (p *Pool[C]) SetLimit(n int) {
	p.mu.Lock()
	p.Limit = n
	if p.none() {
		p.refuse(p.ZeroLimitErr)
	}
	cut := p.trim()
	o := p.admit()
	p.mu.Unlock()
	o.closed = append(o.closed, cut...)
	p.settle(o)
}

// trim takes out the idle connections above the limit, that of longest rest first.
func (p *Pool[C]) trim() []C {
	var cut []C
	for p.open > p.Limit && len(p.idle) > 0 {
		cut = append(cut, p.take(0))
		p.open--
	}
	return cut
}

// CloseIdle closes all idle connections, for instance when their upstream is gone.
func (p *Pool[C]) CloseIdle() {
	p.mu.Lock()
	idle := connections(p.idle)
	p.idle = nil
	p.spare = 0
	p.open -= len(idle)
	o := p.admit()
	p.mu.Unlock()
	o.closed = append(o.closed, idle...)
	p.settle(o)
}

// Sweep closes the idle connections that are not alive any more. alive runs with
// the pool's lock and must not wait.
func (p *Pool[C]) Sweep(alive func(C) bool) {
	p.mu.Lock()
	var dead []C
	p.idle = slices.DeleteFunc(p.idle, func(w warm[C]) bool {
		if alive(w.conn) {
			return false
		}
		dead = append(dead, w.conn)
		return true
	})
	p.spare = min(p.spare, len(p.idle))
	p.open -= len(dead)
	o := p.admit()
	p.mu.Unlock()
	o.closed = append(o.closed, dead...)
	p.settle(o)
}

// Stop closes the pool: idle connections at once, others when they come back;
// those in line get ErrClosed.
func (p *Pool[C]) Stop() {
	p.mu.Lock()
	p.closed = true
	p.refuse(ErrClosed)
	p.mu.Unlock()
	p.CloseIdle()
}

// Stats returns the pool's counts.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.Limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.line)}
}
