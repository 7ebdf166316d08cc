package limiter

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a workspace that asks for less than its fair share and is served as if above
// it, because the waiting work of many small ones counts more than once in their demand.
func TestWaitingWorkCountsOnce(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	for i := range 150 {
		account := uint32(1) // 10 s of work in one second, from a hot one
		if i%10 == 0 {
			account = 2 // 15 % of the slot
		}
		q.Offer(now, Item{Account: account, Deadline: now.Add(time.Hour)})
		if i%10 == 5 { // small ones wait long
			q.Offer(now, Item{Account: uint32(3 + i), Priority: 1, Deadline: now.Add(time.Hour)})
		}
		serve(q, &now)
	}
	q.rank(now)
	standings := map[uint32]standing{}
	for i := range q.fair.list {
		standings[q.fair.list[i].id] = q.fair.list[i].urgency[0].standing
	}
	is.Equal(standings[1], aboveShare)
	is.Equal(standings[2], belowShare)
}

// Guards against a rate that ignores what workspaces get for more urgent work: of two slots one
// has 1.2 already, and the others share what is left.
func TestRateLeavesUrgentWorkItsSlots(t *testing.T) {
	is := is.New(t)
	demands := []Demand{{Weight: 1, Slots: 1.5}, {Weight: 1, Slots: 0.2}, {Weight: 1, Slots: 1}}
	is.True(math.Abs(rateAbove(2, demands, []float64{1.2, 0, 0})-0.6) < 1e-6)
	is.True(math.Abs(rateAbove(2, demands, make([]float64, 3))-fairLevel(2, demands)) < 1e-6)
}
