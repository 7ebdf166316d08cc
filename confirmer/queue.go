package confirmer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// pending is one write that waits.
type pending struct {
	id       uint64
	mark     tracker.Mark
	since    time.Time
	deadline time.Time
}

// queue is a binary heap by mark. It keeps its memory, so a write costs no
// allocation once the queue has been as long before. container/heap would box
// each element.
type queue struct{ items []pending }

func (q *queue) push(p pending) {
	q.items = append(q.items, p)
	for i := len(q.items) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.items[i].mark.Less(q.items[parent].mark) {
			break
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *queue) pop() pending {
	top := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items = q.items[:last]
	q.down(0)
	return top
}

func (q *queue) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.items) && q.items[child].mark.Less(q.items[least].mark) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.items[i], q.items[least] = q.items[least], q.items[i]
		i = least
	}
}

func (q *queue) heapify() {
	for i := len(q.items)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

// earliest returns the first deadline; zero: there is none. It looks at each
// item: few writes wait at a time, at most those of one replication delay.
func (q *queue) earliest() time.Time {
	var t time.Time
	for i := range q.items {
		if d := q.items[i].deadline; !d.IsZero() && (t.IsZero() || d.Before(t)) {
			t = d
		}
	}
	return t
}

// oldest returns since when the longest waiting item waits; zero: none does.
func (q *queue) oldest() time.Time {
	var t time.Time
	for i := range q.items {
		if s := q.items[i].since; t.IsZero() || s.Before(t) {
			t = s
		}
	}
	return t
}
