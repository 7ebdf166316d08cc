package upstream

import (
	"time"

	"basildale.example/basildale/tracker"
)

// idle is how long a replica without anything due waits when nothing tells it of
// a change.
const idle = time.Second

// replicate pulls the primary's log until the upstream is closed.
func (u *Upstream) replicate() {
	defer u.running.Done()
	for {
		wake, from, own := u.pull()
		timer := time.NewTimer(wake)
		select {
		case <-from:
		case <-own:
		case <-timer.C:
		case <-u.done:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// pull drops what the primary doesn't have and applies the entries that are due.
// It returns how long until the next one is, and the channels closed when the
// primary or this upstream changes.
//
// Two pulls at once could take an older copy of the primary's log after a newer
// one and drop entries for it; the mutex keeps them in order.
func (u *Upstream) pull() (wake time.Duration, from, own <-chan struct{}) {
	u.pulling.Lock()
	defer u.pulling.Unlock()
	st := u.store.status()
	own = st.changed
	if st.state.Role != tracker.Replica {
		return idle, nil, own
	}
	src := u.peer(st.primary)
	if src == nil {
		return idle, nil, own
	}
	src.store.mu.Lock()
	from = src.store.changed
	role, term, log := src.store.role, src.store.term, src.store.log
	src.store.mu.Unlock()
	if role != tracker.Primary || term != st.state.Term || !u.linked(src) {
		return idle, from, own
	}
	return u.take(term, log), from, own
}

// take brings the own log in line with the primary's log of that term.
func (u *Upstream) take(term tracker.Term, log []entry) time.Duration {
	lag := u.lag()
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	s := u.store
	if s.role != tracker.Replica || s.term != term {
		return 0
	}
	changed := false
	if n := common(s.log, log); n < len(s.log) {
		s.truncate(n)
		changed = true
	}
	wake := idle
	for _, e := range log[len(s.log):] {
		if due := time.Until(e.at.Add(lag)); due > 0 {
			wake = min(wake, due)
			break
		}
		s.apply(e)
		changed = true
	}
	if changed {
		s.signal()
	}
	return wake
}
