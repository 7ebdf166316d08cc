package comparer

import (
	"math/rand/v2"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
)

// The measured world: one upstream with 5 slots, nine proxies 1 ms away.
const (
	proxies = 9
	slots   = 5
	network = time.Millisecond
	runFor  = 8 * time.Second
)

// start is when each run starts.
func start() time.Time { return time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC) }

func traffic(rng *rand.Rand, tenant uint16, load, bookings, busy float64) []modeler.Arrival {
	l := modeler.Load{
		Tenant: tenant, Capacity: slots, Rate: load, Bookings: bookings,
		Proxies: proxies, Busy: busy, For: runFor, Quiet: time.Second,
	}
	return l.Draw(rng, start())
}

func class(r modeler.Arrival) limiter.Class {
	if r.Booking {
		return limiter.Booking
	}
	return limiter.Lookup
}

// tally counts what became of the requests of one tenant.
type tally struct {
	offered, inTime [limiter.ClassCount]int
	late, refused   int
	waited          time.Duration // until refusals, in total
}

func (t *tally) score() int {
	return t.inTime[limiter.Lookup] + t.inTime[limiter.Booking]*limiter.Booking.Weight()
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
func play(rs []modeler.Arrival, tenants int, begin policy) []tally {
	c := &modeler.Clock{Now: start()}
	s := &modeler.Server{Clock: c, Slots: slots, Network: network}
	tallies := make([]tally, tenants)
	var arrive [proxies]func(modeler.Arrival)
	for i := range arrive {
		arrive[i] = begin(c, s, tallies)
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
func queued(w limiter.Window) policy {
	return func(c *modeler.Clock, s *modeler.Server, tallies []tally) func(modeler.Arrival) {
		q := &limiter.Queue{Window: w}
		waiting := make(map[limiter.Ticket]modeler.Arrival)
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
			if t, _ := q.Offer(c.Now, limiter.Item{Tenant: r.Tenant, Class: class(r), Deadline: r.Deadline}); t == 0 {
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
