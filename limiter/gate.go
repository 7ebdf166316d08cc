package limiter

import (
	"context"
	"sync"
	"time"

	"basildale.example/basildale/retrier"
)

// Gate is a [Queue] for many goroutines: each waits in Acquire until its item
// has a slot or is refused. Now is the clock; it is set before the first use,
// like the fields of Queue. A Gate must not be copied.
type Gate struct {
	Queue Queue
	Now   func() time.Time

	mu      sync.Mutex
	waiters []waiter // by node
}

// waiter is where the goroutine of one node hears its event.
type waiter struct {
	ticket Ticket
	events chan Event // of size one, used again for the node's next item
}

// Acquire waits for a slot. The outcome is not run, with its cause and the time
// to come back, when there is no slot in time; otherwise the ticket is to be
// given back by Release. The end of the context, which should carry the item's
// deadline, ends the wait.
func (g *Gate) Acquire(ctx context.Context, it Item) (Ticket, retrier.Outcome) {
	g.mu.Lock()
	t, refusal := g.Queue.Offer(g.Now(), it)
	if t == 0 {
		g.deliver(0)
		g.mu.Unlock()
		return 0, refusal.outcome()
	}
	events := g.wait(t)
	own, settled := g.deliver(t)
	g.mu.Unlock()
	if !settled {
		own = g.hear(ctx, t, events)
	}
	if !own.Granted {
		return 0, own.outcome()
	}
	return t, retrier.Outcome{}
}

// Release gives back a slot; see [Queue.Done].
func (g *Gate) Release(t Ticket, served bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Queue.Done(g.Now(), t, served)
	g.deliver(0)
}

// ExpectedWait returns the expected wait for a slot; see [Queue.ExpectedWait].
func (g *Gate) ExpectedWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.ExpectedWait(g.Now())
}

// MeanServiceTime returns the mean service time of a class; see [Queue.MeanServiceTime].
func (g *Gate) MeanServiceTime(c Class) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Queue.MeanServiceTime(c)
}

// SetWindowMin sets the smallest bound of the window, also while items wait and run.
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

// wait makes ready the channel on which t's event will be heard.
func (g *Gate) wait(t Ticket) chan Event {
	i := t.index()
	for i >= len(g.waiters) {
		g.waiters = append(g.waiters, waiter{events: make(chan Event, 1)})
	}
	g.waiters[i].ticket = t
	return g.waiters[i].events
}

// deliver hands all events to their waiters, but for the event of own, which it
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

// hear waits for the event of t. When the context ends first, the item is taken
// out. If that comes too late, because the event is on its way already, the
// event is taken: dropping it would lose the slot for good, one would see a
// window that is full with nothing running.
func (g *Gate) hear(ctx context.Context, t Ticket, events chan Event) Event {
	select {
	case e := <-events:
		return e
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	late := Event{Ticket: t, Cause: retrier.Late, RetryAt: g.Queue.back(g.Now())}
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
