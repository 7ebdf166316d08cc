package assigner

import (
	"cmp"
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fewProxies is the number of proxies up to which each group has gateways of its own: in so
// small a fleet every process sends to all others in any case.
const fewProxies = 13

// bundled is groups that have the same gateways. Gateways of the same groups send to each
// other in every round, so a process that has several groups in common with the same few
// others sends fewer datagrams than one that has each group with others.
type bundled struct {
	name        string
	maxGateways int
	groups      []string // names
}

// bundle combines groups with the same maximum number of gateways into bundles, sorted by
// name. There are as many bundles as give each proxy one or two, and each group is a bundle of
// its own where there are no more groups than that.
func bundle(groups []Group, proxies int) []bundled {
	byMax := map[int][]string{}
	for _, g := range groups {
		n := max(1, g.MaxGateways)
		byMax[n] = append(byMax[n], g.Name)
	}
	var out []bundled
	for _, n := range slices.Sorted(maps.Keys(byMax)) {
		out = append(out, bundleNames(byMax[n], n, bundleCount(proxies, n))...)
	}
	slices.SortFunc(out, func(a, b bundled) int { return cmp.Compare(a.name, b.name) })
	return out
}

// bundleCount returns the maximum number of bundles, zero for no limit. It is a power of two, so
// that it seldom changes with the number of proxies.
func bundleCount(proxies, maxGateways int) int {
	if proxies <= fewProxies {
		return 0
	}
	least := max(1, proxies/min(maxGateways, preferredGateways))
	return 1 << bits.Len(uint(least-1))
}

// bundleNames divides the sorted names of groups among bundles of equal size. Each group goes
// to the first bundle with room in a sequence of its own, so that a group that is added or
// removed moves few others.
func bundleNames(names []string, maxGateways, count int) []bundled {
	if len(names) <= count || count == 0 {
		out := make([]bundled, 0, len(names))
		for _, name := range names {
			out = append(out, bundled{name, maxGateways, []string{name}})
		}
		return out
	}
	room := (len(names) + count - 1) / count
	out := make([]bundled, count)
	for i := range out {
		out[i] = bundled{name: fmt.Sprintf("bundle %d of %d for %d", i, count, maxGateways), maxGateways: maxGateways}
	}
	for _, name := range names {
		i := xxhash.Sum64String("bundle "+name) % uint64(count)
		for len(out[i].groups) >= room {
			i = (i + 1) % uint64(count)
		}
		out[i].groups = append(out[i].groups, name)
	}
	return out
}
