package limiter

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"basildale.example/basildale/internal/modeler"
)

// The measured world: one upstream with 5 slots, nine proxies 1 ms away.
const (
	proxies = 9
	slots   = 5
	network = time.Millisecond
	runFor  = 8 * time.Second
)

var epoch = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func traffic(rng *rand.Rand, tenant uint16, load, bookings, busy float64) []modeler.Arrival {
	l := modeler.Load{
		Tenant: tenant, Capacity: slots, Rate: load, Bookings: bookings,
		Proxies: proxies, Busy: busy, For: runFor, Quiet: time.Second,
	}
	return l.Draw(rng, epoch)
}

func class(r modeler.Arrival) Class {
	if r.Booking {
		return Booking
	}
	return Lookup
}

// tally counts what became of the requests of one tenant.
type tally struct {
	offered, inTime [classCount]int
	late, refused   int
	waited          time.Duration // until refusals, in total
}

func (t *tally) score() int {
	return t.inTime[Lookup]*Lookup.Weight() + t.inTime[Booking]*Booking.Weight()
}

func (t *tally) answered(r modeler.Arrival, at time.Time) {
	if at.After(r.Deadline) {
		t.late++
		return
	}
	t.inTime[class(r)]++
}

func (t *tally) refuse(r modeler.Arrival, at time.Time) {
	t.refused++
	t.waited += at.Sub(r.At)
}

// policy starts one proxy: it returns what to do with an arriving request.
type policy func(c *modeler.Clock, s *modeler.Server, tallies []tally) func(modeler.Arrival)

// play runs the traffic through nine proxies with the policy and returns a
// tally for each tenant.
func play(rs []modeler.Arrival, tenants int, start policy) []tally {
	c := &modeler.Clock{Now: epoch}
	s := &modeler.Server{Clock: c, Slots: slots, Network: network}
	tallies := make([]tally, tenants)
	var arrive [proxies]func(modeler.Arrival)
	for i := range arrive {
		arrive[i] = start(c, s, tallies)
	}
	for _, r := range rs {
		c.At(r.At, func() {
			tallies[r.Tenant].offered[class(r)]++
			arrive[r.Proxy](r)
		})
	}
	c.Run()
	return tallies
}

// queued is a proxy with a Queue.
func queued(w Window) policy {
	return func(c *modeler.Clock, s *modeler.Server, tallies []tally) func(modeler.Arrival) {
		q := &Queue{Window: w}
		waiting := make(map[Ticket]modeler.Arrival)
		var pump func()
		pump = func() {
			for e, ok := q.Next(c.Now); ok; e, ok = q.Next(c.Now) {
				r := waiting[e.Ticket]
				delete(waiting, e.Ticket)
				if !e.Granted {
					tallies[r.Tenant].refuse(r, c.Now)
					continue
				}
				s.Serve(r.Service, func() {
					tallies[r.Tenant].answered(r, c.Now)
					q.Done(c.Now, e.Ticket, true)
					pump()
				})
			}
		}
		return func(r modeler.Arrival) {
			if t, _ := q.Offer(c.Now, Item{Tenant: r.Tenant, Class: class(r), Deadline: r.Deadline}); t == 0 {
				tallies[r.Tenant].refuse(r, c.Now)
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
	return func(c *modeler.Clock, s *modeler.Server, tallies []tally) func(modeler.Arrival) {
		var line []modeler.Arrival
		running := 0
		var pump func()
		pump = func() {
			for running < connections && len(line) > 0 {
				r := line[0]
				line = line[1:]
				if dropLate && c.Now.After(r.Deadline) {
					tallies[r.Tenant].refuse(r, c.Now)
					continue
				}
				running++
				s.Serve(r.Service, func() {
					tallies[r.Tenant].answered(r, c.Now)
					running--
					pump()
				})
			}
		}
		return func(r modeler.Arrival) { line = append(line, r); pump() }
	}
}

// ideal is one deadline-first queue for all proxies, at the upstream itself,
// that knows each service time beforehand and starts nothing that would be late.
func ideal(rs []modeler.Arrival) tally {
	c := &modeler.Clock{Now: epoch}
	var t tally
	var line deadlineFirst
	busy := 0
	var pump func()
	pump = func() {
		for busy < slots && len(line) > 0 {
			r := heap.Pop(&line).(modeler.Arrival)
			end := c.Now.Add(r.Service)
			if end.Add(network).After(r.Deadline) {
				t.refuse(r, c.Now)
				continue
			}
			busy++
			c.At(end, func() { busy--; t.answered(r, c.Now.Add(network)); pump() })
		}
	}
	for _, r := range rs {
		t.offered[class(r)]++
		c.At(r.At.Add(network), func() { heap.Push(&line, r); pump() })
	}
	c.Run()
	return t
}

type deadlineFirst []modeler.Arrival

func (d deadlineFirst) Len() int           { return len(d) }
func (d deadlineFirst) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }
func (d deadlineFirst) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deadlineFirst) Push(x any)        { *d = append(*d, x.(modeler.Arrival)) }
func (d *deadlineFirst) Pop() any {
	r := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return r
}
