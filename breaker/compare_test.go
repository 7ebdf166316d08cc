package breaker

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/retrier"
)

var update = flag.Bool("update", false, "write the golden files")

var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

const (
	proxies   = 9
	upstreams = 3
	slots     = 5
	runFor    = 3 * time.Second
	faultFrom = 500 * time.Millisecond
	faultTo   = 2500 * time.Millisecond
)

// way is one way to be measured.
type way struct {
	name  string
	use   bool
	set   Breaker
	extra extra
}

// extra is an idea that is measured here and not in the package.
type extra int

const (
	none      extra = iota
	hintRaise       // when a peer's opens, one failure in a row is enough
	hintOpen        // when a peer's opens, so does this one
	sliding         // failures while open put the recovery off
	expiry          // when the time is over it closes, without a probe
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
	breakers [proxies][upstreams]*Breaker
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
	g := &group{clock: &modeler.Clock{Now: start}, rng: rand.New(rand.NewPCG(5, 6)), way: w, waiting: map[ticket]*attempt{}}
	for u := range upstreams {
		g.servers[u] = &modeler.Server{Clock: g.clock, Slots: slots, Network: time.Millisecond}
	}
	g.servers[upstreams-1].Fault = func(now time.Time) modeler.Effect {
		if fault == nil || now.Before(start.Add(faultFrom)) || now.After(start.Add(faultTo)) {
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
	l := modeler.Load{Capacity: upstreams * slots, Rate: rate, Bookings: 0.3, Proxies: proxies, For: runFor}
	for i, a := range l.Draw(rand.New(rand.NewPCG(7, 8)), start) {
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
		if u != avoid && (!g.way.use || g.breakers[p][u].Ready(g.clock.Now)) {
			ready = append(ready, u)
		}
	}
	if len(ready) == 0 {
		return -1
	}
	a, b := ready[g.rng.IntN(len(ready))], ready[g.rng.IntN(len(ready))]
	if g.queues[p][b].Wait(g.clock.Now) < g.queues[p][a].Wait(g.clock.Now) {
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
		g.ended(a, u, retrier.Outcome{Kind: retrier.NotRun, Cause: refusal.Cause, Back: refusal.Back})
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
			g.ended(a, u, retrier.Outcome{Kind: retrier.NotRun, Cause: e.Cause, Back: e.Back})
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
	return g.queues[t.proxy][t.upstream].Expected(a.class())
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
		g.report(a.arrival.Proxy, u, a.probe, Judge(o))
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

func (g *group) report(p, u int, probe bool, s Sample) {
	b, now := g.breakers[p][u], g.clock.Now
	if g.way.extra == sliding && b.state == Open && s == Failure {
		b.until = now.Add(DefaultRecovery)
	}
	change, ok := b.Report(now, probe, s)
	if !ok || change.To != Open {
		return
	}
	g.opened++
	switch g.way.extra {
	case expiry:
		g.clock.At(b.until, func() { b.close(g.clock.Now, Recovering) })
	case hintRaise, hintOpen:
		g.clock.After(time.Millisecond, func() { g.hint(u) })
	}
}

// hint tells all proxies that one has found upstream u to fail.
func (g *group) hint(u int) {
	for p := range proxies {
		b := g.breakers[p][u]
		switch {
		case b.state != Closed:
		case g.way.extra == hintOpen:
			b.open(g.clock.Now, InARow)
		default:
			b.row = max(b.row, DefaultInARow-1)
		}
	}
}

// TestCompare measures the ways against each other on the same arrivals.
func TestCompare(t *testing.T) {
	ways := []way{
		{name: "no breaker"},
		{name: "5 in a row", use: true, set: Breaker{Rate: -1}},
		{name: "half of 20", use: true, set: Breaker{InARow: -1, Rate: 0.5}},
		{name: "fifth of 20", use: true, set: Breaker{InARow: -1}},
		{name: "3, fifth", use: true, set: Breaker{InARow: 3}},
		{name: "5, fifth (default)", use: true},
		{name: "default, hints raise", use: true, extra: hintRaise},
		{name: "default, hints open", use: true, extra: hintOpen},
		{name: "default, sliding", use: true, extra: sliding},
		{name: "default, no probe", use: true, extra: expiry},
	}
	lose := modeler.Effect{Lose: true}
	var b bytes.Buffer
	for _, c := range []struct {
		name   string
		rate   float64
		cutOff bool
		fault  func(time.Time) modeler.Effect
	}{
		{name: "healthy, 0.6 of the capacity", rate: 0.6},
		{name: "healthy, 1.5 times the capacity", rate: 1.5},
		{name: "dead", rate: 0.6, fault: func(time.Time) modeler.Effect { return lose }},
		{name: "dead, thin traffic", rate: 0.05, fault: func(time.Time) modeler.Effect { return lose }},
		{name: "slow, thin traffic", rate: 0.05, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 20} }},
		{name: "refusing", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Refuse: true} }},
		{name: "slow, 20 times", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 20} }},
		{name: "slow, 4 times", rate: 0.6, fault: func(time.Time) modeler.Effect { return modeler.Effect{Slower: 4} }},
		{name: "flapping, 300 ms", rate: 0.6, fault: func(now time.Time) modeler.Effect {
			return modeler.Effect{Lose: now.Sub(start).Milliseconds()/300%2 == 0}
		}},
		{name: "loses three in ten", rate: 0.6, fault: func(now time.Time) modeler.Effect {
			return modeler.Effect{Lose: uint64(now.UnixNano())*0x9e3779b97f4a7c15>>32%10 < 3}
		}},
		{name: "one proxy of nine is cut off", rate: 0.6, cutOff: true},
	} {
		fmt.Fprintf(&b, "%s\n", c.name)
		for _, w := range ways {
			g := newGroup(w, c.fault)
			g.cutOff = c.cutOff
			g.play(c.rate)
			fmt.Fprintf(&b, "  %-21s score %6d  attempts lost %5d  opened %4d\n", w.name, g.score, g.lost, g.opened)
		}
	}
	path := filepath.Join("testdata", "compare.golden")
	if *update {
		is.New(t).NoErr(os.MkdirAll("testdata", 0o755))
		is.New(t).NoErr(os.WriteFile(path, b.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	if !bytes.Equal(b.Bytes(), want) {
		t.Fatalf("%s differs; -update writes it\ngot:\n%s", path, b.String())
	}
}
