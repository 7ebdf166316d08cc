package explorer

import (
	"fmt"
	"slices"

	"basildale.example/basildale/tracker"
)

// Bounds limit an exploration.
type Bounds struct {
	// Depth is the greatest number of steps; 0: until no new state is found.
	Depth int
	// Tries is how many attempts each leader may begin, at most 2.
	Tries int
	// Writes is how many writes are run, at most 3.
	Writes int
	// From are steps, by their text, that are taken first.
	From []string
}

// Result is what an exploration found.
type Result struct {
	States      int
	Transitions int
	Depth       int
	// Complete says that no state was left out by the bound on depth.
	Complete bool
	// Acknowledged counts states in which some write is acknowledged; an
	// exploration without any would show nothing.
	Acknowledged int
	// Promoted counts states in which some upstream was promoted.
	Promoted int
	// Violation is the condition that was broken, Trace the steps to it.
	Violation string
	Trace     []string
}

// String returns the numbers in one line.
func (r Result) String() string {
	return fmt.Sprintf("states %d, transitions %d, depth %d, complete %v, acknowledged %d, promoted %d",
		r.States, r.Transitions, r.Depth, r.Complete, r.Acknowledged, r.Promoted)
}

// visited is one state with the way to it.
type visited struct {
	world  World
	parent int
	step   step
	depth  int
}

// Explore visits all states within bounds, breadth first, and stops at the first
// violation. Its result is the same on each run.
func Explore(b Bounds, r Rules) Result {
	b.Tries = min(b.Tries, maxTries/leaders)
	b.Writes = min(b.Writes, maxWrites)
	root := advance(b, r)
	list := []visited{{world: root, parent: -1}}
	known := map[World]struct{}{root: {}}
	res := Result{Complete: true}
	for i := 0; i < len(list) && res.Violation == ""; i++ {
		v := list[i]
		if b.Depth > 0 && v.depth == b.Depth {
			res.Complete = false
			continue
		}
		s := successors{bounds: b, rules: r, visit: func(next World, st step) {
			res.Transitions++
			if res.Violation != "" {
				return
			}
			if broken := check(&v.world, &next, st); broken != "" {
				res.Violation = broken
				res.Trace = append(trace(list, i), st.String())
				return
			}
			if _, ok := known[next]; ok {
				return
			}
			known[next] = struct{}{}
			list = append(list, visited{world: next, parent: i, step: st, depth: v.depth + 1})
		}}
		s.all(&v.world)
		res.Depth = v.depth
		res.count(&v.world)
	}
	res.States = len(list)
	return res
}

func (r *Result) count(w *World) {
	if slices.ContainsFunc(w.writes[:], func(wr write) bool { return wr.acked }) {
		r.Acknowledged++
	}
	if slices.ContainsFunc(w.tries[:], func(t try) bool { return t.promoted != 0 }) {
		r.Promoted++
	}
}

// advance takes the steps that an exploration starts from. A step that isn't
// possible is a mistake of the caller.
func advance(b Bounds, r Rules) World {
	w := start()
	for _, want := range b.From {
		found := false
		from := w
		s := successors{bounds: b, rules: r, visit: func(next World, st step) {
			if st.String() == want {
				w = next
				found = true
			}
		}}
		s.all(&from)
		if !found {
			panic("explorer: no such step: " + want)
		}
	}
	return w
}

// check returns the condition that the step from one state to the next broke.
func check(from, to *World, st step) string {
	if st.doubled {
		return st.String() + " though another one was promoted at it"
	}
	for i := range to.nodes {
		n := &to.nodes[i]
		if n.term < from.nodes[i].term {
			return fmt.Sprintf("the term of %d fell to %d", i, n.term)
		}
		if n.role != tracker.Primary {
			continue
		}
		for id, wr := range to.writes {
			if wr.acked && wr.ackTerm < n.term && !n.holds(id) {
				return fmt.Sprintf("%d is primary at %d without write %d, acknowledged at %d",
					i, n.term, id, wr.ackTerm)
			}
		}
	}
	return ""
}

func trace(list []visited, i int) []string {
	var steps []string
	for ; i > 0; i = list[i].parent {
		steps = append(steps, list[i].step.String())
	}
	slices.Reverse(steps)
	return steps
}
