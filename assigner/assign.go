package assigner

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// enough is how many proxies carry for a group where there are no more zones than that:
// some may fail, and each zone has one near. Each one more is another queue before the
// upstreams' few slots, in which statements can't be put in order with those of the
// others, samples leaders for itself, and is told of by all others each half second.
const enough = 6

// Proxy is one process that may carry.
type Proxy struct {
	Name string
	Zone string
	// Millicores is its processor in thousandths of a core; zero counts as one.
	Millicores int
}

// Group is a database group and the most proxies that may have connections of it.
type Group struct {
	Name        string
	MaxGateways int
}

// zone is the proxies of an availability zone, and what is left to give them.
type zone struct {
	proxies []Proxy
	left    map[string]int // groups that a proxy may still get
}

// Assign returns the names of the proxies that carry for each group.
//
// A proxy gets at most its part of its zone's places, by its processor and rounded
// up. Drawn for each group by itself, of 24 proxies of a zone before eight groups one
// carries for three and half of them for none: after a loss of power everywhere, when
// all are at what they can do, such a one with a fifth of a core answers its peers
// too late and is given up by them, with all that it carries.
func Assign(groups []Group, proxies []Proxy) map[string][]string {
	groups = slices.SortedFunc(slices.Values(groups), func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	zones := divide(proxies)
	names := slices.Sorted(maps.Keys(zones))
	places := make([]map[string]int, len(groups))
	total := map[string]int{}
	for i, g := range groups {
		places[i] = spread(min(max(1, g.MaxGateways), len(proxies)), names, zones)
		for name, n := range places[i] {
			total[name] += n
		}
	}
	for name, z := range zones {
		z.allow(total[name])
	}
	out := make(map[string][]string, len(groups))
	for i, g := range groups {
		for _, name := range names {
			out[g.Name] = append(out[g.Name], zones[name].take(g.Name, places[i][name])...)
		}
	}
	return out
}

func divide(proxies []Proxy) map[string]*zone {
	zones := map[string]*zone{}
	for _, p := range proxies {
		if zones[p.Zone] == nil {
			zones[p.Zone] = &zone{}
		}
		zones[p.Zone].proxies = append(zones[p.Zone].proxies, p)
	}
	return zones
}

// spread says how many proxies of each zone a group gets, one of each zone in turn: one
// at least while there are enough.
func spread(most int, names []string, zones map[string]*zone) map[string]int {
	out := map[string]int{}
	left := min(most, max(enough, len(names)))
	for turn := 0; left > 0; turn++ {
		before := left
		for _, name := range names {
			if left > 0 && turn < len(zones[name].proxies) {
				out[name]++
				left--
			}
		}
		if left == before {
			break // no zone has another one
		}
	}
	return out
}

// allow divides the zone's places by the processors of its proxies.
func (z *zone) allow(places int) {
	all := 0
	for _, p := range z.proxies {
		all += p.power()
	}
	z.left = make(map[string]int, len(z.proxies))
	for _, p := range z.proxies {
		z.left[p.Name] = (places*p.power() + all - 1) / all
	}
}

func (p *Proxy) power() int { return max(1, p.Millicores) }

// ranked is a proxy's place in a group's order.
type ranked struct {
	name  string
	left  int // groups that it may still get, one at most
	score float64
}

// take gives a group to n proxies of the zone: the first in its order that may have
// another one. Where too few may, because those that may have it already, the others
// follow.
func (z *zone) take(group string, n int) []string {
	order := make([]ranked, 0, len(z.proxies))
	for _, p := range z.proxies {
		order = append(order, ranked{p.Name, min(1, z.left[p.Name]), p.score(group)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, 0, n)
	for _, p := range order[:n] {
		z.left[p.name]--
		out = append(out, p.name)
	}
	return out
}

// score is the proxy's weight in the group's order, by weighted rendezvous: the
// chance to be the first of all is as large as the proxy's part of the processors.
func (p *Proxy) score(group string) float64 {
	const steps = 1 << 53 // that a float64 tells apart between 0 and 1
	hash := xxhash.Sum64String("carry " + group + " " + p.Name)
	drawn := (float64(hash%steps) + 0.5) / steps
	return -float64(p.power()) / math.Log(drawn)
}
