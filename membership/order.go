package membership

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fleet is what a View believed at one moment. It doesn't change and is safe for
// concurrent use, so that traffic reads it without taking the View's time.
type Fleet struct {
	ranks  []rank
	hashes []uint64 // of the same members
}

// rank is a member with what its place in an order depends on.
type rank struct {
	member  Member
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
	self := v.rank(v.Self)
	place := 0
	for _, e := range v.all {
		if e.Health == Dead {
			continue
		}
		f.ranks = append(f.ranks, v.rank(e.Member))
		if e.Addr.Compare(v.Self.Addr) < 0 {
			place = len(f.ranks)
		}
	}
	f.ranks = slices.Insert(f.ranks, place, self)
	f.hashes = make([]uint64, len(f.ranks))
	for i, r := range f.ranks {
		f.hashes[i] = hashAddr(r.member.Addr, 0)
	}
	v.fleet = f
	return f
}

func (v *View) rank(m Member) rank {
	in, listed := v.listing(m.Addr)
	return rank{member: m, leaving: m.Leaving || in.Leaving, listed: listed}
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
	return f.order(key, n, "")
}

// OrderZone is Order among the members of one availability zone.
func (f *Fleet) OrderZone(zone, key string, n int) []Member {
	return f.order(key, n, zone)
}

// top holds the heaviest places found so far, the heaviest first.
type top struct {
	weights []uint64
	places  []int // in the fleet
	n       int
}

// add keeps a place if it is among the n heaviest. Of equal weights the lower
// address, which comes earlier, is kept first.
func (t *top) add(weight uint64, place int) {
	if len(t.weights) == t.n && weight <= t.weights[t.n-1] {
		return
	}
	i := len(t.weights)
	for i > 0 && t.weights[i-1] < weight {
		i--
	}
	t.weights = slices.Insert(t.weights, i, weight)
	t.places = slices.Insert(t.places, i, place)
	if len(t.weights) > t.n {
		t.weights, t.places = t.weights[:t.n], t.places[:t.n]
	}
}

// order runs through hashes alone; at thousands of members the members
// themselves would make it slow.
func (f *Fleet) order(key string, n int, zone string) []Member {
	if n <= 0 {
		return nil
	}
	sum := xxhash.Sum64String(key)
	staying, leaving := top{n: n}, top{n: n}
	for i, hash := range f.hashes {
		weight := mix(sum ^ hash)
		if len(staying.weights) == n && weight <= staying.weights[n-1] {
			continue
		}
		r := &f.ranks[i]
		switch {
		case zone != "" && r.member.Zone != zone:
		case r.leaving:
			leaving.add(weight, i)
		default:
			staying.add(weight, i)
		}
	}
	if len(staying.places) == 0 {
		staying = leaving
	}
	out := make([]Member, len(staying.places))
	for i, place := range staying.places {
		out[i] = f.ranks[place].member
	}
	return out
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
		if _, ok := v.listing(a); ok {
			out = append(out, a)
		}
	}
	return out
}
