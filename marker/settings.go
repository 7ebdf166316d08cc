package marker

import "time"

// Settings are what a [Marker] is told once. A zero field takes its default.
type Settings struct {
	// Self is the name of this run of the process, as it is in the views.
	Self string
	// Seed makes this run's tokens differ from those of an earlier one.
	Seed uint64
	// CheckOnly does without homes: named sessions are checked for each read, and
	// nothing holds a write back. All proxies of a fleet must agree on it.
	CheckOnly bool
	// Sessions bounds the sessions known as their home. Default 65536.
	Sessions int
	// Lease is how long a promise lasts. It bounds how long the acknowledgement
	// of a write is held back when a home falls silent. Default 1 s.
	Lease time.Duration
	// Answer is how long a home is waited for. Default 10 ms.
	Answer time.Duration
	// Check is how long a check is waited for. Default 50 ms.
	Check time.Duration
	// Pace is the least time between the starts of two checks of one group: it
	// bounds what checks cost the upstreams. Default 5 ms.
	Pace time.Duration
	// Attempts is how many checks a read may need before it fails. Default 3.
	Attempts int
}

// Defaults of [Settings].
const (
	defaultLease    = time.Second
	defaultAnswer   = 10 * time.Millisecond
	defaultCheck    = 50 * time.Millisecond
	defaultPace     = 5 * time.Millisecond
	defaultAttempts = 3
)

// pingsPerLease is how often a promise is asked for within a lease: two in a row
// may be lost.
const pingsPerLease = 4

// drift is the divisor of a lease by which the side that has promised counts
// longer, and the side that relies on its own standing counts shorter. It covers
// clocks that run at rates 12 % apart.
const drift = 8

func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (s *Settings) lease() time.Duration  { return or(s.Lease, defaultLease) }
func (s *Settings) answer() time.Duration { return or(s.Answer, defaultAnswer) }
func (s *Settings) check() time.Duration  { return or(s.Check, defaultCheck) }
func (s *Settings) pace() time.Duration   { return or(s.Pace, defaultPace) }

// grace is how long a promise binds the one who gave it.
func (s *Settings) grace() time.Duration { return s.lease() + s.lease()/drift }

// standing is how long another's word that the view is in force may be relied on.
func (s *Settings) standing() time.Duration { return s.lease() - s.lease()/drift }

func (s *Settings) attempts() int {
	if s.Attempts > 0 {
		return s.Attempts
	}
	return defaultAttempts
}
