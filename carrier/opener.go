package carrier

import (
	"cmp"
	"sync"
	"time"
)

// Bounds of opening connections to one upstream.
const (
	// maxConcurrentOpenings is how many connections this process opens at a time. A
	// handshake takes some 20 ms in one of an upstream's few slots; with two each, the
	// processes that share the upstream take its slots for two rounds at most. If all
	// processes opened their whole share at once after a change of leader, the handshakes
	// would time out and the new leader would be ejected and restored by turns.
	maxConcurrentOpenings = 2
	// minRefusalDelay and maxRefusalDelay bound how long no connection is requested of an
	// upstream that refused one at its connection limit. The connections of a process that
	// lost power count for 3 s more; if each statement requested a connection, the upstream
	// would refuse hundreds a second.
	minRefusalDelay = 150 * time.Millisecond
	maxRefusalDelay = 600 * time.Millisecond
	// defaultOpeningTime is how long opening a connection is assumed to take before the
	// first has been opened.
	defaultOpeningTime = 20 * time.Millisecond
)

// opener limits the rate of opening connections to one upstream: a few at a time, and none
// for a while after the upstream refused one at its connection limit. It is safe for
// concurrent use.
type opener struct {
	// permit lets the pool open one connection, and reports whether it does.
	permit func() bool
	now    func() time.Time
	// after calls a function later.
	after func(d time.Duration, f func())

	mu            sync.Mutex
	wanted        int // requested and not permitted yet
	inProgress    int
	refusalDelay  time.Duration
	blockedUntil  time.Time // no connection is opened before this time
	wakeScheduled bool
	meanTime      time.Duration // moving mean of the time to open one; zero before the first
}

// request requests one connection. It is the pool's RequestPermit function.
func (o *opener) request() {
	o.mu.Lock()
	o.wanted++
	o.mu.Unlock()
	o.grantPermits()
}

// reserve counts one connection that no caller waits for as being opened, if it may be opened
// now and no caller requests one. recordEnd or cancel must follow.
func (o *opener) reserve() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wanted > 0 || o.inProgress >= maxConcurrentOpenings || o.now().Before(o.blockedUntil) {
		return false
	}
	o.inProgress++
	return true
}

// cancel ends a reservation that was not used.
func (o *opener) cancel() {
	o.mu.Lock()
	o.inProgress--
	o.mu.Unlock()
	o.grantPermits()
}

// recordEnd records that opening one connection has ended.
func (o *opener) recordEnd(refused bool) {
	o.mu.Lock()
	o.inProgress--
	if refused {
		o.refusalDelay = min(max(2*o.refusalDelay, minRefusalDelay), maxRefusalDelay)
		o.blockedUntil = o.now().Add(o.refusalDelay)
	} else {
		o.refusalDelay = 0
	}
	o.mu.Unlock()
	o.grantPermits()
}

// recordTime records how long opening a connection has taken.
func (o *opener) recordTime(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.meanTime == 0 {
		o.meanTime = d
	}
	o.meanTime += time.Duration(latencySmoothing * float64(d-o.meanTime))
}

// expectedTime returns the expected time to open a connection.
func (o *opener) expectedTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return cmp.Or(o.meanTime, defaultOpeningTime)
}

// isBlocked reports whether the upstream refused a connection at its limit a moment ago.
func (o *opener) isBlocked() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now().Before(o.blockedUntil)
}

// grantPermits permits as many connections as may be opened now.
func (o *opener) grantPermits() {
	for o.tryStart() {
		if !o.permit() {
			o.mu.Lock()
			o.inProgress-- // nobody needs it any more
			o.mu.Unlock()
		}
	}
}

// tryStart counts one wanted connection as in progress if it may be opened now, and reports
// whether it did. If the upstream is blocked, it schedules a wake-up.
func (o *opener) tryStart() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.wanted == 0 || o.inProgress >= maxConcurrentOpenings {
		return false
	}
	if left := o.blockedUntil.Sub(o.now()); left > 0 {
		if !o.wakeScheduled {
			o.wakeScheduled = true
			o.after(left, o.wake)
		}
		return false
	}
	o.wanted--
	o.inProgress++
	return true
}

func (o *opener) wake() {
	o.mu.Lock()
	o.wakeScheduled = false
	o.mu.Unlock()
	o.grantPermits()
}
