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

// headroom is how many slots a gateway gets for each that is used on average by workspaces
// that get all they want. They don't use more on average, but with just as many slots their
// requests would wait for each other.
const headroom = 2

// fairLevel returns the fair share of slots per unit of weight under max-min fairness: what a
// workspace of weight one gets if it wants all. The largest demand counts as unlimited, so that the level is
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

// reportedFactor is how much more than once a second the waiting work in a report counts: it
// is wanted within the shortest objective of most work, a quarter of a second. Reports don't
// tell what was refused.
const reportedFactor = 4

// Demand returns the service time that a workspace wants in a second, given the mean of its
// items.
func (u *Usage) Demand(mean time.Duration) time.Duration {
	return u.Busy + reportedFactor*time.Duration(u.Waiting)*mean
}

// Division divides an upstream among the gateways that use it.
type Division struct {
	Slots   float64 // requests that the upstream runs at a time
	Stretch float64 // by how much service times are longer than when it is idle, from one
	Total   float64 // requests that all gateways together may always have there
	// Equal is the window of a gateway that doesn't know what the others have.
	Equal  int
	Mean   time.Duration // service time of a waiting request
	Weight func(account uint32) float64
}

// Window returns how many requests the gateway with the first of the loads may always have at
// the upstream. It divides the total by max-min fairness among workspaces, and each
// workspace's part among the gateways by its demand. It returns Equal while there is one load
// only or the upstream isn't contended. What the gateways with the same loads have there on
// average adds up to the total, rounded up at each.
func (d *Division) Window(loads []Load) int {
	if len(loads) < 2 || d.Slots <= 0 || d.Total <= 0 {
		return d.Equal
	}
	wanted := map[uint32]float64{}
	sum := 0.0
	demands := make([]Demand, 0, len(loads))
	for i := range loads {
		l := &loads[i]
		for _, u := range l.Used {
			wanted[u.Account] += u.Demand(d.Mean).Seconds()
			sum += u.Demand(d.Mean).Seconds()
		}
		sum += l.Rest.Seconds()
		if l.Others > 0 { // as one with the weight of all
			demands = append(demands, Demand{Weight: float64(l.Others), Slots: l.Rest.Seconds()})
		}
	}
	capacity := d.Slots * max(d.Stretch, 1)
	if sum < contendedFill*capacity {
		return d.Equal
	}
	for id, slots := range wanted {
		demands = append(demands, Demand{Weight: d.Weight(id), Slots: slots})
	}
	level := fairLevel(capacity, demands)
	all := 0.0
	for i := range loads {
		satisfied, hungry := d.parts(&loads[i], wanted, level)
		all += satisfied + hungry
	}
	if all <= 0 {
		return d.Equal
	}
	satisfied, hungry := d.parts(&loads[0], wanted, level)
	return max(1, int(math.Ceil(d.Total*(headroom*satisfied+hungry)/all)))
}

// parts returns the slots that the workspaces of one gateway have there at a fair level: of
// those that get all they want, and of those that want more.
func (d *Division) parts(l *Load, wanted map[uint32]float64, level float64) (satisfied, hungry float64) {
	if rest, most := l.Rest.Seconds(), float64(l.Others)*level; rest <= most {
		satisfied = rest
	} else {
		hungry = most
	}
	for _, u := range l.Used {
		w, most := wanted[u.Account], level*d.Weight(u.Account)
		switch here := u.Demand(d.Mean).Seconds(); {
		case w <= most:
			satisfied += here
		default:
			hungry += most * here / w
		}
	}
	return satisfied, hungry
}
