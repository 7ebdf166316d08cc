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

// Stop ends what sessions wait for. Connections are closed by their listener.
func (r *Relay) Stop() {
	r.once.Do(r.prepare)
	r.cancel()
}

// Sessions returns the number of sessions.
func (r *Relay) Sessions() int { return r.sessions.count() }
