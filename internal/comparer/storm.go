package comparer

import (
	"io"
	"math/rand/v2"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
)

// After a failover each proxy opens its connections to the new primary. Opening
// one takes a slot of the upstream for a while.
const (
	stormConnections = 6 // of each proxy
	stormOpening     = 30 * time.Millisecond
	stormFor         = time.Second
	stormLoad        = 0.7
)

// opening is one way of opening connections.
type opening struct {
	name  string
	pacer *limiter.Pacer // nil opens all at once
}

// stormProxy is one proxy that has no connection at first.
type stormProxy struct {
	clock   *modeler.Clock
	server  *modeler.Server
	queue   limiter.Queue
	waiting map[limiter.Ticket]modeler.Arrival
	tally   *tally
	opened  int
}

func (p *stormProxy) arrive(r modeler.Arrival) {
	p.tally.offered[class(r)]++
	t, _ := p.queue.Offer(p.clock.Now, limiter.Item{Class: class(r), Deadline: r.Deadline})
	if t == 0 {
		p.tally.refuse(r, p.clock.Now)
	} else {
		p.waiting[t] = r
	}
	p.pump()
}

// open opens one connection, and lets one more statement run from then on.
func (p *stormProxy) open() {
	p.server.Serve(stormOpening, func() {
		p.opened++
		p.queue.Window = limiter.Window{Max: p.opened, Fixed: true}
		p.pump()
	})
}

func (p *stormProxy) pump() {
	if p.opened == 0 {
		return
	}
	for e, ok := p.queue.Next(p.clock.Now); ok; e, ok = p.queue.Next(p.clock.Now) {
		r := p.waiting[e.Ticket]
		delete(p.waiting, e.Ticket)
		if !e.Granted {
			p.tally.refuse(r, p.clock.Now)
			continue
		}
		p.server.Serve(r.Service, func() {
			p.tally.answered(r, p.clock.Now)
			p.queue.Done(p.clock.Now, e.Ticket, true)
			p.pump()
		})
	}
}

func storm(o opening) tally {
	var t tally
	c := &modeler.Clock{Now: start()}
	s := &modeler.Server{Clock: c, Slots: slots, Network: network}
	var ps [proxies]*stormProxy
	for i := range ps {
		p := &stormProxy{clock: c, server: s, waiting: make(map[limiter.Ticket]modeler.Arrival), tally: &t}
		p.queue.Window = limiter.Window{Max: stormConnections, Fixed: true}
		ps[i] = p
		var pacer limiter.Pacer
		if o.pacer != nil {
			pacer = *o.pacer
		}
		for n := range stormConnections {
			at := c.Now
			if o.pacer != nil {
				at, _ = pacer.Reserve(c.Now, c.Now.Add(time.Minute), uint64(i*stormConnections+n))
			}
			c.At(at, p.open)
		}
	}
	l := modeler.Load{Capacity: slots, Rate: stormLoad, Bookings: 0.3, Proxies: proxies, For: stormFor}
	for _, r := range l.Draw(rand.New(rand.NewPCG(11, 12)), start()) {
		c.At(r.At, func() { ps[r.Proxy].arrive(r) })
	}
	c.Run()
	return t
}

// Storm writes what is answered in time in the first second after a failover
// with each way of opening connections.
func Storm(w io.Writer) {
	for _, o := range []opening{
		{name: "all at once"},
		{name: "50 a second, 1 at once", pacer: &limiter.Pacer{Rate: 50, Burst: 1}},
		{name: "20 a second, 2 at once", pacer: &limiter.Pacer{Rate: 20, Burst: 2}},
		{name: "20 a second, 1 at once", pacer: &limiter.Pacer{Rate: 20, Burst: 1}},
		{name: "10 a second, 1 at once", pacer: &limiter.Pacer{Rate: 10, Burst: 1}},
		{name: "5 a second, 2 at once", pacer: &limiter.Pacer{Rate: 5, Burst: 2}},
		{name: "5 a second, 1 at once", pacer: &limiter.Pacer{Rate: 5, Burst: 1}},
		{name: "2 a second, 1 at once", pacer: &limiter.Pacer{Rate: 2, Burst: 1}},
	} {
		line(w, o.name, storm(o))
	}
}
