package spreader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// ReportTTL is how long a report counts: gateways report each half second, and up to three
	// reports in a row may be lost.
	ReportTTL = 2 * time.Second
	// smoothing is the period over which reports are smoothed. A report is the number of
	// statements at one moment, often one to three.
	smoothing = time.Second
	// maxGateways and maxUses bound what is kept of reports.
	maxGateways = 128
	maxUses     = 16
)

// Load is what a gateway has at the upstreams of a group.
type Load struct {
	// Statements is the number of statements that run and wait there.
	Statements float64
	// Busy is the service time there in the last second, in seconds.
	Busy float64
	// Uses holds how much of that is of a workspace, by the hash of its name, for those that
	// use most.
	Uses map[uint32]float64
}

// Group is what one process knows of the gateways of a group. Its zero value is ready for use.
// It is not safe for concurrent use.
type Group struct {
	gateways map[string]*gateway
	spreads  map[uint32]*spread
}

// gateway is what is known of one gateway.
type gateway struct {
	// The first three are smoothed.
	statements float64
	busy       float64
	uses       map[uint32]float64
	reportedAt time.Time // zero before the first report
	inFlight   int       // statements that this process has there
}

// Report records what a gateway had at a moment. One that is not later than the last is ignored.
func (g *Group) Report(name string, l Load, at time.Time) {
	w := g.gateway(name, at)
	if w == nil || !at.After(w.reportedAt) {
		return
	}
	kept := 0.0
	if w.isKnown(at) {
		kept = math.Exp(-at.Sub(w.reportedAt).Seconds() / smoothing.Seconds())
	}
	uses := make(map[uint32]float64, len(l.Uses))
	for id, n := range l.Uses {
		uses[id] = (1 - kept) * n
	}
	for id, n := range w.uses {
		if n *= kept; n > negligible {
			uses[id] += n
		}
	}
	keepLargest(uses)
	w.statements = kept*w.statements + (1-kept)*l.Statements
	w.busy = kept*w.busy + (1-kept)*l.Busy
	w.uses, w.reportedAt = uses, at
}

// keepLargest drops all but the maxUses largest uses.
func keepLargest(uses map[uint32]float64) {
	if len(uses) <= maxUses {
		return
	}
	ids := slices.SortedFunc(maps.Keys(uses), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(uses[b], uses[a]), cmp.Compare(a, b))
	})
	for _, id := range ids[maxUses:] {
		delete(uses, id)
	}
}

// negligible is the smoothed use of a workspace that is no longer kept.
const negligible = 0.001

// Begin records that this process sends a statement to a gateway, and End that it has ended.
func (g *Group) Begin(name string, now time.Time) {
	if w := g.gateway(name, now); w != nil {
		w.inFlight++
	}
}

// End records that a statement that was sent to a gateway has ended.
func (g *Group) End(name string) {
	if w := g.gateways[name]; w != nil && w.inFlight > 0 {
		w.inFlight--
	}
}

// gateway returns the record of a gateway, or nil where there is no place for another one.
func (g *Group) gateway(name string, now time.Time) *gateway {
	if w := g.gateways[name]; w != nil {
		return w
	}
	if len(g.gateways) >= maxGateways {
		for other, w := range g.gateways {
			if w.inFlight == 0 && !w.isKnown(now) {
				delete(g.gateways, other)
			}
		}
	}
	if len(g.gateways) >= maxGateways {
		return nil
	}
	if g.gateways == nil {
		g.gateways = map[string]*gateway{}
	}
	g.gateways[name] = &gateway{}
	return g.gateways[name]
}

// isKnown reports whether a gateway has reported lately.
func (w *gateway) isKnown(now time.Time) bool {
	return w != nil && !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < ReportTTL
}

// load returns what a gateway has, with what this process has in flight there.
func (w *gateway) load() float64 { return w.statements + float64(w.inFlight) }

// evenShare returns the even share of what gateways have, by those with a recent report, and
// whether there are at least two.
func (g *Group) evenShare(order []string, now time.Time) (float64, bool) {
	sum, known := 0.0, 0
	for _, name := range order {
		if w := g.gateways[name]; w.isKnown(now) {
			sum += w.load()
			known++
		}
	}
	return sum / float64(max(known, 1)), known > 1
}

// demand returns how many statements a workspace has at all gateways with a recent report, by
// its part of their service time. The numbers of statements at one moment vary more than
// service times do, so they are added up first.
func (g *Group) demand(id uint32, order []string, now time.Time) float64 {
	var statements, busy, used float64
	for _, name := range order {
		if w := g.gateways[name]; w.isKnown(now) {
			statements += w.statements
			busy += w.busy
			used += w.uses[id]
		}
	}
	return part(statements, used, busy)
}

// held returns how many statements of a workspace a gateway has.
func (w *gateway) held(id uint32) float64 { return part(w.statements, w.uses[id], w.busy) }

// part returns the part of the statements that takes a part of the service time.
func part(statements, used, busy float64) float64 {
	if busy <= 0 {
		return 0
	}
	return statements * min(used/busy, 1)
}
