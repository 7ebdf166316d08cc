package confirmer

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"basildale.example/basildale/tracker"
)

// Outcome is how a wait ended: Kind is Ack or Unknown.
type Outcome struct {
	Kind   Kind
	Reason Reason
}

// Shared lets many goroutines use one [Group]. Set the fields before the first
// call. It decides nothing: it locks, passes commands on and wakes who waits.
type Shared struct {
	// Now is the clock.
	Now func() time.Time
	// Order carries out a Poll or Sample. It is called without the lock held and
	// must not block; the answer comes back by Polled, PollFailed or Sampled.
	Order func(Command)
	// Wake asks for a call of Tick at the given time; a later call replaces it.
	Wake func(time.Time)

	mu    sync.Mutex
	group Group
	wake  time.Time
	term  atomic.Pointer[tracker.Term]
	// slots are the waiting goroutines' channels, free the unused ones.
	slots []chan Outcome
	free  []uint64
}

// Wait blocks until the write's outcome is known, at the latest at its deadline,
// which must be set. The term is compared once more after the confirmation.
func (s *Shared) Wait(term tracker.Term, mark tracker.Mark, deadline time.Time) Outcome {
	s.mu.Lock()
	id := s.take()
	ch := s.slots[id-1]
	s.run(s.group.Wrote(Wrote{ID: id, Term: term, Mark: mark, Deadline: deadline}, s.Now()))
	out := <-ch
	s.mu.Lock()
	s.free = append(s.free, id)
	s.mu.Unlock()
	if now := s.term.Load(); out.Kind == Ack && now != nil && term.Less(*now) {
		return Outcome{Kind: Unknown, Reason: Replaced}
	}
	return out
}

// Admit is [Group.Admit].
func (s *Shared) Admit(deadline time.Time) Verdict {
	s.mu.Lock()
	v := s.group.Admit(deadline, s.Now())
	s.run(nil)
	return v
}

// Change is [Group.Change].
func (s *Shared) Change(c Change) {
	s.mu.Lock()
	if now := s.term.Load(); now == nil || now.Less(c.Term) {
		s.term.Store(&c.Term)
	}
	s.run(s.group.Change(c, s.Now()))
}

// Polled is [Group.Polled].
func (s *Shared) Polled(p Polled) {
	s.mu.Lock()
	s.run(s.group.Polled(p, s.Now()))
}

// PollFailed is [Group.PollFailed].
func (s *Shared) PollFailed(upstream netip.AddrPort) {
	s.mu.Lock()
	s.run(s.group.PollFailed(upstream, s.Now()))
}

// Sampled gives the mark of a [Sample] that the primary answered in term.
func (s *Shared) Sampled(term tracker.Term, mark tracker.Mark) {
	s.mu.Lock()
	s.run(s.group.Wrote(Wrote{Term: term, Mark: mark}, s.Now()))
}

// Tick is [Group.Tick].
func (s *Shared) Tick() {
	s.mu.Lock()
	s.wake = time.Time{}
	s.run(s.group.Tick(s.Now()))
}

// take returns a free slot's id. The lock is held.
func (s *Shared) take() uint64 {
	if n := len(s.free); n > 0 {
		id := s.free[n-1]
		s.free = s.free[:n-1]
		return id
	}
	s.slots = append(s.slots, make(chan Outcome, 1))
	return uint64(len(s.slots))
}

// run carries out commands; it is entered with the lock held and releases it.
// Orders are copied out first, because the group's slice is reused.
func (s *Shared) run(cmds []Command) {
	var orders [8]Command
	kept := orders[:0]
	for _, c := range cmds {
		switch c.Kind {
		case Ack, Unknown:
			s.slots[c.ID-1] <- Outcome{Kind: c.Kind, Reason: c.Reason}
		case Poll, Sample:
			kept = append(kept, c)
		}
	}
	next := s.group.Next()
	rearm := !next.IsZero() && (s.wake.IsZero() || next.Before(s.wake))
	if rearm {
		s.wake = next
	}
	s.mu.Unlock()
	for _, c := range kept {
		s.Order(c)
	}
	if rearm {
		s.Wake(next)
	}
}
