package carrier

import (
	"context"
	"time"
)

// Extra is connections that another gateway of the group has lent to this one.
type Extra struct {
	Count int
	// Until is when they may no longer be used, by the Registry's clock, and Serving whether
	// new work may use them.
	Until   time.Time
	Serving bool
}

// division is how this process's connections to one upstream differ from its share because of
// loans between gateways. It is guarded by the group's lock.
type division struct {
	lends  bool
	limit  int // while it lends
	lent   int // what the limit leaves of the share for which it was set
	extras []Extra
	// enforced is how many connections of loans this process might have when the loans were last
	// enforced.
	enforced int
	// opening is canceled when connections that are being opened are too many.
	opening context.Context
	cancel  context.CancelFunc
}

// apply returns how many connections this process may have, in place of a share.
func (d *division) apply(share int, now time.Time) int {
	if share == 0 {
		return share
	}
	if d.lends {
		share = min(d.limit, max(0, share-d.lent))
	}
	for _, e := range d.extras {
		if e.Serving && now.Before(e.Until) {
			share += e.Count
		}
	}
	return share
}

// borrowed returns how many connections of loans this process may have at all, with those that
// loans in their last moments have left.
func (d *division) borrowed(now time.Time) int {
	n := 0
	for _, e := range d.extras {
		if now.Before(e.Until) {
			n += e.Count
		}
	}
	return n
}

// hasExpired reports whether a loan has ended by the clock.
func (d *division) hasExpired(now time.Time) bool {
	for _, e := range d.extras {
		if !now.Before(e.Until) {
			return true
		}
	}
	return false
}

// divisionOf returns the division of an upstream, and creates it unless it exists. The caller
// must hold g.mu.
func (g *Group) divisionOf(id string) *division {
	if g.divisions == nil {
		g.divisions = map[string]*division{}
	}
	if g.divisions[id] == nil {
		g.divisions[id] = &division{}
	}
	return g.divisions[id]
}

// LimitOwnConns limits this process to n of its share of the connections to an upstream, until
// UnlimitOwnConns, while others are lent to gateways of the group. Where the share becomes
// smaller meanwhile, what is lent still counts against it.
func (g *Group) LimitOwnConns(id string, n int) {
	g.mu.Lock()
	d := g.divisionOf(id)
	d.lends, d.limit, d.lent = true, n, max(0, g.registry.share(g.name)-n)
	g.mu.Unlock()
	g.applyShare()
}

// UnlimitOwnConns ends the limit of LimitOwnConns.
func (g *Group) UnlimitOwnConns(id string) {
	g.mu.Lock()
	if d := g.divisions[id]; d != nil {
		d.lends = false
		g.dropUnused(id, d)
	}
	g.mu.Unlock()
	g.applyShare()
}

// ExtendConns adds the connections of loans to this process's share of those to an upstream,
// in place of what was said before. Connections beyond them are closed at once.
func (g *Group) ExtendConns(id string, extras []Extra) {
	g.mu.Lock()
	g.divisionOf(id).extras = extras
	g.mu.Unlock()
	g.enforceDivision(id)
}

// dropUnused forgets a division without effect. The caller must hold g.mu.
func (g *Group) dropUnused(id string, d *division) {
	if !d.lends && len(d.extras) == 0 {
		delete(g.divisions, id)
	}
}

// endExpiredLoans closes the connections of loans that have ended by the clock. It is called
// before a connection is used or opened, because nothing else may have run since: the process
// may have been paused. The caller must hold g.mu, which is released meanwhile where a loan has
// ended.
func (g *Group) endExpiredLoans(u *upstream) {
	if len(g.divisions) == 0 {
		return
	}
	if d := g.divisions[u.id]; d != nil && d.hasExpired(g.registry.Now()) {
		g.mu.Unlock()
		g.enforceDivision(u.id)
		g.mu.Lock()
	}
}

// enforceDivision applies the limit of the connections to an upstream, and closes what is
// beyond the loans that this process has: idle connections, then those between two statements
// of a transaction, then others. Openings are given up last. No more are closed than loans that
// have ended since the last call had: where the share has become smaller, own connections in
// use stay until they are returned, as without loans.
func (g *Group) enforceDivision(id string) {
	g.applyShare() // closes the idle ones
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.divisions[id]
	if d == nil {
		return
	}
	now := g.registry.Now()
	borrowed := d.borrowed(now)
	ended := d.enforced - borrowed
	d.enforced = borrowed
	for _, u := range g.upstreams {
		if u.id != id || u.pool == nil {
			continue
		}
		excess := min(ended, u.heldConns()-g.registry.share(g.name)-borrowed)
		excess = u.cutSome(excess, func(r *run) bool { return r.exchangeStartedAt.IsZero() })
		excess = u.cutSome(excess, func(r *run) bool { return !r.inDoubtIfLost })
		excess = u.cutSome(excess, func(*run) bool { return true })
		if excess > 0 {
			d.enforced += excess // found again by the next call
		}
		if excess > 0 && d.cancel != nil {
			d.cancel()
			d.cancel = nil
		}
	}
	kept := d.extras[:0:0]
	for _, e := range d.extras {
		if now.Before(e.Until) {
			kept = append(kept, e)
		}
	}
	d.extras = kept
	g.dropUnused(id, d)
	g.notifyWaiters()
}

// cutSome closes up to n of the connections in use that qualify, and returns how many are left
// to close. The caller must hold the group's lock.
func (u *upstream) cutSome(n int, qualifies func(*run) bool) int {
	for r := range u.running {
		if n > 0 && !r.conn.cut && qualifies(r) {
			r.conn.cut = true
			r.conn.Abort()
			_ = r.conn.Close() // it is not used again
			n--
		}
	}
	return n
}

// openingEnd returns the context that ends when connections that are being opened to an
// upstream are too many; nil where nothing was borrowed. The caller must hold g.mu.
func (g *Group) openingEnd(u *upstream) context.Context {
	d := g.divisions[u.id]
	if d == nil || len(d.extras) == 0 {
		return nil
	}
	if d.cancel == nil {
		d.opening, d.cancel = context.WithCancel(context.Background())
	}
	return d.opening
}

// DivisionState is what this process sees of one upstream, for loans between gateways.
type DivisionState struct {
	// Obstacle is why connections there are not to be moved; empty if they may be.
	Obstacle string
	// Share is this process's share of the connections to each upstream, and Leader the
	// group's leader; empty while none is known.
	Share  int
	Leader string
	// Held is how many connections this process has, including those being opened. Busy is how
	// many are in use, Peak the most since the last state that was taken with reset, and
	// Waiting how many callers wait.
	Held, Busy, Peak, Waiting int
	// Peers holds what peers have lately reported.
	Peers map[string]PeerDemand
}

// PeerDemand is what a peer has at an upstream.
type PeerDemand struct{ Running, Waiting int }

// UpstreamIDs returns the upstreams of the group.
func (g *Group) UpstreamIDs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := make([]string, len(g.upstreams))
	for i, u := range g.upstreams {
		ids[i] = u.id
	}
	return ids
}

// DivisionState returns the state of one upstream. With reset the peak begins anew.
func (g *Group) DivisionState(id string, reset bool) DivisionState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := DivisionState{Obstacle: "not listed", Share: g.registry.share(g.name)}
	if g.leader != nil {
		s.Leader = g.leader.id
	}
	for _, u := range g.upstreams {
		if u.id == id && u.pool != nil {
			g.addDivisionState(&s, u, reset)
		}
	}
	return s
}

// addDivisionState does the work of DivisionState for an upstream. The caller must hold g.mu.
func (g *Group) addDivisionState(s *DivisionState, u *upstream, reset bool) {
	switch {
	case u.entry.Leaving:
		s.Obstacle = "upstream leaves"
	case u.ejected:
		s.Obstacle = "upstream doesn't answer"
	case u.unlistedSince.IsZero():
		s.Obstacle = ""
	}
	stats := u.pool.Stats()
	s.Held, s.Busy = u.heldConns(), len(u.running)
	s.Peak = max(u.peakRunning, s.Busy)
	s.Waiting = u.gate.Waiting() + stats.Waiting
	if reset {
		u.peakRunning = s.Busy
	}
	now := g.registry.Now()
	s.Peers = make(map[string]PeerDemand, len(g.peerLoads))
	for name, p := range g.peerLoads {
		if now.Sub(p.receivedAt) >= peerLoadTTL {
			continue
		}
		for i := range p.upstreams {
			if p.upstreams[i].ID == u.id {
				s.Peers[name] = PeerDemand{Running: p.upstreams[i].Running, Waiting: p.upstreams[i].Waiting}
			}
		}
	}
}
