package carrier

import (
	"time"

	"basildale.example/basildale/tracker"
)

const (
	// lagRetryDelay is how long reads that a replica probably cannot serve are sent
	// elsewhere before one of them tries the replica again. When each read tried each
	// replica anew, the upstreams refused a fifth of all statements for lag.
	lagRetryDelay = 250 * time.Millisecond
)

// lag is what is known of a replica's replication lag. Its zero value is a replica that
// does not lag.
type lag struct {
	// completeTo is the time up to which the replica's log was complete when it was last
	// found to lack something, at observedAt.
	completeTo, observedAt time.Time
	// retryAt is when a read that the replica probably cannot serve may try it again.
	retryAt time.Time
}

// recordRefused records that a replica whose log was complete up to the given time lacked
// what a read needed.
func (l *lag) recordRefused(now, completeTo time.Time) {
	l.completeTo, l.observedAt = completeTo, now
	l.retryAt = now.Add(lagRetryDelay)
}

// recordServed records that a replica had what a read needed, with its log complete up to
// upTo. A replica whose lag is less than negligible is taken not to lag.
func (l *lag) recordServed(now, upTo time.Time, negligible time.Duration) {
	switch {
	case l.observedAt.IsZero():
	case now.Sub(upTo) < negligible:
		*l = lag{}
	case now.Sub(upTo) < l.observedAt.Sub(l.completeTo):
		l.completeTo, l.observedAt = upTo, now
	}
}

// lacks reports whether the replica probably lacks a log that is complete up to a time. A
// replica that lags is assumed to keep the same lag.
func (l *lag) lacks(now, upTo time.Time) bool {
	if l.observedAt.IsZero() || !now.Before(l.retryAt) {
		return false
	}
	return upTo.After(now.Add(-l.observedAt.Sub(l.completeTo)))
}

// recordRetry records that a read is sent to the replica, so that the next ones wait for
// its result.
func (l *lag) recordRetry(now time.Time) {
	if !l.observedAt.IsZero() && !now.Before(l.retryAt) {
		l.retryAt = now.Add(lagRetryDelay)
	}
}

// recent returns the replica's lag when it was last found to lack something; zero when that
// was long ago.
func (l *lag) recent(now time.Time) time.Duration {
	if l.observedAt.IsZero() || now.Sub(l.observedAt) > recentWindow {
		return 0
	}
	return l.observedAt.Sub(l.completeTo)
}

// recordReadServed records that an upstream's log had what a read needed.
func (g *Group) recordReadServed(u *upstream, since tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	u.lag.recordServed(now, g.samples.firstContaining(since, now), g.ages.negligibleLag())
}
