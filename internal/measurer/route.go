package measurer

import (
	"slices"

	"basildale.example/basildale/marker"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

// decide routes a statement.
func (p *proxy) decide(st *statement) {
	if st.over || p.dead {
		return
	}
	w := p.w
	r := router.Request{
		Write: st.write, Mark: st.mark, Known: true, Deadline: st.deadline,
		Primary: w.c.Way == AlwaysPrimary, Patience: st.patience, Random: w.random.Uint64(),
	}
	d := p.choose(&r)
	switch d.Action {
	case router.Go:
		p.dispatch(st, w.upstreams[d.Target])
	case router.Wait:
		p.wait(st, d)
	default:
		st.refuse()
	}
}

// choose asks the router, or takes the replicas that it would allow in turn.
func (p *proxy) choose(r *router.Request) router.Decision {
	if p.w.c.Pick == ByRouter {
		return router.Decide(r, p.snap, p.load, p.w.clock.Now)
	}
	n := len(p.w.upstreams)
	var d router.Decision
	for range n {
		p.turn++
		only := *r
		for i := range n {
			if i != p.turn%n && i != p.snap.Primary {
				only.Barred = only.Barred.With(i)
			}
		}
		d = router.Decide(&only, p.snap, p.load, p.w.clock.Now)
		if p.turn%n != p.snap.Primary && (d.Action != router.Go || d.Target != p.snap.Primary) {
			return d
		}
	}
	return router.Decide(r, p.snap, p.load, p.w.clock.Now)
}

// wait lets a statement decide again at a time or with the next snapshot.
func (p *proxy) wait(st *statement, d router.Decision) {
	p.waiting = append(p.waiting, st)
	if d.Until.IsZero() || !d.Until.After(p.w.clock.Now) {
		return
	}
	p.w.clock.At(d.Until, func() {
		i := slices.Index(p.waiting, st)
		if i < 0 {
			return
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if d.Reason == router.WaitReplica && !st.asked {
			// It should be there now: ask it, and decide with what it says.
			st.asked = true
			p.waiting = append(p.waiting, st)
			p.ask(p.w.upstreams[d.Target], func(tracker.State) {})
			return
		}
		p.decide(st)
	})
}

// dispatch lets a statement wait for one of the proxy's slots at an upstream.
func (p *proxy) dispatch(st *statement, u *upstream) {
	p.load.Start(u.index)
	p.queues[u.index] = append(p.queues[u.index], st)
	p.send(u)
}

// send sends statements to an upstream while there are slots.
func (p *proxy) send(u *upstream) {
	for p.sent[u.index] < share && len(p.queues[u.index]) > 0 {
		st := p.queues[u.index][0]
		p.queues[u.index] = p.queues[u.index][1:]
		if st.over {
			p.load.Done(u.index, 0, p.w.clock.Now)
			continue
		}
		p.sent[u.index]++
		p.submit(st, u)
	}
}

// submit sends one statement.
func (p *proxy) submit(st *statement, u *upstream) {
	w := p.w
	sent := w.clock.Now
	if !st.write {
		w.result.Wait += sent.Sub(st.arrived)
	}
	j := &job{write: st.write, start: func(u *upstream) { w.ran(st, u) }}
	j.done = func(u *upstream, m tracker.Mark, ok bool) {
		w.clock.After(w.hop(p.zone, u.index), func() {
			p.sent[u.index]--
			p.load.Done(u.index, w.clock.Now.Sub(sent), w.clock.Now)
			p.answered(st, m, ok)
			p.send(u)
		})
	}
	w.clock.After(w.hop(p.zone, u.index), func() { u.add(j) })
}

// answered takes an upstream's answer in.
func (p *proxy) answered(st *statement, m tracker.Mark, ok bool) {
	switch {
	case p.dead || !ok:
		p.w.clock.After(reconnectTime, func() { st.end(false) })
	case st.write:
		st.mark = m
		p.confirm(st)
		key := st.t.s.key
		if way := p.w.way(st.t.s); way != Home {
			key.Session = ""
		}
		p.step(marker.Wrote{ID: st.id, Key: key, Mark: m})
	default:
		delete(p.hand, st.id)
		st.reply()
	}
}

// confirm waits for one replica to be at the mark of a write.
func (p *proxy) confirm(st *statement) {
	w := p.w
	confirmed := false
	for _, u := range w.upstreams {
		if u.role != tracker.Replica || u.dead {
			continue
		}
		back := w.hop(p.zone, u.index)
		sent := w.clock.Now
		u.waits = append(u.waits, wait{pos: int(st.mark.Pos), done: func(s tracker.State) {
			w.clock.After(back, func() {
				p.observe(u.index, s, sent)
				if !confirmed {
					confirmed = true
					p.acknowledge(st.id)
				}
			})
		}})
	}
}

// ran counts where a lookup ran and whether it saw what it must.
func (w *world) ran(st *statement, u *upstream) {
	if st.write {
		return
	}
	if w.proxies[st.proxy].zone == u.index {
		w.result.InZone++
	}
	if u.role == tracker.Primary {
		w.result.OnPrimary++
	} else {
		w.result.OnReplicas++
	}
	if u.mark().Less(st.need) {
		w.result.Stale++
	}
}
