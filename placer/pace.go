package placer

import (
	"math"
	"time"
)

// Classes is the number of classes of work whose service times are kept apart.
const Classes = 3

// Parameters of the observed service times.
const (
	// DefaultService is the service time that is assumed of a class before its first answer.
	DefaultService = 33 * time.Millisecond
	// referenceWeight is the weight of a new answer in the reference of its class.
	referenceWeight = 0.05
	// maxReferenceFactor bounds what one answer counts in the reference, as a multiple of
	// it, so that one slow upstream does not become the measure of the others.
	maxReferenceFactor = 2
	// minAnswers is how many answers of a class make its reference.
	minAnswers = 20
	// paceWeight is the weight of a new answer in an upstream's pace: about five answers.
	paceWeight = 0.2
	// recoveryWeight is the weight of an answer that is faster than expected. It bounds how
	// long an upstream is avoided that was slow; slow start bounds what a mistake costs.
	recoveryWeight = 0.4
	// maxPace bounds what one answer counts.
	maxPace = 12
	// paceHalfLife is the time in which the difference of an unused upstream's pace from
	// the usual one halves.
	paceHalfLife = 2 * time.Second
	// slowPace is the pace above which an upstream is slow. Service times vary by half, and
	// the mean of five answers exceeds this only with a cause.
	slowPace = 3
	// minSlowAnswers is how many answers in a row must be slow. One slow answer may be long work.
	minSlowAnswers = 2
)

// Reference is the usual service time of each class at a group's upstreams. Its zero value
// is ready for use.
type Reference struct {
	means   [Classes]time.Duration
	answers [Classes]int
}

// Mean returns the usual service time of a class.
func (r *Reference) Mean(class int) time.Duration {
	if r.means[class] == 0 {
		return DefaultService
	}
	return r.means[class]
}

func (r *Reference) record(class int, took time.Duration) {
	mean := r.Mean(class)
	if r.answers[class] > 0 {
		took = min(took, maxReferenceFactor*mean)
	}
	r.answers[class]++
	weight := max(referenceWeight, 1/float64(r.answers[class]))
	r.means[class] = mean + time.Duration(weight*float64(took-mean))
}

// isKnown reports whether there were enough answers to call others slow.
func (r *Reference) isKnown(class int) bool { return r.answers[class] >= minAnswers }

// Pace is the service time of one upstream as a multiple of the usual one. Comparing within
// a class keeps a leader that serves short statements from looking faster than its replicas.
// Its zero value is the usual pace.
type Pace struct {
	excess float64 // the pace minus one
	slow   int     // how many of the last answers in a row were slow
	at     time.Time
}

// Record records how long an answer took at the upstream, without the round trip, and
// reports whether the upstream is slow.
func (p *Pace) Record(now time.Time, ref *Reference, class int, took time.Duration) bool {
	took = max(took, time.Microsecond)
	ratio := min(float64(took)/float64(ref.Mean(class)), maxPace)
	known := ref.isKnown(class)
	ref.record(class, took)
	if !known {
		return false
	}
	p.excess = p.Factor(now) - 1
	weight := paceWeight
	if ratio < p.excess+1 {
		weight = recoveryWeight
	}
	p.excess += weight * (ratio - 1 - p.excess)
	p.at = now
	p.slow++
	if ratio < slowPace {
		p.slow = 0
	}
	return p.slow >= minSlowAnswers || p.slow > 0 && p.excess+1 >= slowPace
}

// Factor returns the expected pace now.
func (p *Pace) Factor(now time.Time) float64 {
	return 1 + p.excess*math.Exp2(-max(0, float64(now.Sub(p.at)))/float64(paceHalfLife))
}

// Parameters of slow start.
const (
	// minPause and maxPause bound how long an upstream that lost its work gets none. Each
	// further loss within forgetAfter doubles the pause, so that one that flaps gets little.
	minPause    = 200 * time.Millisecond
	maxPause    = 3200 * time.Millisecond
	forgetAfter = 10 * time.Second
	// fullLimit is the limit at which the slow start is over.
	fullLimit = 8
)

// NoLimit is the limit of an upstream that is not in slow start.
const NoLimit = math.MaxInt

// SlowStart limits the reads in flight at an upstream that has been slow, shed load, failed
// or hung: none during a pause, then one, two, four. Its zero value sets no limit.
type SlowStart struct {
	limit  int // zero when there is none
	served int // good answers since the limit was raised
	pause  time.Duration
	until  time.Time // when the pause is over
	lostAt time.Time
}

// Lose takes the work from the upstream.
func (s *SlowStart) Lose(now time.Time) {
	if s.limit > 0 && now.Before(s.until) {
		return // answers to what was in flight
	}
	if s.lostAt.IsZero() || now.Sub(s.lostAt) > forgetAfter {
		s.pause = 0
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.limit, s.served, s.lostAt, s.until = 1, 0, now, now.Add(s.pause)
}

// Gain records a good answer.
func (s *SlowStart) Gain(now time.Time) {
	if s.limit == 0 || now.Before(s.until) {
		return
	}
	s.served++
	if s.served < s.limit {
		return
	}
	s.limit, s.served = 2*s.limit, 0
	if s.limit >= fullLimit {
		s.limit = 0
	}
}

// Limit returns how many reads may be in flight now.
func (s *SlowStart) Limit(now time.Time) int {
	switch {
	case s.limit == 0:
		return NoLimit
	case now.Before(s.until):
		return 0
	default:
		return s.limit
	}
}
