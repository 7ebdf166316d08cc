package membership

import (
	"net/netip"
	"slices"
	"time"
)

// eagerContacts is how many listed addresses a process tries in each interval
// while it knows nobody.
const eagerContacts = 3

// list takes in the platform's list. It says where to look, not who lives.
func (v *View) list(ev Listed) {
	v.fleet = nil
	before := v.listed
	v.listed = ev.Instances
	if !slices.IsSortedFunc(v.listed, compareInstances) {
		v.listed = slices.SortedFunc(slices.Values(v.listed), compareInstances)
	}
	for _, in := range ev.Instances {
		if e := v.member(in.Addr); (e == nil || e.Health == Dead) && in.Addr != v.Self.Addr {
			v.lose(in.Addr)
		}
	}
	for _, in := range before {
		if _, ok := v.listing(in.Addr); !ok && v.member(in.Addr) == nil {
			v.unlose(in.Addr)
		}
	}
}

func compareInstances(a, b Instance) int { return a.Addr.Compare(b.Addr) }

// listing returns what the platform's last list has at an address.
func (v *View) listing(addr netip.AddrPort) (Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.listed, addr, func(in Instance, a netip.AddrPort) int { return in.Addr.Compare(a) })
	if !ok {
		return Instance{}, false
	}
	return v.listed[i], true
}

// lose adds an address to those that are tried now and then. They are kept
// sorted, so that the same events give the same commands.
func (v *View) lose(a netip.AddrPort) {
	i, found := slices.BinarySearchFunc(v.lost, a, netip.AddrPort.Compare)
	if !found {
		v.lost = slices.Insert(v.lost, i, a)
	}
}

func (v *View) unlose(a netip.AddrPort) {
	if i, found := slices.BinarySearchFunc(v.lost, a, netip.AddrPort.Compare); found {
		v.lost = slices.Delete(v.lost, i, i+1)
	}
}

// seek tries lost addresses: one in each period, or a few in each interval while
// this process knows nobody.
func (v *View) seek(now time.Time) {
	if len(v.lost) == 0 || now.Before(v.contact) {
		return
	}
	if v.live == 0 {
		for range min(eagerContacts, len(v.lost)) {
			v.ping(v.lost[v.rng.IntN(len(v.lost))], attempt, 0, now)
		}
		return
	}
	v.contact = now.Add(v.set.Period)
	if a, ok := v.chooseLost(now); ok {
		v.ping(a, attempt, 0, now)
	}
}

// chooseLost picks a lost address at random from those that are this process's
// to try. If everybody tried them all, a host that comes back would be met by a
// connection from each process of the fleet at once, so in each minute a hash
// picks a few processes for each address.
func (v *View) chooseLost(now time.Time) (netip.AddrPort, bool) {
	minute := byte(now.Unix() / int64(time.Minute/time.Second))
	share := ^uint64(0) / uint64(v.live+1)
	first := v.rng.IntN(len(v.lost))
	for i := range v.lost {
		a := v.lost[(first+i)%len(v.lost)]
		if e := v.member(a); e != nil && e.Leaving {
			if _, listed := v.listing(a); !listed {
				continue // it said that it would end, and the platform agrees
			}
		}
		h := hashAddr(a, minute) ^ hashAddr(v.Self.Addr, minute)
		if v.live+1 <= v.set.Contacts || mix(h) < share*uint64(v.set.Contacts) {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
