package modeler

import (
	"cmp"
	"time"
)

// Clock is virtual time with what is to happen in it. Now is set to the start
// before the first use.
type Clock struct {
	Now time.Time

	todo []entry // a binary heap, the earliest first
	seq  int
}

// entry is something due. Its time is a number because models spend most of
// their own time on comparing.
type entry struct {
	at  int64 // nanoseconds since 1970
	seq int
	do  func()
}

func (e entry) before(o entry) bool {
	return cmp.Or(cmp.Compare(e.at, o.at), cmp.Compare(e.seq, o.seq)) < 0
}

// At calls do at t, after all that was put there before for the same moment, or
// at once if t is past.
func (c *Clock) At(t time.Time, do func()) {
	if t.Before(c.Now) {
		t = c.Now
	}
	c.seq++
	c.todo = append(c.todo, entry{at: t.UnixNano(), seq: c.seq, do: do})
	for i := len(c.todo) - 1; i > 0; {
		parent := (i - 1) / 2
		if !c.todo[i].before(c.todo[parent]) {
			return
		}
		c.todo[i], c.todo[parent] = c.todo[parent], c.todo[i]
		i = parent
	}
}

// After calls do when d has passed.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now.Add(d), do) }

// Run goes through the agenda until nothing is left.
func (c *Clock) Run() {
	for len(c.todo) > 0 {
		c.step()
	}
}

// RunFor lets d pass.
func (c *Clock) RunFor(d time.Duration) { c.RunUntil(c.Now.Add(d)) }

// RunUntil goes through the agenda up to end, which is Now then.
func (c *Clock) RunUntil(end time.Time) {
	for last := end.UnixNano(); len(c.todo) > 0 && c.todo[0].at <= last; {
		c.step()
	}
	c.Now = end
}

func (c *Clock) step() {
	e := c.pop()
	c.Now = c.Now.Add(time.Duration(e.at - c.Now.UnixNano()))
	e.do()
}

func (c *Clock) pop() entry {
	first, last := c.todo[0], len(c.todo)-1
	c.todo[0], c.todo[last] = c.todo[last], entry{}
	c.todo = c.todo[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if c.todo[child].before(c.todo[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		c.todo[i], c.todo[least] = c.todo[least], c.todo[i]
		i = least
	}
}
