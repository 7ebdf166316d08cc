package placer

import (
	"math"
	"time"

	"basildale.example/basildale/tracker"
)

const (
	// maxPositions and minPositionGap bound the kept positions: they cover at least 2.5 s,
	// the age that reads usually allow. What is older is compared with samples.
	maxPositions   = 128
	minPositionGap = 20 * time.Millisecond
)

// Positions keeps by what time the leader's log contained which position, as answers and
// reads have shown. Its zero value is empty.
type Positions struct{ ring []position }

// position is a mark that some log contained at a time, and so the leader's did.
type position struct {
	mark tracker.Mark
	at   time.Time
}

// Add records that an upstream, or a session that wrote, has stated a mark.
func (p *Positions) Add(now time.Time, mark tracker.Mark) {
	n := len(p.ring)
	switch {
	case n > 0 && !p.ring[n-1].mark.Less(mark):
		return
	case n > 1 && now.Sub(p.ring[n-2].at) < minPositionGap && p.ring[n-1].mark.Term == mark.Term:
		// The last entry stands for both: its later time is right for both marks.
		p.ring[n-1] = position{mark, now}
		return
	case n >= maxPositions:
		p.ring = append(p.ring[:0], p.ring[1:]...)
	}
	p.ring = append(p.ring, position{mark, now})
}

// FirstSeen returns the earliest known time at which the leader's log contained a mark, and
// whether one is known.
func (p *Positions) FirstSeen(mark tracker.Mark) (time.Time, bool) {
	for i := range p.ring {
		if !p.ring[i].mark.Less(mark) {
			return p.ring[i].at, true
		}
	}
	return time.Time{}, false
}

// FirstBeyond returns the earliest known time at which the leader's log contained more than
// a mark, and whether one is known.
func (p *Positions) FirstBeyond(mark tracker.Mark) (time.Time, bool) {
	for i := range p.ring {
		if mark.Less(p.ring[i].mark) {
			return p.ring[i].at, true
		}
	}
	return time.Time{}, false
}

// useWindow is the time over which use is averaged.
const useWindow = 2 * time.Second

// Use is how many slots some work uses on average. Its zero value is no use.
type Use struct {
	busy float64 // seconds, decayed
	at   time.Time
}

// Add records that work has used a slot for a time.
func (u *Use) Add(now time.Time, took time.Duration) {
	u.busy = u.Slots(now)*useWindow.Seconds() + took.Seconds()
	u.at = now
}

// Slots returns the average number of used slots.
func (u *Use) Slots(now time.Time) float64 {
	if u.at.IsZero() {
		return 0
	}
	age := max(0, now.Sub(u.at).Seconds())
	return u.busy / useWindow.Seconds() * math.Exp(-age/useWindow.Seconds())
}

// averageWindow is the time over which reports of other gateways are averaged. All gateways
// get the same reports each half second; if each acted on the last one alone, all of them
// would move their work to the same upstream until the next.
const averageWindow = time.Second

// Average is a number averaged over time. Its zero value has no number yet.
type Average struct {
	value float64
	at    time.Time
}

// Update takes the number that holds from now on and returns the average.
func (a *Average) Update(now time.Time, x float64) float64 {
	if a.at.IsZero() {
		a.value = x
	} else {
		age := max(0, now.Sub(a.at).Seconds())
		a.value += (1 - math.Exp(-age/averageWindow.Seconds())) * (x - a.value)
	}
	a.at = now
	return a.value
}
