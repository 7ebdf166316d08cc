package limiter

import "time"

// overdue reports whether an item has run for so long that its answer is probably lost.
func (q *Queue) overdue(n *node, now time.Time) bool {
	return q.LostThreshold > 0 && now.Sub(n.grantedAt) > q.lostTimeout(n)
}

// lostTimeout returns how long an item may run before it is overdue.
func (q *Queue) lostTimeout(n *node) time.Duration {
	return time.Duration(q.LostThreshold) * q.meanService[n.item.Class]
}

// slots returns how many items may run at once. Items that are written off do not use a
// slot: every overdue item that was granted before an item that has been served since,
// and as many other overdue items as the window holds.
//
// An upstream that runs statements but loses some answers is not slow. If a lost answer
// kept its slot, it would block a window of one statement until its deadline, 0.8 s.
// With a fifth of the answers lost, the mean service time of a 6 ms booking would rise
// to 160 ms, and every booking would be refused as late although four of five would be
// answered at once. An upstream that has stopped answering gets no more than twice the
// window.
func (q *Queue) slots(now time.Time) int {
	return q.Window.Limit() + q.writtenOff(now)
}

// writtenOff returns the number of running items that are written off.
func (q *Queue) writtenOff(now time.Time) int {
	overtaken, others := 0, 0
	for _, i := range q.active {
		switch n := &q.nodes[i]; {
		case !q.overdue(n, now):
		case n.overtaken:
			overtaken++
		default:
			others++
		}
	}
	return overtaken + min(others, q.Window.Limit())
}

// markOvertaken marks the running items that were granted before an item that has been
// served.
func (q *Queue) markOvertaken(served *node) {
	for _, i := range q.active {
		if n := &q.nodes[i]; n.grantedAt.Before(served.grantedAt) {
			n.overtaken = true
		}
	}
}

// sample returns the service time that a finished item adds to the mean, and whether it
// adds any. An item without an answer shows that the upstream would have taken at least
// as long, so it counts only if that is above the mean. An item that is overdue counts
// with no more than the time after which it is overdue, and not at all if it was
// overtaken, as its answer was lost then.
func (q *Queue) sample(n *node, now time.Time, served bool) (time.Duration, bool) {
	elapsed := now.Sub(n.grantedAt)
	switch {
	case served:
		return elapsed, true
	case !q.overdue(n, now):
		return elapsed, elapsed > q.meanService[n.item.Class]
	default:
		return q.lostTimeout(n), !n.overtaken
	}
}
