package sharer

import (
	"slices"
	"time"

	"basildale.example/basildale/limiter"
)

const (
	// missingReads is how many reads of the platform's list in a row have to be
	// without a member that was in it before.
	missingReads = 2
	// unlisted is how long a member may be missing from the list that was never
	// seen there. The list lags by seconds, and a fresh run isn't in it yet.
	unlisted = 30 * time.Second
)

// proofs keeps who has ended. What is proven once holds for good. The zero value
// works.
type proofs struct {
	ended map[limiter.Member]bool
	seen  map[limiter.Member]bool // was in the list once
	gaps  map[limiter.Member]gap
	reads uint64
}

// gap is a time of missing from the list.
type gap struct {
	since time.Time
	reads int
}

// say takes a member's own word.
func (p *proofs) say(m limiter.Member) {
	if p.ended == nil {
		p.ended = make(map[limiter.Member]bool)
		p.seen = make(map[limiter.Member]bool)
		p.gaps = make(map[limiter.Member]gap)
	}
	p.ended[m] = true
	delete(p.seen, m)
	delete(p.gaps, m)
}

func (p *proofs) has(m limiter.Member) bool { return p.ended[m] }

// look takes what is known of the fleet, for the members given. Only a new read
// of the list counts: while the platform is down the list says nothing about who
// came or went since.
func (p *proofs) look(members []limiter.Member, f Fleet, now time.Time) {
	fresh := f.Reads > p.reads
	p.reads = max(p.reads, f.Reads) // it is zero when nothing is known at present
	for _, m := range members {
		switch {
		case p.has(m):
		case replaced(m, f.Live) || replaced(m, members):
			p.say(m)
		case fresh && p.missed(m, f, now):
			p.say(m)
		}
	}
}

// replaced reports whether a later run is at the member's address.
func replaced(m limiter.Member, by []limiter.Member) bool {
	return slices.ContainsFunc(by, func(o limiter.Member) bool { return o.Name == m.Name && o.Start > m.Start })
}

// missed counts one read of the list. A member that peers hear from hasn't ended,
// whatever the list says: a list that came back empty by a fault would otherwise
// end the whole fleet.
func (p *proofs) missed(m limiter.Member, f Fleet, now time.Time) bool {
	if p.gaps == nil {
		p.seen, p.gaps = make(map[limiter.Member]bool), make(map[limiter.Member]gap)
	}
	listed := slices.Contains(f.Listed, m.Name)
	if listed {
		p.seen[m] = true
	}
	if listed || slices.Contains(f.Live, m) {
		delete(p.gaps, m)
		return false
	}
	g := p.gaps[m]
	if g.reads == 0 {
		g.since = now
	}
	g.reads++
	p.gaps[m] = g
	return g.reads >= missingReads && (p.seen[m] || now.Sub(g.since) >= unlisted)
}
