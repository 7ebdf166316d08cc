package demonstrator

import (
	"sync"
	"time"
)

// gap measures the time without a completed write around a fault: the longest
// pause between two bookings that were done, from the last one before the fault
// to the first one after another primary leads. The first one after the fault
// wouldn't do: its answer may have been on its way when the fault began.
type gap struct {
	mu       sync.Mutex
	last     time.Time // the last booking done
	longest  time.Duration
	watching bool
	led      time.Time // another primary leads since
	over     bool
}

// done records a booking of the watched group that was done at a time.
func (g *gap) done(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !at.After(g.last) {
		return
	}
	if g.watching && !g.last.IsZero() {
		g.longest = max(g.longest, at.Sub(g.last))
	}
	g.last = at
	if g.watching && !g.led.IsZero() && at.After(g.led) {
		g.watching, g.over = false, true
	}
}

// begin says that the fault begins.
func (g *gap) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.watching = true
}

// replaced says that another primary leads.
func (g *gap) replaced(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.led = now
}

// measured returns the gap, and false while it isn't over or never began.
func (g *gap) measured() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longest, g.over
}
