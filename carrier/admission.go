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

// Bounds of the work that this process has at one upstream at a time. What is sent beyond
// an upstream's slots waits there in the order of arrival, where it can no longer be
// refused and deadlines have no effect.
const (
	// defaultMinWindow is how many statements this process may always have at an upstream
	// whose number of slots or of connections is unknown.
	defaultMinWindow = 2
	// slotFillFactor is the minimum number of statements that all processes together have
	// at an upstream, for each of its slots. Half as many again as it has slots keep the
	// slots busy while answers and the next statements are in transit. If each of many
	// processes had two statements there, most of these would queue in the upstream:
	// processes that start after a power failure of the whole fleet would then see no
	// shorter service time and mistake that queueing for work.
	slotFillFactor = 1.5
	// maxWindow bounds the growth of the window: twice an upstream's 5 or 6 slots and some
	// more, so that one process alone can keep it busy.
	maxWindow = 16
	// lostAnswerFactor is how many mean service times a statement may run before its answer
	// counts as lost and the next statement is sent. Work that takes longer is rare. Where
	// some answers are lost the mean stays close to the service time of the others, so that
	// short statements can still be in time.
	lostAnswerFactor = 8
	// maxQueueLength is how many statements may wait here for one upstream: more than a few
	// slots complete within the time of most statements.
	maxQueueLength = 256
)

// newGate returns the admission queue of one upstream.
func newGate() *limiter.Gate {
	return &limiter.Gate{
		Queue: limiter.Queue{
			MaxLength: maxQueueLength, InitialServiceTime: defaultLatency,
			Window:        limiter.Window{Min: defaultMinWindow, Max: maxWindow},
			LostThreshold: lostAnswerFactor,
		},
		Now: time.Now,
	}
}

// windowShare returns how many statements a process may always have at an upstream: the
// same proportion of the statements that fill its slots as the process has of its
// connections.
func windowShare(slots, share, connections int) int {
	if slots == 0 || connections <= 0 {
		return defaultMinWindow
	}
	fill := slotFillFactor * float64(slots) * float64(share) / float64(connections)
	return min(max(1, int(math.Ceil(fill))), maxWindow)
}

// admissionClass returns the class that sets the value of an answer in time and the typical
// service time. Bookings take a third of the time of a session's work. When both were in
// one class, bookings were refused as if they took as long, and were refused first because
// their objective is shorter.
func (j *Job) admissionClass() limiter.Class {
	switch {
	case j.Freshness == cataloger.ReadYourWrites:
		return limiter.Session
	case j.RequiresLeader():
		return limiter.Booking
	default:
		return limiter.Lookup
	}
}

// admissionDeadline returns the time by which the answer is of use: the objective while it
// can be met, and the statement's deadline after that. Under overload statements that can
// still meet their objective therefore go first, and late ones use what capacity is left.
func (j *Job) admissionDeadline(now time.Time, service, left time.Duration) time.Time {
	if left < service {
		return j.Deadline
	}
	objective := now.Add(left)
	if objective.After(j.Deadline) {
		return j.Deadline
	}
	return objective
}

// admit waits until a statement may be sent to an upstream. A zero ticket means that the
// statement cannot be answered in time behind those that already wait; the answer then
// refuses it at once and states when to retry.
func (g *Group) admit(u *upstream, j *Job) (limiter.Ticket, Answer) {
	now := time.Now()
	left := j.ObjectiveAt.Sub(g.registry.Now())
	if j.ObjectiveAt.IsZero() {
		left = j.Deadline.Sub(now)
	}
	ctx, cancel := context.WithDeadline(context.Background(), j.Deadline)
	defer cancel()
	class := j.admissionClass()
	item := limiter.Item{Class: class, Deadline: j.admissionDeadline(now, u.gate.MeanServiceTime(class), left)}
	if f := g.registry.features(); g.applyFairness(u, f) {
		return g.admitFairly(ctx, u, j, f, item, left)
	}
	ticket, outcome := u.gate.Acquire(ctx, item)
	if ticket != 0 {
		return ticket, Answer{}
	}
	g.recordRejection(u)
	retryDelay := max(time.Until(outcome.Back), busyRetryDelay).Round(time.Millisecond)
	g.log().Info("carrier: statement not admitted", zap.String("request", j.Request), zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Stringer("cause", outcome.Cause), zap.Duration("back", retryDelay), zap.Duration("left", left), zap.Bool("leads", j.RequiresLeader()))
	return 0, refusal(Busy, "upstream is overloaded; come back in "+retryDelay.String())
}

// recordRejection records that an upstream's gate rejected a statement.
func (g *Group) recordRejection(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.rejectedAt = g.registry.Now()
}

// hasAlternative reports whether a statement that an upstream's gate rejected may try
// another upstream that probably has what it needs, and marks the first one as tried. One
// that is leaving does not count: it is only chosen when nothing else is left, so the
// statement would be offered to the same upstream again and again until its deadline.
func (g *Group) hasAlternative(u *upstream, j *Job, since tracker.Mark) bool {
	if j.RequiresLeader() {
		return false
	}
	j.markTried(u)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	upTo := g.samples.firstContaining(since, now)
	for _, o := range g.upstreams {
		if !o.ejected && !o.entry.Leaving && !j.tried[o] && !o.lag.lacks(now, upTo) {
			return true
		}
	}
	return false
}
