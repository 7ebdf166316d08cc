package tracker

import "time"

// recent is how many of the latest spans a snapshot carries to foretell when a
// replica passes a mark.
const recent = 32

// None is the index that stands for no upstream.
const None = -1

// View is what traffic knows of one upstream.
type View struct {
	State
	// Local says that it is in this process's availability zone.
	Local bool
	// Fresh is an instant before which everything committed is in its log. Zero
	// means that its lag is unknown.
	Fresh time.Time
	// RTT is the time a question to it takes.
	RTT time.Duration
	// Delay is about how long after the primary it passes a mark, and Spread the
	// mean deviation from that. Both are zero while unknown.
	Delay  time.Duration
	Spread time.Duration
}

// Snapshot is what traffic knows of a group. It never changes once published.
type Snapshot struct {
	// Version rises with each snapshot of the group.
	Version uint64
	// Primary is the index of the primary or None.
	Primary int
	// Term is the highest term in which a primary was seen.
	Term Term
	// Confirmed is an instant at which Primary was surely the only primary.
	Confirmed time.Time
	Upstreams []View

	spans []span
}

// Snapshot returns the present view, for publication.
func (g *Group) Snapshot() *Snapshot {
	g.version++
	s := &Snapshot{
		Version:   g.version,
		Primary:   g.primary - 1,
		Term:      g.term,
		Confirmed: g.sure,
		Upstreams: make([]View, len(g.Local)),
	}
	for i := range g.upstreams {
		s.Upstreams[i] = g.view(i)
	}
	for i, local := range g.Local {
		s.Upstreams[i].Local = local
	}
	spans := g.history.spans
	s.spans = append(s.spans, spans[max(0, len(spans)-recent):]...)
	return s
}

func (g *Group) view(i int) View {
	u := &g.upstreams[i]
	v := View{State: u.state, RTT: u.rtt}
	if u.paced {
		v.Delay, v.Spread = u.delay, u.spread
	}
	if g.primary == i+1 {
		v.Fresh = g.sure
	} else if u.state.Role != Unknown {
		v.Fresh = fresh(g.history.spans, u.state.Mark, g.sure)
	}
	return v
}

// Age returns how old the data of an upstream may be at most, and whether that
// is known. An unknown age is to be taken for too old. A time before the sample,
// as after a step of a clock without monotonic reading, makes the age unknown.
func (s *Snapshot) Age(i int, now time.Time) (time.Duration, bool) {
	v := &s.Upstreams[i]
	if v.Fresh.IsZero() || now.Before(v.Fresh) {
		return 0, false
	}
	return now.Sub(v.Fresh), true
}

// Holds reports whether an upstream surely holds every acknowledged write up to
// m. Any log that ends at or past m does, whatever the role of its upstream: it
// is the beginning of the log of the primary that wrote its last entry, and that
// one's log holds all that was acknowledged before. The primary holds m also if
// it wrote it since the last sample, that is if m is of its term.
func (s *Snapshot) Holds(i int, m Mark) bool {
	v := &s.Upstreams[i]
	if i == s.Primary {
		return !v.Term.Less(m.Term)
	}
	return v.Role != Unknown && !v.Mark.Less(m)
}

// Passes returns the time at which a replica, at its recent pace, passes m, and
// whether that can be foretold. It is a guess for waiting by, and proves
// nothing. Twice the mean deviation is added, so that a wait seldom ends early.
func (s *Snapshot) Passes(i int, m Mark, now time.Time) (time.Time, bool) {
	v := &s.Upstreams[i]
	if v.Role != Replica || v.Term != s.Term || s.Term.Less(m.Term) || v.Delay+v.Spread == 0 {
		return time.Time{}, false
	}
	at, ok := passed(s.spans, m)
	if !ok {
		if n := len(s.spans); n == 0 || !s.spans[n-1].mark.Less(m) {
			return time.Time{}, false
		}
		at = now
	}
	at = at.Add(v.Delay + 2*v.Spread)
	if at.Before(now) {
		// It should be past m already: the next sample will tell.
		at = now.Add(v.RTT + v.Spread)
	}
	return at, true
}
