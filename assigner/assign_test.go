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

// assign returns the gateways that a process computes that has computed none before.
func assign(groups []Group, proxies []Proxy) map[string][]string {
	var a Assigner
	return a.Assign(groups, proxies)
}

// Guards against processes that answer their peers too late after a power loss everywhere and
// are considered dead by them: with 74 processes and eight groups, six of the processes
// larger, each group chooses its six gateways independently, so that a small process becomes
// the gateway for three groups. The number of groups of a process and its CPU have to count.
func TestGatewayLoadFollowsCPU(t *testing.T) {
	is := is.New(t)
	proxies := fleet(74)
	load := map[string]int{}
	for _, gateways := range assign(groups(8, 6), proxies) {
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
	old := assign(groups(8, 6), before)
	maxMoved, totalMoved := 0, 0
	for i := range before {
		after := slices.Delete(slices.Clone(before), i, i+1)
		moved := 0
		for name, gateways := range assign(groups(8, 6), after) {
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
	first := assign(all, proxies)
	slices.Reverse(proxies)
	slices.Reverse(all)
	is.Equal(assign(all, proxies), first)
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
		for _, names := range assign(groups(20, 14), proxies) {
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
	is.Equal(assign(groups(1, 6), []Proxy{{Name: "a", Zone: "z"}})["g0"], []string{"a"})
	is.Equal(len(assign(groups(1, 20), fleet(4))["g0"]), 4)
	is.Equal(len(assign(groups(1, 1), fleet(74))["g0"]), 1)
	is.Equal(len(assign(groups(1, 0), fleet(74))["g0"]), 1)
	is.Equal(len(assign(groups(2, 3), nil)), 0)
}

// sizes are the numbers of processes and of groups for which the work is counted.
var sizes = []int{100, 1000, 2000}

// fleetOf returns n proxies in five zones, a twentieth of them with four times the CPU of the
// others.
func fleetOf(n int) []Proxy {
	proxies := fleet(n)
	for i := range proxies {
		proxies[i].Zone = fmt.Sprint("z", i%5)
		proxies[i].Millicores = 192
		if i%20 < 1 {
			proxies[i].Millicores = 800
		}
	}
	return proxies
}

// Guards against a process of a large fleet that spends most of its time on the assignment: it
// was computed anew for each configuration that arrived, though the groups were the same, with
// a score for each pair of a group and a process.
func TestUnchangedFleetIsNotScoredAgain(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var a Assigner
			proxies := fleetOf(n)
			first := a.Assign(groups(n, 33), proxies)
			is.True(a.scored <= n*n)
			a.scored = 0
			slices.Reverse(proxies)
			is.Equal(a.Assign(groups(n, 33), proxies), first)
			is.Equal(a.scored, 0)
		})
	}
}

// A process that leaves or joins has only its own zone assigned again, with the same result as
// an assignment from scratch, and moves few groups.
func TestChangeConcernsOneZone(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			var a Assigner
			proxies := fleetOf(n)
			before := a.Assign(groups(n, 33), proxies)
			a.scored = 0
			left := slices.Delete(slices.Clone(proxies), 7, 8)
			after := a.Assign(groups(n, 33), left)
			is.True(a.scored <= n*n/5)
			is.Equal(after, assign(groups(n, 33), left))
			moved := 0
			for name, gateways := range after {
				for _, c := range gateways {
					if !slices.Contains(before[name], c) {
						moved++
					}
				}
			}
			t.Logf("%d of %d places move, %d scores", moved, 6*n, a.scored)
		})
	}
}

// Guards against a zone that has a third of all places in a fleet of five zones: each group has
// six gateways, and the sixth place of every group was in the same zone.
func TestPlacesAreSpreadOverZones(t *testing.T) {
	is := is.New(t)
	places := map[string]int{}
	proxies := fleetOf(1000)
	zones := map[string]string{}
	for _, p := range proxies {
		zones[p.Name] = p.Zone
	}
	for _, gateways := range assign(groups(1000, 33), proxies) {
		is.Equal(len(gateways), 6)
		for _, c := range gateways {
			places[zones[c]]++
		}
	}
	is.Equal(len(places), 5)
	for _, n := range places {
		is.True(n >= 1100 && n <= 1300) // a fifth of 6,000 each, give or take
	}
}

// Guards against a process whose datagrams grow with the groups: with 1,000 groups before 985
// processes, each chosen gateways of its own, a small process was a gateway beside 30 others and
// a larger one beside 110, most of which it sent nothing to in a round.
func TestGatewaysShareTheirGroups(t *testing.T) {
	const smallPeers, largePeers = 10, 48
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			peers := map[string]map[string]bool{}
			load := map[string]int{}
			for _, gateways := range assign(groups(n, 33), fleetOf(n)) {
				is.Equal(len(gateways), 6)
				for _, c := range gateways {
					load[c]++
					if peers[c] == nil {
						peers[c] = map[string]bool{}
					}
					for _, o := range gateways {
						peers[c][o] = true
					}
				}
			}
			mostGroups := 0
			for _, p := range fleetOf(n) {
				others := max(0, len(peers[p.Name])-1)
				if p.Millicores > 192 {
					is.True(others <= largePeers)
					continue
				}
				is.True(others <= smallPeers)
				mostGroups = max(mostGroups, load[p.Name])
			}
			t.Logf("a small process is a gateway of at most %d groups", mostGroups)
			is.True(mostGroups <= 12) // twice the mean
		})
	}
}

// A group that is added or removed moves few others.
func TestNewGroupMovesFewOthers(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			proxies := fleetOf(n)
			before, after := assign(groups(n-1, 33), proxies), assign(groups(n, 33), proxies)
			moved := 0
			for name, gateways := range before {
				if !slices.Equal(after[name], gateways) {
					moved++
				}
			}
			t.Logf("%d of %d groups move", moved, n)
			is.True(moved <= n/20)
		})
	}
}
