package spreader

import (
	"math"
	"time"
)

const (
	// FullFactor is how many times the even share a gateway has when it is full, and
	// returnFactor what it has at most when a divided workspace returns to it. Each move costs
	// new connections.
	FullFactor   = 1.25
	returnFactor = 1.0
	// targetFactor is what a gateway is filled to, in the middle between the two.
	targetFactor = (FullFactor + returnFactor) / 2
	// minBound is the number of statements below which a bound does not count: the work of one
	// slot.
	minBound = 1.0
	// largePart is the part of an even share from which a workspace is divided. A smaller one
	// cannot fill a gateway, and moving it costs it its connections and frees little.
	largePart = 0.5
	// smallPart is the part of an even share below which a divided workspace is whole again.
	smallPart = largePart / 2
	// changeInterval is the time between two changes of a division: the reports that show the
	// effect of a change come within half a second, and are smoothed.
	changeInterval = time.Second
	// wholePart is the part at the first gateway from which a workspace is whole again.
	wholePart = 0.95
	// idleTimeout is how long a divided workspace without statements is remembered.
	idleTimeout = 10 * time.Second
	// maxSpreads bounds the divided workspaces; at most two for each gateway are large.
	maxSpreads = 2 * maxGateways
)

// Change says what Choose has changed.
type Change uint8

// Changes of the division of a workspace.
const (
	Unchanged Change = iota
	// Spread means that the workspace is divided from now on.
	Spread
	// Adjusted means that the parts of a divided workspace have changed.
	Adjusted
	// Returned means that all statements go to the first gateway again.
	Returned
)

// spread is how a workspace is divided over gateways.
type spread struct {
	parts     map[string]float64 // of the workspace's statements, by gateway
	credits   map[string]float64 // statements that a gateway should have got, less those it got
	changedAt time.Time
	usedAt    time.Time
}

// IsSpread reports whether a workspace is divided.
func (g *Group) IsSpread(id uint32) bool { return g.spreads[id] != nil }

// Spreads returns the number of workspaces that are divided and have had statements lately.
func (g *Group) Spreads(now time.Time) int {
	g.dropIdle(now)
	return len(g.spreads)
}

func (g *Group) dropIdle(now time.Time) {
	for id, s := range g.spreads {
		if now.Sub(s.usedAt) >= idleTimeout {
			delete(g.spreads, id)
		}
	}
}

// MayChoose reports whether Choose could return another gateway than the first. It is cheaper
// than computing the order.
func (g *Group) MayChoose(id uint32, now time.Time) bool {
	if g.IsSpread(id) {
		return true
	}
	for _, w := range g.gateways {
		if w.uses[id] > 0 && w.isKnown(now) {
			return true
		}
	}
	return false
}

// Choose returns the gateway for a statement of a workspace, of those in the workspace's order.
// Without recent reports it is the first.
func (g *Group) Choose(id uint32, order []string, now time.Time) (string, Change) {
	if len(order) == 0 {
		return "", Unchanged
	}
	first, s := order[0], g.spreads[id]
	even, ok := g.evenShare(order, now)
	if !ok || !g.gateways[first].isKnown(now) {
		return first, g.end(id)
	}
	if s == nil {
		if !g.isFull(first, even, now) || g.demand(id, order, now) < largePart*even {
			return first, Unchanged
		}
		g.dropIdle(now)
		if len(g.spreads) >= maxSpreads {
			return first, Unchanged
		}
		s = &spread{parts: g.divide(id, order, even, now), credits: map[string]float64{}, changedAt: now, usedAt: now}
		if s.parts[first] >= wholePart {
			return first, Unchanged
		}
		if g.spreads == nil {
			g.spreads = map[uint32]*spread{}
		}
		g.spreads[id] = s
		return s.next(order), Spread
	}
	s.usedAt = now
	change := Unchanged
	due := now.Sub(s.changedAt) >= changeInterval
	if due && g.demand(id, order, now) < smallPart*even {
		return first, g.end(id)
	}
	if due && g.needsChange(s, order, even, now) {
		s.moveTo(g.divide(id, order, even, now), order)
		s.changedAt = now
		if s.parts[first] >= wholePart {
			return first, g.end(id)
		}
		change = Adjusted
	}
	return s.next(order), change
}

// end makes a workspace whole again.
func (g *Group) end(id uint32) Change {
	if !g.IsSpread(id) {
		return Unchanged
	}
	delete(g.spreads, id)
	return Returned
}

// isFull reports whether a gateway is full, given the even share.
func (g *Group) isFull(name string, even float64, now time.Time) bool {
	w := g.gateways[name]
	return FullFactor*even >= minBound && w.isKnown(now) && w.load() > FullFactor*even
}

// needsChange reports whether a gateway that takes a part of a workspace is full, or the first
// one has less than an even share.
func (g *Group) needsChange(s *spread, order []string, even float64, now time.Time) bool {
	if g.gateways[order[0]].load() < returnFactor*even {
		return true
	}
	for _, name := range order {
		if s.parts[name] > 0 && g.isFull(name, even, now) {
			return true
		}
	}
	return false
}

// divide returns the parts of a workspace's statements that fill the gateways in the order up
// to targetFactor times the even share. What none has room for goes to the first.
func (g *Group) divide(id uint32, order []string, even float64, now time.Time) map[string]float64 {
	parts := map[string]float64{}
	demand := g.demand(id, order, now)
	target := targetFactor * even
	if FullFactor*even < minBound {
		target = math.Inf(1)
	}
	rest := demand
	for _, name := range order {
		room := even // of a gateway without a recent report
		if w := g.gateways[name]; w.isKnown(now) {
			room = target - (w.load() - w.held(id))
		}
		if taken := min(room, rest); taken > 0 {
			parts[name] = taken / demand
			rest -= taken
		}
	}
	if demand <= 0 {
		return map[string]float64{order[0]: 1}
	}
	parts[order[0]] += rest / demand
	return parts
}

// moveTo changes the parts half of the way to others. Two large workspaces with the same first
// gateway would otherwise both leave it and both return, by turns.
func (s *spread) moveTo(parts map[string]float64, order []string) {
	next := map[string]float64{}
	// Of many gateways each has a small part, so less than half of an equal one is small there.
	least := min(1-wholePart, 0.5/float64(len(order)))
	for _, name := range order {
		if part := (s.parts[name] + parts[name]) / 2; part >= least {
			next[name] = part
		}
	}
	s.parts = next
}

// next returns the gateway of the next statement: the one that is furthest behind its part.
func (s *spread) next(order []string) string {
	best, sum := order[0], 0.0
	for _, name := range order {
		sum += s.parts[name]
		s.credits[name] += s.parts[name]
		if s.credits[name] > s.credits[best] {
			best = name
		}
	}
	if sum == 0 { // none of those with a part is left
		return order[0]
	}
	s.credits[best] -= sum
	return best
}
