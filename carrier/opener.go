package carrier

import (
	"cmp"
	"sync"
	"time"
)

// Bounds of opening connections to one upstream.
const (
	// openings is how many connections this process opens at a time. A handshake
	// takes some 20 ms in one of an upstream's few slots; with two each, the
	// processes that share it take its slots for two rounds at the most.
	// If all ask for their whole share at once after a change of leader, opening times
	// out, and the new leader is barred and freed by turns.
	openings = 2
	// firstRefusal and longestRefusal bound how long no connection is asked of an
	// upstream that had no room. Those of a process that lost power count for 3 s
	// more; asked for by each statement, they are refused hundreds of times a second.
	firstRefusal   = 150 * time.Millisecond
	longestRefusal = 600 * time.Millisecond
	// usualOpening is how long opening one is assumed to take before the first has been
	// opened.
	usualOpening = 20 * time.Millisecond
)

// opener spreads the opening of connections to one upstream: a few at a time, and
// none for a while after the upstream had no room. It is safe for concurrent use.
type opener struct {
	// permit lets the pool open one connection, and reports whether it does.
	permit func() bool
	now    func() time.Time
	// after calls a function later.
	after func(d time.Duration, f func())

	mu      sync.Mutex
	wanted  int // asked for and not permitted yet
	running int
	pause   time.Duration
	until   time.Time // no connection is opened before
	waking  bool
	mean    time.Duration // moving mean of how long opening one takes; zero before the first
}

// want asks for one connection. It is the pool's Pace.
func (o *opener) want() {
	o.mu.Lock()
	o.wanted++
	o.mu.Unlock()
	o.grant()
}

// opened takes in that opening one connection has ended.
func (o *opener) opened(refused bool) {
	o.mu.Lock()
	o.running--
	if refused {
		o.pause = min(max(2*o.pause, firstRefusal), longestRefusal)
		o.until = o.now().Add(o.pause)
	} else {
		o.pause = 0
	}
	o.mu.Unlock()
	o.grant()
}

// took takes in how long opening a connection has taken.
func (o *opener) took(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.mean == 0 {
		o.mean = d
	}
	o.mean += time.Duration(smoothing * float64(d-o.mean))
}

// expected returns how long opening a connection will take.
func (o *opener) expected() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return cmp.Or(o.mean, usualOpening)
}

// refused reports whether the upstream had no room a moment ago.
func (o *opener) refused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now().Before(o.until)
}

// grant permits what may be opened now.
func (o *opener) grant() {
	for o.take() {
		if !o.permit() {
			o.mu.Lock()
			o.running-- // nobody needs it any more
			o.mu.Unlock()
		}
	}
}

// take reports whether one connection may be opened now. While none may, it sees
// to being called again.
func (o *opener) take() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wanted == 0 || o.running >= openings {
		return false
	}
	if left := o.until.Sub(o.now()); left > 0 {
		if !o.waking {
			o.waking = true
			o.after(left, o.wake)
		}
		return false
	}
	o.wanted--
	o.running++
	return true
}

func (o *opener) wake() {
	o.mu.Lock()
	o.waking = false
	o.mu.Unlock()
	o.grant()
}
