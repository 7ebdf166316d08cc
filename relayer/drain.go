package relayer

import "time"

// Drain takes no new sessions, ends each one between its requests with BD100,
// and waits until all have ended, the deadline has passed or Stop is called. Requests in flight
// and open transactions go on. It returns the number of sessions left.
func (r *Relay) Drain(deadline time.Time) (left int) {
	r.once.Do(r.prepare)
	list, empty := r.sessions.dismiss()
	for _, s := range list {
		s.leave.Store(true)
		s.wake()
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
	case <-r.ctx.Done():
	}
	return r.sessions.count()
}

// AnswerRest ends the sessions that are left: those that wait are refused, and of statements
// that an upstream runs callers are told what may have become of them. It returns when all
// sessions have ended, at the deadline at the latest.
func (r *Relay) AnswerRest(deadline time.Time) {
	r.Stop()
	list, empty := r.sessions.dismiss()
	for _, s := range list {
		s.leave.Store(true)
		s.loseUpstream()
		s.wake()
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-empty:
	case <-timer.C:
	}
}

// loseUpstream closes the upstream connection of a session, so that its statement ends as if the
// upstream had closed it.
func (s *Session) loseUpstream() {
	s.cancelling.Lock()
	defer s.cancelling.Unlock()
	if up := s.target.Load(); up != nil {
		up.spoiled.Store(true)
		up.Close()
	}
}

// Stop ends what sessions wait for. Connections are closed by their listener.
func (r *Relay) Stop() {
	r.once.Do(r.prepare)
	r.cancel()
}

// Sessions returns the number of sessions.
func (r *Relay) Sessions() int { return r.sessions.count() }
