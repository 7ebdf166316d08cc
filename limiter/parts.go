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
// time in the last second and the number of all others. RestUrgent is what the urgent items of
// these want. Cut is the gateway's own [Queue.Cut]; where it is zero, what is urgent isn't known.
type Load struct {
	Used       []Usage
	Rest       time.Duration
	RestUrgent time.Duration
	Others     int
	Cut        uint8
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

// Demand returns the service time that a workspace wants in a second, given the mean of its
// items.
func (u *Usage) Demand(mean time.Duration) time.Duration {
	return u.Busy + waitingFactor*time.Duration(u.Waiting)*mean
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
