package limiter

import (
	"math"
	"time"
)

// Parameters of the fair shares.
const (
	// waitingFactor is how much more than once a second waiting work counts as demand where
	// a gateway's need of slots is computed, and for the rate of workspaces above their fair
	// share: it is wanted within the shortest objective of most work, less the service time.
	waitingFactor = 6
	// sharedWaitingFactor takes the place of waitingFactor in the rate of urgent work where the
	// slots are divided among gateways, which bounds urgent work already.
	sharedWaitingFactor = 5
	// belowPart is the part of its fair share up to which a workspace counts as below it, since
	// the demand of a second varies: with 0.8 and more, workspaces near their share displace
	// dashboards of small ones.
	belowPart = 0.55
	// rateSteps is the number of bisections by which the rate is found.
	rateSteps = 40
)

// SetShare sets how many slots of the upstream this gateway gets by its demand; zero where
// that isn't known. It has no effect while the fair policy is off.
func (q *Queue) SetShare(slots float64) {
	if q.fair != nil {
		q.fair.share = slots
	}
}

// refresh computes the fair rates anew. Where a workspace also has work at other gateways,
// its weight is divided among the gateways by its demand.
func (f *fair) refresh(now time.Time, slots int) {
	if now.Sub(f.levelAt) < levelInterval && !now.Before(f.levelAt) {
		return
	}
	f.levelAt = now
	t := now.Sub(f.epoch)
	f.forget(t, false)
	var wanted [PriorityCount]time.Duration
	for i := range f.list {
		for p := range wanted {
			if a := &f.list[i]; a.inUse {
				wanted[p] += a.demand(t, p, p+1, waitingFactor)
			}
		}
	}
	less := time.Duration(0) // demand of less urgent work
	for _, d := range wanted {
		less += d
	}
	f.cut = cutOf(&wanted, less)
	for p, d := range wanted {
		less -= d
		if p > 0 && d == 0 {
			f.levels[p] = f.levels[p-1]
			f.copyStanding(p)
			continue
		}
		f.compare(t, p, float64(slots))
		f.levels[p] = f.levelOf(t, p, float64(slots), less)
	}
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			a.setPaces(&f.levels, a.weight*f.part(a.id, a.demand(t, 0, PriorityCount, waitingFactor)))
		}
	}
}

// cutOf returns the least urgent priority from which on the demand is at least what the
// starvation floor reserves of it all, or zero.
func cutOf(wanted *[PriorityCount]time.Duration, all time.Duration) uint8 {
	less := time.Duration(0)
	for p := PriorityCount - 1; p > 0; p-- {
		less += wanted[p]
		if less > 0 && floorTurn*less >= all {
			return uint8(p)
		}
	}
	return 0
}

// compare sets which workspaces ask for less than their fair share for work of a priority. The
// share is computed from what each has asked for in the last second, counted once, and from
// the slots that this gateway gets of the upstream: its window is larger, and a share of the
// window would hide that a workspace takes the slots of other gateways. In the first second
// of the policy the demand isn't known.
func (f *fair) compare(t time.Duration, priority int, slots float64) {
	if t < usageWindow {
		return
	}
	if f.share > 0 {
		slots = min(slots, f.share)
	}
	less := time.Duration(0)
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			less += a.demand(t, priority+1, PriorityCount, 0)
		}
	}
	f.collect(t, priority, slots, less, 0)
	level, at := fairLevel(slots, f.demands), 0
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			a.urgency[priority].standing = aboveShare
			if d := f.demands[at]; d.Slots < belowPart*level*d.Weight {
				a.urgency[priority].standing = belowShare
			}
			at++
		}
	}
}

// copyStanding takes over what is known for the next more urgent priority.
func (f *fair) copyStanding(priority int) {
	for i := range f.list {
		u := &f.list[i].urgency
		u[priority].standing = u[priority-1].standing
	}
}

// collect sets the demand of each workspace for work of a priority, in the order of the list.
// Less urgent work, of which there is so much in all, claims at most lessUrgentPart.
func (f *fair) collect(t time.Duration, priority int, slots float64, less time.Duration, factor int) {
	scale := 1.0
	if most := lessUrgentPart * slots; less.Seconds() > most {
		scale = most / less.Seconds()
	}
	f.demands = f.demands[:0]
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			here := a.demand(t, 0, PriorityCount, waitingFactor)
			urgent, rest := a.demand(t, 0, priority+1, factor), a.demand(t, priority+1, PriorityCount, factor)
			f.demands = append(f.demands, Demand{Weight: a.weight * f.part(a.id, here), Slots: urgent.Seconds() + scale*rest.Seconds()})
		}
	}
}

// levelOf returns the rate at which work of a priority is served above the fair share, per
// unit of weight, given the demand of less urgent work. What workspaces get for more urgent
// work is theirs also where it is above the rate; the others share what that leaves.
func (f *fair) levelOf(t time.Duration, priority int, slots float64, less time.Duration) float64 {
	factor := waitingFactor
	if f.share > 0 && priority < int(f.cut) {
		factor = sharedWaitingFactor
	}
	f.collect(t, priority, slots, less, factor)
	f.floors = f.floors[:0]
	for i := range f.list {
		a := &f.list[i]
		if !a.inUse {
			continue
		}
		if priority == 0 {
			a.granted = 0
		}
		f.floors = append(f.floors, a.granted)
	}
	level, at := rateAbove(slots, f.demands, f.floors), 0
	for i := range f.list {
		if a := &f.list[i]; a.inUse {
			a.granted = max(a.granted, min(a.demand(t, 0, priority+1, factor).Seconds(), level*f.demands[at].Weight))
			at++
		}
	}
	return level
}

// rateAbove returns the rate per unit of weight at which the slots are used up when each
// workspace gets its demand up to that rate, and at least its floor. As in [fairLevel], the
// largest demand counts as unlimited.
func rateAbove(slots float64, demands []Demand, floors []float64) float64 {
	most, high := 0, 0.0
	for i, d := range demands {
		if d.Slots*demands[most].Weight > demands[most].Slots*d.Weight {
			most = i
		}
		high = max(high, slots/max(d.Weight, math.SmallestNonzeroFloat64))
	}
	if len(demands) == 0 {
		return slots
	}
	low := 0.0
	for range rateSteps {
		middle := (low + high) / 2
		used := 0.0
		for i, d := range demands {
			got := middle * d.Weight
			if i != most {
				got = min(got, d.Slots)
			}
			used += max(got, floors[i])
		}
		if used > slots {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// part returns the part of a workspace's demand that is at this gateway.
func (f *fair) part(id uint32, here time.Duration) float64 {
	elsewhere := f.peers[id]
	if elsewhere <= 0 {
		return 1
	}
	return max(float64(here)/float64(here+elsewhere), minPart)
}
