package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Sweep is called before each round. It accuses those that should have been heard, takes
// for gone who has been silent for long, and returns the names of those that are
// forgotten.
func (r *Roster) Sweep(now time.Time) []string {
	r.turn()
	stood := now.Sub(r.swept) > stalled
	r.swept = now
	var dropped []string
	for _, p := range r.order {
		if stood {
			p.expected = time.Time{}
		}
		r.watch(p, now)
		if p.said.Condition == Gone && now.Sub(p.changed) > forget && now.Sub(p.LastSeen) > forget {
			dropped = append(dropped, p.Name)
		}
	}
	for _, name := range dropped {
		delete(r.peers, name)
		r.stale, r.fleet = true, nil
	}
	return dropped
}

// turn finds the neighbours on the circles when the list has changed.
func (r *Roster) turn() {
	if !r.stale {
		return
	}
	r.stale = false
	r.order = slices.SortedFunc(maps.Values(r.peers), func(a, b *record) int { return cmp.Compare(a.Name, b.Name) })
	var there []string
	for _, p := range r.order {
		if p.said.Condition != Gone {
			there = append(there, p.Name)
		}
	}
	after, before := neighbours(r.self.Name, there)
	r.after, r.before = after, set(before)
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// watch judges one process by what was heard of it.
func (r *Roster) watch(p *record, now time.Time) {
	switch {
	case !r.hears(p):
		p.expected = time.Time{}
	case p.expected.IsZero():
		p.expected = now
	}
	limit := first
	if p.LastSeen.After(p.expected) {
		limit = accusable
	}
	missing := !p.expected.IsZero() && now.Sub(later(p.LastSeen, p.expected)) >= limit
	switch {
	case p.said.Condition == Alive && missing && now.After(p.trusted):
		r.declare(p, Silent, now)
	case p.said.Condition == Silent && now.Sub(later(p.changed, p.LastSeen)) > memory:
		r.declare(p, Gone, now)
	case p.said.Condition == Silent && !p.expected.IsZero() && p.LastSeen.IsZero() && now.Sub(p.Listed) > introduction:
		r.declare(p, Gone, now)
	}
}

// hears reports whether a process sends to this one each round.
func (r *Roster) hears(p *record) bool {
	return len(r.peers) <= few || r.before[p.Name]
}

// declare states a condition of a process anew, and tells it on.
func (r *Roster) declare(p *record, c Condition, now time.Time) {
	m := p.said
	m.Condition = c
	if r.weigh(p, m, now) {
		r.news.put(p.said)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
