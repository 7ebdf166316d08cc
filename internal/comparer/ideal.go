package comparer

import (
	"container/heap"

	"basildale.example/basildale/internal/modeler"
)

// ideal is one deadline-first queue for all proxies, at the upstream itself,
// that knows each service time beforehand and starts nothing that would be late.
func ideal(rs []modeler.Arrival) tally {
	c := &modeler.Clock{Now: start()}
	var t tally
	var line deadlineFirst
	busy := 0
	var pump func()
	pump = func() {
		for busy < slots && len(line) > 0 {
			r := heap.Pop(&line).(modeler.Arrival)
			end := c.Now.Add(r.Service)
			if end.Add(network).After(r.Deadline) {
				t.refuse(r, c.Now)
				continue
			}
			busy++
			c.At(end, func() { busy--; t.answered(r, c.Now.Add(network)); pump() })
		}
	}
	for _, r := range rs {
		t.offered[class(r)]++
		c.At(r.At.Add(network), func() { heap.Push(&line, r); pump() })
	}
	c.Run()
	return t
}

type deadlineFirst []modeler.Arrival

func (d deadlineFirst) Len() int           { return len(d) }
func (d deadlineFirst) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }
func (d deadlineFirst) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlineFirst) Push(x any) { *d = append(*d, x.(modeler.Arrival)) }

// Pop implements heap.Interface.
func (d *deadlineFirst) Pop() any {
	r := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return r
}
