package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what a View believed at one moment. It doesn't change and is safe for
// concurrent use, so that traffic reads it without taking the View's time.
type Fleet struct {
	ranks []rank
}

// rank is a member with what its place in an order depends on.
type rank struct {
	member  Member
	hash    uint64
	leaving bool // by its own word or the platform's
	listed  bool
}

// Fleet returns what is believed now. Calls without a change between them return
// the same Fleet.
func (v *View) Fleet() *Fleet {
	if v.fleet != nil {
		return v.fleet
	}
	f := &Fleet{ranks: make([]rank, 0, v.live+1)}
	f.ranks = append(f.ranks, v.rank(v.Self, hashAddr(v.Self.Addr, 0)))
	for _, e := range v.all {
		if e.Health != Dead {
			f.ranks = append(f.ranks, v.rank(e.Member, e.hash))
		}
	}
	slices.SortFunc(f.ranks, func(a, b rank) int { return a.member.Addr.Compare(b.member.Addr) })
	v.fleet = f
	return f
}

func (v *View) rank(m Member, hash uint64) rank {
	in, listed := v.listed[m.Addr]
	return rank{member: m, hash: hash, leaving: m.Leaving || in.Leaving, listed: listed}
}

// Live is Fleet().Live.
func (v *View) Live() []Member { return v.Fleet().Live() }

// Order is Fleet().Order.
func (v *View) Order(key string, n int) []Member { return v.Fleet().Order(key, n) }

// Live returns this process and all members that are not dead, sorted by
// address. Suspects and those that leave are among them: they may still answer.
func (f *Fleet) Live() []Member {
	out := make([]Member, len(f.ranks))
	for i, r := range f.ranks {
		out[i] = r.member
	}
	return out
}

// Member returns the live member at an address.
func (f *Fleet) Member(addr netip.AddrPort) (Member, bool) {
	i, ok := slices.BinarySearchFunc(f.ranks, addr, func(r rank, a netip.AddrPort) int {
		return r.member.Addr.Compare(a)
	})
	if !ok {
		return Member{}, false
	}
	return f.ranks[i].member, true
}

// Unlisted returns the live members that the platform's last list doesn't have.
func (f *Fleet) Unlisted() []Member {
	var out []Member
	for _, r := range f.ranks {
		if !r.listed {
			out = append(out, r.member)
		}
	}
	return out
}

// Order returns the first n members in the rendezvous order of key: each member
// gets a weight from the key and its address, and the heaviest comes first. When
// a member comes or goes only its own places change hands. Members that leave
// are left out, so that they are given no new work, unless all leave.
func (f *Fleet) Order(key string, n int) []Member {
	return f.order(key, n, func(Member) bool { return true })
}

// OrderZone is Order among the members of one availability zone.
func (f *Fleet) OrderZone(zone, key string, n int) []Member {
	return f.order(key, n, func(m Member) bool { return m.Zone == zone })
}

// weighed is a member with its weight for one key.
type weighed struct {
	weight uint64
	member Member
}

func (f *Fleet) order(key string, n int, in func(Member) bool) []Member {
	if n <= 0 {
		return nil
	}
	sum := xxhash.Sum64String(key)
	staying := make([]weighed, 0, n+1)
	leaving := make([]weighed, 0, n+1)
	for _, r := range f.ranks {
		if !in(r.member) {
			continue
		}
		w := weighed{weight: mix(sum ^ r.hash), member: r.member}
		if r.leaving {
			leaving = insert(leaving, w, n)
			continue
		}
		staying = insert(staying, w, n)
	}
	if len(staying) == 0 {
		staying = leaving
	}
	out := make([]Member, len(staying))
	for i, w := range staying {
		out[i] = w.member
	}
	return out
}

// insert keeps the n heaviest, the heaviest first.
func insert(top []weighed, w weighed, n int) []weighed {
	i, _ := slices.BinarySearchFunc(top, w, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), a.member.Addr.Compare(b.member.Addr))
	})
	if i == n {
		return top
	}
	top = slices.Insert(top, i, w)
	return top[:min(len(top), n)]
}

// mix spreads the bits of h (the finalizer of splitmix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Gone returns the addresses that the platform's last list has although nobody
// answers there, sorted.
func (v *View) Gone() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range v.lost {
		if _, ok := v.listed[a]; ok {
			out = append(out, a)
		}
	}
	return out
}
