package carrier

import "time"

const (
	// lagRetry is how long reads that need what a replica probably lacks go elsewhere
	// before one of them tries it again. A fifth of all arrivals at the upstreams were
	// refused for lag when each read tried each replica anew.
	lagRetry = 250 * time.Millisecond
)

// lag is what is known of how far a replica is behind its leader. Its zero value
// is a replica that keeps up.
type lag struct {
	// had is the moment up to which the replica's log was complete when it was last
	// seen to lack something, at seen.
	had, seen time.Time
	// retry is when a read that it probably can't serve may try it again.
	retry time.Time
}

// refused takes in that a replica, whose log was complete up to a moment, lacked
// what a read needed.
func (l *lag) refused(now, had time.Time) {
	l.had, l.seen = had, now
	l.retry = now.Add(lagRetry)
}

// served takes in that a replica had what a read needed, complete up to a moment. One
// that is behind by a little at most keeps up.
func (l *lag) served(now, upTo time.Time, little time.Duration) {
	switch {
	case l.seen.IsZero():
	case now.Sub(upTo) < little:
		*l = lag{}
	case now.Sub(upTo) < l.seen.Sub(l.had):
		l.had, l.seen = upTo, now
	}
}

// lacks reports whether the replica probably lacks a log that is complete up to a
// moment: a replica that applies late goes on to be as late.
func (l *lag) lacks(now, upTo time.Time) bool {
	if l.seen.IsZero() || !now.Before(l.retry) {
		return false
	}
	return upTo.After(now.Add(-l.seen.Sub(l.had)))
}

// trying notes that a read goes to the replica, so that the next ones wait for what
// becomes of it.
func (l *lag) trying(now time.Time) {
	if !l.seen.IsZero() && !now.Before(l.retry) {
		l.retry = now.Add(lagRetry)
	}
}

// by returns how late the replica was when it was last seen to lack something; zero
// when that is long ago.
func (l *lag) by(now time.Time) time.Duration {
	if l.seen.IsZero() || now.Sub(l.seen) > lately {
		return 0
	}
	return l.seen.Sub(l.had)
}
