package dispatcher

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/breaker"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

// ErrNoUpstream reports an address that no group has.
var ErrNoUpstream = errors.New("dispatcher: no such upstream")

// breakers are the circuit breakers of a group's upstreams. An open one takes a
// replica out of the router's choice. A primary's is kept and shown but takes it
// out only when an operator forces it: there is no other to go to, and replacing
// it is the promoter's business, which gets the same failures.
type breakers struct {
	mu  sync.Mutex
	all map[netip.AddrPort]*guard
}

// guard is one upstream's breaker.
type guard struct {
	breaker.Breaker
	probing time.Time // while half-open: units routed from then on are the probe
	alarm   *alarm
}

// outcome feeds an attempt's outcome to the upstream's breaker.
func (d *Dispatcher) outcome(g *group, t relayer.Target, o retrier.Outcome, now time.Time) {
	s := breaker.Judge(o)
	if s == breaker.Ignored {
		return
	}
	_, routed := d.untoken(t.Token)
	d.report(g, t.Address, s, routed, now)
}

// Unreached takes the news that no connection to a target could be opened.
func (d *Dispatcher) Unreached(t relayer.Target) {
	now := time.Now()
	_, routed := d.untoken(t.Token)
	d.report(d.group(t.Group), t.Address, breaker.Failure, routed, now)
}

func (d *Dispatcher) report(g *group, a netip.AddrPort, s breaker.Sample, routed, now time.Time) {
	g.breakers.mu.Lock()
	defer g.breakers.mu.Unlock()
	one := d.guard(g, a)
	state, _ := one.State()
	probe := state == breaker.HalfOpen && !routed.Before(one.probing)
	change, changed := one.Report(now, probe, s)
	if changed {
		d.changed(g, a, change)
	}
}

// guard returns an upstream's breaker, made if need be. The lock is held.
func (d *Dispatcher) guard(g *group, a netip.AddrPort) *guard {
	one := g.breakers.all[a]
	if one == nil {
		one = &guard{}
		one.alarm = newAlarm(func() { d.recover(g, a) })
		if g.breakers.all == nil {
			g.breakers.all = make(map[netip.AddrPort]*guard)
		}
		g.breakers.all[a] = one
	}
	return one
}

// recover lets a probe through when the time of being open is over, and another
// one when nobody has reported the last.
func (d *Dispatcher) recover(g *group, a netip.AddrPort) {
	g.breakers.mu.Lock()
	defer g.breakers.mu.Unlock()
	one, now := d.guard(g, a), time.Now()
	before, _ := one.State()
	if before == breaker.Closed {
		return
	}
	verdict := one.Allow(now)
	switch {
	case verdict.Probe:
		one.probing = now
		one.alarm.set(now.Add(breaker.DefaultProbe))
		if before == breaker.Open {
			d.tell(g, a, breaker.Change{From: before, To: breaker.HalfOpen, Reason: verdict.Reason})
		}
		if v := g.view.Load(); v != nil {
			if i := v.index(a); i >= 0 && i != v.Snapshot.Primary && !v.Leaving[i] {
				v.load.Probe(i)
			}
		}
	case !verdict.Back.IsZero():
		one.alarm.set(verdict.Back)
	}
}

// changed carries a change of state out. The lock is held.
func (d *Dispatcher) changed(g *group, a netip.AddrPort, c breaker.Change) {
	if c.To == breaker.Open && !c.Until.IsZero() {
		g.breakers.all[a].alarm.set(c.Until)
	}
	if v := g.view.Load(); v != nil {
		g.bar(v, v.index(a))
	}
	d.tell(g, a, c)
}

// tell has a change kept for explanations.
func (d *Dispatcher) tell(g *group, a netip.AddrPort, c breaker.Change) {
	d.Control.Offer(controller.Decided{Decision: controller.Decision{
		Part: "breaker", Action: c.To.String(), Reason: c.Reason.String(), Group: g.name, Upstream: a.String(),
	}})
}

// bar takes an upstream out of choice, or back in. The lock is held.
func (g *group) bar(v *view, i int) {
	if i < 0 {
		return
	}
	state, reason := breaker.Closed, breaker.NoReason
	if one := g.breakers.all[v.Upstreams[i].Address]; one != nil {
		state, reason = one.State()
	}
	leads := i == v.Snapshot.Primary
	// A primary that is leaving goes on until another one is promoted: with
	// writes barred from it, every booking would wait for its deadline.
	leaving := v.Leaving[i] && !leads
	open := state == breaker.Open && (!leads || reason == breaker.ByOperator)
	if state == breaker.HalfOpen && !leads && !leaving {
		return // barred but for its probe
	}
	v.load.Bar(i, leaving || open)
}

// show gives traffic a view with its bars set. A change of a breaker meanwhile
// waits, or it would go to the load of the view before.
func (g *group) show(v *view) {
	g.breakers.mu.Lock()
	defer g.breakers.mu.Unlock()
	for i := range v.Upstreams {
		g.bar(v, i)
	}
	g.view.Store(v)
}

func (v *view) index(a netip.AddrPort) int {
	for i, u := range v.Upstreams {
		if u.Address == a {
			return i
		}
	}
	return -1
}

// Breaker returns the state of an upstream's breaker and why it is in it.
func (d *Dispatcher) Breaker(name string, a netip.AddrPort) (breaker.State, breaker.Reason) {
	g := d.group(name)
	g.breakers.mu.Lock()
	defer g.breakers.mu.Unlock()
	if one := g.breakers.all[a]; one != nil {
		return one.State()
	}
	return breaker.Closed, breaker.NoReason
}

// Force sets or clears an operator's state of an upstream's breaker in each group
// that has it, and returns the state it is in now. The error is ErrNoUpstream.
func (d *Dispatcher) Force(a netip.AddrPort, f breaker.Forced) (state breaker.State, err error) {
	found := false
	d.groups.Range(func(_, value any) bool {
		g := value.(*group)
		if v := g.view.Load(); v != nil && v.index(a) >= 0 {
			found = true
			state = d.force(g, a, f)
		}
		return true
	})
	if !found {
		return state, errors.Wrap(ErrNoUpstream, a.String())
	}
	return state, nil
}

func (d *Dispatcher) force(g *group, a netip.AddrPort, f breaker.Forced) breaker.State {
	g.breakers.mu.Lock()
	defer g.breakers.mu.Unlock()
	one := d.guard(g, a)
	change := one.Force(time.Now(), f)
	d.changed(g, a, change)
	return change.To
}
