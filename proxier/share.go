package proxier

import (
	"math"
	"slices"
	"time"

	"basildale.example/basildale/assigner"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
)

// How connections are shared when there are few for many proxies.
const (
	// minShare is the smallest share with which every proxy has its own connections. With a
	// share of two, two idle transactions block all other statements of their proxy from an
	// upstream, and a large fleet has many queues for few slots.
	minShare = 3
	// gatewayConnections is how many connections a gateway has to each upstream when only some
	// proxies have any: more than an upstream's 5 or 6 slots, so that one gateway alone can
	// use all of them.
	gatewayConnections = 8
	// reservedPercent is the percentage of the connections that gateways leave to processes
	// that cannot reach any gateway, and isolatedShare is what such a process takes at each
	// upstream. Without the reserve a process that is partitioned from the others, but reaches
	// the upstreams, refuses everything for the groups of which it is not a gateway.
	reservedPercent = 20
	isolatedShare   = 1
	// peersUnknownTimeout is how long a process without the list of the fleet takes no
	// connections: until it has received the state of all others by gossip. Before that it
	// would take the few that it knows for the whole fleet, and the others' part of the
	// connections for its own. Even one connection to each upstream is too much: a fleet may
	// have more processes than an upstream takes connections.
	peersUnknownTimeout = 8 * time.Second
	// peerStateMaxAge is how long a peer's reported state of a group counts. Gateways of the
	// same groups receive each other's state every half second. From others, updates arrive by
	// chance, so statements are forwarded to them without a recent report.
	peerStateMaxAge = 2 * time.Second
	// isolationMinUptime is the uptime after which a process has received the state of peers if
	// it reaches any: a few gossip rounds.
	isolationMinUptime = 3 * time.Second
)

// shares returns how many connections this process may have to each upstream of each group,
// out of the total for all processes: an equal part if that is enough for every proxy.
// Otherwise only a few gateways have connections, and the other proxies forward their
// statements to them. A process that reaches none of the gateways of a group that it has
// statements for gets some of its own out of the reserve. A process that does not know the
// fleet has none.
func (p *Proxier) shares(limits map[string]int, proxies int) map[string]int {
	out := make(map[string]int, len(limits))
	// Shares are computed anew when the configuration changes, too. If only divideConnections
	// recorded its inputs, shares of a moment in which the inputs differed would stay.
	inputs := p.divisionInputs()
	inputs.proxies = proxies
	p.dividedBy.Store(inputs)
	if !inputs.knowsFleet {
		p.setGateways(nil)
		return out
	}
	var few []assigner.Group
	for group, n := range limits {
		if n/max(1, proxies) >= minShare {
			out[group] = n / proxies
		} else {
			few = append(few, assigner.Group{Name: group, MaxGateways: max(1, n/gatewayConnections)})
		}
	}
	if len(few) == 0 {
		p.setGateways(nil)
		return out
	}
	assigned := p.assigner.Assign(few, p.candidates())
	p.setGateways(assigned)
	for group, gateways := range assigned {
		if slices.Contains(gateways, p.Settings.Name) {
			out[group] = max(1, limits[group]*(100-reservedPercent)/100/len(gateways))
			if inputs.mayHaveLent {
				out[group] = min(out[group], delegator.Kept)
			}
		}
	}
	for _, group := range inputs.isolated {
		if out[group] == 0 && assigned[group] != nil {
			out[group] = isolatedShare
		}
	}
	return out
}

// setGateways stores the gateways of each group that has dedicated ones, and has this process
// send its state each round to the gateways of the same groups.
func (p *Proxier) setGateways(gateways map[string][]string) {
	p.assignedGateways.Store(&gateways)
	var groupPeers []string
	for _, names := range gateways {
		if slices.Contains(names, p.Settings.Name) {
			groupPeers = append(groupPeers, names...)
		}
	}
	p.gossip.SetGroupPeers(groupPeers)
}

// gateways returns the peers to which a statement of a group may be forwarded: the assigned
// gateways, which this process computes just as they do, even before it has received anything
// from them; or all live peers if every proxy has connections.
func (p *Proxier) gateways(group string) []forwarder.Candidate {
	assigned := p.assignedGateways.Load()
	if assigned == nil || (*assigned)[group] == nil {
		return gatewaysAmong(group, p.gossip.LivePeers(), bootClock())
	}
	return gatewaysAmong(group, p.gossip.ReachablePeers((*assigned)[group]), bootClock())
}

// gatewaysAmong returns those peers that are gateways of a group. A peer with a recent report is
// one if the report says so; a peer without is assumed to be one.
func gatewaysAmong(group string, peers []gossiper.Peer, now time.Time) []forwarder.Candidate {
	out := make([]forwarder.Candidate, 0, len(peers))
	for _, peer := range peers {
		c := forwarder.Candidate{Name: peer.Name, Zone: peer.Zone, Address: peer.GatewayAddr, LastSeen: peer.LastSeen}
		if now.Sub(peer.LastSeen) < peerStateMaxAge {
			state, isReported := peer.Groups[group]
			if !isReported || !state.IsGateway || peer.Leaving {
				continue
			}
			c.LeaderFault = state.LeaderFault
			c.IsFaultKnown = true
		}
		out = append(out, c)
	}
	return out
}

// candidates returns the proxies that may have connections, including this one.
func (p *Proxier) candidates() []assigner.Proxy {
	out := []assigner.Proxy{{Name: p.Settings.Name, Zone: p.Settings.Zone, Millicores: int(p.millicores())}}
	for _, s := range p.gossip.Fleet() {
		out = append(out, assigner.Proxy{Name: s.Name, Zone: s.Zone, Millicores: int(s.Millicores)})
	}
	return out
}

// millicores returns this process's CPU capacity in thousandths of a core.
func (p *Proxier) millicores() uint16 { return uint16(math.Round(1000 * p.Settings.Processor)) }

// knowsPeers reports whether this process knows its peers: a list of them has arrived, or
// enough time has passed to receive the state of all of them.
func (p *Proxier) knowsPeers() bool {
	return p.peersKnown.Load() || bootClock().Sub(p.startedAt) >= peersUnknownTimeout
}

// knowsFleet reports whether this process knows all others. A new process, which may have
// started together with the whole fleet, does not until it has read the list a second time. One
// that knows nobody at all is not a fleet of one: it has not reached the others yet.
func (p *Proxier) knowsFleet() bool {
	return p.fleetKnown.Load() || bootClock().Sub(p.startedAt) >= peersUnknownTimeout && len(p.gossip.Fleet()) > 0
}

// isIsolated reports whether this process reaches no gateway of a group, after an uptime in
// which it would have received the state of one.
func (p *Proxier) isIsolated(group string) bool {
	if p.forward == nil || bootClock().Sub(p.startedAt) < isolationMinUptime {
		return false
	}
	return p.gossip.IsPartitioned() || !p.forward.HasLiveGateway(group)
}

// isolatedGroups returns those of the groups with recent statements whose gateways are all
// unreachable for this process.
func (p *Proxier) isolatedGroups() []string {
	return slices.DeleteFunc(p.usage.recent(bootClock()), func(group string) bool { return !p.isIsolated(group) })
}

// group returns the runner of a group's statements, and records that the group is in use. If
// its gateways turn out to be unreachable, the connections are divided at once.
func (p *Proxier) group(name string) (carrier.Runner, bool) {
	if p.usage.record(name, bootClock()) && p.isIsolated(name) {
		p.requestDivision()
	}
	return p.forward.Group(name)
}

// requestDivision has the connections divided at once.
func (p *Proxier) requestDivision() {
	select {
	case p.divisionDue <- struct{}{}:
	default: // a request is already pending
	}
}
