package carrier

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/tracker"
)

// Bounds of what this process has at one upstream at a time. What is sent beyond an
// upstream's slots waits there in the order of arrival, where nothing can be
// refused any more and deadlines don't count.
const (
	// leastWindow is how many statements this process may have at an upstream whose
	// slots it doesn't know, whatever the others have there.
	leastWindow = 2
	// filling is how many statements all processes together have at an upstream at
	// least, for each of its slots: half as many again keep the slots busy while
	// answers and the next statements are on their way. With two for each of many
	// processes most of them wait there; after a loss of power everywhere
	// the processes learn nothing else, and take waiting there for work.
	filling = 1.5
	// mostWindow bounds the window's growth: twice an upstream's 5 or 6 slots and
	// some, so that one process alone can keep it busy.
	mostWindow = 16
	// lostAfter is how many mean service times a statement may run before its answer
	// counts as lost and another one is sent. Work that takes longer is rare, and
	// with some answers lost the mean stays near what the others take, so that short
	// statements can still be in time.
	lostAfter = 8
	// longestQueue is how many statements may wait here for one upstream: more than
	// a few slots do in the time of most statements.
	longestQueue = 256
)

// newGate returns the queue before one upstream.
func newGate() *limiter.Gate {
	return &limiter.Gate{
		Queue: limiter.Queue{
			MaxLength: longestQueue, InitialServiceTime: ordinary,
			Window:        limiter.Window{Min: leastWindow, Max: mostWindow},
			LostThreshold: lostAfter,
		},
		Now: time.Now,
	}
}

// part is how many statements a process may have at an upstream whatever the others
// have there: as large a part of what fills its slots as it has of its connections.
func part(slots, share, connections int) int {
	if slots == 0 || connections <= 0 {
		return leastWindow
	}
	fill := filling * float64(slots) * float64(share) / float64(connections)
	return min(max(1, int(math.Ceil(fill))), mostWindow)
}

// class says what an answer in time is worth, and of which work the time that it
// takes is typical. Bookings take a third of the time of a session's work: as one
// class with it they were refused as if they took as long, and since they have the
// shorter objective, first.
func (j *Job) class() limiter.Class {
	switch {
	case j.Freshness == cataloger.ReadYourWrites:
		return limiter.Session
	case j.RequiresLeader():
		return limiter.Booking
	default:
		return limiter.Lookup
	}
}

// due is when the answer is worth having: the objective while it can be met, after
// that the end of the statement's time. So under overload what can still be in
// time goes first, and what is late already takes what is left.
func (j *Job) due(now time.Time, service, left time.Duration) time.Time {
	if left < service {
		return j.Deadline
	}
	aim := now.Add(left)
	if aim.After(j.Deadline) {
		return j.Deadline
	}
	return aim
}

// enter waits until a statement may go to a member. A zero ticket means that it
// can't be answered in time behind those that wait already, and the answer says
// so at once, with when to come back.
func (g *Group) enter(m *member, j *Job) (limiter.Ticket, Answer) {
	now := time.Now()
	left := j.ObjectiveAt.Sub(g.carrier.Now())
	if j.ObjectiveAt.IsZero() {
		left = j.Deadline.Sub(now)
	}
	ctx, cancel := context.WithDeadline(context.Background(), j.Deadline)
	defer cancel()
	class := j.class()
	ticket, outcome := m.gate.Acquire(ctx, limiter.Item{Class: class, Deadline: j.due(now, m.gate.MeanServiceTime(class), left)})
	if ticket != 0 {
		return ticket, Answer{}
	}
	g.turnedAway(m)
	back := max(time.Until(outcome.Back), busyPause).Round(time.Millisecond)
	g.log().Info("carrier: statement not admitted", zap.String("request", j.Request), zap.String("group", g.name), zap.String("upstream", m.id),
		zap.Stringer("cause", outcome.Cause), zap.Duration("back", back), zap.Duration("left", left), zap.Bool("leads", j.RequiresLeader()))
	return 0, refusal(Busy, "upstream is overloaded; come back in "+back.String())
}

// turnedAway notes that a member's gate refused a statement.
func (g *Group) turnedAway(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.turned = g.carrier.Now()
}

// other reports whether a statement that a member didn't admit may try another
// one, which probably has what it needs. One that leaves doesn't count: it is only
// placed there when nothing else is left, so that the statement would be offered
// to the same upstream again and again until its time is over.
func (g *Group) other(m *member, j *Job, since tracker.Mark) bool {
	if j.RequiresLeader() {
		return false
	}
	j.avoid(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	upTo := g.samples.needed(since, now)
	for _, o := range g.members {
		if !o.barred && !o.entry.Leaving && !j.tried[o] && !o.lag.lacks(now, upTo) {
			return true
		}
	}
	return false
}
