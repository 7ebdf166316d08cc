package delegator

func (v *variant) gateways() int {
	if v.spare {
		return 3
	}
	return 1
}

// basis returns what loans between gateways rest on.
func (h *history) basis(p *process) Basis { return Basis{Leader: "a", Share: h.shareOf(p)} }

func (h *history) spareView(p *process) SpareView {
	v := SpareView{Basis: h.basis(p), Open: p.open}
	if h.chance(0.02) {
		v.Waiting = 1
	}
	if !p.enabled || !p.reaches || !p.taker.IsIdle() || !p.lender.IsIdle() && !h.variant.together {
		v.Obstacle = "off"
	}
	for _, o := range h.procs[:h.variant.gateways()] {
		if o != p {
			v.Peers = append(v.Peers, SparePeer{Peer: Peer{Name: o.name}, Running: h.rng.IntN(10)})
		}
	}
	return v
}

func (h *history) spareSituation(p *process) SpareSituation {
	s := SpareSituation{Basis: h.basis(p), Held: p.open, Busy: p.open, Waiting: 9}
	if !p.enabled || !p.reaches || !p.spare.IsIdle() || !p.lender.IsIdle() {
		s.Refusal = "off"
	}
	return s
}

// lendSpare has a SpareLender handle an event, as if it had watched its peers for long.
func (h *history) lendSpare(p *process, event any) {
	if !p.spare.since.IsZero() {
		p.spare.since = p.spare.since.Add(-peakWindow)
	}
	for _, o := range h.procs {
		if u := p.spare.peers[o.name]; u != nil {
			u.busy.value = 9 * h.rng.Float64()
		}
	}
	if h.variant.beforeSpare != nil {
		h.variant.beforeSpare(p.spare)
	}
	commands := p.spare.Handle(event, h.local(p))
	if h.variant.afterSpare != nil {
		h.variant.afterSpare(p.spare)
	}
	h.execute(p, commands, nil)
	h.use(p)
}

// closing returns how likely a connection that is too many is no longer in use.
func (v *variant) closing() float64 {
	if v.spare {
		return 0.1
	}
	return 0.3
}

// bound returns how many connections a gateway may have open; those above it are in use.
func (h *history) bound(p *process) int {
	n := p.open
	if p.gateway && h.variant.spare {
		n = h.shareOf(p)
		for _, e := range p.extras {
			if h.local(p).Before(e.Until) {
				n += e.Count
			}
		}
	}
	return n
}

// use has a process open all connections that it may, and close what it may not have some
// time later: they are in use.
func (h *history) use(p *process) {
	if p.lender.limited == "" && !p.spare.limited {
		p.limit = h.shareOf(p)
	}
	limit := p.limit
	for _, e := range p.extras {
		if e.Serving && h.local(p).Before(e.Until) {
			limit += e.Count
		}
	}
	p.open = max(p.open, limit)
	if p.open > limit && h.chance(h.variant.closing()) {
		p.open--
	}
}
