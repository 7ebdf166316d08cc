package dispatcher

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/confirmer"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

// comeBack is when a caller that was refused for want of a primary is told to
// ask again: about as long as a replacement takes.
const comeBack = 500 * time.Millisecond

// frozenBack is when a caller whose write was refused by the preset is told to
// ask again: maintenance lasts minutes.
const frozenBack = 10 * time.Second

// Route chooses the upstream for a unit. It waits no longer than the unit's
// deadline, and refuses as soon as it is known that nothing can be in time.
func (d *Dispatcher) Route(ctx context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
	now := time.Now()
	found, ok := d.groups.Load(r.Account.Group)
	if !ok {
		return relayer.Target{}, refuse(retrier.Forbidden, time.Time{}, "there is no such group")
	}
	g := found.(*group)
	if r.Terms.Frozen && !r.Read() {
		return relayer.Target{}, refuse(retrier.Frozen, now.Add(frozenBack), "the preset in force refuses writes")
	}
	g.used(now)
	if !r.Avoid.IsValid() {
		g.budget.Deposit() // the first attempt
	}
	req := d.request(r, now)
	if wantsNow(r) {
		req.Primary = true
		if refusal := d.checkPrimary(ctx, r); refusal != nil {
			return relayer.Target{}, refusal
		}
	}
	for {
		v := g.view.Load()
		if req.Write {
			if until, held := v.held(now); held {
				if !sleep(ctx, v.changed, until, r.Deadline) {
					return relayer.Target{}, refuse(retrier.Late, now.Add(comeBack), "a planned change of the primary took too long")
				}
				now = time.Now()
				continue
			}
		}
		req.Barred = barred(v, r.Avoid)
		decision := router.Decide(&req, v.Snapshot, v.load, now)
		d.record(r, decision, now)
		target, refusal, done := d.act(ctx, g, v, &req, decision, r, now)
		if done {
			return target, refusal
		}
		now = time.Now()
	}
}

// act carries out one decision of the router. done is false when the router is
// to be asked again.
func (d *Dispatcher) act(ctx context.Context, g *group, v *view, req *router.Request, decision router.Decision, r *relayer.Request, now time.Time) (relayer.Target, *relayer.Refusal, bool) {
	switch decision.Action {
	case router.Go:
		target, refusal := d.take(ctx, g, v, decision.Target, req, r, now)
		return target, refusal, true
	case router.Ask:
		refusal := d.ask(ctx, v, decision.Reason, req, r)
		return relayer.Target{}, refusal, refusal != nil
	case router.Wait:
		refusal := d.wait(ctx, g, v, decision, r, now)
		return relayer.Target{}, refusal, refusal != nil
	default:
		return relayer.Target{}, refuse(retrier.Late, time.Now().Add(comeBack), decision.Reason.String()), true
	}
}

// take admits a unit to an upstream.
func (d *Dispatcher) take(ctx context.Context, g *group, v *view, i int, req *router.Request, r *relayer.Request, now time.Time) (relayer.Target, *relayer.Refusal) {
	t := relayer.Target{Group: g.name, Address: v.Upstreams[i].Address}
	if i == v.Snapshot.Primary {
		t.Primary, t.Term = true, v.Snapshot.Term
	}
	if req.Write && r.Notes.Session != "" && !d.Marks.Ready() {
		return relayer.Target{}, refuse(retrier.Refused, now.Add(comeBack), "this proxy is not on the roster of the fleet, or cut off from it")
	}
	if req.Write {
		if verdict := g.confirm.Admit(r.Deadline); !verdict.Admitted {
			return relayer.Target{}, refuse(causeOf(verdict.Reason), verdict.Retry, "the write couldn't be confirmed in time: "+verdict.Reason.String())
		}
	}
	v.load.Start(i)
	ticket, refusal := d.enter(ctx, v.gates[i], r)
	if refusal != nil {
		v.load.Done(i, 0, time.Now())
		return relayer.Target{}, refusal
	}
	t.Ticket = uint64(ticket)
	t.Token = d.token(i, time.Now())
	return t, nil
}

func causeOf(r confirmer.Reason) retrier.Cause {
	if r == confirmer.Silent || r == confirmer.Learning {
		return retrier.Refused
	}
	return retrier.Late
}

// request puts together what the router needs to know of a unit.
func (d *Dispatcher) request(r *relayer.Request, now time.Time) router.Request {
	return router.Request{
		Write:    !r.Read(),
		Mark:     r.Notes.Mark,
		Known:    d.known(r),
		Age:      statedAge(r),
		Deadline: r.Deadline,
		Patience: now.Add(d.Patience),
		Random:   d.draw(),
	}
}

// freshest is the least age that samples can bear out. A read that states less
// goes to the primary, after a check that it is the primary: what was
// acknowledged before the read came in is in its log then.
const freshest = 5 * time.Millisecond

func statedAge(r *relayer.Request) time.Duration {
	if wantsNow(r) || !r.Terms.AnyAge {
		return 0 // none, to the router
	}
	return r.Terms.Age
}

// wantsNow reports whether a read wants the data as it is, and not some time ago.
func wantsNow(r *relayer.Request) bool {
	return r.Read() && r.Terms.AnyAge && r.Terms.Age < freshest
}

// wait lets time pass until a new view, or until the replica should have passed
// the mark. Its state is asked for at that moment: the next sample may be a whole
// interval away, and the read would wait that much too long.
func (d *Dispatcher) wait(ctx context.Context, g *group, v *view, decision router.Decision, r *relayer.Request, now time.Time) *relayer.Refusal {
	until := decision.Until
	if until.IsZero() || until.After(r.Deadline) {
		until = r.Deadline
	}
	if !until.After(now) {
		until = now.Add(shortest)
	}
	changed := sleep(ctx, v.changed, until, r.Deadline)
	switch {
	case ctx.Err() != nil:
		return refuse(retrier.Stopping, time.Now(), "the proxy is stopping")
	case !changed && !time.Now().Before(r.Deadline):
		return refuse(retrier.Late, time.Now().Add(comeBack), decision.Reason.String())
	case decision.Reason == router.WaitReplica && g.view.Load() == v:
		d.refresh(ctx, g, v, decision.Target)
	}
	return nil
}

// shortest is the least time between two looks at an unchanged view.
const shortest = time.Millisecond

// refresh asks a replica for its state, and returns once that is on its way to
// the next view.
func (d *Dispatcher) refresh(ctx context.Context, g *group, v *view, i int) {
	ctx, cancel := context.WithTimeout(ctx, refreshWithin)
	defer cancel()
	sent := time.Now()
	answer, err := d.Upstreams.State(ctx, v.Upstreams[i].Address)
	if err != nil {
		return
	}
	d.stated(g, v.Upstreams[i].Address, answer, sent)
	sleep(ctx, v.changed, time.Now().Add(refreshWithin), time.Now().Add(refreshWithin))
}

// refreshWithin bounds a refresh, and then the wait for the view that it brings.
const refreshWithin = 20 * time.Millisecond

// known reports whether the session's mark covers all its acknowledged writes.
// The mark of an unnamed session is that of its connection, once it was found. A
// named one may have written by another proxy since.
func (d *Dispatcher) known(r *relayer.Request) bool {
	return r.Notes.Known && r.Notes.Session == ""
}

// ask finds out what the router wants to know.
func (d *Dispatcher) ask(ctx context.Context, v *view, why router.Reason, req *router.Request, r *relayer.Request) *relayer.Refusal {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	if why == router.AskPrimary {
		return d.confirmPrimary(ctx, v, r)
	}
	return d.find(ctx, req, r)
}

// confirmPrimary has the primary checked by a majority of the group. The states
// that come in with it make the next view, by which the router decides again.
func (d *Dispatcher) confirmPrimary(ctx context.Context, v *view, r *relayer.Request) *relayer.Refusal {
	if refusal := d.checkPrimary(ctx, r); refusal != nil {
		return refusal
	}
	sleep(ctx, v.changed, time.Now().Add(refreshWithin), r.Deadline)
	return nil
}

// checkPrimary returns when a majority of the group, asked after this call, has
// borne out that the primary is the primary.
func (d *Dispatcher) checkPrimary(ctx context.Context, r *relayer.Request) *relayer.Refusal {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	found, err := d.Marks.Find(ctx, tracker.Key{Group: r.Account.Group}, r.Deadline)
	if err != nil {
		return unfound(err, found)
	}
	return nil
}

// find looks for the session's mark.
func (d *Dispatcher) find(ctx context.Context, req *router.Request, r *relayer.Request) *relayer.Refusal {
	found, err := d.Marks.Find(ctx, keyOf(r), r.Deadline)
	if err != nil {
		return unfound(err, found)
	}
	if req.Mark.Less(found.Mark) {
		req.Mark = found.Mark
	}
	req.Known = true
	if r.Notes.Session == "" {
		r.Notes.Mark, r.Notes.Known = req.Mark, true
	}
	return nil
}

func unfound(err error, found finder.Found) *relayer.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return refuse(retrier.Late, time.Now().Add(comeBack), "the session's last write wasn't found in time")
	}
	back := found.Retry
	if back.IsZero() {
		back = time.Now().Add(comeBack)
	}
	return refuse(retrier.Refused, back, "no primary is known for certain")
}

func keyOf(r *relayer.Request) tracker.Key {
	return tracker.Key{Tenant: r.Account.Tenant, Session: r.Notes.Session, Group: r.Account.Group}
}

// held reports whether new writes wait for a planned change of the primary.
func (v *view) held(now time.Time) (until time.Time, held bool) {
	return v.Hold, now.Before(v.Hold)
}

// barred returns the upstreams that a unit may not be sent to.
func barred(v *view, avoid netip.AddrPort) router.Mask {
	var mask router.Mask
	if i := v.Index(avoid); i != tracker.None && i != v.Snapshot.Primary {
		mask = mask.With(i)
	}
	return mask
}

// sleep waits for a change, a time or the deadline. It reports false when the
// deadline has come or the context has ended.
func sleep(ctx context.Context, changed <-chan struct{}, until, deadline time.Time) bool {
	last := until.After(deadline) || until.Equal(deadline)
	if last {
		until = deadline
	}
	timer := time.NewTimer(max(0, time.Until(until)))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return !last
	case <-ctx.Done():
		return false
	}
}

func refuse(cause retrier.Cause, back time.Time, message string) *relayer.Refusal {
	return &relayer.Refusal{
		Outcome: retrier.Outcome{Kind: retrier.NotRun, Cause: cause, Back: back},
		Message: message,
	}
}
