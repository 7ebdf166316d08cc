package proxier

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How connections are shared where there are few for many proxies.
const (
	// fewest is the least share with which every proxy has connections of its own.
	// With two, 68 queues stand before six slots, and two transactions that rest keep
	// all others of their proxy away from an upstream: 1.8 % of the requests of a
	// calm day were refused.
	fewest = 3
	// bundled is how many connections a proxy has to each upstream where only some
	// proxies have any: more than an upstream's 5 or 6 slots, so that one of them
	// alone can fill it.
	bundled = 8
	// perZone bounds the proxies of each availability zone that carry for a group: two,
	// so that one may fail. Those that carry for a group decide together on its leader
	// and hear each other each half second only while they are few.
	perZone = 2
	// keptBack is the part of the connections, in percent, that carriers leave to
	// processes that are cut off from them, and aloneShare what such a process takes of
	// each upstream. Without it a process that is cut off from the others, and reaches
	// the upstreams, refuses everything for the groups that it doesn't carry for.
	keptBack   = 20
	aloneShare = 1
	// unlearned is how long a process that the store hasn't told of its peers takes no
	// more than aloneShare: until it has heard of them all by gossip. Before that it
	// takes the few that it has heard for the whole fleet, and their part of the
	// connections for its own.
	unlearned = 8 * time.Second
	// acquainted is how long after its start a process has heard of peers if there are
	// any: some rounds of gossip.
	acquainted = 3 * time.Second
)

// share returns how many connections this process may have to each upstream of a
// group: an equal part where every proxy gets enough, else those of a few proxies,
// which the others have their statements carried by. A process that reaches none
// of these has some of its own, out of what is kept back for that.
func (p *Proxier) share(group string, most, proxies int) int {
	if !p.knowsPeers() {
		return aloneShare
	}
	if most/max(1, proxies) >= fewest {
		return most / proxies
	}
	names := p.carriers(group, max(1, most/bundled))
	if slices.Contains(names, p.Settings.Name) {
		return max(1, most*(100-keptBack)/100/len(names))
	}
	if p.cutOff(group) {
		return aloneShare
	}
	return 0
}

// knowsPeers reports whether this process knows who else there is: the store has told
// it, or it has had the time to hear of them.
func (p *Proxier) knowsPeers() bool {
	return p.learned.Load() || bootClock().Sub(p.began) >= unlearned
}

// cutOff reports whether this process reaches no proxy that carries for a group,
// and has run for long enough to have heard of one.
func (p *Proxier) cutOff(group string) bool {
	if p.forward == nil || bootClock().Sub(p.began) < acquainted {
		return false
	}
	return p.gossip.Silent() || !p.forward.Reaches(group)
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

// candidate is a proxy that may have connections of a group.
type candidate struct {
	name, zone string
	weight     uint64
}

// carriers returns the proxies that have connections of a group: as many of each
// availability zone as of another, within a zone by rendezvous, so that a proxy
// that comes or goes changes one place.
func (p *Proxier) carriers(group string, n int) []string {
	all := []candidate{{name: p.Settings.Name, zone: p.Settings.Zone}}
	for _, s := range p.gossip.Holders() {
		all = append(all, candidate{name: s.Name, zone: s.Zone})
	}
	byZone := map[string][]candidate{}
	for _, c := range all {
		c.weight = xxhash.Sum64String("carry " + group + " " + c.name)
		byZone[c.zone] = append(byZone[c.zone], c)
	}
	zones := make([]string, 0, len(byZone))
	for zone, list := range byZone {
		zones = append(zones, zone)
		slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(b.weight, a.weight) })
	}
	slices.Sort(zones)
	var out []string
	for turn := 0; turn < perZone && len(out) < min(n, len(all)); turn++ {
		for _, zone := range zones {
			if turn < len(byZone[zone]) && len(out) < n {
				out = append(out, byZone[zone][turn].name)
			}
		}
	}
	return out
}
