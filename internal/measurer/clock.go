package measurer

import (
	"container/heap"
	"time"
)

// clock is virtual time with what is due at which moment. Things due at the same
// moment happen in the order in which they were set.
type clock struct {
	now   time.Time
	queue queue
	order uint64
	runs  []func() // what the timers run, by slot
	free  []int    // slots without a timer
}

// timer is something due. It holds no pointer, which makes sorting cheap.
type timer struct {
	at    int64 // nanoseconds since 1970
	order uint64
	slot  int
}

// queue is a heap of timers.
type queue []timer

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
func (q *queue) Push(x any) {
	if t, ok := x.(timer); ok {
		*q = append(*q, t)
	}
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}

// at lets f run at t, or at once if that is past.
func (c *clock) at(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	slot := len(c.runs)
	if n := len(c.free); n > 0 {
		slot = c.free[n-1]
		c.free = c.free[:n-1]
		c.runs[slot] = f
	} else {
		c.runs = append(c.runs, f)
	}
	c.order++
	heap.Push(&c.queue, timer{at: t.UnixNano(), order: c.order, slot: slot})
}

// after lets f run after d.
func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// run goes on until the end.
func (c *clock) run(end time.Time) {
	last := end.UnixNano()
	for len(c.queue) > 0 && c.queue[0].at <= last {
		t, ok := heap.Pop(&c.queue).(timer)
		if !ok {
			return
		}
		f := c.runs[t.slot]
		c.runs[t.slot] = nil
		c.free = append(c.free, t.slot)
		c.now = time.Unix(0, t.at).UTC()
		f()
	}
	c.now = end
}
