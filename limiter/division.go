package limiter

import (
	"math"
	"time"
)

// workspaceDemand is a workspace's demand at an upstream and its shares of it, in slots.
type workspaceDemand struct {
	weight       float64
	urgentDemand float64
	restDemand   float64
	urgentShare  float64
	restShare    float64
}

// claim is the part of a workspace's demand that is at one gateway. Workspaces that a report
// does not name count as one with the weight of all.
type claim struct {
	gateway      int
	of           *workspaceDemand
	urgentDemand float64
	restDemand   float64
}

// division is the state of one call of [Division.Window].
type division struct {
	claims     []claim
	workspaces []*workspaceDemand
	demand     float64 // of all workspaces
	busy       float64 // used in the last second; what the upstream can do at least
}

// Window returns how many requests the gateway with the first of the loads may always have at
// the upstream, the bounds of less urgent ones, and how many slots it gets on average. Urgent work of all gateways comes first,
// but for one slot in eight that less urgent work keeps if it has the demand. Each of the two is
// divided by max-min fairness among workspaces, and each workspace's part among the gateways by
// its demand. Less urgent work of workspaces above their fair share only fills the gateway's
// even part of the slots. The window is Equal, nothing is bounded and the share is zero, while
// there is one load only or the upstream isn't contended.
func (d *Division) Window(loads []Load) (window int, less LessUrgent, share float64) {
	if len(loads) < 2 || d.Slots <= 0 || d.Total <= 0 {
		return d.Equal, less, 0
	}
	capacity := d.Slots * max(d.Stretch, 1)
	s := d.collect(loads)
	if s.demand <= 0 || s.demand < contendedFill*capacity {
		return d.Equal, less, 0
	}
	served := s.share(max(capacity, s.busy))
	urgent, rest, lessUrgent := s.partOf(0)
	window = int(math.Ceil(d.Total * urgent / served))
	if lessUrgent {
		less = LessUrgent{From: cutOfAll(loads), Slots: max(1, int(math.Ceil(d.Total*rest/served))), Fill: int(math.Ceil(d.Slots / float64(len(loads))))}
	}
	return max(1, window+less.Slots), less, s.shareOf(0)
}

// cutOfAll returns the least urgent cut of the gateways, so that all have the same one.
func cutOfAll(loads []Load) uint8 {
	cut := uint8(0)
	for i := range loads {
		cut = max(cut, loads[i].Cut)
	}
	return cut
}

// collect returns the demand of the workspaces at the upstream. A gateway that doesn't state what
// is urgent counts with the mean part of those that do.
func (d *Division) collect(loads []Load) *division {
	s := &division{}
	part := d.urgentPart(loads)
	named := map[uint32]*workspaceDemand{}
	for i := range loads {
		l := &loads[i]
		for _, u := range l.Used {
			w := named[u.Account]
			if w == nil {
				w = &workspaceDemand{weight: d.Weight(u.Account)}
				named[u.Account] = w
				s.workspaces = append(s.workspaces, w)
			}
			s.busy += u.Busy.Seconds()
			s.add(i, w, u.Demand(d.Mean).Seconds(), l.urgent(u.Urgent, u.Demand(d.Mean), part))
		}
		if l.Others > 0 {
			w := &workspaceDemand{weight: float64(l.Others)}
			s.busy += l.Rest.Seconds()
			s.workspaces = append(s.workspaces, w)
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

func (s *division) add(gateway int, w *workspaceDemand, all, urgent float64) {
	w.urgentDemand += urgent
	w.restDemand += all - urgent
	s.demand += all
	s.claims = append(s.claims, claim{gateway, w, urgent, all - urgent})
}

// share divides a capacity among the workspaces and returns what they get of it.
func (s *division) share(capacity float64) (served float64) {
	rest := 0.0
	demands := make([]Demand, len(s.workspaces))
	for i, w := range s.workspaces {
		rest += w.restDemand
		demands[i] = Demand{Weight: w.weight, Slots: w.urgentDemand}
	}
	level := fairLevel(capacity-min(capacity/floorTurn, rest), demands)
	for i, w := range s.workspaces {
		w.urgentShare = min(w.urgentDemand, level*w.weight)
		served += w.urgentShare
		demands[i].Slots = w.urgentShare + w.restDemand
	}
	level = fairLevel(capacity, demands)
	sum := 0.0
	for _, w := range s.workspaces {
		w.restShare = min(w.restDemand, max(0, level*w.weight-w.urgentShare))
		sum += w.restShare
	}
	// Urgent work may exceed a workspace's share of the whole; less urgent work of others
	// gets what remains.
	if left := capacity - served; sum > left {
		for _, w := range s.workspaces {
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
		lessUrgent = lessUrgent || c.restDemand > 0
		if c.gateway != gateway {
			continue
		}
		if c.of.urgentShare < c.of.urgentDemand {
			urgent += c.of.urgentShare * c.urgentDemand / c.of.urgentDemand
		} else {
			urgent += headroom * c.urgentDemand
		}
		if c.restDemand > 0 {
			rest += c.of.restShare * c.restDemand / c.of.restDemand
		}
	}
	return urgent, rest, lessUrgent
}

// shareOf returns the slots that one gateway gets on average, without headroom.
func (s *division) shareOf(gateway int) (slots float64) {
	for _, c := range s.claims {
		if c.gateway != gateway {
			continue
		}
		if c.urgentDemand > 0 {
			slots += c.of.urgentShare * c.urgentDemand / c.of.urgentDemand
		}
		if c.restDemand > 0 {
			slots += c.of.restShare * c.restDemand / c.of.restDemand
		}
	}
	return slots
}
