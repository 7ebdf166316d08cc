package proxier

import (
	"math"
	"slices"
	"time"

	"basildale.example/basildale/assigner"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
)

// How connections are shared where there are few for many proxies.
const (
	// fewest is the least share with which every proxy has connections of its own.
	// With two, two transactions that rest keep all others of their proxy away from an
	// upstream, and a large fleet has many queues before few slots.
	fewest = 3
	// bundled is how many connections a proxy has to each upstream where only some
	// proxies have any: more than an upstream's 5 or 6 slots, so that one of them
	// alone can fill it.
	bundled = 8
	// keptBack is the part of the connections, in percent, that carriers leave to
	// processes that are cut off from them, and aloneShare what such a process takes of
	// each upstream. Without it a process that is cut off from the others, and reaches
	// the upstreams, refuses everything for the groups that it doesn't carry for.
	keptBack   = 20
	aloneShare = 1
	// learning is how long a process that has just started takes no connections at all
	// while the store hasn't told it of its peers. Lists of upstreams and of peers come
	// within a tenth of a second of each other; between the two every process of a fleet
	// opened a connection to every upstream, told its peers that it carries, and refused
	// them a moment later.
	learning = time.Second
	// unlearned is how long a process that the store hasn't told of its peers takes no
	// more than aloneShare: until it has heard of them all by gossip. Before that it
	// takes the few that it has heard for the whole fleet, and their part of the
	// connections for its own.
	unlearned = 8 * time.Second
	// wordHolds is how long what a peer said of a group counts. One that carries for the
	// same groups is heard each half second; another is heard by chance, and asked.
	wordHolds = 2 * time.Second
	// acquainted is how long after its start a process has heard of peers if there are
	// any: some rounds of gossip.
	acquainted = 3 * time.Second
)

// shares returns how many connections this process may have to each upstream of each
// group, of those that all processes share: an equal part where every proxy gets
// enough, else those of a few proxies, which the others have their statements carried
// by. A process that reaches none of these has some of its own, out of what is kept
// back for that.
func (p *Proxier) shares(most map[string]int, proxies int) map[string]int {
	out := make(map[string]int, len(most))
	var few []assigner.Group
	for group, n := range most {
		switch {
		case !p.knowsPeers():
			out[group] = p.unlearnedShare()
		case n/max(1, proxies) >= fewest:
			out[group] = n / proxies
		default:
			few = append(few, assigner.Group{Name: group, MaxGateways: max(1, n/bundled)})
		}
	}
	if len(few) == 0 {
		p.assign(nil)
		return out
	}
	assigned := assigner.Assign(few, p.candidates())
	p.assign(assigned)
	for group, carriers := range assigned {
		switch {
		case slices.Contains(carriers, p.Settings.Name):
			out[group] = max(1, most[group]*(100-keptBack)/100/len(carriers))
		case p.cutOff(group):
			out[group] = aloneShare
		default:
			out[group] = 0 // others carry for it
		}
	}
	return out
}

// unlearnedShare is the share of a process that doesn't know who else there is.
func (p *Proxier) unlearnedShare() int {
	if bootClock().Sub(p.began) < learning {
		return 0
	}
	return aloneShare
}

// assign notes who carries for each group where only some do, and has those that carry
// together with this process told each round.
func (p *Proxier) assign(carriers map[string][]string) {
	p.assigned.Store(&carriers)
	var near []string
	for _, names := range carriers {
		if slices.Contains(names, p.Settings.Name) {
			near = append(near, names...)
		}
	}
	p.gossip.SetGroupPeers(near)
}

// carriers returns the peers that a statement of a group may be offered to: those that
// carry by the division, which this process works out as they do, whether it has heard
// them or not; all that were heard where each has connections.
func (p *Proxier) carriers(group string) []forwarder.Candidate {
	assigned := p.assigned.Load()
	if assigned == nil || (*assigned)[group] == nil {
		return carrying(group, p.gossip.Live(), bootClock())
	}
	return carrying(group, p.gossip.ReachablePeers((*assigned)[group]), bootClock())
}

// carrying returns those of some peers that carry for a group, by their own word
// where it is young.
func carrying(group string, peers []gossiper.Peer, now time.Time) []forwarder.Candidate {
	out := make([]forwarder.Candidate, 0, len(peers))
	for _, peer := range peers {
		c := forwarder.Candidate{Name: peer.Name, Zone: peer.Zone, Address: peer.GatewayAddr, LastSeen: peer.LastSeen}
		if now.Sub(peer.LastSeen) < wordHolds {
			state, knows := peer.Groups[group]
			if !knows || !state.IsGateway || peer.Leaving {
				continue
			}
			c.LeaderFault = state.LeaderFault
			c.IsFaultKnown = true
		}
		out = append(out, c)
	}
	return out
}

// candidates returns the proxies that may have connections, this one included.
func (p *Proxier) candidates() []assigner.Proxy {
	out := []assigner.Proxy{{Name: p.Settings.Name, Zone: p.Settings.Zone, Millicores: int(p.millicores())}}
	for _, s := range p.gossip.Fleet() {
		out = append(out, assigner.Proxy{Name: s.Name, Zone: s.Zone, Millicores: int(s.Millicores)})
	}
	return out
}

// millicores is this process's processor in thousandths of a core.
func (p *Proxier) millicores() uint16 { return uint16(math.Round(1000 * p.Settings.Processor)) }

// knowsPeers reports whether this process knows who else there is: the store has told
// it, or it has had the time to hear of them.
func (p *Proxier) knowsPeers() bool {
	return p.learned.Load() || bootClock().Sub(p.began) >= unlearned
}

// knowsFleet reports whether this process knows of all others. One that is new, and so
// may have started together with the whole fleet, doesn't before it has listed them again.
func (p *Proxier) knowsFleet() bool {
	return p.settled.Load() || bootClock().Sub(p.began) >= unlearned
}

// cutOff reports whether this process reaches no proxy that carries for a group,
// and has run for long enough to have heard of one.
func (p *Proxier) cutOff(group string) bool {
	if p.forward == nil || bootClock().Sub(p.began) < acquainted {
		return false
	}
	return p.gossip.IsPartitioned() || !p.forward.HasLiveGateway(group)
}

// aloneIn returns the groups for which this process is cut off from all carriers.
func (p *Proxier) aloneIn() []string {
	var out []string
	for _, g := range p.carrier.Groups() {
		if p.cutOff(g.Name()) {
			out = append(out, g.Name())
		}
	}
	slices.Sort(out)
	return out
}
