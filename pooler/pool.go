package pooler

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
)

// What Get fails with, besides the errors of Dial.
var (
	// ErrClosed reports a pool that was closed.
	ErrClosed = errors.New("pooler: closed")
	// ErrWait reports that the context ended while all connections were in use.
	ErrWait = errors.New("pooler: no connection came back in time")
)

// Pool is a set of connections of type C. Set the exported fields before the
// first use and change Limit only by SetLimit.
type Pool[C any] struct {
	// Limit is the greatest number of connections open at once; 0 allows none.
	Limit int
	// Dial opens a connection. It runs without the pool's lock.
	Dial func(ctx context.Context) (C, error)
	// Close ends a connection. It runs without the pool's lock.
	Close func(C)
	// Pace, when set, spreads the opening of connections: it is called once for
	// each that somebody waits for, without the pool's lock, and has to call
	// Permit once, now or later. Warm isn't paced.
	Pace func()
	// None, when set, is what Get fails with while the limit is 0, also for those
	// who wait as it becomes 0. Without it they wait until it is raised.
	None error

	mu     sync.Mutex
	idle   []C
	open   int
	spare  int // the fewest that were idle since the last Shrink
	asked  int // permits asked for that have not come
	line   []*waiter[C]
	closed bool
}

// waiter is one who waits in line. Its channel has room for one grant.
type waiter[C any] struct {
	granted chan grant[C]
}

// grant is a warm connection, or the leave to dial one.
type grant[C any] struct {
	conn C
	warm bool
	err  error
}

// Stats counts a pool's connections and those who wait for one.
type Stats struct {
	Limit   int
	Open    int
	Idle    int
	Waiting int
}

// Get returns a connection that belongs to the one who asks until Put or
// Discard. It takes a warm one, opens one within the limit, or waits until ctx
// ends. The error is that of ctx or of Dial, or ErrClosed.
func (p *Pool[C]) Get(ctx context.Context) (C, error) {
	g, w, wanted := p.ask()
	p.pace(wanted)
	if w != nil {
		var err error
		if g, err = p.wait(ctx, w); err != nil {
			var none C
			return none, err
		}
	}
	return p.use(ctx, g)
}

// TryGet returns a warm connection if there is one, without waiting or dialing.
func (p *Pool[C]) TryGet() (c C, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) == 0 || p.open > p.Limit {
		return c, false
	}
	return p.pop(), true
}

// ask takes a grant at once or joins the line, and returns how many permits are
// to be asked for.
func (p *Pool[C]) ask() (grant[C], *waiter[C], int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return grant[C]{err: ErrClosed}, nil, 0
	}
	if n := len(p.idle); n > 0 && p.open <= p.Limit {
		return grant[C]{conn: p.pop(), warm: true}, nil, 0
	}
	if p.none() {
		return grant[C]{err: p.None}, nil, 0
	}
	if p.open < p.Limit && p.Pace == nil {
		p.open++
		return grant[C]{}, nil, 0
	}
	w := &waiter[C]{granted: make(chan grant[C], 1)}
	p.line = append(p.line, w)
	return grant[C]{}, w, p.admit()
}

// none reports whether who asks for a connection is told so at once.
func (p *Pool[C]) none() bool { return p.Limit == 0 && p.None != nil }

// pace asks for permits.
func (p *Pool[C]) pace(n int) {
	for range n {
		p.Pace()
	}
}

// Permit lets the first in line open a connection within the limit, and reports
// whether somebody does. A permit that nobody needs any more is lost.
func (p *Pool[C]) Permit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked--
	if len(p.line) == 0 || p.open >= p.Limit {
		return false
	}
	p.open++
	p.next().granted <- grant[C]{}
	return true
}

// Refuse ends the wait of all who are in line with an error, for instance when it
// has become known that no connection will come.
func (p *Pool[C]) Refuse(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse(err)
}

func (p *Pool[C]) refuse(err error) {
	for len(p.line) > 0 {
		p.next().granted <- grant[C]{err: err}
	}
}

func (p *Pool[C]) pop() C {
	var none C
	n := len(p.idle) - 1
	c := p.idle[n]
	p.idle[n] = none
	p.idle = p.idle[:n]
	p.spare = min(p.spare, n)
	return c
}

// Shrink closes the connections that nobody has needed since the last call, but
// leaves keep of them open. Called at a steady period it lets go of what a peak
// of load has opened.
func (p *Pool[C]) Shrink(keep int) {
	p.mu.Lock()
	n := max(0, min(p.spare, p.open-keep, len(p.idle)))
	cut := append([]C(nil), p.idle[:n]...) // the front of the stack was idle for longest
	rest := copy(p.idle, p.idle[n:])
	clear(p.idle[rest:])
	p.idle = p.idle[:rest]
	p.open -= n
	p.spare = len(p.idle)
	p.mu.Unlock()
	for _, c := range cut {
		p.Close(c)
	}
}

func (p *Pool[C]) wait(ctx context.Context, w *waiter[C]) (grant[C], error) {
	select {
	case g := <-w.granted:
		return g, nil
	case <-ctx.Done():
	}
	if p.leave(w) {
		return grant[C]{}, errors.Mark(errors.Wrap(ctx.Err(), "pooler: wait for a connection"), ErrWait)
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

func (p *Pool[C]) use(ctx context.Context, g grant[C]) (C, error) {
	if g.warm || g.err != nil {
		return g.conn, g.err
	}
	c, err := p.Dial(ctx)
	if err != nil {
		p.drop()
		return c, errors.Wrap(err, "pooler: dial")
	}
	return c, nil
}

// Put gives a connection back to be used again.
func (p *Pool[C]) Put(c C) {
	if !p.keep(c) {
		p.Discard(c)
	}
}

// keep hands c to the first in line or makes it idle. It returns false when
// the pool is closed or above its limit.
func (p *Pool[C]) keep(c C) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open > p.Limit {
		return false
	}
	if len(p.line) > 0 {
		p.next().granted <- grant[C]{conn: c, warm: true}
		return true
	}
	p.idle = append(p.idle, c)
	return true
}

func (p *Pool[C]) next() *waiter[C] {
	w := p.line[0]
	p.line[0] = nil
	p.line = p.line[1:]
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
	wanted := p.admit()
	p.mu.Unlock()
	p.pace(wanted)
}

// admit lets those in line open connections within the limit, or returns how many
// permits are to be asked for.
func (p *Pool[C]) admit() (wanted int) {
	if p.Pace != nil {
		wanted = max(0, min(len(p.line), p.Limit-p.open)-p.asked)
		p.asked += wanted
		return wanted
	}
	for len(p.line) > 0 && p.open < p.Limit {
		p.open++
		p.next().granted <- grant[C]{}
	}
	return 0
}

// Warm opens connections until n are open or the limit is reached, and leaves
// them idle, so that later owners don't wait for dialing.
func (p *Pool[C]) Warm(ctx context.Context, n int) error {
	for p.reserve(n) {
		c, err := p.use(ctx, grant[C]{})
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
		p.refuse(p.None)
	}
	cut := p.trim()
	wanted := p.admit()
	p.mu.Unlock()
	p.pace(wanted)
	for _, c := range cut {
		p.Close(c)
	}
}

func (p *Pool[C]) trim() []C {
	var cut []C
	for p.open > p.Limit && len(p.idle) > 0 {
		cut = append(cut, p.pop())
		p.open--
	}
	return cut
}

// Flush closes all idle connections, for instance when their upstream is gone.
func (p *Pool[C]) Flush() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.spare = 0
	p.open -= len(idle)
	wanted := p.admit()
	p.mu.Unlock()
	p.pace(wanted)
	for _, c := range idle {
		p.Close(c)
	}
}

// Sweep closes the idle connections that are not alive any more. alive runs with
// the pool's lock and must not wait.
func (p *Pool[C]) Sweep(alive func(C) bool) {
	p.mu.Lock()
	var dead []C
	kept := p.idle[:0]
	for _, c := range p.idle {
		if alive(c) {
			kept = append(kept, c)
		} else {
			dead = append(dead, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	p.open -= len(dead)
	wanted := p.admit()
	p.mu.Unlock()
	p.pace(wanted)
	for _, c := range dead {
		p.Close(c)
	}
}

// Stop closes the pool: idle connections at once, others when they come back;
// those in line get ErrClosed.
func (p *Pool[C]) Stop() {
	p.mu.Lock()
	p.closed = true
	p.refuse(ErrClosed)
	p.mu.Unlock()
	p.Flush()
}

// Stats returns the pool's counts.
func (p *Pool[C]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{Limit: p.Limit, Open: p.open, Idle: len(p.idle), Waiting: len(p.line)}
}
