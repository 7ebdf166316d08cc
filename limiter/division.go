package limiter

import (
	"math"
	"time"
)

// want is what a workspace wants of an upstream, in slots, and what it gets.
type want struct {
	weight       float64
	urgent, rest float64
	urgentShare  float64
	restShare    float64
}

// claim is the part of a workspace's want that one gateway has. Workspaces that a report does
// not name count as one with the weight of all.
type claim struct {
	gateway      int
	of           *want
	urgent, rest float64
}

// division is the state of one call of [Division.Window].
type division struct {
	claims []claim
	wants  []*want
	sum    float64 // wanted in all
	busy   float64 // used in the last second; what the upstream can do at least
}

// Window returns how many requests the gateway with the first of the loads may always have at
// the upstream, and the bounds of less urgent ones. Urgent work of all gateways comes first,
// but for one slot in eight that less urgent work keeps if it wants it. Each of the two is
// divided by max-min fairness among workspaces, and each workspace's part among the gateways by
// its demand. Less urgent work of workspaces above their fair share only fills the gateway's
// even part of the slots. The window is Equal, and nothing is bounded, while there is one load
// only or the upstream isn't contended.
func (d *Division) Window(loads []Load) (window int, less LessUrgent) {
	if len(loads) < 2 || d.Slots <= 0 || d.Total <= 0 {
		return d.Equal, less
	}
	capacity := d.Slots * max(d.Stretch, 1)
	s := d.wanted(loads)
	if s.sum <= 0 || s.sum < contendedFill*capacity {
		return d.Equal, less
	}
	served := s.share(max(capacity, s.busy))
	urgent, rest, lessUrgent := s.partOf(0)
	window = int(math.Ceil(d.Total * urgent / served))
	if lessUrgent {
		less = LessUrgent{From: cutOfAll(loads), Slots: max(1, int(math.Ceil(d.Total*rest/served))), Fill: int(math.Ceil(d.Slots / float64(len(loads))))}
	}
	return max(1, window+less.Slots), less
}

// cutOfAll returns the least urgent cut of the gateways, so that all have the same one.
func cutOfAll(loads []Load) uint8 {
	cut := uint8(0)
	for i := range loads {
		cut = max(cut, loads[i].Cut)
	}
	return cut
}

// wanted collects what the workspaces want of the upstream. A gateway that doesn't state what
// is urgent counts with the mean part of those that do.
func (d *Division) wanted(loads []Load) *division {
	s := &division{}
	part := d.urgentPart(loads)
	named := map[uint32]*want{}
	for i := range loads {
		l := &loads[i]
		for _, u := range l.Used {
			w := named[u.Account]
			if w == nil {
				w = &want{weight: d.Weight(u.Account)}
				named[u.Account] = w
				s.wants = append(s.wants, w)
			}
			s.busy += u.Busy.Seconds()
			s.add(i, w, u.Demand(d.Mean).Seconds(), l.urgent(u.Urgent, u.Demand(d.Mean), part))
		}
		if l.Others > 0 {
			w := &want{weight: float64(l.Others)}
			s.busy += l.Rest.Seconds()
			s.wants = append(s.wants, w)
			s.add(i, w, l.Rest.Seconds(), l.urgent(l.RestUrgent, l.Rest, part))
		}
	}
	return s
}

// urgentPart returns the urgent part of the demand of the gateways that state it, or one.
func (d *Division) urgentPart(loads []Load) float64 {
	urgent, all := 0.0, 0.0
	for i := range loads {
		l := &loads[i]
		if l.Cut == 0 {
			continue
		}
		urgent += l.urgent(l.RestUrgent, l.Rest, 1)
		all += l.Rest.Seconds()
		for _, u := range l.Used {
			urgent += l.urgent(u.Urgent, u.Demand(d.Mean), 1)
			all += u.Demand(d.Mean).Seconds()
		}
	}
	if all <= 0 {
		return 1
	}
	return urgent / all
}

// urgent returns the urgent part of a demand, in slots.
func (l *Load) urgent(stated, demand time.Duration, part float64) float64 {
	if l.Cut == 0 {
		return part * demand.Seconds()
	}
	return min(stated, demand).Seconds()
}

func (s *division) add(gateway int, w *want, all, urgent float64) {
	w.urgent += urgent
	w.rest += all - urgent
	s.sum += all
	s.claims = append(s.claims, claim{gateway, w, urgent, all - urgent})
}

// share divides a capacity among the workspaces and returns what they get of it.
func (s *division) share(capacity float64) (served float64) {
	rest := 0.0
	demands := make([]Demand, len(s.wants))
	for i, w := range s.wants {
		rest += w.rest
		demands[i] = Demand{Weight: w.weight, Slots: w.urgent}
	}
	level := fairLevel(capacity-min(capacity/floorTurn, rest), demands)
	for i, w := range s.wants {
		w.urgentShare = min(w.urgent, level*w.weight)
		served += w.urgentShare
		demands[i].Slots = w.urgentShare + w.rest
	}
	level = fairLevel(capacity, demands)
	sum := 0.0
	for _, w := range s.wants {
		w.restShare = min(w.rest, max(0, level*w.weight-w.urgentShare))
		sum += w.restShare
	}
	// Urgent work may exceed a workspace's share of the whole; less urgent work of others
	// gets what remains.
	if left := capacity - served; sum > left {
		for _, w := range s.wants {
			w.restShare *= left / sum
		}
		sum = left
	}
	return served + sum
}

// partOf returns the slots that one gateway gets for urgent and for less urgent work, and
// whether any gateway has less urgent work.
func (s *division) partOf(gateway int) (urgent, rest float64, lessUrgent bool) {
	for _, c := range s.claims {
		lessUrgent = lessUrgent || c.rest > 0
		if c.gateway != gateway {
			continue
		}
		if c.of.urgentShare < c.of.urgent {
			urgent += c.of.urgentShare * c.urgent / c.of.urgent
		} else {
			urgent += headroom * c.urgent
		}
		if c.rest > 0 {
			rest += c.of.restShare * c.rest / c.of.rest
		}
	}
	return urgent, rest, lessUrgent
}
