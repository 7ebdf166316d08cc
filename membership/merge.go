package membership

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// sweepPeriod is how often the dead are looked through.
const sweepPeriod = time.Minute

func (v *View) mergeAll(ms []Member, now time.Time) {
	for _, m := range ms {
		v.merge(m, now, true)
	}
}

// merge takes in one statement. A statement that says something new is passed
// on, if spread is set.
func (v *View) merge(m Member, now time.Time, spread bool) {
	if m.Addr == v.Self.Addr {
		v.defend(m)
		return
	}
	e := v.member(m.Addr)
	if e == nil {
		if m.Health == Dead {
			return
		}
		e = v.add(m)
		v.changed(e, Member{Health: Dead}, now, spread)
		return
	}
	was := e.Member
	joined := was.Join(m)
	if joined == was {
		return
	}
	v.replace(e, joined)
	v.changed(e, was, now, spread)
}

// state sets what this process itself concluded about a member.
func (v *View) state(addr netip.AddrPort, h Health, now time.Time, why Reason) {
	e := v.member(addr)
	if e == nil || e.Health >= h {
		return
	}
	m := e.Member
	m.Health = h
	v.replace(e, m)
	v.note(e, now, true)
	v.out = append(v.out, Changed{Member: m, Reason: why})
}

// defend contradicts what others wrongly say of this process.
func (v *View) defend(m Member) {
	switch {
	case m.Start > v.Self.Start:
		// The clock from which Start came has gone back since the process
		// before this one: everybody would take its statements for newer.
		v.Self.Start, v.Self.Inc = m.Start+1, 0
	case m.Start < v.Self.Start || m.Inc < v.Self.Inc:
		return
	case m.Health == Alive && m.Leaving == v.Self.Leaving && m.Inc == v.Self.Inc:
		return
	default:
		v.Self.Inc = m.Inc + 1
		v.worse()
	}
	v.fleet = nil
	v.out = append(v.out, Changed{Member: v.Self, Reason: Contradicts})
}

func (v *View) add(m Member) *entry {
	e := &entry{Member: m, hash: hashAddr(m.Addr, 0)}
	for ring := range v.set.Rings {
		e.dist[ring] = hashAddr(m.Addr, byte(ring+1)) - hashAddr(v.Self.Addr, byte(ring+1))
	}
	i, _ := slices.BinarySearchFunc(v.all, m.Addr, compareEntry)
	v.all = slices.Insert(v.all, i, e)
	v.count(e, 1)
	return e
}

// replace changes an entry and keeps the counts right.
func (v *View) replace(e *entry, m Member) {
	v.count(e, -1)
	e.Member = m
	v.count(e, 1)
}

func (v *View) count(e *entry, n int) {
	if e.Health == Dead {
		return
	}
	v.live += n
	v.digest ^= digest(e.Member)
}

// changed draws the consequences of news about a member from elsewhere.
func (v *View) changed(e *entry, was Member, now time.Time, spread bool) {
	v.note(e, now, spread)
	if why := reason(was, e.Member); why != "" {
		v.out = append(v.out, Changed{Member: e.Member, Reason: why})
	}
}

// note does what follows from any change of an entry.
func (v *View) note(e *entry, now time.Time, spread bool) {
	v.fleet = nil
	if spread {
		v.news.push(e.Addr)
	}
	if e.Health != Suspect {
		v.suspicions = slices.DeleteFunc(v.suspicions, func(s suspicion) bool { return s.addr == e.Addr })
	}
	if e.Health == Dead {
		v.graves[e.Addr] = now.Add(v.set.Forget)
		v.stale = v.stale || slices.Contains(v.subjects, e.Addr)
		v.lose(e.Addr)
		return
	}
	delete(v.graves, e.Addr)
	v.unlose(e.Addr)
	v.stale = v.stale || v.nearer(e)
}

// nearer reports whether a member belongs among the subjects but isn't there.
func (v *View) nearer(e *entry) bool {
	if slices.Contains(v.subjects, e.Addr) {
		return false
	}
	if len(v.subjects) < v.set.Rings {
		return true
	}
	for ring, addr := range v.subjects {
		if e.dist[ring] < v.member(addr).dist[ring] {
			return true
		}
	}
	return false
}

// reason names the difference between two states, or returns "" if it concerns
// nobody outside.
func reason(was, is Member) Reason {
	switch {
	case was.Addr != is.Addr:
		return Joined
	case was.Start != is.Start && is.Health != Dead:
		return Restarted
	case is.Health == Dead && is.Leaving:
		return Stopped
	case is.Health == Dead && was.Health != Dead:
		return Reported
	case was.Health == Dead && is.Health != Dead:
		return Returned
	case is.Leaving && !was.Leaving:
		return Stopping
	case is.Health == Suspect && was.Health == Alive:
		return Accused
	case is.Health == Alive && was.Health == Suspect:
		return Heard
	default:
		return ""
	}
}

// drop forgets the dead whose time is over.
func (v *View) drop(now time.Time) {
	v.sweep = now.Add(sweepPeriod)
	v.all = slices.DeleteFunc(v.all, func(e *entry) bool {
		gone := e.Health == Dead && !v.graves[e.Addr].After(now)
		if gone {
			delete(v.graves, e.Addr)
			v.unlose(e.Addr)
		}
		return gone
	})
}

func compareEntry(e *entry, a netip.AddrPort) int { return e.Addr.Compare(a) }

// member returns the entry of an address, or nil.
func (v *View) member(addr netip.AddrPort) *entry {
	i, ok := slices.BinarySearchFunc(v.all, addr, compareEntry)
	if !ok {
		return nil
	}
	return v.all[i]
}

// hashAddr hashes an address. The salt gives independent hashes of it.
func hashAddr(a netip.AddrPort, salt byte) uint64 {
	var b [19]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	b[18] = salt
	return xxhash.Sum64(b[:])
}

// digest sums up a statement, without the health: a view is compared with
// another by the exclusive or over the members that aren't dead.
func digest(m Member) uint64 {
	var b [32]byte
	ip := m.Addr.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], m.Addr.Port())
	binary.BigEndian.PutUint64(b[18:], m.Start)
	binary.BigEndian.PutUint32(b[26:], m.Inc)
	if m.Leaving {
		b[30] = 1
	}
	return xxhash.Sum64(b[:])
}

// sum is the digest of the whole view.
func (v *View) sum() uint64 { return v.digest ^ digest(v.Self) }
