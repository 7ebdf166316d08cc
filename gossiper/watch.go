package gossiper

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Sweep is called before each round. It marks as suspect those processes that should have
// been received and were not, marks as dead those that have been suspect for long, and
// removes those that have been dead for long. It returns the names of the removed.
func (r *Roster) Sweep(now time.Time) []string {
	r.refreshRings()
	paused := now.Sub(r.lastSweep) > pauseThreshold
	r.lastSweep = now
	var dropped []string
	for _, p := range r.sorted {
		if paused {
			p.expectedSince = time.Time{}
		}
		r.checkProcess(p, now)
		if p.entry.Condition == Dead && now.Sub(p.changedAt) > removeTimeout && now.Sub(p.LastSeen) > removeTimeout {
			dropped = append(dropped, p.Name)
		}
	}
	for _, name := range dropped {
		delete(r.peers, name)
		r.ringsOutdated, r.fleetCache = true, nil
	}
	return dropped
}

// refreshRings computes the ring neighbours when the list has changed.
func (r *Roster) refreshRings() {
	if !r.ringsOutdated {
		return
	}
	r.ringsOutdated = false
	r.sorted = slices.SortedFunc(maps.Values(r.peers), func(a, b *record) int { return cmp.Compare(a.Name, b.Name) })
	var members []string
	for _, p := range r.sorted {
		if p.entry.Condition != Dead {
			members = append(members, p.Name)
		}
	}
	successors, predecessors := neighbours(r.self.Name, members)
	r.successors, r.predecessors = successors, toSet(predecessors)
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// checkProcess updates the condition of one process from when it was last received.
func (r *Roster) checkProcess(p *record, now time.Time) {
	switch {
	case !r.isExpected(p):
		p.expectedSince = time.Time{}
	case p.expectedSince.IsZero():
		p.expectedSince = now
	}
	timeout := firstContactTimeout
	if p.LastSeen.After(p.expectedSince) {
		timeout = suspectTimeout
	}
	missing := !p.expectedSince.IsZero() && now.Sub(later(p.LastSeen, p.expectedSince)) >= timeout
	switch {
	case p.entry.Condition == Alive && missing && now.After(p.trustedUntil):
		r.announce(p, Suspect, now)
	case p.entry.Condition == Suspect && now.Sub(later(p.changedAt, p.LastSeen)) > deadTimeout:
		r.announce(p, Dead, now)
	case p.entry.Condition == Suspect && !p.expectedSince.IsZero() && p.LastSeen.IsZero() && now.Sub(p.AddedAt) > neverSeenTimeout:
		r.announce(p, Dead, now)
	}
}

// isExpected reports whether a process sends to this one in each round.
func (r *Roster) isExpected(p *record) bool {
	return len(r.peers) <= maxFullMesh || r.predecessors[p.Name]
}

// announce sets the condition of a process and queues the new entry as an update.
func (r *Roster) announce(p *record, c Condition, now time.Time) {
	m := p.entry
	m.Condition = c
	if r.replaceIfNewer(p, m, now) {
		r.updates.push(p.entry)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
