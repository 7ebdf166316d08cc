package comparer

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"basildale.example/basildale/breaker"
	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/retrier"
)

const (
	upstreams   = 3
	breakersFor = 3 * time.Second
	faultFrom   = 500 * time.Millisecond
	faultTo     = 2500 * time.Millisecond
)

// way is one way to be measured.
type way struct {
	name  string
	use   bool
	set   breaker.Breaker
	extra extra
}

// extra is an idea that is measured beside the default. All but hints are not in
// the package.
type extra int

const (
	none     extra = iota
	hints          // peers tell each other, as in the package
	hintOpen       // when a peer's opens, so does this one
	sliding        // failures while open put the recovery off
	expiry         // when the time is over it closes, without a probe
)

// group is three upstreams, the last of which is faulty, and nine proxies that
// send reads to any of them: to the one of two with the shorter expected wait.
type group struct {
	clock    *modeler.Clock
	rng      *rand.Rand
	way      way
	cutOff   bool // the first proxy alone can't reach the last upstream
	servers  [upstreams]*modeler.Server
	queues   [proxies][upstreams]*limiter.Queue
	breakers [proxies][upstreams]*breaker.Breaker
	slides   [proxies][upstreams]time.Time
	budgets  [proxies]*retrier.Budget
	waiting  map[ticket]*attempt
	score    int
	lost     int
	opened   int
}

type ticket struct {
	proxy, upstream int
	ticket          limiter.Ticket
}

type attempt struct {
	arrival modeler.Arrival
	request *retrier.Request
	probe   bool
}

func newGroup(w way, fault func(time.Time) modeler.Effect) *group {
	g := &group{clock: &modeler.Clock{Now: start()}, rng: rand.New(rand.NewPCG(5, 6)), way: w, waiting: map[ticket]*attempt{}}
	for u := range upstreams {
		g.servers[u] = &modeler.Server{Clock: g.clock, Slots: slots, Network: time.Millisecond}
	}
	g.servers[upstreams-1].Fault = func(now time.Time) modeler.Effect {
		if fault == nil || now.Before(start().Add(faultFrom)) || now.After(start().Add(faultTo)) {
			return modeler.Effect{}
		}
		return fault(now)
	}
	for p := range proxies {
		g.budgets[p] = retrier.NewBudget(retrier.BudgetRate{})
		for u := range upstreams {
			b := w.set
			g.breakers[p][u] = &b
			g.queues[p][u] = &limiter.Queue{}
		}
	}
	return g
}

func (g *group) play(rate float64) {
	l := modeler.Load{Capacity: upstreams * slots, Rate: rate, Bookings: 0.3, Proxies: proxies, For: breakersFor}
	for i, a := range l.Draw(rand.New(rand.NewPCG(7, 8)), start()) {
		g.clock.At(a.At, func() {
			g.budgets[a.Proxy].Deposit()
			r := &retrier.Request{
				Statement: retrier.Statement{Read: true}, Deadline: a.Deadline,
				Latest: a.Deadline.Add(-10 * time.Millisecond), Seed: uint64(i),
			}
			g.dispatch(&attempt{arrival: a, request: r}, -1)
		})
	}
	g.clock.Run()
}

// choose returns an upstream other than avoid, or -1.
func (g *group) choose(p, avoid int) int {
	var ready []int
	for u := range upstreams {
		if u != avoid && g.ready(p, u) {
			ready = append(ready, u)
		}
	}
	if len(ready) == 0 {
		return -1
	}
	a, b := ready[g.rng.IntN(len(ready))], ready[g.rng.IntN(len(ready))]
	if g.queues[p][b].ExpectedWait(g.clock.Now) < g.queues[p][a].ExpectedWait(g.clock.Now) {
		return b
	}
	return a
}

func (g *group) dispatch(a *attempt, avoid int) {
	p := a.arrival.Proxy
	u := g.choose(p, avoid)
	if u < 0 {
		return
	}
	if g.way.use {
		a.probe = g.breakers[p][u].Allow(g.clock.Now).Probe
	}
	t, refusal := g.queues[p][u].Offer(g.clock.Now, limiter.Item{Class: a.class(), Deadline: a.arrival.Deadline})
	if t == 0 {
		g.ended(a, u, retrier.Outcome{Kind: retrier.NotRun, Cause: refusal.Cause, Back: refusal.RetryAt})
	} else {
		g.waiting[ticket{p, u, t}] = a
	}
	g.pump(p, u)
}

func (g *group) pump(p, u int) {
	q := g.queues[p][u]
	for e, ok := q.Next(g.clock.Now); ok; e, ok = q.Next(g.clock.Now) {
		t := ticket{p, u, e.Ticket}
		a := g.waiting[t]
		delete(g.waiting, t)
		if e.Granted {
			g.send(a, t)
		} else {
			g.ended(a, u, retrier.Outcome{Kind: retrier.NotRun, Cause: e.Cause, Back: e.RetryAt})
		}
	}
}

func (a *attempt) class() limiter.Class {
	if a.arrival.Booking {
		return limiter.Booking
	}
	return limiter.Lookup
}

func (g *group) expected(a *attempt, t ticket) time.Duration {
	return g.queues[t.proxy][t.upstream].MeanServiceTime(a.class())
}

func (g *group) send(a *attempt, t ticket) {
	over := false
	end := func(o retrier.Outcome) {
		if over {
			return
		}
		over = true
		g.queues[t.proxy][t.upstream].Done(g.clock.Now, t.ticket, o.Kind == retrier.Done)
		g.ended(a, t.upstream, o)
		g.pump(t.proxy, t.upstream)
	}
	until := retrier.Until(a.request.Statement, g.clock.Now, a.arrival.Deadline, g.expected(a, t))
	g.clock.At(until, func() { end(retrier.Outcome{Cause: retrier.Lost}) })
	if g.cutOff && t.proxy == 0 && t.upstream == upstreams-1 {
		return
	}
	g.servers[t.upstream].Try(a.arrival.Service, func(ran bool) {
		if !ran {
			end(retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.NeverSent})
			return
		}
		end(retrier.Outcome{Kind: retrier.Done})
	})
}

func (g *group) ended(a *attempt, u int, o retrier.Outcome) {
	if g.way.use {
		g.report(a.arrival.Proxy, u, a.probe, breaker.Judge(o))
	}
	a.probe = false
	if o.Cause == retrier.Lost {
		g.lost++
	}
	d := retrier.Policy{}.Decide(a.request, g.budgets[a.arrival.Proxy], o, g.clock.Now)
	switch {
	case d.Action == retrier.Send && d.Avoid:
		g.clock.At(d.At, func() { g.dispatch(a, u) })
	case d.Action == retrier.Finish && d.Outcome.Kind == retrier.Done && !g.clock.Now.After(a.arrival.Deadline):
		g.score++
		if a.arrival.Booking {
			g.score++
		}
	}
}

func (g *group) report(p, u int, probe bool, s breaker.Sample) {
	b, now := g.breakers[p][u], g.clock.Now
	if state, _ := b.State(); g.way.extra == sliding && state == breaker.Open && s == breaker.Failure {
		g.slides[p][u] = now.Add(breaker.DefaultRecovery)
	}
	change, ok := b.Report(now, probe, s)
	if !ok || change.To != breaker.Open {
		return
	}
	g.opened++
	switch g.way.extra {
	case expiry:
		g.clock.At(change.Until, func() { b.Force(g.clock.Now, breaker.NotForced) })
	case hints, hintOpen:
		g.clock.After(time.Millisecond, func() { g.hint(u) })
	}
}

// hint tells all proxies that one has found upstream u to fail.
func (g *group) hint(u int) {
	for p := range proxies {
		b := g.breakers[p][u]
		if g.way.extra == hints {
			b.Hint(g.clock.Now)
			continue
		}
		for state, _ := b.State(); state == breaker.Closed; state, _ = b.State() {
			b.Report(g.clock.Now, false, breaker.Failure)
		}
	}
}

// ready reports whether proxy p may choose upstream u.
func (g *group) ready(p, u int) bool {
	if !g.way.use {
		return true
	}
	return g.breakers[p][u].Ready(g.clock.Now) && !g.clock.Now.Before(g.slides[p][u])
}

func breakings() []way {
	return []way{
		{name: "no breaker"},
		{name: "5 in a row", use: true, set: breaker.Breaker{Rate: -1}},
		{name: "half of 20", use: true, set: breaker.Breaker{InARow: -1, Rate: 0.5}},
		{name: "fifth of 20", use: true, set: breaker.Breaker{InARow: -1}},
		{name: "3, fifth", use: true, set: breaker.Breaker{InARow: 3}},
		{name: "5, fifth (default)", use: true},
		{name: "default, hints", use: true, extra: hints},
		{name: "default, hints open", use: true, extra: hintOpen},
		{name: "default, sliding", use: true, extra: sliding},
		{name: "default, no probe", use: true, extra: expiry},
	}
}

// scene is what the breakers are measured under.
type scene struct {
	name   string
	rate   float64
	cutOff bool
	fault  func(time.Time) modeler.Effect
}

func scenes() []scene {
	lose := modeler.Effect{Lose: true}
	return []scene{
		{name: "healthy, 0.6 of the capacity", rate: 0.6},
		{name: "healthy, 1.5 times the capacity", rate: 1.5},
		{name: "dead", rate: 0.6, fault: func(time.Time) modeler.Effect { return lose }},
		{name: "dead, thin traffic", rate: 0.05, fault: func(time.Time) modeler.Effect { return lose }},
		{name: "slow, thin traffic", rate: 0.05, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 20} }},
		{name: "refusing", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Refuse: true} }},
		{name: "slow, 20 times", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 20} }},
		{name: "slow, 4 times", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 4} }},
		{name: "flapping, 300 ms", rate: 0.6, fault: func(now time.Time) modeler.Effect {
			return modeler.Effect{Lose: now.Sub(start()).Milliseconds()/300%2 == 0}
		}},
		{name: "loses three in ten", rate: 0.6, fault: func(now time.Time) modeler.Effect {
			return modeler.Effect{Lose: uint64(now.UnixNano())*0x9e3779b97f4a7c15>>32%10 < 3}
		}},
		{name: "one proxy of nine is cut off", rate: 0.6, cutOff: true},
	}
}

// Breakers writes what a group of upstreams answers in time with each way of
// breaking, on the same arrivals, under several faults of its last upstream.
func Breakers(w io.Writer) {
	var parts []func(*bytes.Buffer)
	for _, c := range scenes() {
		parts = append(parts, func(b *bytes.Buffer) {
			fmt.Fprintf(b, "%s\n", c.name)
			for _, way := range breakings() {
				g := newGroup(way, c.fault)
				g.cutOff = c.cutOff
				g.play(c.rate)
				fmt.Fprintf(b, "  %-21s score %6d  attempts lost %5d  opened %4d\n", way.name, g.score, g.lost, g.opened)
			}
		})
	}
	_, _ = w.Write(modeler.Together(parts...))
}
