package throttler

import "time"

const (
	// grain is how finely the time at which tokens were made is told apart.
	grain = 50 * time.Millisecond
	// grains is how many are remembered: more than the longest life.
	grains = int64(longestLife/grain) + 2
)

// ring holds a number for each of the latest grains of time. Its zero value is empty.
type ring struct {
	first int64 // the oldest grain that is held
	held  [grains]float64
}

// grainOf returns the grain that a moment falls into.
func grainOf(t time.Time) int64 { return t.UnixNano() / int64(grain) }

// advance forgets what is older than the ring reaches back from a grain.
func (r *ring) advance(latest int64) {
	first := latest - grains + 1
	if first <= r.first {
		return
	}
	if first-r.first >= grains {
		clear(r.held[:])
	} else {
		for g := r.first; g < first; g++ {
			r.held[g%grains] = 0
		}
	}
	r.first = first
}

// at returns the number of a grain, nil for one that isn't held.
func (r *ring) at(g int64) *float64 {
	if g < r.first || g >= r.first+grains {
		return nil
	}
	return &r.held[g%grains]
}
