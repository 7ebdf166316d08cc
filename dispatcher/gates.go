package dispatcher

import (
	"context"
	"math"
	"net/netip"
	"sync"
	"time"

	"basildale.example/basildale/limiter"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

// gates are the queues before the upstreams of a group, one for each. They live
// as long as the group has the upstream.
type gates struct {
	mu  sync.Mutex
	all map[netip.AddrPort]*limiter.Gate
}

// get returns the gate of an upstream, a new one under the limits l at first.
func (g *gates) get(a netip.AddrPort, l limiter.Limits) *limiter.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gate := g.all[a]; gate != nil {
		return gate
	}
	if g.all == nil {
		g.all = make(map[netip.AddrPort]*limiter.Gate)
	}
	gate := &limiter.Gate{Now: time.Now}
	gate.Apply(l)
	g.all[a] = gate
	return gate
}

// apply puts other limits in force, also for what waits and runs.
func (g *gates) apply(l limiter.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, gate := range g.all {
		gate.Apply(l)
	}
}

// tenants gives each tenant a small number, by which the queues know it.
type tenants struct {
	mu  sync.RWMutex
	all map[string]uint16
}

func (t *tenants) number(name string) uint16 {
	t.mu.RLock()
	n, ok := t.all[name]
	t.mu.RUnlock()
	if ok {
		return n
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.all[name]; ok {
		return n
	}
	if t.all == nil {
		t.all = make(map[string]uint16)
	}
	// Tenants come from the operators' configuration. More than there are
	// numbers share the last one, and with it one place in the queues.
	n = uint16(min(len(t.all), math.MaxUint16))
	t.all[name] = n
	return n
}

// limitsOf returns the limits of a group's queues under the preset in force;
// without one, those of ordinary days.
func (d *Dispatcher) limitsOf(group string) limiter.Limits {
	r := d.Control.Config()
	if r == nil || r.Config == nil {
		return limiter.DefaultLimits()
	}
	if l, ok := r.Config.GroupLimits(group); ok {
		return l
	}
	return limiter.DefaultLimits()
}

func limiterClass(c relayer.Class) (limiter.Class, bool) {
	switch c {
	case relayer.Booking:
		return limiter.Booking, true
	case relayer.Lookup:
		return limiter.Lookup, true
	default:
		return limiter.Lookup, false
	}
}

// enter waits for a slot of the upstream. A request without a class that may
// write counts as a booking: what a caller that says nothing has to lose isn't
// known.
func (d *Dispatcher) enter(ctx context.Context, gate *limiter.Gate, r *relayer.Request) (limiter.Ticket, *relayer.Refusal) {
	class, stated := limiterClass(r.Terms.Class)
	if !stated && !r.Read() {
		class = limiter.Booking
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ticket, outcome := gate.Acquire(ctx, limiter.Item{
		Tenant: d.tenants.number(r.Account.Tenant), Class: class, Deadline: r.Deadline,
	})
	if ticket != 0 {
		return ticket, nil
	}
	message := "too many requests wait for the upstream"
	if outcome.Cause == retrier.Late {
		message = "no slot of the upstream will be free in time"
	}
	return 0, &relayer.Refusal{Outcome: outcome, Message: message}
}
