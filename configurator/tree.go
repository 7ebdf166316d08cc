package configurator

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is one live proxy.
type Member struct {
	Address netip.AddrPort
	Zone    string
}

// tree is one availability zone's members in an order that all of them work out
// alike: by the hash of zone and address (rendezvous hashing with the zone as the
// key). The first few watch the platform. They are the roots of a forest along
// which changes are pushed, each member to at most fanout children, so that a
// change costs a member the same whatever the zone's size.
//
// The order is sorted here because the rendezvous library gives only the first.
type tree struct {
	members []Member
	roots   int
	fanout  int
	self    int // own place, or -1
}

// newTree returns the forest of self's zone. Self is part of it whether it is
// among the members or not.
func newTree(self Member, members []Member, roots, fanout int) tree {
	type ranked struct {
		hash uint64
		m    Member
	}
	zone := []ranked{{rank(self), self}}
	for _, m := range members {
		if m.Zone == self.Zone && m.Address != self.Address {
			zone = append(zone, ranked{rank(m), m})
		}
	}
	slices.SortFunc(zone, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), a.m.Address.Compare(b.m.Address))
	})
	t := tree{roots: roots, fanout: fanout}
	for i, r := range zone {
		t.members = append(t.members, r.m)
		if r.m.Address == self.Address {
			t.self = i
		}
	}
	return t
}

func rank(m Member) uint64 {
	b := make([]byte, 0, 64)
	b = append(b, m.Zone...)
	b = append(b, '/')
	b = m.Address.AppendTo(b)
	return xxhash.Sum64(b)
}

// isRoot reports whether self watches the platform.
func (t *tree) isRoot() bool { return t.self < t.roots }

// children returns the members to which self pushes.
func (t *tree) children() []Member {
	first := t.roots + t.self*t.fanout
	first = min(first, len(t.members))
	last := min(first+t.fanout, len(t.members))
	return t.members[first:last]
}

// picker chooses peers in an order that looks random and is the same in each run
// with the same address.
type picker struct {
	seed  uint64
	count uint64
}

// next returns a number below n.
func (p *picker) next(n int) int {
	p.count++
	var b [16]byte
	for i := range 8 {
		b[i] = byte(p.seed >> (8 * i))
		b[8+i] = byte(p.count >> (8 * i))
	}
	return int(xxhash.Sum64(b[:]) % uint64(n))
}
