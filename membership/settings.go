package membership

import (
	"cmp"
	"time"
)

// Settings bound what a View does. Where a field is zero its default holds. All
// members of a fleet should use the same.
type Settings struct {
	Rings      int           // members that each process watches
	Period     time.Duration // each watched member is pinged once in it
	Timeout    time.Duration // for the answer to a ping
	Relays     int           // others that are asked when a ping fails
	Suspicion  time.Duration // from suspected to dead
	Updates    int           // statements in one message, beside the sender's own
	Repeats    int           // times that one process passes a statement on
	Settle     time.Duration // digests may differ this long before views are compared
	Pause      time.Duration // a Tick later than this means that the process was paused
	Isolation  time.Duration // a process that hears nobody accuses nobody for so long
	Forget     time.Duration // the dead are remembered for so long
	Contacts   int           // processes that try one lost address, on average
	BucketSize int           // members in one bucket of a comparison, on average
}

// The defaults of Settings. Period, Timeout and Suspicion suit up to 200 ms
// between two regions.
const (
	DefaultRings      = 4
	DefaultPeriod     = 2 * time.Second
	DefaultTimeout    = time.Second
	DefaultRelays     = 3
	DefaultSuspicion  = 3 * time.Second
	DefaultUpdates    = 8
	DefaultRepeats    = 12
	DefaultSettle     = 10 * time.Second
	DefaultPause      = time.Second
	DefaultIsolation  = time.Minute
	DefaultForget     = time.Hour
	DefaultContacts   = 8
	DefaultBucketSize = 16
)

// maxRings bounds Settings.Rings, so that an entry needs no slice.
const maxRings = 4

// maxScore bounds by how much a process that seems slow stretches its timeouts.
const maxScore = 8

// withDefaults fills in what is zero.
func (s Settings) withDefaults() Settings {
	s.Rings = min(cmp.Or(s.Rings, DefaultRings), maxRings)
	s.Period = cmp.Or(s.Period, DefaultPeriod)
	s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
	s.Relays = cmp.Or(s.Relays, DefaultRelays)
	s.Suspicion = cmp.Or(s.Suspicion, DefaultSuspicion)
	s.Updates = cmp.Or(s.Updates, DefaultUpdates)
	s.Repeats = cmp.Or(s.Repeats, DefaultRepeats)
	s.Settle = cmp.Or(s.Settle, DefaultSettle)
	s.Pause = cmp.Or(s.Pause, DefaultPause)
	s.Isolation = cmp.Or(s.Isolation, DefaultIsolation)
	s.Forget = cmp.Or(s.Forget, DefaultForget)
	s.Contacts = cmp.Or(s.Contacts, DefaultContacts)
	s.BucketSize = cmp.Or(s.BucketSize, DefaultBucketSize)
	return s
}
