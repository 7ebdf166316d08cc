package modeler

import (
	"cmp"
	"container/heap"
	"time"
)

// Clock is virtual time with what is to happen in it. Now is set to the start
// before the first use.
type Clock struct {
	Now time.Time

	todo agenda
	seq  int
}

// At calls do at t, after all that was put there before for the same moment.
func (c *Clock) At(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.todo, entry{at: t, seq: c.seq, do: do})
}

// After calls do when d has passed.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now.Add(d), do) }

// Run goes through the agenda until nothing is left.
func (c *Clock) Run() {
	for len(c.todo) > 0 {
		e := heap.Pop(&c.todo).(entry)
		c.Now = e.at
		e.do()
	}
}

type entry struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []entry

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return cmp.Or(a[i].at.Compare(a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(entry)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
