package steerer

import (
	"time"

	"basildale.example/basildale/relayer"
	"basildale.example/basildale/router"
)

// A target's token carries when the unit was routed, in microseconds since the
// steerer's start, and in its lowest bit whether it is a read by itself: only
// the time of such tells how fast the upstream is.
const tokenBits = 1

// target returns the upstream of a decision and counts its use.
func (s *Steerer) target(r *relayer.Request, v *View, l *load, d router.Decision, now time.Time) relayer.Target {
	l.Start(d.Target)
	t := relayer.Target{
		Group:   r.Account.Group,
		Address: v.Addresses[d.Target],
		Token:   uint64(now.Sub(s.start).Microseconds()) << tokenBits,
	}
	if d.Target == v.Snapshot.Primary {
		t.Primary = true
		t.Term = v.Snapshot.Term
	}
	if r.Read() {
		t.Token |= 1
	}
	return t
}

// Release counts the use of a target as over. It has to be called once for each
// target that Route returned.
func (s *Steerer) Release(t relayer.Target) {
	s.mu.Lock()
	l := s.loads[t.Group]
	s.mu.Unlock()
	if l == nil {
		return
	}
	now := time.Now()
	for i, a := range l.addresses {
		if a != t.Address {
			continue
		}
		var service time.Duration
		if t.Token&1 != 0 {
			service = now.Sub(s.start) - time.Duration(t.Token>>tokenBits)*time.Microsecond
		}
		l.Done(i, service, now)
	}
}
