package limiter

import "time"

// LessUrgent bounds less urgent items, so that urgent ones of other gateways find slots at the
// upstream. The zero value doesn't bound them.
type LessUrgent struct {
	// From is the priority from which items are less urgent.
	From uint8
	// Slots is how many of them may run at a time but for the starvation floor; zero is no
	// bound.
	Slots int
	// Fill is how many items of any priority may run before one of a workspace above its fair
	// share no longer gets a slot.
	Fill int
}

func (l *LessUrgent) bounds(n *fairNode) bool { return l.Slots > 0 && n.priority >= l.From }

// SetLessUrgent bounds less urgent items. Items may be waiting and running. It has no effect
// while the fair policy is off.
func (q *Queue) SetLessUrgent(l LessUrgent) {
	if q.fair != nil {
		q.fair.less = l
	}
}

// Cut returns the priority from which items count as less urgent here: the least urgent one
// from which on the demand is at least one in eight, the starvation floor. It is zero while
// all demand has one priority or the fair policy is off.
func (q *Queue) Cut() uint8 {
	if q.fair == nil {
		return 0
	}
	return q.fair.cut
}

// fullFor reports whether an item's class or its priority has all the slots that it may use.
func (q *Queue) fullFor(n *fairNode) bool {
	l := &q.fair.less
	switch {
	case q.classFull(n.class):
		return true
	case !l.bounds(n):
		return false
	case n.excess && len(q.active) >= l.Fill:
		return true
	default:
		return q.runningLessUrgent() >= l.Slots
	}
}

func (q *Queue) runningLessUrgent() int {
	count := 0
	for _, i := range q.active {
		if q.fair.less.bounds(&q.fair.nodes[i]) {
			count++
		}
	}
	return count
}

// firstLessUrgent returns the index of the first item in the lowest tier that is less urgent
// than a priority and may get a slot, or -1, and whether any such item waits. At the starvation
// floor's turn those of workspaces within their fair share may exceed the bound.
func (q *Queue) firstLessUrgent(than uint8) (first int, waits bool) {
	first, lowest := -1, uint8(tierCount)
	floor := q.fair.run+1 >= floorTurn
	for at, i := range q.order {
		n := &q.fair.nodes[i]
		if n.priority <= than {
			continue
		}
		waits = true
		if n.tier >= lowest || q.fullFor(n) && (!floor || n.tier > 0 || q.classFull(n.class)) {
			continue
		}
		first, lowest = at, n.tier
		if lowest == 0 {
			break
		}
	}
	return first, waits
}

// sumLessUrgent sets the work before the items of each bucket that share the slots of less
// urgent ones.
func (q *Queue) sumLessUrgent(now time.Time) {
	f := q.fair
	if f.less.Slots == 0 {
		return
	}
	f.lessSums = [bucketCount]time.Duration{}
	for _, i := range q.order {
		if n := &f.nodes[i]; f.less.bounds(n) {
			f.lessSums[n.bucket] += n.cost
		}
	}
	start := time.Duration(0)
	for _, i := range q.active {
		if n := &f.nodes[i]; f.less.bounds(n) {
			start += max(n.cost-now.Sub(q.nodes[i].grantedAt), 0)
		}
	}
	for b, work := range f.lessSums {
		f.lessSums[b] = start
		start += work
	}
}

// waitLessUrgent returns how long an item waits for a slot that less urgent ones may use, in
// the order of a scan; zero where it isn't bounded.
func (q *Queue) waitLessUrgent(n *fairNode) time.Duration {
	f := q.fair
	if !f.less.bounds(n) {
		return 0
	}
	ahead := f.lessSums[n.bucket]
	f.lessSums[n.bucket] += n.cost
	return ahead / time.Duration(f.less.Slots)
}
