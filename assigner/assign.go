package assigner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// preferredGateways is how many gateways a group has unless there are more zones than that:
// some may fail, and each zone has one nearby. Each additional gateway is another queue in
// front of the few slots of the upstreams, whose statements cannot be ordered with those of
// the other gateways; it takes its own position samples of leaders, and all other proxies
// report on it every half second.
const preferredGateways = 6

// Proxy is a process that may be a gateway.
type Proxy struct {
	Name string
	Zone string
	// Millicores is its CPU in thousandths of a core; zero counts as one thousandth.
	Millicores int
}

// Group is a database group and the maximum number of proxies that may have connections to it.
type Group struct {
	Name        string
	MaxGateways int
}

// zone is the proxies of an availability zone and their remaining quotas.
type zone struct {
	proxies []Proxy
	quota   map[string]int // groups that a proxy may still get
}

// Assign returns the names of the gateways of each group.
//
// A proxy gets at most its share of the places of its zone, in proportion to its CPU and
// rounded up. If each group chose its gateways independently, then of 24 proxies in a zone and
// eight groups, one would be the gateway for three groups and half of them for none. After a
// power loss everywhere, when all proxies are at their limits, such a proxy with a fifth of a
// core answers its peers too late and is considered dead by them, together with everything it
// forwards.
func Assign(groups []Group, proxies []Proxy) map[string][]string {
	groups = slices.SortedFunc(slices.Values(groups), func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	zones := groupByZone(proxies)
	names := slices.Sorted(maps.Keys(zones))
	places := make([]map[string]int, len(groups))
	total := map[string]int{}
	for i, g := range groups {
		places[i] = proxiesPerZone(min(max(1, g.MaxGateways), len(proxies)), names, zones)
		for name, n := range places[i] {
			total[name] += n
		}
	}
	for name, z := range zones {
		z.setQuotas(total[name])
	}
	out := make(map[string][]string, len(groups))
	for i, g := range groups {
		for _, name := range names {
			out[g.Name] = append(out[g.Name], zones[name].assign(g.Name, places[i][name])...)
		}
	}
	return out
}

func groupByZone(proxies []Proxy) map[string]*zone {
	zones := map[string]*zone{}
	for _, p := range proxies {
		if zones[p.Zone] == nil {
			zones[p.Zone] = &zone{}
		}
		zones[p.Zone].proxies = append(zones[p.Zone].proxies, p)
	}
	return zones
}

// proxiesPerZone returns how many proxies of each zone a group gets. It takes one of each zone
// in turn, so that each zone gets at least one as long as the group has enough.
func proxiesPerZone(maxProxies int, names []string, zones map[string]*zone) map[string]int {
	out := map[string]int{}
	remaining := min(maxProxies, max(preferredGateways, len(names)))
	for round := 0; remaining > 0; round++ {
		before := remaining
		for _, name := range names {
			if remaining > 0 && round < len(zones[name].proxies) {
				out[name]++
				remaining--
			}
		}
		if remaining == before {
			break // no zone has another one
		}
	}
	return out
}

// setQuotas divides the zone's places among its proxies in proportion to their CPU.
func (z *zone) setQuotas(places int) {
	totalCPU := 0
	for _, p := range z.proxies {
		totalCPU += p.cpu()
	}
	z.quota = make(map[string]int, len(z.proxies))
	for _, p := range z.proxies {
		z.quota[p.Name] = (places*p.cpu() + totalCPU - 1) / totalCPU
	}
}

func (p *Proxy) cpu() int { return max(1, p.Millicores) }

// candidate is a proxy with its place in the order of a group.
type candidate struct {
	name  string
	quota int // groups that the proxy may still get, capped at 1
	score float64
}

// assign gives a group to n proxies of the zone: the first in its order that have quota left.
// A proxy gets a group only once. So there may be too few with quota left, and proxies
// without quota follow.
func (z *zone) assign(group string, n int) []string {
	order := make([]candidate, 0, len(z.proxies))
	for _, p := range z.proxies {
		order = append(order, candidate{p.Name, min(1, z.quota[p.Name]), p.score(group)})
	}
	slices.SortFunc(order, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.quota, a.quota), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, n)
	for _, p := range order[:n] {
		z.quota[p.name]--
		out = append(out, p.name)
	}
	return out
}

// score is the proxy's weight in the group's order, by weighted rendezvous hashing: the
// probability of being first equals the proxy's share of the CPU.
func (p *Proxy) score(group string) float64 {
	const steps = 1 << 53 // that a float64 distinguishes between 0 and 1
	hash := xxhash.Sum64String("carry " + group + " " + p.Name)
	uniform := (float64(hash%steps) + 0.5) / steps
	return -float64(p.cpu()) / math.Log(uniform)
}
