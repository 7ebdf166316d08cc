package dispatcher

import (
	"net/netip"
	"sync/atomic"
	"time"

	"basildale.example/basildale/controller"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/meter"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/router"
)

const (
	// tokenIndexBits is how much of a target's token is the upstream's index; the
	// rest is when the unit was routed, in microseconds since the start.
	tokenIndexBits = 8
	// heardEvery is the least time between two events that tell the promoter of
	// an upstream's answers.
	heardEvery = 10 * time.Millisecond
)

// token is never zero: that is the token of a target without a place.
func (d *Dispatcher) token(i int, now time.Time) uint64 {
	return uint64(now.Sub(d.start).Microseconds()+1)<<tokenIndexBits | uint64(i)
}

func (d *Dispatcher) untoken(token uint64) (i int, at time.Time) {
	micros := token>>tokenIndexBits - 1
	return int(token & (1<<tokenIndexBits - 1)), d.start.Add(time.Duration(micros) * time.Microsecond)
}

// Release ends a unit's or a transaction's use of an upstream. served is false
// when there is no answer, or none was waited for.
func (d *Dispatcher) Release(t relayer.Target, served bool) {
	g := d.group(t.Group)
	if t.Ticket != 0 {
		g.gates.get(t.Address, limiter.DefaultLimits()).Release(limiter.Ticket(t.Ticket), served)
	}
	v := g.view.Load()
	if v == nil || t.Token == 0 {
		return
	}
	i, at := d.untoken(t.Token)
	if i >= len(v.Upstreams) || v.Upstreams[i].Address != t.Address {
		return // the group has other upstreams now, and its load starts anew
	}
	now := time.Now()
	v.load.Done(i, now.Sub(at), now)
}

// Yield gives up the place of a transaction that waits for its caller. Its later
// units need none: they hold locks that others wait for, so they go before what
// queues, and their number is bounded by that of the connections.
//
// What goes wrong without it: a caller that thinks inside a transaction keeps a
// slot of the proxy's window, which begins with one, and every other booking
// through the proxy is refused although the upstream has nothing to do.
func (d *Dispatcher) Yield(t *relayer.Target) {
	d.Release(*t, true)
	t.Ticket, t.Token = 0, 0
}

// Observe takes the outcome of one attempt.
func (d *Dispatcher) Observe(t relayer.Target, r *relayer.Request, o retrier.Outcome) {
	now := time.Now()
	d.measure(t, r, o, now)
	g := d.group(t.Group)
	d.outcome(g, t, o, now)
	if trouble, ok := troubleOf(o); ok {
		d.Control.Offer(controller.Promotion{Group: g.name, Event: promoter.Failed{Upstream: t.Address, Trouble: trouble}})
		return
	}
	if o.Kind == retrier.Done && g.tell(t.Address, now.Sub(d.start)) {
		d.Control.Offer(controller.Promotion{Group: g.name, Event: promoter.Answered{Upstream: t.Address}})
	}
}

// tell reports whether the promoter is to hear of an answer: it needs to know
// that the upstream lives, not each statement.
func (g *group) tell(a netip.AddrPort, now time.Duration) bool {
	last, ok := g.heard.Load(a)
	if !ok {
		last, _ = g.heard.LoadOrStore(a, new(atomic.Int64))
	}
	at := last.(*atomic.Int64)
	was := at.Load()
	return int64(now)-was >= int64(heardEvery) && at.CompareAndSwap(was, int64(now))
}

type seriesKey struct{ tenant, class string }

func (d *Dispatcher) measure(t relayer.Target, r *relayer.Request, o retrier.Outcome, now time.Time) {
	if d.Meter == nil {
		return
	}
	class := r.Terms.Class.String()
	if class == "" {
		class = "other"
	}
	routed := r.Arrived // a later unit of a transaction didn't wait
	if t.Token != 0 {
		_, routed = d.untoken(t.Token)
	}
	s := d.seriesOf(r.Account.Tenant, class)
	s.Observe(meter.Timing{Wait: routed.Sub(r.Arrived), Upstream: now.Sub(routed), Total: now.Sub(r.Arrived)})
	d.Meter.Outcome(r.Account.Tenant, class, o.Kind.String())
}

// seriesOf finds a series without making its name anew for each statement.
func (d *Dispatcher) seriesOf(tenant, class string) *meter.Series {
	key := seriesKey{tenant, class}
	if s, ok := d.series.Load(key); ok {
		return s.(*meter.Series)
	}
	s, _ := d.series.LoadOrStore(key, d.Meter.Series(tenant, class))
	return s.(*meter.Series)
}

// record keeps one decision of the router.
func (d *Dispatcher) record(r *relayer.Request, decision router.Decision, now time.Time) {
	if d.Meter != nil {
		d.Meter.Route(decision.Reason.String())
	}
	if d.Recorder != nil {
		d.Recorder.Add(router.Record{At: now, Group: r.Account.Group, Session: r.Notes.Session, Decision: decision})
	}
}
