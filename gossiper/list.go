package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// Take takes in another's list. What is new here isn't told on: each asks for what it
// lacks.
func (r *Roster) Take(list []Member, now time.Time) {
	for _, m := range list {
		r.hold(m, now)
	}
}

// tell takes in a statement that came as news, and tells it on if it is new here.
func (r *Roster) tell(m Member, now time.Time) {
	if r.hold(m, now) {
		r.news.put(r.peers[m.Name].said)
	}
}

// hold takes in a statement about a process and reports whether it is new. Its order
// among others doesn't matter. Whoever says what is outdated is to hear what holds:
// a process that has started anew since is present to those who have heard it, and
// silent to one that hasn't, and neither would learn from the other.
func (r *Roster) hold(m Member, now time.Time) bool {
	if m.Name == r.self.Name {
		r.contradict(m)
		return false
	}
	p := r.peers[m.Name]
	switch {
	case p == nil && (m.Condition == Gone || !m.GossipAddr.IsValid()):
		return false // forgotten here, or never known
	case p == nil:
		r.add(m, now)
		return true
	case p.said.outweighs(&m) && p.said.Condition != m.Condition:
		r.news.put(p.said)
		return false
	default:
		return r.weigh(p, m, now)
	}
}

// contradict answers a statement about this process that isn't true, or is of an
// earlier run whose clock was ahead of this one's.
func (r *Roster) contradict(m Member) {
	switch {
	case m.Start > r.self.Start:
		r.self.Start = m.Start + 1
	case m.Start < r.self.Start, m.Condition == Alive, m.Incarnation < r.self.Incarnation:
		return
	default:
		r.self.Incarnation = m.Incarnation + 1
	}
	r.news.put(r.self)
}

// weigh takes in a statement about a process that is known, and reports whether its
// condition is another one now.
func (r *Roster) weigh(p *record, m Member, now time.Time) bool {
	if !m.outweighs(&p.said) {
		return false
	}
	if m.Condition != Alive {
		m = m.of(&p.said) // it may be brief
	} else if p.said.Condition != Alive {
		p.trusted = now.Add(contradicted)
	}
	if m.Start > p.Start {
		p.State, p.LastSeen = m.state(), time.Time{} // what an earlier run said is void
	}
	before := p.said.Condition
	r.digest ^= p.said.digest() ^ m.digest()
	p.said, r.fleet = m, nil
	if m.Condition == before {
		return false
	}
	r.changes = append(r.changes, Change{Member: m, Before: before, Heard: p.LastSeen})
	p.changed = now
	p.expected = time.Time{}
	r.stale = true
	return true
}

// of returns the statement with what is known of who it is about.
func (m *Member) of(known *Member) Member {
	out := *known
	out.Start, out.Incarnation, out.Condition = m.Start, m.Incarnation, m.Condition
	return out
}

// compare notes whether another's list agrees with this one.
func (r *Roster) compare(digest uint32) {
	if digest != r.digest {
		r.agreed = 0
		r.dissent++
		return
	}
	r.dissent = max(0, r.dissent-1)
	if r.agreed++; r.agreed >= consensus {
		r.news = news{} // nobody lacks it
	}
}

// Lacks reports whether to ask a process with such a list for it, and notes that it is
// asked. Whoever differs from most that it hears asks; two that differ from all others
// in the same way mustn't take each other for the fleet.
func (r *Roster) Lacks(digest uint32, now time.Time) bool {
	if digest == r.digest || r.dissent < dissent || now.Sub(r.asked) < compareEvery {
		return false
	}
	r.asked, r.dissent = now, 0
	return true
}

// Members returns the list, this process included, by name.
func (r *Roster) Members() []Member {
	out := []Member{r.self}
	for _, p := range r.peers {
		out = append(out, p.said)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// FillState fills in what a process says of the fleet in its next round.
func (r *Roster) FillState(s *State) {
	s.Start, s.Incarnation = r.self.Start, r.self.Incarnation
	s.FleetDigest, s.News = r.digest, r.news.take()
}
