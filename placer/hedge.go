package placer

import "time"

// Parameters of second attempts.
const (
	// hedgeQuantile is the part of the answers that must usually have come before a read is
	// sent once more, and quantileStep the relative step with which its time is followed.
	hedgeQuantile = 0.95
	quantileStep  = 0.1
	// hedgeShare is the largest part of the reads that are sent once more, and maxHedges how
	// many second attempts can be saved up for a moment in which an upstream becomes slow.
	hedgeShare = 0.03
	maxHedges  = 8
	// hedgeMargin multiplies that time before a read is sent once more. Long statements are
	// as long elsewhere; without a margin they use up the second attempts, and none are left
	// when an upstream becomes slow.
	hedgeMargin = 1.25
	// minHedgeAnswers is how many answers of a class must have come before its time is known.
	minHedgeAnswers = 50
)

// Hedge decides when a read without an answer is sent once more, to another upstream. Its
// zero value allows no second attempt yet.
type Hedge struct {
	times   [Classes]time.Duration
	answers [Classes]int
	budget  float64
}

// Record records that a read of a class was sent, and how long its answer took.
func (h *Hedge) Record(class int, took time.Duration) {
	h.budget = min(h.budget+hedgeShare, maxHedges)
	h.answers[class]++
	t := &h.times[class]
	switch {
	case *t == 0:
		*t = took
	case took > *t:
		*t += time.Duration(quantileStep * hedgeQuantile * float64(*t))
	default:
		*t -= time.Duration(quantileStep * (1 - hedgeQuantile) * float64(*t))
	}
}

// Delay returns after which time without an answer a read of a class may be sent once more,
// and whether it may be at all now.
func (h *Hedge) Delay(class int) (time.Duration, bool) {
	return time.Duration(hedgeMargin * float64(h.times[class])), h.answers[class] >= minHedgeAnswers && h.budget >= 1
}

// Take counts a second attempt. It reports false if there were too many.
func (h *Hedge) Take() bool {
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}

// ChooseSecond returns the upstream to which a read is sent once more; None where none has
// the position and a slot to spare. The upstreams that have the read are marked as tried.
func ChooseSecond(now time.Time, options []Option, read Read) int {
	read.MaxWait = 0
	c := ChooseExpected(now, options, read)
	if c.Index == None {
		return None
	}
	o := &options[c.Index]
	if o.Tried || o.Leaving || o.chance(now, 0, read) < minChance || !o.hasFreeSlot() {
		return None
	}
	return c.Index
}

// hasFreeSlot reports whether nothing waits for a slot at the upstream, and one is free.
func (o *Option) hasFreeSlot() bool {
	return o.QueueWait == 0 && !o.OthersWait && o.Reads < o.Limit && o.InFlight < o.MaxConnections && o.Others+float64(o.InFlight)+1 <= float64(o.slots())
}
