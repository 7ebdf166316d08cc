package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// Merge merges another process's list, or a part of it. New entries are not sent on as updates: each
// process requests the list if its own lacks something.
func (r *Roster) Merge(list []Member, now time.Time) {
	for _, m := range list {
		r.mergeEntry(m, now)
	}
}

// mergeUpdate merges an entry that came as an update, and sends it on if it is new here.
func (r *Roster) mergeUpdate(m Member, now time.Time) {
	if r.mergeEntry(m, now) {
		r.updates.push(r.peers[m.Name].entry)
	}
}

// mergeEntry merges an entry and reports whether it brought a new process or condition.
// The order of entries does not matter. The sender of an outdated entry has to receive
// the current one: a process that has restarted is alive to those that received it and
// suspect to one that did not, and neither would learn from the other.
func (r *Roster) mergeEntry(m Member, now time.Time) bool {
	if m.Name == r.self.Name {
		r.refute(m)
		return false
	}
	p := r.peers[m.Name]
	switch {
	case p == nil && (m.Condition == Dead || !m.GossipAddr.IsValid()):
		return false // removed here, or never known
	case p == nil:
		r.add(m, now)
		return true
	case p.entry.supersedes(&m) && p.entry.Condition != m.Condition:
		r.updates.push(p.entry)
		return false
	default:
		return r.replaceIfNewer(p, m, now)
	}
}

// refute answers an entry about this process that is false, or that stems from an earlier
// start whose clock was ahead of the present one.
func (r *Roster) refute(m Member) {
	switch {
	case m.Start > r.self.Start:
		r.self.Start = m.Start + 1
	case m.Start < r.self.Start, m.Condition == Alive, m.Incarnation < r.self.Incarnation:
		return
	default:
		r.self.Incarnation = m.Incarnation + 1
	}
	r.updates.push(r.self)
}

// replaceIfNewer replaces the entry of a known process if m supersedes it, and reports
// whether the condition changed.
func (r *Roster) replaceIfNewer(p *record, m Member, now time.Time) bool {
	if !m.supersedes(&p.entry) {
		return false
	}
	if m.Condition != Alive {
		m = m.withIdentity(&p.entry) // m may lack the identity
	} else if p.entry.Condition != Alive {
		p.trustedUntil = now.Add(refutedDelay)
	}
	if m.Start > p.Start {
		p.State, p.LastSeen = m.state(), time.Time{} // the state sent before the restart is void
	}
	before := p.entry.Condition
	r.digest ^= p.entry.digest() ^ m.digest()
	p.entry, r.fleetCache = m, nil
	if m.Condition == before {
		return false
	}
	r.changes = append(r.changes, Change{Member: m, Before: before, LastSeen: p.LastSeen})
	p.changedAt = now
	p.expectedSince = time.Time{}
	r.ringsOutdated = true
	return true
}

// withIdentity returns the start, incarnation and condition of m with the identity of a
// known entry: its other fields.
func (m *Member) withIdentity(known *Member) Member {
	out := *known
	out.Start, out.Incarnation, out.Condition = m.Start, m.Incarnation, m.Condition
	return out
}

// compareDigest counts whether another process's list agrees with this one.
func (r *Roster) compareDigest(digest uint32) {
	if digest != r.digest {
		r.agreedInRow = 0
		r.dissent++
		return
	}
	r.dissent = max(0, r.dissent-1)
	if r.agreedInRow++; r.agreedInRow >= consensusThreshold {
		r.updates = updateQueue{} // all processes have the updates
	}
}

// ShouldRequestList reports whether to request the list of a process that sent this
// digest, and records the request. A process requests a list when most of the digests that
// it receives differ from its own: two processes that differ from all others in the same
// way must not take each other for the fleet.
func (r *Roster) ShouldRequestList(digest uint32, now time.Time) bool {
	if digest == r.digest || r.dissent < dissentThreshold || now.Sub(r.listRequestedAt) < listRequestInterval {
		return false
	}
	r.listRequestedAt, r.dissent = now, 0
	return true
}

// Members returns the list including this process, sorted by name.
func (r *Roster) Members() []Member {
	out := []Member{r.self}
	for _, p := range r.peers {
		out = append(out, p.entry)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// FillState fills in the fields of a state that the roster knows: the start, the
// incarnation, the digest and the updates.
func (r *Roster) FillState(s *State) {
	s.Start, s.Incarnation = r.self.Start, r.self.Incarnation
	s.FleetDigest, s.Updates = r.digest, r.updates.take()
}
