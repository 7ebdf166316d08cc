package carrier

import "time"

// Bounds of when an upstream counts as failing.
const (
	// faultGain is the weight of a new outcome in the share of failures, as 1/n. A
	// process of a large fleet has about ten outcomes a second at a leader: with
	// eight the share follows within a second.
	faultGain = 8
	// mostFaults is the share from which an upstream fails. Three failures in a row
	// reach it, a tenth of lost answers hardly ever does: its share is 0.1 with a
	// standard deviation of 0.08.
	mostFaults = 0.3
	// faultsLast is how long outcomes tell something, when none follow.
	faultsLast = 1500 * time.Millisecond
)

// faults follows how many of an upstream's outcomes are failures: statements that it
// ran and failed, and answers that were lost. Its zero value is an upstream that
// does well.
//
// An upstream may answer everything that asks whether it is well, and fail what
// callers want of it. Where it leads, nobody else can do that work: one sees every
// write of a group fail for as long as the upstream is ill.
type faults struct {
	share float64
	last  time.Time
}

// note takes in an outcome.
func (f *faults) note(now time.Time, failed bool) {
	if now.Sub(f.last) > faultsLast {
		f.share = 0
	}
	f.last = now
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share += (sample - f.share) / faultGain
}

// many reports whether the upstream fails now.
func (f *faults) many(now time.Time) bool {
	return f.share > mostFaults && now.Sub(f.last) <= faultsLast
}
