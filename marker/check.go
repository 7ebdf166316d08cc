package marker

import (
	"time"

	"basildale.example/basildale/tracker"
)

// checker checks the position of one group's primary for the reads that wait.
// A read that comes while a check is under way waits for the next: the answer
// may be from before a write that it has to see.
type checker struct {
	group   string
	waiting []*read
	inside  []*read // the reads of the check under way
	batch   uint64  // 0 if none is
	started time.Time
	states  map[int]tracker.State
}

// due returns when something is to be done.
func (c *checker) due(s *Settings) time.Time {
	switch {
	case c.batch != 0:
		return c.started.Add(s.check())
	case len(c.waiting) > 0:
		return c.started.Add(s.pace())
	default:
		return time.Time{}
	}
}

// check lets a read wait for a check.
func (m *Marker) check(r *read) {
	c := m.checker(r.Key.Group)
	if c == nil {
		c = &checker{group: r.Key.Group, states: make(map[int]tracker.State)}
		m.checks = append(m.checks, c)
	}
	c.waiting = append(c.waiting, r)
}

// checker returns the group's, or nil.
func (m *Marker) checker(group string) *checker {
	for _, c := range m.checks {
		if c.group == group {
			return c
		}
	}
	return nil
}

// runCheck begins a check if reads wait and the pace allows, and ends one that
// takes too long.
func (m *Marker) runCheck(c *checker) {
	if c.batch != 0 && !m.now.Before(c.started.Add(m.Settings.check())) {
		m.failCheck(c)
	}
	if c.batch != 0 || len(c.waiting) == 0 {
		return
	}
	if !c.started.IsZero() && m.now.Before(c.started.Add(m.Settings.pace())) {
		return
	}
	c.batch = m.nextSerial()
	c.started = m.now
	c.inside, c.waiting = c.waiting, c.inside[:0]
	clear(c.states)
	m.out = append(m.out, Check{Group: c.group, Batch: c.batch})
}

// failCheck ends a check without a result. Reads that can still be in time wait
// for the next one; the others get their answer at once.
func (m *Marker) failCheck(c *checker) {
	c.batch = 0
	for _, r := range c.inside {
		r.tries++
		late := !r.Deadline.IsZero() && m.now.After(r.Deadline)
		if late || r.tries >= m.Settings.attempts() {
			m.out = append(m.out, Fail{ID: r.ID, Retry: m.now.Add(m.Settings.lease())})
			continue
		}
		c.waiting = append(c.waiting, r)
	}
	c.inside = c.inside[:0]
}

// stated takes an upstream's answer in, and ends the check if it suffices.
func (m *Marker) stated(e Stated) {
	c := m.checker(e.Group)
	if c == nil || c.batch == 0 || c.batch != e.Batch {
		return
	}
	c.states[e.Upstream] = e.State
	mark, ok := settled(c.states, e.Size)
	if !ok {
		return
	}
	c.batch = 0
	for _, r := range c.inside {
		m.checked(r, mark)
	}
	c.inside = c.inside[:0]
}

// settled returns the primary's position, if a majority of the group, the
// primary among them, has accepted no later term than its.
//
// A promotion fences a majority first. So if these were all asked after the
// reads came in, no write of a later term was acknowledged before, and every
// write acknowledged before is in the primary's log.
func settled(states map[int]tracker.State, size int) (tracker.Mark, bool) {
	var lead tracker.State
	for _, s := range states {
		if s.Role == tracker.Primary && !s.Term.Less(lead.Term) {
			lead = s
		}
	}
	if lead.Role != tracker.Primary {
		return tracker.Mark{}, false
	}
	agree := 0
	for _, s := range states {
		if !lead.Term.Less(s.Term) {
			agree++
		}
	}
	return lead.Mark, agree > size/2
}
