package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// SetGroupPeers sets who carries for the same groups as this process. They are told each round,
// also before they were ever heard.
func (r *Roster) SetGroupPeers(names []string) {
	r.near = make(map[string]bool, len(names))
	for _, name := range names {
		r.near[name] = true
	}
}

// Targets returns whom to send to this round: all peers while they are few. Else
// first those that have the duty for a group that this process carries for: a leader
// is replaced once they have heard of trouble from most. Then those that carry for a
// group that this process has the duty for, which take it over when they don't hear of
// it, then those that carry for the same groups, which decide together on leaders, then
// the next on the circles, and some drawn at random, silent ones included, since a
// partition heals.
func (r *Roster) Targets(self State, rng *rand.Rand) []netip.AddrPort {
	r.turn()
	var holders, charges, near []netip.AddrPort
	all := len(r.peers) <= few
	for _, p := range r.order {
		lately := r.swept.Sub(p.LastSeen) < silence // what it said before needn't hold any more
		switch {
		case lately && HoldsLeaseFor(p.State, self):
			holders = append(holders, p.GossipAddr)
		case lately && HoldsLeaseFor(self, p.State):
			charges = append(charges, p.GossipAddr)
		case all || r.near[p.Name] || r.accused[p.Name] || lately && together(self, p.State):
			near = append(near, p.GossipAddr)
		}
	}
	clear(r.accused)
	for _, list := range [][]netip.AddrPort{holders, charges, near} {
		slices.SortFunc(list, netip.AddrPort.Compare)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	near = slices.Concat(holders, charges, near)
	if all {
		return near
	}
	return r.others(near[:min(len(near), MaxGroupPeers)], rng)
}

// Successors returns whom to pass on to what is new of the store: the next on the circles, all
// peers while they are few.
func (r *Roster) Successors(rng *rand.Rand) []netip.AddrPort {
	if len(r.peers) <= few {
		return r.Targets(State{}, rng)
	}
	r.turn()
	out := make([]netip.AddrPort, 0, rings)
	for _, name := range r.after {
		out = append(out, r.peers[name].GossipAddr)
	}
	return out
}

// others adds the next on the circles, and some drawn at random.
func (r *Roster) others(targets []netip.AddrPort, rng *rand.Rand) []netip.AddrPort {
	add := func(p *record) {
		if p != nil && !slices.Contains(targets, p.GossipAddr) {
			targets = append(targets, p.GossipAddr)
		}
	}
	for _, name := range r.after {
		add(r.peers[name])
	}
	for range strangers {
		add(r.order[rng.IntN(len(r.order))])
	}
	return targets
}

// HoldsLeaseFor reports whether a peer carries for a group that the holder has the duty for.
func HoldsLeaseFor(holder, peer State) bool {
	if len(peer.Groups) == 0 {
		return false
	}
	for name, state := range holder.Groups {
		if state.Token > 0 && peer.Groups[name].IsGateway {
			return true
		}
	}
	return false
}

// together reports whether two processes carry for the same group.
func together(a, b State) bool {
	if len(b.Groups) == 0 {
		return false
	}
	for name, state := range a.Groups {
		if state.IsGateway && b.Groups[name].IsGateway {
			return true
		}
	}
	return false
}
