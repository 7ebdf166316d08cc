package auditor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// step is what a line says of a group's writes or of a change of its leader.
type step uint8

const (
	writeDone step = iota + 1
	writeFailed
	changeBegan
	changeOrdered
	leaderHeard
)

// event is a step and its time. The zone is that of the log.
type event struct {
	at     int64 // nanoseconds since 1970
	offset int32 // of the zone, in seconds
	step   step
}

func newEvent(at time.Time, s step) event {
	_, offset := at.Zone()
	return event{at.UnixNano(), int32(offset), s}
}

// time returns the time as the log states it.
func (e event) time() time.Time {
	t := time.Unix(0, e.at).UTC()
	if e.offset != 0 {
		t = t.In(time.FixedZone("", int(e.offset)))
	}
	return t
}

// groupLog holds the events of a group.
type groupLog struct {
	asked  bool // a request ended
	events []event
}

func (a *Audit) group(name string) *groupLog {
	g := a.groups[name]
	if g == nil {
		if a.groups == nil {
			a.groups = map[string]*groupLog{}
		}
		g = &groupLog{}
		a.groups[name] = g
	}
	return g
}

// addRequest takes in a request that ended.
func (g *groupLog) addRequest(l *line) {
	g.asked = true
	switch {
	case !l.Writes:
	case l.Code == codeOK:
		g.events = append(g.events, newEvent(l.At, writeDone))
	default:
		g.events = append(g.events, newEvent(l.At, writeFailed))
	}
}

// addStep takes in a step of a change of leader.
func (g *groupLog) addStep(l *line) {
	switch l.Message {
	case verify, guard, halt:
		g.events = append(g.events, newEvent(l.At, changeBegan))
	case promote:
		g.events = append(g.events, newEvent(l.At, changeOrdered))
	case changed:
		if l.Upstream != "" {
			g.events = append(g.events, newEvent(l.At, leaderHeard))
		}
	}
}

// change is where a change of leader stands.
type change struct {
	began, ordered, heard time.Time
}

// gaps returns the times in which groups acknowledged no write, though some were asked
// for.
func (a *Audit) gaps() []Gap {
	var out []Gap
	for _, name := range slices.Sorted(maps.Keys(a.groups)) {
		if g := a.groups[name]; g.asked {
			out = append(out, g.gaps(name)...)
		}
	}
	slices.SortStableFunc(out, func(x, y Gap) int { return x.From.Compare(y.From) })
	return out
}

func (g *groupLog) gaps(name string) []Gap {
	slices.SortStableFunc(g.events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	var out []Gap
	var last event  // the last acknowledged write
	known := false  // there is one
	failed := false // a write has failed since
	var c change
	for _, e := range g.events {
		switch e.step {
		case writeFailed:
			failed = true
		case writeDone:
			if failed && known && time.Duration(e.at-last.at) >= leastGap {
				out = append(out, c.divide(Gap{Group: name, From: last.time(), To: e.time()}))
			}
			last, known, failed, c = e, true, false, change{}
		default:
			c.note(e)
		}
	}
	return out
}

// note takes in a step of a change of leader.
func (c *change) note(e event) {
	switch e.step {
	case changeBegan:
		c.began = first(c.began, e)
	case changeOrdered:
		c.ordered = first(c.ordered, e)
	case leaderHeard:
		if !c.ordered.IsZero() {
			c.heard = first(c.heard, e)
		}
	}
}

func first(t time.Time, e event) time.Time {
	if t.IsZero() {
		return e.time()
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
