package limiter

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The measured world: one upstream with 5 slots that serves in the order of
// arrival, nine proxies 1 ms away, and requests that come at random.
const (
	proxies  = 9
	slots    = 5
	network  = time.Millisecond
	lookupMs = 4
	bookMs   = 6
	runFor   = 8 * time.Second

	// Each run starts with a quiet second, as a day does.
	quiet     = time.Second
	quietLoad = 0.3
)

var epoch = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// request is one arrival with all that chance decides about it.
type request struct {
	at      time.Time
	item    Item
	proxy   int
	service time.Duration
}

// traffic draws the arrivals of one tenant. load is a multiple of the upstream's
// capacity; busy is the share of the requests that the first proxy gets.
func traffic(rng *rand.Rand, tenant uint16, load, bookings, busy float64) []request {
	meanMs := (lookupMs*(1-bookings) + bookMs*bookings) * 1.09 // 3 % take four times as long
	gap := meanMs / slots / load * float64(time.Millisecond)
	var rs []request
	for at := epoch; at.Before(epoch.Add(runFor)); {
		pause := rng.ExpFloat64() * gap
		if at.Before(epoch.Add(quiet)) {
			pause *= load / quietLoad
		}
		at = at.Add(time.Duration(pause))
		r := request{at: at, item: Item{Tenant: tenant}, proxy: rng.IntN(proxies)}
		if rng.Float64() < busy {
			r.proxy = 0
		}
		ms, patience := float64(lookupMs), 50+100*rng.Float64()
		if rng.Float64() < bookings {
			r.item.Class = Booking
			ms, patience = bookMs, 100+200*rng.Float64()
		}
		ms *= 0.5 + rng.Float64()
		if rng.Float64() < 0.03 {
			ms *= 4
		}
		r.service = time.Duration(ms * float64(time.Millisecond))
		r.item.Deadline = at.Add(time.Duration(patience * float64(time.Millisecond)))
		rs = append(rs, r)
	}
	return rs
}

type occurrence struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []occurrence

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(occurrence)) }
func (a *agenda) Pop() any     { o := (*a)[len(*a)-1]; *a = (*a)[:len(*a)-1]; return o }

type clock struct {
	now  time.Time
	todo agenda
	seq  int
}

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.todo, occurrence{t, c.seq, do})
}

func (c *clock) run() {
	for len(c.todo) > 0 {
		o := heap.Pop(&c.todo).(occurrence)
		c.now = o.at
		o.do()
	}
}

// backend is the upstream: it serves in the order of arrival.
type backend struct {
	clock *clock
	busy  int
	line  []func()
}

// serve calls done when the answer has reached the proxy.
func (b *backend) serve(service time.Duration, done func()) {
	b.clock.at(b.clock.now.Add(network), func() {
		b.line = append(b.line, func() {
			b.clock.at(b.clock.now.Add(service), func() {
				b.clock.at(b.clock.now.Add(network), done)
				b.busy--
				b.next()
			})
		})
		b.next()
	})
}

func (b *backend) next() {
	for b.busy < slots && len(b.line) > 0 {
		b.busy++
		start := b.line[0]
		b.line = b.line[1:]
		start()
	}
}

// tally counts what became of the requests of one tenant.
type tally struct {
	offered, inTime [classCount]int
	late, refused   int
	waited          time.Duration // until refusals, in total
}

func (t *tally) score() int { return t.inTime[Lookup] + 2*t.inTime[Booking] }

func (t *tally) answered(r request, at time.Time) {
	if at.After(r.item.Deadline) {
		t.late++
		return
	}
	t.inTime[r.item.Class]++
}

func (t *tally) refuse(r request, at time.Time) {
	t.refused++
	t.waited += at.Sub(r.at)
}

// policy starts one proxy: it returns what to do with an arriving request.
type policy func(c *clock, b *backend, tallies []tally) func(request)

// play runs the traffic through nine proxies with the policy and returns a
// tally for each tenant.
func play(rs []request, tenants int, start policy) []tally {
	c := &clock{now: epoch}
	b := &backend{clock: c}
	tallies := make([]tally, tenants)
	var arrive [proxies]func(request)
	for i := range arrive {
		arrive[i] = start(c, b, tallies)
	}
	for _, r := range rs {
		c.at(r.at, func() {
			tallies[r.item.Tenant].offered[r.item.Class]++
			arrive[r.proxy](r)
		})
	}
	c.run()
	return tallies
}

// queued is a proxy with a Queue.
func queued(w Window) policy {
	return func(c *clock, b *backend, tallies []tally) func(request) {
		q := &Queue{Window: w}
		waiting := make(map[Ticket]request)
		var pump func()
		pump = func() {
			for e, ok := q.Next(c.now); ok; e, ok = q.Next(c.now) {
				r := waiting[e.Ticket]
				delete(waiting, e.Ticket)
				if !e.Granted {
					tallies[r.item.Tenant].refuse(r, c.now)
					continue
				}
				b.serve(r.service, func() {
					tallies[r.item.Tenant].answered(r, c.now)
					q.Done(c.now, e.Ticket, true)
					pump()
				})
			}
		}
		return func(r request) {
			if t, _ := q.Offer(c.now, r.item); t == 0 {
				tallies[r.item.Tenant].refuse(r, c.now)
			} else {
				waiting[t] = r
			}
			pump()
		}
	}
}

// fifo is a proxy that sends in the order of arrival over its connections;
// dropLate refuses what is late already when its turn comes.
func fifo(connections int, dropLate bool) policy {
	return func(c *clock, b *backend, tallies []tally) func(request) {
		var line []request
		running := 0
		var pump func()
		pump = func() {
			for running < connections && len(line) > 0 {
				r := line[0]
				line = line[1:]
				if dropLate && c.now.After(r.item.Deadline) {
					tallies[r.item.Tenant].refuse(r, c.now)
					continue
				}
				running++
				b.serve(r.service, func() {
					tallies[r.item.Tenant].answered(r, c.now)
					running--
					pump()
				})
			}
		}
		return func(r request) { line = append(line, r); pump() }
	}
}

// ideal is one deadline-first queue for all proxies, at the upstream itself,
// that knows each service time beforehand and starts nothing that would be late.
func ideal(rs []request) tally {
	c := &clock{now: epoch}
	var t tally
	var line deadlineFirst
	busy := 0
	var pump func()
	pump = func() {
		for busy < slots && len(line) > 0 {
			r := heap.Pop(&line).(request)
			end := c.now.Add(r.service)
			if end.Add(network).After(r.item.Deadline) {
				t.refuse(r, c.now)
				continue
			}
			busy++
			c.at(end, func() { busy--; t.answered(r, c.now.Add(network)); pump() })
		}
	}
	for _, r := range rs {
		t.offered[r.item.Class]++
		c.at(r.at.Add(network), func() { heap.Push(&line, r); pump() })
	}
	c.run()
	return t
}

type deadlineFirst []request

func (d deadlineFirst) Len() int           { return len(d) }
func (d deadlineFirst) Less(i, j int) bool { return d[i].item.Deadline.Before(d[j].item.Deadline) }
func (d deadlineFirst) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlineFirst) Push(x any)        { *d = append(*d, x.(request)) }
func (d *deadlineFirst) Pop() any {
	r := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return r
}
