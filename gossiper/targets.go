package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// SetGroupPeers sets the processes that are gateways of the same groups as this one.
// They are targets of each round, also before anything was received from them.
func (r *Roster) SetGroupPeers(names []string) {
	r.groupPeers = make(map[string]bool, len(names))
	for _, name := range names {
		r.groupPeers[name] = true
	}
}

// Targets returns the addresses to send to in this round: all peers in a fleet of at
// most maxFullMesh. In a larger one, in this order: the holders of leases for groups that
// this process is a gateway of, since a leader is replaced once its holder has reports
// of faults from most gateways; the gateways of groups whose lease this process holds,
// since they take the lease over when they do not receive its holder; the other gateways
// of the same groups, which decide on leaders together; the ring successors; and some
// peers drawn at random, suspect ones included, since a partition heals.
func (r *Roster) Targets(self State, rng *rand.Rand) []netip.AddrPort {
	r.refreshRings()
	var holders, leaseGateways, gateways []netip.AddrPort
	fullMesh := len(r.peers) <= maxFullMesh
	for _, p := range r.sorted {
		recent := r.lastSweep.Sub(p.LastSeen) < aliveTimeout // an older state need not hold any more
		switch {
		case recent && SharesLeasedGroup(p.State, self):
			holders = append(holders, p.GossipAddr)
		case recent && SharesLeasedGroup(self, p.State):
			leaseGateways = append(leaseGateways, p.GossipAddr)
		case fullMesh || r.groupPeers[p.Name] || r.wronglySuspected[p.Name] || recent && shareGroup(self, p.State):
			gateways = append(gateways, p.GossipAddr)
		}
	}
	clear(r.wronglySuspected)
	for _, list := range [][]netip.AddrPort{holders, leaseGateways, gateways} {
		slices.SortFunc(list, netip.AddrPort.Compare)
		rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	gateways = slices.Concat(holders, leaseGateways, gateways)
	if fullMesh {
		return gateways
	}
	return r.addOthers(gateways[:min(len(gateways), MaxGroupPeers)], rng)
}

// Successors returns the addresses that get newer data of the store first: the ring
// successors, or all peers in a fleet of at most maxFullMesh.
func (r *Roster) Successors(rng *rand.Rand) []netip.AddrPort {
	if len(r.peers) <= maxFullMesh {
		return r.Targets(State{}, rng)
	}
	r.refreshRings()
	out := make([]netip.AddrPort, 0, ringCount)
	for _, name := range r.successors {
		out = append(out, r.peers[name].GossipAddr)
	}
	return out
}

// addOthers adds the ring successors, and some peers drawn at random.
func (r *Roster) addOthers(targets []netip.AddrPort, rng *rand.Rand) []netip.AddrPort {
	add := func(p *record) {
		if p != nil && !slices.Contains(targets, p.GossipAddr) {
			targets = append(targets, p.GossipAddr)
		}
	}
	for _, name := range r.successors {
		add(r.peers[name])
	}
	for range randomTargets {
		add(r.sorted[rng.IntN(len(r.sorted))])
	}
	return targets
}

// SharesLeasedGroup reports whether holder has the lease of a group that peer is a gateway
// of.
func SharesLeasedGroup(holder, peer State) bool {
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

// shareGroup reports whether two processes are gateways of the same group.
func shareGroup(a, b State) bool {
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
