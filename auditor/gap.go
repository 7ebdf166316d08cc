package auditor

import (
	"maps"
	"slices"
	"time"
)

// change is where a change of leader stands.
type change struct {
	began, ordered, heard time.Time
}

// gaps returns the times in which groups acknowledged no write, though some were asked
// for. The lines are in the order of time.
func (a *Audit) gaps() []Gap {
	var out []Gap
	for _, group := range a.groups() {
		out = append(out, gapsOf(group, a.lines)...)
	}
	slices.SortStableFunc(out, func(x, y Gap) int { return x.From.Compare(y.From) })
	return out
}

func (a *Audit) groups() []string {
	names := map[string]bool{}
	for _, l := range a.lines {
		if l.Message == ended {
			names[l.Group] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func gapsOf(group string, lines []line) []Gap {
	var out []Gap
	var last time.Time // the last acknowledged write
	failed := false    // a write has failed since
	var c change
	for _, l := range lines {
		if l.Group != group {
			continue
		}
		if l.Message != ended {
			c.note(l)
			continue
		}
		switch {
		case !l.Writes:
		case l.Code != codeOK:
			failed = true
		default:
			if failed && !last.IsZero() && l.At.Sub(last) >= leastGap {
				out = append(out, c.divide(Gap{Group: group, From: last, To: l.At}))
			}
			last, failed, c = l.At, false, change{}
		}
	}
	return out
}

// note takes in a step of a change of leader.
func (c *change) note(l line) {
	switch l.Message {
	case verify, guard, halt:
		c.began = first(c.began, l.At)
	case promote:
		c.ordered = first(c.ordered, l.At)
	case changed:
		if l.Upstream != "" && !c.ordered.IsZero() {
			c.heard = first(c.heard, l.At)
		}
	}
}

func first(t, at time.Time) time.Time {
	if t.IsZero() {
		return at
	}
	return t
}

// divide says what a gap was spent on, if a change of leader ended it.
func (c *change) divide(g Gap) Gap {
	if c.began.IsZero() || c.ordered.IsZero() || c.heard.IsZero() {
		return g
	}
	g.Noticing = c.began.Sub(g.From)
	g.Deciding = c.ordered.Sub(c.began)
	g.Promoting = c.heard.Sub(c.ordered)
	g.Hearing = g.To.Sub(c.heard)
	return g
}
