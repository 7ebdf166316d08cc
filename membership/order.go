package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Live returns this process and all members that are not dead, sorted by
// address. Suspects and those that leave are among them: they may still answer.
func (v *View) Live() []Member {
	out := make([]Member, 0, v.live+1)
	out = append(out, v.Self)
	for _, e := range v.all {
		if e.Health != Dead {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return out
}

// Member returns what is believed of the process at an address.
func (v *View) Member(addr netip.AddrPort) (Member, bool) {
	if addr == v.Self.Addr {
		return v.Self, true
	}
	e := v.members[addr]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Order returns the first n members in the rendezvous order of key: each member
// gets a weight from the key and its address, and the heaviest comes first. When
// a member comes or goes only its own places change hands. Members that leave,
// by their own word or the platform's, are left out, so that they are given no
// new work; if nobody else lives they are not.
func (v *View) Order(key string, n int) []Member {
	return v.order(key, n, func(Member) bool { return true })
}

// OrderZone is Order among the members of one availability zone.
func (v *View) OrderZone(zone, key string, n int) []Member {
	return v.order(key, n, func(m Member) bool { return m.Zone == zone })
}

// ranked is a member with its weight for one key.
type ranked struct {
	weight uint64
	member Member
}

func (v *View) order(key string, n int, in func(Member) bool) []Member {
	if n <= 0 {
		return nil
	}
	sum := xxhash.Sum64String(key)
	staying := make([]ranked, 0, n+1)
	leaving := make([]ranked, 0, n+1)
	consider := func(m Member, hash uint64) {
		if !in(m) {
			return
		}
		r := ranked{weight: mix(sum ^ hash), member: m}
		if m.Leaving || v.listed[m.Addr].Leaving {
			leaving = insert(leaving, r, n)
			return
		}
		staying = insert(staying, r, n)
	}
	consider(v.Self, hashAddr(v.Self.Addr, 0))
	for _, e := range v.all {
		if e.Health != Dead {
			consider(e.Member, e.hash)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	out := make([]Member, len(staying))
	for i, r := range staying {
		out[i] = r.member
	}
	return out
}

// insert keeps the n heaviest, the heaviest first.
func insert(top []ranked, r ranked, n int) []ranked {
	i, _ := slices.BinarySearchFunc(top, r, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), a.member.Addr.Compare(b.member.Addr))
	})
	if i == n {
		return top
	}
	top = slices.Insert(top, i, r)
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

// Unlisted returns the members that live although the platform's last list
// doesn't have them.
func (v *View) Unlisted() []Member {
	return slices.DeleteFunc(v.Live(), func(m Member) bool {
		_, ok := v.listed[m.Addr]
		return ok
	})
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
