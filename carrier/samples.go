package carrier

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Bounds of the kept samples of a leader's log.
const (
	// minSampleInterval is the minimum time between two samples. It keeps the ring small: a
	// finer interval makes no difference to reads that may be 1.5 s old or more.
	minSampleInterval = 50 * time.Millisecond
	// maxSamples is how many samples are kept: at the minimum interval they cover 3.2 s.
	maxSamples = 64
	// samplesPerMaxAge is how many samples cover the maximum age that a read allows, so
	// that the ring also holds some older ones. With fewer, the position that a read
	// requires of a replica that lags by most of that age is newer than it needs to be.
	samplesPerMaxAge = 48
)

// ages are the smallest and largest staleness that the reads of a group allow, as its
// routes set them.
type ages struct {
	minAge, maxAge time.Duration
}

// add records the allowed age of one read.
func (a *ages) add(age time.Duration) {
	if age <= 0 {
		return
	}
	if a.minAge == 0 || age < a.minAge {
		a.minAge = age
	}
	a.maxAge = max(a.maxAge, age)
}

// interval returns the interval between samples at which the ring covers the maximum age.
func (a *ages) interval() time.Duration { return max(minSampleInterval, a.maxAge/samplesPerMaxAge) }

// negligibleLag returns a lag that does not matter: an eighth of the minimum age.
func (a *ages) negligibleLag() time.Duration { return a.minAge / 8 }

// sample is a position of the leader's log: everything acknowledged before requestedAt is
// at or before mark.
type sample struct {
	requestedAt time.Time
	mark        tracker.Mark
}

// samples keeps positions of the leader's log by the time at which they were requested, the
// newest last.
type samples struct {
	ring     []sample
	interval time.Duration // minimum time between two; minSampleInterval if that is more
}

// add adds a proven position. It is dropped if it was requested before the newest or is of
// an earlier term, and within a term also if it was requested less than the interval after
// the newest.
func (s *samples) add(requestedAt time.Time, mark tracker.Mark) {
	if n := len(s.ring); n > 0 {
		newest := s.ring[n-1]
		sameTerm := newest.mark.Term == mark.Term
		if sameTerm && requestedAt.Sub(newest.requestedAt) < max(s.interval, minSampleInterval) {
			return
		}
		if requestedAt.Before(newest.requestedAt) || mark.Term.Less(newest.mark.Term) {
			return
		}
	}
	if len(s.ring) >= maxSamples {
		s.ring = append(s.ring[:0], s.ring[1:]...)
	}
	s.ring = append(s.ring, sample{requestedAt, mark})
}

// oldestSince returns the oldest position that was requested at or after the given time.
// The oldest is the one that most replicas have reached: replicas that lag by 1 s can still
// serve reads that may be 1.5 s old.
func (s *samples) oldestSince(oldest time.Time) (tracker.Mark, bool) {
	for _, e := range s.ring {
		if !e.requestedAt.Before(oldest) {
			return e.mark, true
		}
	}
	return tracker.Mark{}, false
}

// last returns the newest position.
func (s *samples) last() (sample, bool) {
	if len(s.ring) == 0 {
		return sample{}, false
	}
	return s.ring[len(s.ring)-1], true
}

// firstContaining returns the earliest known time at which the leader's log contained a
// mark, or now if none is known.
func (s *samples) firstContaining(mark tracker.Mark, now time.Time) time.Time {
	for _, e := range s.ring {
		if !e.mark.Less(mark) {
			return e.requestedAt
		}
	}
	return now
}

// completeTo returns the latest known time up to which a log that ends at a mark is
// complete; zero when that is before all samples.
func (s *samples) completeTo(mark tracker.Mark) time.Time {
	var at time.Time
	for _, e := range s.ring {
		if mark.Less(e.mark) {
			return at
		}
		at = e.requestedAt
	}
	return at
}
