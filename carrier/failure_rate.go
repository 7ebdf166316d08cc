package carrier

import "time"

// Parameters of the failure rate of an upstream.
const (
	// failureRateSmoothing is the n of 1/n, the weight of a new outcome in the failure
	// rate. A process of a large fleet gets about ten outcomes a second from a leader: with
	// n = 8 the rate follows within a second.
	failureRateSmoothing = 8
	// maxFailureRate is the rate above which an upstream counts as failing. Three failures
	// in a row exceed it; an upstream that loses a tenth of its answers hardly ever does,
	// as its rate is 0.1 with a standard deviation of 0.08.
	maxFailureRate = 0.3
	// failureRateExpiry is how long the rate stays valid after the last outcome.
	failureRateExpiry = 1500 * time.Millisecond
)

// failureRate is a moving average of the part of an upstream's outcomes that are failures:
// statements that it ran and failed, and answers that were lost. Its zero value is a
// healthy upstream.
//
// An upstream may pass every health check and still fail the statements of callers. Where
// it is the leader no other upstream can do that work, so every write of the group fails
// until the upstream recovers.
type failureRate struct {
	rate      float64
	updatedAt time.Time
}

// record adds an outcome.
func (f *failureRate) record(now time.Time, failed bool) {
	if now.Sub(f.updatedAt) > failureRateExpiry {
		f.rate = 0
	}
	f.updatedAt = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += (sample - f.rate) / failureRateSmoothing
}

// isHigh reports whether the upstream counts as failing now.
func (f *failureRate) isHigh(now time.Time) bool {
	return f.rate > maxFailureRate && now.Sub(f.updatedAt) <= failureRateExpiry
}
