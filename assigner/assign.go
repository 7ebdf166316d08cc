package assigner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

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

// Assigner computes the gateways of groups, and keeps the result of each zone until the
// zone's proxies or the groups change. Its zero value is ready for use. It is safe for
// concurrent use.
type Assigner struct {
	mu       sync.Mutex
	groups   []Group
	bundles  []bundled
	zones    map[string]*zone
	gateways map[string][]string

	// scored counts the scores that were computed.
	scored int
}

// Assign returns the names of the gateways of each group. The result is shared and must not
// be modified.
//
// A proxy gets at most its share of the places of its zone, in proportion to its CPU and
// rounded up. If each group chose its gateways independently, then of 24 proxies in a zone and
// eight groups, one would be the gateway for three groups and half of them for none. After a
// power loss everywhere, when all proxies are at their limits, such a proxy with a fifth of a
// core answers its peers too late and is considered dead by them, together with everything it
// forwards.
func (a *Assigner) Assign(groups []Group, proxies []Proxy) map[string][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	groups = slices.SortedFunc(slices.Values(groups), func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	bundles := bundle(groups, len(proxies))
	zones := groupByZone(proxies)
	names := slices.Sorted(maps.Keys(zones))
	setPlaces(bundles, len(proxies), names, zones)
	sameBundles := slices.EqualFunc(bundles, a.bundles, func(a, b bundled) bool { return a.name == b.name })
	changed := !slices.Equal(groups, a.groups) || !sameBundles || len(zones) != len(a.zones)
	for name, z := range zones {
		if before := a.zones[name]; sameBundles && before != nil && before.equal(z) {
			zones[name] = before
			continue
		}
		a.scored += z.assignAll(bundles)
		changed = true
	}
	a.groups, a.bundles, a.zones = groups, bundles, zones
	if changed {
		a.gateways = joinZones(bundles, names, zones)
	}
	return a.gateways
}

func joinZones(bundles []bundled, names []string, zones map[string]*zone) map[string][]string {
	out := map[string][]string{}
	for i, b := range bundles {
		var gateways []string
		for _, name := range names {
			gateways = append(gateways, zones[name].gateways[i]...)
		}
		if len(gateways) == 0 {
			continue
		}
		for _, group := range b.groups {
			out[group] = gateways
		}
	}
	return out
}

// zone is the proxies of an availability zone, and the gateways among them.
type zone struct {
	proxies  []Proxy    // by name
	places   []int      // how many gateways each bundle gets, in the order of the bundles
	quotas   []int      // bundles that each proxy may still get
	gateways [][]string // names of the gateways of each bundle
}

func groupByZone(proxies []Proxy) map[string]*zone {
	zones := map[string]*zone{}
	for _, p := range proxies {
		if zones[p.Zone] == nil {
			zones[p.Zone] = &zone{}
		}
		zones[p.Zone].proxies = append(zones[p.Zone].proxies, p)
	}
	for _, z := range zones {
		slices.SortFunc(z.proxies, func(a, b Proxy) int { return cmp.Compare(a.Name, b.Name) })
	}
	return zones
}

// equal reports whether two zones have the same proxies and places.
func (z *zone) equal(o *zone) bool {
	return slices.Equal(z.proxies, o.proxies) && slices.Equal(z.places, o.places)
}

// setPlaces sets how many gateways of each zone each bundle gets.
func setPlaces(bundles []bundled, proxies int, names []string, zones map[string]*zone) {
	for i, b := range bundles {
		places := proxiesPerZone(b, proxies, names, zones)
		for j, name := range names {
			if zones[name].places == nil {
				zones[name].places = make([]int, len(bundles))
			}
			zones[name].places[i] = places[j]
		}
	}
}

// proxiesPerZone returns how many proxies of each zone a bundle gets, in the order of the
// names. It takes one of each zone in turn, so that each zone gets at least one as long as
// the bundle has enough. The zone of the first turn depends on the bundle: the places that
// are left after whole rounds would otherwise all be in the same zones.
func proxiesPerZone(b bundled, proxies int, names []string, zones map[string]*zone) []int {
	out := make([]int, len(names))
	if len(names) == 0 {
		return out
	}
	remaining := min(b.maxGateways, proxies, max(preferredGateways, len(names)))
	first := int(xxhash.Sum64String("first zone "+b.name) % uint64(len(names)))
	for round := 0; remaining > 0; round++ {
		before := remaining
		for i := range names {
			j := (first + i) % len(names)
			if remaining > 0 && round < len(zones[names[j]].proxies) {
				out[j]++
				remaining--
			}
		}
		if remaining == before {
			break // no zone has another one
		}
	}
	return out
}

// assignAll gives each bundle its gateways, and returns how many scores it computed.
func (z *zone) assignAll(bundles []bundled) int {
	z.setQuotas()
	z.gateways = make([][]string, len(bundles))
	scored := 0
	for i, b := range bundles {
		scored += z.assign(b.name, i)
	}
	return scored
}

// setQuotas divides the zone's places among its proxies in proportion to their CPU.
func (z *zone) setQuotas() {
	places, totalCPU := 0, 0
	for _, n := range z.places {
		places += n
	}
	for _, p := range z.proxies {
		totalCPU += p.cpu()
	}
	z.quotas = make([]int, len(z.proxies))
	for i, p := range z.proxies {
		z.quotas[i] = (places*p.cpu() + totalCPU - 1) / totalCPU
	}
}

func (p *Proxy) cpu() int { return max(1, p.Millicores) }

// candidate is a proxy with its place in the order of a bundle.
type candidate struct {
	proxy int // index
	quota int // bundles that the proxy may still get, capped at 1
	score float64
}

// compare orders candidates: those with quota left come first, then those with a higher
// score. Equal ones are in the order of their names.
func (c candidate) compare(o candidate) int {
	return cmp.Or(cmp.Compare(o.quota, c.quota), cmp.Compare(o.score, c.score), cmp.Compare(c.proxy, o.proxy))
}

// assign gives the i-th bundle its gateways: the first proxies in its order that have quota
// left. A proxy gets a bundle only once. So there may be too few with quota left, and proxies
// without quota follow. It returns how many scores it computed: none for proxies that others
// precede by their quota.
func (z *zone) assign(bundle string, i int) int {
	n := z.places[i]
	if n == 0 {
		return 0
	}
	key := append([]byte("carry "), bundle...)
	key = append(key, ' ')
	best := make([]candidate, 0, n+1) // sorted
	scored := 0
	for j := range z.proxies {
		c := candidate{proxy: j, quota: min(1, z.quotas[j])}
		if len(best) == n && c.quota < best[n-1].quota {
			continue
		}
		c.score = z.proxies[j].score(key)
		scored++
		if len(best) == n && c.compare(best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		best = slices.Insert(best[:min(len(best), n-1)], at, c)
	}
	z.gateways[i] = make([]string, 0, n)
	for _, c := range best {
		z.quotas[c.proxy]--
		z.gateways[i] = append(z.gateways[i], z.proxies[c.proxy].Name)
	}
	return scored
}

// score is the proxy's weight in the order of the bundle with this key, by weighted rendezvous
// hashing: the probability of being first equals the proxy's share of the CPU.
func (p *Proxy) score(key []byte) float64 {
	const steps = 1 << 53 // that a float64 distinguishes between 0 and 1
	hash := xxhash.Sum64(append(key, p.Name...))
	uniform := (float64(hash%steps) + 0.5) / steps
	return -float64(p.cpu()) / math.Log(uniform)
}
