package router

import (
	"math/bits"
	"time"

	"basildale.example/basildale/tracker"
)

// zoneBonus is the divisor of an expected time by which a replica in the own
// availability zone counts as faster than it is: another has to be faster by a
// quarter to be taken in its place.
const zoneBonus = 4

// survey is a look over the replicas for one read.
type survey struct {
	r    *Request
	snap *tracker.Snapshot
	load *Load
	now  time.Time

	fit   Mask // replicas that may serve the read
	local Mask // those of them in the own zone
	count int

	// What keeps the others from it.
	usable  int // not barred, and answering
	behind  int // not at the mark
	unknown int // of unknown age
	old     int // too old
	busy    int // too busy for the deadline

	next   int // the first to pass the mark
	passes time.Time
}

// look goes over the replicas.
func (s *survey) look() {
	s.next = tracker.None
	for i := range s.snap.Upstreams {
		v := &s.snap.Upstreams[i]
		barred := s.r.Barred.Has(i) || s.load.usage[i].barred.Load()
		if i == s.snap.Primary || barred || v.Role != tracker.Replica && v.Role != tracker.Fenced {
			continue
		}
		s.usable++
		if !s.snap.Holds(i, s.r.Mark) {
			s.behind++
			s.expect(i)
			continue
		}
		s.admit(i, v)
	}
}

// admit takes in a replica that is at the mark.
func (s *survey) admit(i int, v *tracker.View) {
	wait, service := s.load.expect(i, s.now)
	switch _, known := s.snap.Age(i, s.now); {
	case !known:
		s.unknown++
	case s.r.Age > 0 && !s.young(i, wait):
		s.old++
	case s.r.late(s.now, wait+service+v.RTT):
		s.busy++
	default:
		s.fit = s.fit.With(i)
		s.count++
		if v.Local {
			s.local = s.local.With(i)
		}
	}
}

// young reports whether the data of upstream i is surely within the stated age
// when a statement that waits for so long begins to run there.
func (s *survey) young(i int, wait time.Duration) bool {
	age, known := s.snap.Age(i, s.now.Add(wait))
	return known && age <= s.r.Age
}

// expect notes when a replica will be past the mark, if it is the first. One
// whose lag is above the stated age would be too old by then.
func (s *survey) expect(i int) {
	if s.r.Age > 0 && s.snap.Upstreams[i].Delay > s.r.Age {
		return
	}
	at, ok := s.snap.Passes(i, s.r.Mark, s.now)
	if !ok || s.next != tracker.None && !at.Before(s.passes) {
		return
	}
	s.next, s.passes = i, at
}

// pick chooses among the replicas that fit: the better of two taken at random.
func (s *survey) pick() Decision {
	a := nth(s.fit, int(s.r.Random%uint64(s.count)))
	if s.count == 1 {
		return s.take(a)
	}
	skip := 1 + int((s.r.Random>>32)%uint64(s.count-1))
	b := nth(s.fit, (int(s.r.Random%uint64(s.count))+skip)%s.count)
	if s.cost(b) < s.cost(a) {
		a = b
	}
	return s.take(a)
}

// cost is the expected time of an answer from replica i, less the bonus.
func (s *survey) cost(i int) time.Duration {
	wait, service := s.load.expect(i, s.now)
	c := wait + service + s.snap.Upstreams[i].RTT
	if s.local.Has(i) {
		c -= c / zoneBonus
	}
	return c
}

// take sends the read to replica i.
func (s *survey) take(i int) Decision {
	why := ReplicaElsewhere
	switch {
	case s.local.Has(i):
		why = ReplicaInZone
	case s.local != 0:
		why = ReplicaFaster
	}
	return Decision{Action: Go, Reason: why, Target: i}
}

// why says what keeps the read from the replicas, if anything does the least
// that would have to change.
func (s *survey) why() Reason {
	switch {
	case s.usable == 0:
		return PrimaryNoReplica
	case s.busy > 0:
		return PrimaryReplicasBusy
	case s.old > 0:
		return PrimaryAge
	case s.unknown > 0:
		return PrimaryAgeUnknown
	default:
		return PrimaryMark
	}
}

// nth returns the index of the nth set bit of m, counted from zero.
func nth(m Mask, n int) int {
	for ; n > 0; n-- {
		m &= m - 1
	}
	return bits.TrailingZeros64(uint64(m))
}
