package retrier

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a budget: one retry for ten requests, up to 20 saved up, and
// beside these 2 a second, so that a quiet group can retry at all.
const (
	DefaultRatio = 0.1
	DefaultBurst = 20
	DefaultFloor = 2
)

// tokenUnit is one token in the fixed-point count of a budget.
const tokenUnit = 1000

// BudgetRate sets a budget. Zero fields take the defaults.
type BudgetRate struct {
	Ratio float64 // retries for each first attempt
	Burst int     // greatest number of retries saved up
	Floor float64 // retries a second that don't depend on the traffic
}

// Budget bounds the retries of one database group.
//
// Without it, retries multiply the load of a group that is already failing:
// with three attempts for each request a group at its capacity gets three times
// that, and stays overloaded after the fault is over. One sees an upstream that
// does not recover while callers see mostly retries. A share of the first
// attempts bounds this factor at any level of traffic, which a fixed rate
// can't.
//
// A Budget may be used from several goroutines.
type Budget struct {
	saved atomic.Int64
	gain  int64
	most  int64
	floor *rate.Limiter
}

// NewBudget returns a budget with its savings full.
func NewBudget(r BudgetRate) *Budget {
	if r.Ratio == 0 {
		r.Ratio = DefaultRatio
	}
	if r.Burst == 0 {
		r.Burst = DefaultBurst
	}
	if r.Floor == 0 {
		r.Floor = DefaultFloor
	}
	b := &Budget{
		gain:  int64(r.Ratio * tokenUnit),
		most:  int64(r.Burst) * tokenUnit,
		floor: rate.NewLimiter(rate.Limit(r.Floor), max(1, int(r.Floor))),
	}
	b.saved.Store(b.most)
	return b
}

// Deposit counts the first attempt of a request.
func (b *Budget) Deposit() {
	for {
		old := b.saved.Load()
		if old >= b.most {
			return
		}
		if b.saved.CompareAndSwap(old, min(old+b.gain, b.most)) {
			return
		}
	}
}

// Take takes the token of one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	for {
		old := b.saved.Load()
		if old < tokenUnit {
			return b.floor.AllowN(now, 1)
		}
		if b.saved.CompareAndSwap(old, old-tokenUnit) {
			return true
		}
	}
}
