package limiter

import "time"

// overdue reports whether an item has run for so long that its answer is probably lost.
func (q *Queue) overdue(n *node, now time.Time) bool {
	return q.LostThreshold > 0 && now.Sub(n.since) > q.patience(n)
}

// patience is how long an item may run before it is overdue.
func (q *Queue) patience(n *node) time.Duration {
	return time.Duration(q.LostThreshold) * q.service[n.item.Class]
}

// slots returns how many items may be running now. Those whose answers are probably
// lost don't count: all that a later item's answer has overtaken, and of the others as
// many as the window holds.
//
// An upstream that runs statements and loses some answers is not a slow one. Counted
// as running, one lost answer holds a window of one statement until its deadline, 0.8 s,
// and with a fifth of the answers lost the mean service time of a 6 ms booking becomes
// 160 ms: one sees every booking refused as one that can't be in time, though four of
// five would be answered at once. An upstream that has stopped gets no more than twice
// the window.
func (q *Queue) slots(now time.Time) int {
	return q.Window.Limit() + q.lost(now)
}

// lost counts the running items that are written off.
func (q *Queue) lost(now time.Time) int {
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

// overtake notes that a served item has left those behind that were granted before it.
func (q *Queue) overtake(served *node) {
	for _, i := range q.active {
		if n := &q.nodes[i]; n.since.Before(served.since) {
			n.overtaken = true
		}
	}
}

// sample returns the service time that an item which has ended stands for, and whether
// it stands for any. One without an answer tells that the upstream would have taken at
// least as long; it counts if that is above the mean. One whose answer was lost tells
// nothing, and one that may be lost no more than that it was overdue.
func (q *Queue) sample(n *node, now time.Time, served bool) (time.Duration, bool) {
	took := now.Sub(n.since)
	switch {
	case served:
		return took, true
	case !q.overdue(n, now):
		return took, took > q.service[n.item.Class]
	default:
		return q.patience(n), !n.overtaken
	}
}
