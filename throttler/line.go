package throttler

import "time"

const (
	// turnGrace is how long a turn is kept for an operation that does not come back: a round
	// trip to a distant caller and its timer.
	turnGrace = 100 * time.Millisecond
	// maxTurnDelay bounds the delay of a turn, whatever a request states as its time left.
	maxTurnDelay = time.Minute
	// maxTurns bounds the turns that are kept for one workspace.
	maxTurns = 4096
	// minTurnRate is the part of a workspace's tokens that must be left by more urgent
	// operations for a turn to be given.
	minTurnRate = 0.01
)

// line holds the turns that were given to refused operations of a workspace. A turn is
// anonymous: who comes back cannot be told from who comes for the first time, so the first
// operation of its priority after a turn is due takes it.
type line struct {
	// turns is when each turn is due, for each priority, the earliest first, in nanoseconds of
	// the owner's clock.
	turns [priorities][]int64
	count int
}

// arrive removes the turn of an operation that arrives, and turns whose operations have not
// come back.
func (l *line) arrive(priority int, now time.Time) {
	for p := range l.turns {
		l.drop(p, now.Add(-turnGrace))
	}
	if t := l.turns[priority]; len(t) > 0 && t[0] <= now.UnixNano() {
		l.pop(priority)
	}
}

// drop removes the turns of a priority that were due before a time.
func (l *line) drop(priority int, before time.Time) {
	for len(l.turns[priority]) > 0 && l.turns[priority][0] < before.UnixNano() {
		l.pop(priority)
	}
}

func (l *line) pop(priority int) {
	l.count--
	if l.turns[priority] = l.turns[priority][1:]; len(l.turns[priority]) == 0 {
		l.turns[priority] = nil
	}
}

// ahead returns the number of turns of operations that are as urgent as a priority or more.
func (l *line) ahead(priority int) int {
	n := 0
	for p := range priority + 1 {
		n += len(l.turns[p])
	}
	return n
}

// join gives a turn to an operation for which a number of tokens is missing, at a rate at which
// tokens come for its priority, and returns its delay. If the turn is not before the caller's
// deadline none is given, and the delay is the time left.
func (l *line) join(priority int, missing, rate float64, left time.Duration, now time.Time) time.Duration {
	left = min(max(left, minRetryAfter), maxTurnDelay)
	seconds := (missing + float64(l.ahead(priority))) / rate
	if rate <= 0 || seconds >= left.Seconds() || l.count >= maxTurns {
		return left
	}
	delay := max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	if delay >= left {
		return left
	}
	turn := now.Add(delay).UnixNano()
	t := l.turns[priority]
	if len(t) > 0 {
		turn = max(turn, t[len(t)-1]) // the earliest first
	}
	l.turns[priority] = append(t, turn)
	l.count++
	return delay
}

// refuseRanked returns the verdict on an operation for which tokens are missing. Its delay is
// the operation's place in line.
func (l *ledger) refuseRanked(credits *ring, acc *account, a *Ask, limit tokenLimit, missing float64, now time.Time) Verdict {
	v := l.refuse(credits, limit, 1-missing, now)
	if v.Undecided || limit.rate == 0 {
		return v
	}
	priority := a.priority()
	rate := limit.rate - acc.demand.rateAbove(priority, now)
	if rate < minTurnRate*limit.rate {
		rate = 0
	}
	left := a.Left
	if left <= 0 {
		left = maxTurnDelay // of an older process, which states none
	}
	v.RetryAfter = acc.line.join(priority, missing, rate, left, now)
	return v
}
