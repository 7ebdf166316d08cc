package promoter

import "time"

// Settings are the times that steer a [Group]. Zero fields take the defaults.
type Settings struct {
	// Holders is the greatest number of recorded holders, leader included.
	Holders int
	// Probe is the time between state probes of the primary by a holder.
	Probe time.Duration
	// Repair is the time between state probes of the replicas by the first
	// live holder.
	Repair time.Duration
	// Floor and Ceiling bound the adaptive silence timeout.
	Floor   time.Duration
	Ceiling time.Duration
	// Deputy is the further delay of each next live holder. It need only cover
	// how far apart the holders hear each other's reports: the first one's claim
	// makes the others wait.
	Deputy time.Duration
	// Retry is the time after which an unanswered step is sent again.
	Retry time.Duration
	// Settle is how long a majority fenced with the suspect in it waits for a
	// majority without it.
	Settle time.Duration
	// Promote is how long a promotion may stay unanswered before a new term is
	// begun.
	Promote time.Duration
	// Fence is how long an attempt tries to fence a quorum before it is given up.
	Fence time.Duration
	// Vacancy is how long a group may be without a primary, through a promotion
	// that someone else began, before the first holder takes over.
	Vacancy time.Duration
	// Grant is how long a recorded holder must be gone before the record is
	// changed.
	Grant time.Duration
	// Reload is the time between readings of the record by the first live holder
	// of its own view.
	Reload time.Duration
	// Backoff and BackoffMax bound the time between calls to a platform that
	// doesn't answer.
	Backoff    time.Duration
	BackoffMax time.Duration
	// NoDeputies and Single are for comparison runs only: only the leader acts;
	// one zone's suspicion is enough.
	NoDeputies bool
	Single     bool
	// Fixed replaces the adaptive timeout, for comparison runs.
	Fixed time.Duration
}

// Defaults returns the settings for a group within one region: 1 ms between
// availability zones.
func Defaults() Settings {
	return Settings{
		Holders:    3,
		Probe:      100 * time.Millisecond,
		Repair:     500 * time.Millisecond,
		Floor:      250 * time.Millisecond,
		Ceiling:    time.Second,
		Deputy:     150 * time.Millisecond,
		Retry:      80 * time.Millisecond,
		Settle:     40 * time.Millisecond,
		Promote:    250 * time.Millisecond,
		Fence:      time.Second,
		Reload:     time.Minute,
		Vacancy:    300 * time.Millisecond,
		Grant:      time.Second,
		Backoff:    100 * time.Millisecond,
		BackoffMax: 5 * time.Second,
	}
}

// or returns s with its zero fields taken from d.
func (s Settings) or(d Settings) Settings {
	if s.Holders == 0 {
		s.Holders = d.Holders
	}
	for _, f := range []struct{ own, def *time.Duration }{
		{&s.Probe, &d.Probe},
		{&s.Repair, &d.Repair},
		{&s.Floor, &d.Floor},
		{&s.Ceiling, &d.Ceiling},
		{&s.Deputy, &d.Deputy},
		{&s.Retry, &d.Retry},
		{&s.Settle, &d.Settle},
		{&s.Promote, &d.Promote},
		{&s.Fence, &d.Fence},
		{&s.Reload, &d.Reload},
		{&s.Vacancy, &d.Vacancy},
		{&s.Grant, &d.Grant},
		{&s.Backoff, &d.Backoff},
		{&s.BackoffMax, &d.BackoffMax},
	} {
		if *f.own == 0 {
			*f.own = *f.def
		}
	}
	return s
}
