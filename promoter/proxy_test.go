package promoter_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/confirmer"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// fakeProxy wires one Group and one confirmer to the fakes, as the server does.
type fakeProxy struct {
	w         *world
	id, zone  string
	group     promoter.Group
	confirmer confirmer.Group
	dead      bool
	stoppedAt time.Time
	// pausedUntil: nothing is handled before then.
	pausedUntil time.Time
	primary     netip.AddrPort
	term        tracker.Term
	holdUntil   time.Time
	tick, poll  int
	pending     map[uint64]*fakeWrite
}

type fakeWrite struct {
	id       int
	term     tracker.Term
	begun    time.Time
	deadline time.Time
}

func newProxy(w *world, i int) *fakeProxy {
	p := &fakeProxy{
		w: w, id: fmt.Sprintf("proxy-%d", i), zone: w.zone(i),
		pending: make(map[uint64]*fakeWrite),
	}
	p.group = promoter.Group{Name: "billet-db-1", Self: p.id, Zone: p.zone, Settings: w.settings}
	return p
}

// deliver runs f now, or when the proxy wakes up, or never.
func (p *fakeProxy) deliver(f func()) {
	switch {
	case p.dead:
	case p.pausedUntil.After(p.w.Now):
		p.w.After(p.pausedUntil.Sub(p.w.Now), func() { p.deliver(f) })
	default:
		f()
	}
}

func (p *fakeProxy) handle(ev promoter.Event) {
	if p.dead {
		return
	}
	cmds := slices.Clone(p.group.Handle(ev, p.w.Now))
	p.tick++
	if next := p.group.Next(); !next.IsZero() {
		number := p.tick
		p.w.After(next.Sub(p.w.Now), func() {
			p.deliver(func() {
				if p.tick == number {
					p.handle(promoter.Tick{})
				}
			})
		})
	}
	for _, c := range cmds {
		p.deliver(func() { p.carryOut(c) })
	}
}

func (p *fakeProxy) carryOut(c promoter.Command) {
	switch c := c.(type) {
	case promoter.Fence, promoter.Promote, promoter.Follow:
		if p.w.onStep != nil {
			p.w.onStep(p, c)
		}
		p.deliver(func() { p.step(c) })
	case promoter.Probe:
		p.probe(c.Upstream)
	case promoter.Report:
		for _, id := range c.To {
			p.tell(id, promoter.Reported{
				From: p.id, Zone: p.zone, Upstream: c.Upstream,
				Term: c.Term, Suspect: c.Suspect, Claim: c.Claim,
			})
		}
	case promoter.Announce:
		for _, o := range p.w.proxies {
			if o != p && (c.To == nil || slices.Contains(c.To, o.id)) {
				p.tell(o.id, promoter.Announced{
					From: p.id, Primary: c.Primary, Term: c.Term,
					Record: c.Record, Version: c.Version, Hold: c.Hold,
				})
			}
		}
	case promoter.Adopt:
		p.adopt(c)
	case promoter.Hold:
		p.holdUntil = c.Until
	case promoter.Moved:
		p.w.moved = append(p.w.moved, c)
	case promoter.Load, promoter.Save:
		p.callPlatform(c)
	}
}

func (p *fakeProxy) tell(id string, ev promoter.Event) {
	for _, o := range p.w.proxies {
		if o.id == id {
			p.w.send(p.zone, o.zone, func() { o.deliver(func() { o.handle(ev) }) })
		}
	}
}

func (p *fakeProxy) probe(a netip.AddrPort) {
	u := p.w.upstream(a)
	ev := promoter.Stated{Upstream: a, Sent: p.w.Now}
	p.w.call(p, u,
		func() { ev.State, ev.Following = u.state, u.follows },
		func() { p.handle(ev) },
		func() { p.handle(promoter.Failed{Upstream: a, Trouble: promoter.Refused}) })
}

func (p *fakeProxy) step(c promoter.Command) {
	var ev promoter.Stepped
	var do func(u *fakeUpstream) bool
	switch c := c.(type) {
	case promoter.Fence:
		ev = promoter.Stepped{Step: promoter.Fencing, Upstream: c.Upstream, Term: c.Term}
		do = func(u *fakeUpstream) bool { return u.fence(c.Term) }
	case promoter.Promote:
		ev = promoter.Stepped{Step: promoter.Promoting, Upstream: c.Upstream, Term: c.Term}
		do = func(u *fakeUpstream) bool {
			ok := u.promote(c.Term)
			if ok {
				p.w.notePromotion(u, c.Term)
			}
			return ok
		}
	case promoter.Follow:
		ev = promoter.Stepped{Step: promoter.Following, Upstream: c.Upstream, Term: c.Term}
		do = func(u *fakeUpstream) bool { return u.follow(c.Term, c.Primary) }
	}
	u := p.w.upstream(ev.Upstream)
	p.w.call(p, u, func() {
		before := u.state.Term
		ev.Outcome = promoter.Rejected
		if do(u) {
			ev.Outcome = promoter.Done
		}
		ev.State = u.state
		if u.state.Term.Less(before) {
			p.w.violate("the term of %v fell", u.addr)
		}
	}, func() { p.handle(ev) }, func() {})
}

func (p *fakeProxy) adopt(c promoter.Adopt) {
	if c.Term.Less(p.term) {
		p.w.violate("%s went back to term %v", p.id, c.Term)
	}
	if w := p.w; w.side[p.zone] == w.side[w.upstream(c.Primary).zone] && w.promotions > 0 && !w.healed {
		w.learnedIn = max(w.learnedIn, w.Now.Sub(w.promotedAt))
	}
	p.primary, p.term, p.holdUntil = c.Primary, c.Term, time.Time{}
	var replicas []netip.AddrPort
	for _, u := range p.w.upstreams {
		if u.addr != c.Primary {
			replicas = append(replicas, u.addr)
		}
	}
	p.confirm(p.confirmer.Change(confirmer.Change{Term: c.Term, Replicas: replicas}, p.w.Now))
}

func (p *fakeProxy) callPlatform(c promoter.Command) {
	pl := &p.w.platform
	d, answered := pl.delay(&p.w.clock)
	if pl.mode == platformDown {
		p.w.After(time.Second, func() { p.deliver(func() { p.handle(lostAnswer(c)) }) })
		return
	}
	p.w.After(d, func() {
		var ev promoter.Event = promoter.Loaded{Outcome: promoter.Done, Record: pl.record, Version: pl.version}
		if s, ok := c.(promoter.Save); ok {
			ev = pl.save(s)
		}
		if !answered {
			ev = lostAnswer(c)
		}
		p.w.After(d, func() { p.deliver(func() { p.handle(ev) }) })
	})
}

func lostAnswer(c promoter.Command) promoter.Event {
	if s, ok := c.(promoter.Save); ok {
		return promoter.Saved{Outcome: promoter.Lost, Nonce: s.Record.Nonce}
	}
	return promoter.Loaded{Outcome: promoter.Lost}
}

// writeLoop begins a write every so often, as callers do.
func (p *fakeProxy) writeLoop() {
	if p.dead {
		return
	}
	p.w.After(writeEvery, p.writeLoop)
	p.w.nextID++
	wr := &fakeWrite{id: p.w.nextID, begun: p.w.Now, deadline: p.w.Now.Add(p.w.allowed)}
	p.deliver(func() { p.try(wr) })
}

// again runs a write that is proven not to have run once more, before its deadline.
func (p *fakeProxy) again(wr *fakeWrite) {
	p.w.After(10*ms, func() { p.deliver(func() { p.try(wr) }) })
}

func (p *fakeProxy) try(wr *fakeWrite) {
	if !p.w.Now.Before(wr.deadline) {
		p.w.notRun++
		return
	}
	if !p.primary.IsValid() || p.holdUntil.After(p.w.Now) {
		p.again(wr)
		return
	}
	if !p.w.noConfirm && !p.confirmer.Admit(wr.deadline, p.w.Now).Admitted {
		p.w.notRun++
		p.confirm(nil)
		return
	}
	p.write(wr)
}

func (p *fakeProxy) write(wr *fakeWrite) {
	u := p.w.upstream(p.primary)
	wr.term = p.term
	var mark tracker.Mark
	ran, ended := false, false
	quiet := func() {
		if !ended {
			ended = true
			p.w.unknown++
			p.handle(promoter.Failed{Upstream: u.addr, Trouble: promoter.Quiet})
		}
	}
	p.w.After(wr.deadline.Sub(p.w.Now), func() { p.deliver(quiet) })
	p.w.call(p, u, func() {
		if u.state.Role == tracker.Primary && u.state.Term == wr.term {
			ran = true
			mark = p.w.append(u, wr.id)
		}
	}, func() {
		if ended {
			return
		}
		ended = true
		if !ran {
			p.handle(promoter.Failed{Upstream: u.addr, Trouble: promoter.Stale})
			p.again(wr)
			return
		}
		p.handle(promoter.Answered{Upstream: u.addr})
		p.wrote(wr, mark)
	}, func() {
		if !ended {
			ended = true
			p.handle(promoter.Failed{Upstream: u.addr, Trouble: promoter.Refused})
			p.again(wr)
		}
	})
}

func (p *fakeProxy) wrote(wr *fakeWrite, mark tracker.Mark) {
	if p.w.noConfirm {
		p.w.acknowledge(wr.id, wr.term, wr.begun)
		return
	}
	p.pending[uint64(wr.id)] = wr
	p.confirm(p.confirmer.Wrote(confirmer.Wrote{
		ID: uint64(wr.id), Term: wr.term, Mark: mark, Deadline: wr.deadline,
	}, p.w.Now))
}

// confirm carries out the confirmer's commands and arms its tick.
func (p *fakeProxy) confirm(cmds []confirmer.Command) {
	for _, c := range slices.Clone(cmds) {
		switch c.Kind {
		case confirmer.Ack:
			wr := p.pending[c.ID]
			delete(p.pending, c.ID)
			p.w.acknowledge(wr.id, wr.term, wr.begun)
		case confirmer.Unknown:
			delete(p.pending, c.ID)
			p.w.unknown++
		case confirmer.Poll:
			p.wait(c)
		case confirmer.Sample:
			p.sample()
		}
	}
	p.poll++
	if next := p.confirmer.Next(); !next.IsZero() {
		number := p.poll
		p.w.After(max(next.Sub(p.w.Now), 0), func() {
			p.deliver(func() {
				if p.poll == number {
					p.confirm(p.confirmer.Tick(p.w.Now))
				}
			})
		})
	}
}

// wait is basildale_wait on a replica.
func (p *fakeProxy) wait(c confirmer.Command) {
	u := p.w.upstream(c.Upstream)
	p.w.send(p.zone, u.zone, func() {
		if u.silent {
			return
		}
		if u.dead {
			p.w.send(u.zone, p.zone, func() {
				p.deliver(func() { p.confirm(p.confirmer.PollFailed(u.addr, p.w.Now)) })
			})
			return
		}
		over := false
		answer := func() {
			if over || u.dead {
				return
			}
			over = true
			state, follows := u.state, u.follows
			p.w.send(u.zone, p.zone, func() {
				p.deliver(func() {
					p.handle(promoter.Stated{Upstream: u.addr, State: state, Following: follows})
					p.confirm(p.confirmer.Polled(confirmer.Polled{
						Upstream: u.addr, State: state, Solicited: true,
					}, p.w.Now))
				})
			})
		}
		if !u.state.Mark.Less(c.Mark) {
			answer()
			return
		}
		u.waiters = append(u.waiters, &waiter{mark: c.Mark, done: answer})
		p.w.After(max(c.Until.Sub(p.w.Now), 0), answer)
	})
}

// sample is a settled throwaway request on the primary.
func (p *fakeProxy) sample() {
	u := p.w.upstream(p.primary)
	term := p.term
	var mark tracker.Mark
	p.w.nextID++
	id := p.w.nextID
	p.w.call(p, u, func() {
		if u.state.Role == tracker.Primary && u.state.Term == term {
			mark = p.w.append(u, id)
		}
	}, func() {
		if mark.IsZero() {
			p.handle(promoter.Failed{Upstream: u.addr, Trouble: promoter.Stale})
		} else {
			p.confirm(p.confirmer.Wrote(confirmer.Wrote{Term: term, Mark: mark}, p.w.Now))
		}
	}, func() {})
}
