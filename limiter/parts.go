package limiter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what one workspace wants of an upstream: its weight, and the slots that it would
// use on average.
type Demand struct {
	Weight float64
	Slots  float64
}

// Load is what one gateway has at an upstream: the workspaces that use most, and the service
// time in the last second and the number of all others.
type Load struct {
	Used   []Usage
	Rest   time.Duration
	Others int
}

// contendedFill is the part of the slots in use above which an upstream counts as contended.
// Gateways that report each half second miss some of the use.
const contendedFill = 0.75

// fairLevel returns the fair share of slots per unit of weight under max-min fairness: what a
// workspace of weight one gets if it wants all. It sorts the demands by a copy's order only;
// the slice keeps its own. The largest demand counts as unlimited, so that the level is
// finite also when all can be met.
func fairLevel(slots float64, demands []Demand) float64 {
	if len(demands) == 0 {
		return slots
	}
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b Demand) int { return cmp.Compare(a.Slots*b.Weight, b.Slots*a.Weight) })
	weights := 0.0
	for _, d := range sorted {
		weights += d.Weight
	}
	for _, d := range sorted[:len(sorted)-1] {
		if level := slots / weights; d.Slots >= level*d.Weight {
			return level
		}
		slots -= d.Slots
		weights -= d.Weight
	}
	return slots / max(weights, math.SmallestNonzeroFloat64)
}

// demand returns the service time that a workspace wants in a second.
func (u *Usage) demand(mean time.Duration) time.Duration {
	return u.Busy + time.Duration(u.Waiting)*mean
}

// FairWindow returns how many requests the gateway with the first of the loads may always
// have at an upstream, of a total that all gateways divide. It divides the total by max-min
// fairness among workspaces, and each workspace's part among the gateways by its demand. It
// returns equal, the part of a gateway that knows of no others, while there is one load only
// or the upstream isn't contended. The windows of gateways with the same loads add up to
// about the total; each is at least one.
func FairWindow(total float64, equal int, mean time.Duration, weight func(account uint32) float64, loads []Load) int {
	if len(loads) < 2 || total <= 0 {
		return equal
	}
	wanted := map[uint32]float64{}
	sum := 0.0
	demands := make([]Demand, 0, len(loads))
	for _, l := range loads {
		for _, u := range l.Used {
			wanted[u.Account] += u.demand(mean).Seconds()
			sum += u.demand(mean).Seconds()
		}
		sum += l.Rest.Seconds()
		for range min(l.Others, maxAccounts) {
			demands = append(demands, Demand{Weight: 1, Slots: l.Rest.Seconds() / float64(l.Others)})
		}
	}
	if sum < contendedFill*total {
		return equal
	}
	for id, slots := range wanted {
		demands = append(demands, Demand{Weight: weight(id), Slots: slots})
	}
	level := fairLevel(total, demands)
	own, all := 0.0, 0.0
	for i, l := range loads {
		part := min(l.Rest.Seconds(), float64(l.Others)*level)
		for _, u := range l.Used {
			if w := wanted[u.Account]; w > 0 {
				part += min(w, level*weight(u.Account)) * u.demand(mean).Seconds() / w
			}
		}
		if i == 0 {
			own = part
		}
		all += part
	}
	if all <= 0 {
		return equal
	}
	return max(1, int(math.Round(total*own/all)))
}
