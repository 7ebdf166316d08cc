package measurer

import (
	"slices"
	"time"

	"basildale.example/basildale/marker"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

// proxy is one proxy: the real decision code and what it has in hand.
type proxy struct {
	w       *world
	index   int
	name    string
	zone    int
	dead    bool
	cut     bool
	marker  marker.Marker
	group   tracker.Group
	snap    *tracker.Snapshot
	load    *router.Load
	hand    map[uint64]*statement
	waiting []*statement
	queues  [zones][]*statement // for a slot at each upstream
	sent    [zones]int          // statements running there for this proxy
	turn    int                 // for round robin
	tick    time.Time
}

// arrive takes a statement in.
func (p *proxy) arrive(st *statement) {
	if p.dead {
		// The connection breaks; the caller sees it and goes on elsewhere.
		p.w.clock.After(reconnectTime, func() { st.end(false) })
		return
	}
	st.arrived = p.w.clock.Now
	st.patience = p.w.clock.Now.Add(p.w.c.Patience)
	p.hand[st.id] = st
	if st.write {
		p.decide(st)
		return
	}
	p.find(st)
}

// find finds the mark of a read in the way that is measured.
func (p *proxy) find(st *statement) {
	s := st.t.s
	switch p.w.way(s) {
	case AlwaysPrimary:
		p.decide(st)
	case Carried:
		st.mark = st.need
		p.decide(st)
	case SharedCheck:
		p.step(marker.Read{ID: st.id, Key: tracker.Key{Group: "g"}, Deadline: st.deadline})
	case Home:
		p.step(marker.Read{ID: st.id, Key: s.key, Deadline: st.deadline})
	case Mix: // the session is its connection
		if c := s.marked[p.index]; c.known {
			st.mark = c.mark
			p.decide(st)
			return
		}
		p.step(marker.Read{ID: st.id, Key: tracker.Key{Group: "g"}, Deadline: st.deadline})
	}
}

// step hands an event to the marker and carries its commands out.
func (p *proxy) step(e marker.Event) {
	if p.dead {
		return
	}
	w := p.w
	for _, c := range slices.Clone(p.marker.Step(e, w.clock.Now)) {
		switch c := c.(type) {
		case marker.Send:
			p.transmit(c)
		case marker.Check:
			w.result.Checks++
			for _, u := range w.upstreams {
				p.ask(u, func(s tracker.State) {
					p.step(marker.Stated{Group: c.Group, Batch: c.Batch, Upstream: u.index, Size: len(w.upstreams), State: s})
				})
			}
		case marker.Release:
			p.release(c)
		case marker.Fail:
			if st := p.hand[c.ID]; st != nil {
				st.refuse()
			}
		case marker.Acknowledge:
			p.acknowledge(c.ID)
		}
	}
	p.schedule()
}

// schedule sets the next tick of the marker.
func (p *proxy) schedule() {
	next := p.marker.Next()
	if next.IsZero() || next.Equal(p.tick) {
		return
	}
	p.tick = next
	p.w.clock.At(next, func() {
		if p.tick.Equal(next) {
			p.tick = time.Time{}
			p.step(marker.Tick{})
		}
	})
}

func (p *proxy) transmit(c marker.Send) {
	w := p.w
	switch c.Message.(type) {
	case marker.Ping, marker.Pong:
		w.result.Pings++
	default:
		w.result.PeerMessages++
	}
	to := w.named(c.To)
	if to == nil || to.cut || p.cut {
		return
	}
	w.clock.After(w.hop(p.zone, to.zone), func() {
		to.step(marker.Received{From: p.name, Message: c.Message})
	})
}

// ask asks an upstream for its state and takes the answer in as a sample.
func (p *proxy) ask(u *upstream, then func(tracker.State)) {
	w := p.w
	sent := w.clock.Now
	w.clock.After(w.hop(p.zone, u.index), func() {
		if u.dead {
			return
		}
		s := u.state()
		w.clock.After(w.hop(p.zone, u.index), func() {
			p.observe(u.index, s, sent)
			then(s)
		})
	})
}

// observe takes a sample in and lets the reads that wait decide again.
func (p *proxy) observe(i int, s tracker.State, sent time.Time) {
	p.group.Observe(tracker.Sample{Upstream: i, State: s, Sent: sent, Received: p.w.clock.Now})
	p.snap = p.group.Snapshot()
	waiting := p.waiting
	p.waiting = nil
	for _, st := range waiting {
		p.decide(st)
	}
}

// release lets a read go on with its mark. What a check found holds for the
// connection from then on.
func (p *proxy) release(c marker.Release) {
	st := p.hand[c.ID]
	if st == nil || st.over {
		return
	}
	s := st.t.s
	if p.w.way(s) == Mix {
		s.marked[p.index] = conn{mark: later(s.marked[p.index].mark, c.Mark), known: true}
	}
	st.mark = c.Mark
	p.decide(st)
}

// acknowledge lets a write be acknowledged when both the replica has confirmed
// it and its session's home has it.
func (p *proxy) acknowledge(id uint64) {
	st := p.hand[id]
	if st == nil {
		return
	}
	if st.ready++; st.ready < 2 || p.dead {
		return
	}
	delete(p.hand, id)
	s := st.t.s
	if p.w.way(s) == Mix {
		c := s.marked[p.index]
		s.marked[p.index] = conn{mark: later(c.mark, st.mark), known: c.known}
	}
	st.reply()
}

func later(a, b tracker.Mark) tracker.Mark {
	if a.Less(b) {
		return b
	}
	return a
}
