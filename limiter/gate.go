package limiter

import (
	"context"
	"sync"
	"time"

	"basildale.example/basildale/retrier"
)

// Gate makes a [Queue] safe for concurrent use: each goroutine waits in Acquire until
// its item gets a slot or is refused. Now is the clock; set it, like the fields of
// Queue, before the first use. A Gate must not be copied.
type Gate struct {
	Queue Queue
	Now   func() time.Time

	mu      sync.Mutex
	waiters []waiter // by index of the node
}

// waiter delivers the event of one node to the goroutine that waits for it.
type waiter struct {
	ticket Ticket
	events chan Event // has a buffer of one; reused for the node's next item
}

// Acquire waits for a slot. If there is none in time, the ticket is zero and the
// outcome is retrier.NotRun, with its cause and the time to try again. Otherwise the
// ticket must be given back by Release. The wait ends with the context, which should
// have the item's deadline.
func (g *Gate) Acquire(ctx context.Context, it Item) (Ticket, retrier.Outcome) {
	own := g.Enter(ctx, nil, it)
	if !own.Granted {
		return 0, own.outcome()
	}
	return own.Ticket, retrier.Outcome{}
}

// Enter does the same as Acquire and returns the whole event. The wait also ends when gone
// is closed; nil never is.
func (g *Gate) Enter(ctx context.Context, gone <-chan struct{}, it Item) Event {
	g.mu.Lock()
	t, refusal := g.Queue.Offer(g.Now(), it)
	if t == 0 {
		g.deliver(0)
		g.mu.Unlock()
		return refusal
	}
	events := g.register(t)
	own, settled := g.deliver(t)
	g.mu.Unlock()
	if !settled {
		own = g.await(ctx, gone, t, events)
	}
	return own
}

// SetFair switches the fair policy; see [Queue.SetFair].
func (g *Gate) SetFair(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.SetFair(g.Now(), on)
	g.deliver(0)
}

// SetPeers sets what workspaces want through other gateways; see [Queue.SetPeers].
func (g *Gate) SetPeers(peers map[uint32]time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.SetPeers(peers)
}

// SetShare sets this gateway's share of the upstream; see [Queue.SetShare].
func (g *Gate) SetShare(slots float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.SetShare(slots)
}

// Stretch returns by how much service times are longer than usual; see [Queue.Stretch].
func (g *Gate) Stretch() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.Stretch()
}

// AppendUsage appends what each workspace uses; see [Queue.AppendUsage].
func (g *Gate) AppendUsage(cut uint8, to []Usage) []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.AppendUsage(g.Now(), cut, to)
}

// Cut returns the priority from which items are less urgent; see [Queue.Cut].
func (g *Gate) Cut() uint8 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.Cut()
}

// SetLessUrgent bounds less urgent items; see [Queue.SetLessUrgent].
func (g *Gate) SetLessUrgent(l LessUrgent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.SetLessUrgent(l)
	g.deliver(0)
}

// Charge counts service time outside the queue; see [Queue.Charge].
func (g *Gate) Charge(it Item, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Charge(g.Now(), it, took)
}

// Release gives back a slot; see [Queue.Done].
func (g *Gate) Release(t Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Done(g.Now(), t, served)
	g.deliver(0)
}

// Waiting returns the number of waiting items; see [Queue.Waiting].
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.Waiting()
}

// ExpectedWait returns the expected wait for a slot; see [Queue.ExpectedWait].
func (g *Gate) ExpectedWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.ExpectedWait(g.Now())
}

// MeanServiceTime returns the mean service time of a class; see
// [Queue.MeanServiceTime].
func (g *Gate) MeanServiceTime(c Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.MeanServiceTime(c)
}

// SetWindowMin sets the lower limit of the window. Items may be waiting and running.
func (g *Gate) SetWindowMin(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Window.Min = n
	g.deliver(0)
}

// Apply sets the limits of a preset; see [Queue.Apply].
func (g *Gate) Apply(l Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Apply(l)
	g.deliver(0)
}

// register returns the channel that will deliver the event of t.
func (g *Gate) register(t Ticket) chan Event {
	i := t.index()
	for i >= len(g.waiters) {
		g.waiters = append(g.waiters, waiter{events: make(chan Event, 1)})
	}
	g.waiters[i].ticket = t
	return g.waiters[i].events
}

// deliver sends all pending events to their waiters, except the event of own, which it
// returns.
func (g *Gate) deliver(own Ticket) (e Event, ok bool) {
	now := g.Now()
	for next, more := g.Queue.Next(now); more; next, more = g.Queue.Next(now) {
		if next.Ticket == own {
			e, ok = next, true
			continue
		}
		if w := &g.waiters[next.Ticket.index()]; w.ticket == next.Ticket {
			w.events <- next
		}
	}
	return e, ok
}

// await waits for the event of t. When the context ends first, or the caller is gone, it
// cancels the item. If the event was already sent, it takes the event and releases a granted
// slot. Otherwise the slot would be leaked: the window would be full with nothing running.
func (g *Gate) await(ctx context.Context, gone <-chan struct{}, t Ticket, events chan Event) Event {
	select {
	case e := <-events:
		return e
	case <-ctx.Done():
	case <-gone:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	late := Event{Ticket: t, Cause: retrier.Late, RetryAt: g.Queue.retryAt(g.Now())}
	if g.Queue.Cancel(t) {
		return late
	}
	e := <-events
	if e.Granted {
		g.Queue.Done(g.Now(), t, false)
		g.deliver(0)
		return late
	}
	return e
}

func (t Ticket) index() int { return int(uint32(t)) - 1 }

func (e Event) outcome() retrier.Outcome {
	return retrier.Outcome{Kind: retrier.NotRun, Cause: e.Cause, Back: e.RetryAt}
}
