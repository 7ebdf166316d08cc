package assigner

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// fleet returns n proxies in three zones. The first two of each zone have four times the CPU
// of the others.
func fleet(n int) []Proxy {
	out := make([]Proxy, 0, n)
	for i := range n {
		power := 192
		if i < 6 {
			power = 800
		}
		out = append(out, Proxy{Name: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%3), Millicores: power})
	}
	return out
}

func groups(n, maxGateways int) []Group {
	out := make([]Group, 0, n)
	for i := range n {
		out = append(out, Group{Name: fmt.Sprint("g", i), MaxGateways: maxGateways})
	}
	return out
}

// Guards against processes that answer their peers too late after a power loss everywhere and
// are considered dead by them: with 74 processes and eight groups, six of the processes
// larger, each group chooses its six gateways independently, so that a small process becomes
// the gateway for three groups. The number of groups of a process and its CPU have to count.
func TestGatewayLoadFollowsCPU(t *testing.T) {
	is := is.New(t)
	proxies := fleet(74)
	load := map[string]int{}
	for _, gateways := range Assign(groups(8, 6), proxies) {
		is.Equal(len(gateways), 6) // two of each zone
		zones := map[string]int{}
		for _, c := range gateways {
			load[c]++
			i := slices.IndexFunc(proxies, func(p Proxy) bool { return p.Name == c })
			zones[proxies[i].Zone]++
		}
		is.Equal(zones, map[string]int{"z0": 2, "z1": 2, "z2": 2})
	}
	larger := 0
	for _, p := range proxies {
		if p.Millicores < 800 {
			is.True(load[p.Name] <= 1)
			continue
		}
		larger += load[p.Name]
		is.True(load[p.Name] <= 3)
	}
	is.True(larger >= 12) // of 48: the six have 28 % of the CPU
}

// Guards against many connections that are closed and opened when one process joins or leaves.
// Each process of a fleet leaves in turn; the assignment of the others must hardly depend on
// it.
func TestLeavingProxyMovesFewGroups(t *testing.T) {
	is := is.New(t)
	before := fleet(74)
	old := Assign(groups(8, 6), before)
	maxMoved, totalMoved := 0, 0
	for i := range before {
		after := slices.Delete(slices.Clone(before), i, i+1)
		moved := 0
		for name, gateways := range Assign(groups(8, 6), after) {
			for _, c := range gateways {
				if !slices.Contains(old[name], c) {
					moved++
				}
			}
		}
		maxMoved, totalMoved = max(maxMoved, moved), totalMoved+moved
	}
	t.Logf("places that move when one proxy leaves: at most %d, on average %.2f, of 48", maxMoved, float64(totalMoved)/float64(len(before)))
	is.True(maxMoved <= 8)
	is.True(totalMoved <= 2*len(before))
}

// Processes that learned of each other in different orders compute the same assignment.
func TestOrderOfProxiesAndGroupsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	proxies, all := fleet(20), groups(5, 6)
	first := Assign(all, proxies)
	slices.Reverse(proxies)
	slices.Reverse(all)
	is.Equal(Assign(all, proxies), first)
}

// Guards against a number of gateways that grows with the zones: in a fleet of five zones with
// two gateways of each for a group, each of the ten has one statement at an upstream of five
// slots, and the statements wait there in an arbitrary order.
func TestMoreZonesAddFewGateways(t *testing.T) {
	is := is.New(t)
	proxies := fleet(60)
	for zones, gateways := range map[int]int{1: 6, 2: 6, 3: 6, 4: 6, 5: 6, 8: 8} {
		for i := range proxies {
			proxies[i].Zone = fmt.Sprint("z", i%zones)
		}
		for _, names := range Assign(groups(20, 14), proxies) {
			is.Equal(len(names), gateways)
			covered := map[string]bool{}
			for _, c := range names {
				i := slices.IndexFunc(proxies, func(p Proxy) bool { return p.Name == c })
				covered[proxies[i].Zone] = true
			}
			is.Equal(len(covered), min(zones, gateways)) // each zone has a gateway while there are enough
		}
	}
}

// Fleets that are smaller than the maximum of a group, or have fewer than two proxies in a
// zone.
func TestSmallFleets(t *testing.T) {
	is := is.New(t)
	is.Equal(Assign(groups(1, 6), []Proxy{{Name: "a", Zone: "z"}})["g0"], []string{"a"})
	is.Equal(len(Assign(groups(1, 20), fleet(4))["g0"]), 4)
	is.Equal(len(Assign(groups(1, 1), fleet(74))["g0"]), 1)
	is.Equal(len(Assign(groups(1, 0), fleet(74))["g0"]), 1)
	is.Equal(len(Assign(groups(2, 3), nil)), 0)
}
