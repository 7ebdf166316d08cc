package router

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Mask is a set of upstreams of one group, by index. Groups have at most 64.
type Mask uint64

// With returns the set with upstream i.
func (m Mask) With(i int) Mask { return m | 1<<uint(i) }

// Has reports whether upstream i is in the set.
func (m Mask) Has(i int) bool { return m&(1<<uint(i)) != 0 }

// Request is what a decision needs to know of a statement.
type Request struct {
	// Write says that the statement is not proven to be a read.
	Write bool
	// Primary says that the caller asked for the primary.
	Primary bool
	// Mark is what the session must be able to see, and Known says that no
	// acknowledged write of the session is past it.
	Mark  tracker.Mark
	Known bool
	// Age is how old the data may be at most. Zero means that no age is stated;
	// a replica of unknown age is not used even then.
	Age time.Duration
	// Deadline is when the caller must have the answer. Zero means never.
	Deadline time.Time
	// Patience is until when the read may wait for a replica, to pass the mark or
	// to have a slot free, though the primary could answer sooner. Zero means that
	// it waits for the mark only where that is expected to be faster, and for a
	// slot as long as the deadline allows.
	Patience time.Time
	// Barred are upstreams not to be used, as those tried before.
	Barred Mask
	// Random decides between equals. It comes from a seeded source.
	Random uint64
}

// late reports whether an answer that takes d from now comes after the deadline.
func (r *Request) late(now time.Time, d time.Duration) bool {
	return !r.Deadline.IsZero() && now.Add(d).After(r.Deadline)
}

// Decide says what to do with a statement, given what is known of its group.
func Decide(r *Request, snap *tracker.Snapshot, load *Load, now time.Time) Decision {
	switch {
	case r.late(now, 0):
		return Decision{Action: Refuse, Reason: RefuseLate, Target: tracker.None}
	case r.Write:
		return toPrimary(r, snap, load, PrimaryWrite)
	case !r.Known:
		return Decision{Action: Ask, Reason: AskMark, Target: tracker.None}
	case r.Primary:
		return toPrimary(r, snap, load, PrimaryAsked)
	}
	return decideRead(r, snap, load, now)
}

// toPrimary sends the statement to the primary, or lets it wait for one. A
// primary of a lower term than the mark's was replaced: it is none.
func toPrimary(r *Request, snap *tracker.Snapshot, load *Load, why Reason) Decision {
	p := snap.Primary
	if p == tracker.None || r.Barred.Has(p) || load.usage[p].barred.Load() || !snap.Holds(p, r.Mark) {
		return Decision{Action: Wait, Reason: WaitPrimary, Target: tracker.None, Until: r.Deadline}
	}
	return Decision{Action: Go, Reason: why, Target: p}
}

// decideRead decides for a read whose mark is known.
func decideRead(r *Request, snap *tracker.Snapshot, load *Load, now time.Time) Decision {
	s := survey{r: r, snap: snap, load: load, now: now}
	s.look()
	if s.count > 0 {
		d := s.pick()
		if !s.impatient(d.Target) {
			return d
		}
		s.busy = s.count
		return s.primary()
	}
	if d, ok := s.wait(); ok {
		return d
	}
	return s.primary()
}

// primary sends a read to the primary for want of a replica.
func (s *survey) primary() Decision {
	d := toPrimary(s.r, s.snap, s.load, s.why())
	if d.Action != Go {
		return d
	}
	wait, service := s.load.expect(d.Target, s.now)
	if s.r.late(s.now, wait+service+s.snap.Upstreams[d.Target].RTT) {
		return Decision{Action: Refuse, Reason: RefuseLate, Target: tracker.None}
	}
	if s.r.Age > 0 && !s.young(d.Target, wait) {
		// It may have been replaced without our knowing, longer ago than the
		// caller allows.
		return Decision{Action: Ask, Reason: AskPrimary, Target: tracker.None}
	}
	return d
}

// wait lets the read wait for the first replica to pass its mark, if it may be
// in time there, and either the caller has the patience or the primary would
// take longer.
func (s *survey) wait() (Decision, bool) {
	if s.next == tracker.None {
		return Decision{}, false
	}
	wait, service := s.load.expect(s.next, s.now)
	after := s.passes.Add(wait + service + s.snap.Upstreams[s.next].RTT)
	if !s.r.Deadline.IsZero() && after.After(s.r.Deadline) {
		return Decision{}, false
	}
	if s.passes.After(s.r.Patience) && !after.Before(s.atPrimary()) {
		return Decision{}, false
	}
	return Decision{Action: Wait, Reason: WaitReplica, Target: s.next, Until: s.passes}, true
}

// impatient reports whether the read would wait for a slot at replica i past its
// patience, and the primary would answer sooner.
func (s *survey) impatient(i int) bool {
	if s.r.Patience.IsZero() {
		return false
	}
	wait, service := s.load.expect(i, s.now)
	start := s.now.Add(wait)
	if !start.After(s.r.Patience) {
		return false
	}
	return s.atPrimary().Before(start.Add(service + s.snap.Upstreams[i].RTT))
}

// atPrimary returns when the primary would have answered. Without a primary that
// is never.
func (s *survey) atPrimary() time.Time {
	d := toPrimary(s.r, s.snap, s.load, PrimaryMark)
	if d.Action != Go {
		return s.now.Add(time.Hour)
	}
	wait, service := s.load.expect(d.Target, s.now)
	return s.now.Add(wait + service + s.snap.Upstreams[d.Target].RTT)
}
