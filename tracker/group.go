package tracker

import (
	"slices"
	"time"
)

// defaultHistory is how many spans of the primary's log are kept when
// [Group.History] is zero. At a sample each 50 ms and a log that always grows
// it covers a lag of 6 s; a replica further behind counts as too old.
const defaultHistory = 128

// smoothing is the weight, as a divisor, of a new value in a moving average.
const smoothing = 4

// Sample is an upstream's answer about itself, with the time at which it was
// asked and that at which the answer was there, both by this process's clock
// with its monotonic reading. Times of other processes never come in here.
type Sample struct {
	Upstream int
	State    State
	Sent     time.Time
	Received time.Time
}

// Group follows the upstreams of one database group. It belongs to the control
// goroutine; traffic reads what [Group.Snapshot] returned last.
type Group struct {
	// Local says of each upstream whether it is in this process's availability
	// zone. Its length is the number of upstreams; it may not change in use.
	Local []bool
	// History bounds the number of spans kept of the primary's log. Zero means
	// 128.
	History int

	upstreams []upstream
	primary   int // index + 1; 0 while unknown
	term      Term
	sure      time.Time // when the primary of term was surely the only one
	history   history
	version   uint64
}

// upstream is what is known of one upstream.
type upstream struct {
	state  State
	sent   time.Time // when the latest sample was asked for
	rtt    time.Duration
	delay  time.Duration // how long after the primary it passes a mark
	spread time.Duration // mean deviation of delay
	paced  bool          // delay is known
}

// Observe takes in a sample. Samples may come in any order; one asked for before
// the latest of the same upstream changes nothing.
func (g *Group) Observe(s Sample) {
	if len(g.upstreams) < len(g.Local) {
		g.upstreams = make([]upstream, len(g.Local))
	}
	if s.Upstream < 0 || s.Upstream >= len(g.upstreams) || s.Received.Before(s.Sent) {
		return
	}
	u := &g.upstreams[s.Upstream]
	if s.Sent.Before(u.sent) {
		return
	}
	u.state = s.State
	u.sent = s.Sent
	u.rtt = smooth(u.rtt, s.Received.Sub(s.Sent))
	g.elect()
	switch {
	case g.primary == s.Upstream+1:
		g.history.add(s.State.Mark, s.Sent, g.limit())
	case s.State.Role == Replica:
		g.pace(u)
	}
	g.confirm()
}

// Lost forgets what the upstream last said about its role, after its connection
// broke: it is no target until it answers again.
func (g *Group) Lost(i int) {
	if i < 0 || i >= len(g.upstreams) {
		return
	}
	g.upstreams[i].state.Role = Unknown
	g.elect()
}

func (g *Group) limit() int {
	if g.History > 0 {
		return g.History
	}
	return defaultHistory
}

// elect finds the primary: the upstream that says it is one, at the highest
// term. A new primary starts a new history: the old one may have held entries
// that the new one lacks, so its marks say nothing about the new log's times.
func (g *Group) elect() {
	best := 0
	for i := range g.upstreams {
		u := &g.upstreams[i]
		if u.state.Role != Primary || u.state.Term.Less(g.term) {
			continue
		}
		if best == 0 || g.upstreams[best-1].state.Term.Less(u.state.Term) {
			best = i + 1
		}
	}
	g.primary = best
	if best == 0 {
		return
	}
	if t := g.upstreams[best-1].state.Term; g.term.Less(t) {
		g.term = t
		g.sure = time.Time{}
		g.history = history{}
	}
}

// pace measures how far behind the primary a replica is in time.
func (g *Group) pace(u *upstream) {
	spans := g.history.spans
	if len(spans) == 0 {
		return
	}
	newest := spans[len(spans)-1].mark
	at, ok := passed(spans, u.state.Mark)
	if newest.Less(u.state.Mark) {
		at, ok = u.sent, true
	}
	if !ok {
		return
	}
	lag := max(u.sent.Add(u.rtt/2).Sub(at), 0)
	if u.state.Mark == newest && u.paced && lag >= u.delay {
		// The log stands still: how long it has done so says nothing of the lag.
		return
	}
	if !u.paced {
		u.delay, u.spread, u.paced = lag, lag/2, true
		return
	}
	u.spread = smooth(u.spread, (lag - u.delay).Abs())
	u.delay = smooth(u.delay, lag)
}

// smooth moves an average towards a value; the first value is taken whole.
func smooth(average, value time.Duration) time.Duration {
	if average == 0 {
		return value
	}
	return average + (value-average)/smoothing
}

// confirm moves sure on: an instant at which the group's primary was the only
// one, because a majority of the upstreams, it among them, was asked at or after
// that instant and had accepted no later term. What was sure stays so when the
// primary is lost.
//
// An isolated primary goes on answering as one. Without the majority its
// position would pass for the newest of the group, and a replica that follows
// it for fresh, while another primary takes writes. A promotion fences a
// majority first, so a majority that knows no later term excludes that.
func (g *Group) confirm() {
	if g.primary == 0 {
		return
	}
	at := make([]time.Time, 0, len(g.upstreams))
	for i := range g.upstreams {
		u := &g.upstreams[i]
		if !u.sent.IsZero() && !g.term.Less(u.state.Term) {
			at = append(at, u.sent)
		}
	}
	need := len(g.upstreams)/2 + 1
	if len(at) < need {
		return
	}
	slices.SortFunc(at, func(a, b time.Time) int { return b.Compare(a) })
	instant := at[need-1]
	if lead := g.upstreams[g.primary-1].sent; lead.Before(instant) {
		instant = lead
	}
	if g.sure.Before(instant) {
		g.sure = instant
	}
}
