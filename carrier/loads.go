package carrier

import (
	"time"

	"basildale.example/basildale/gossiper"
)

// Features are the optional ways to decide under load. The zero value has none of them.
type Features struct {
	// FairAdmission divides an upstream among the workspaces that compete for it.
	FairAdmission bool
	// ExpectedPlacement chooses upstreams by when they are expected to answer, and
	// AdaptivePlacement does so where other availability zones are far.
	ExpectedPlacement bool
	AdaptivePlacement bool
	// FairConnections divides an upstream's connections among workspaces.
	FairConnections bool
	// DemandDivision lets gateways of a group lend connections to each other.
	DemandDivision bool
	// ShortRetries keeps the delay that a refusal names within the caller's deadline.
	ShortRetries bool
	// Weight returns the weight of a workspace; nil stands for 1.
	Weight func(workspace string) float64
}

// features returns the features in force.
func (c *Registry) features() Features {
	if c.Features == nil {
		return Features{}
	}
	return c.Features()
}

// Bounds of the loads that peers report.
const (
	// peerLoadTTL is how long a reported load counts: peers report each half second, and up
	// to three datagrams in a row may be lost.
	peerLoadTTL = 2 * time.Second
	// maxPeerLoads is the number of peers whose loads are kept for a group, and
	// maxUpstreamLoads and maxWorkspaceUses bound each of them.
	maxPeerLoads     = 64
	maxUpstreamLoads = 8
	maxWorkspaceUses = 16
)

// peerLoad is the load that a peer has reported, and when that was received.
type peerLoad struct {
	upstreams  []gossiper.UpstreamLoad
	receivedAt time.Time
}

// Loads returns what this process has at the group's upstreams, for its peers; nothing where
// no feature needs it.
func (g *Group) Loads(now time.Time) []gossiper.UpstreamLoad {
	f := g.registry.features()
	g.mu.Lock()
	defer g.mu.Unlock()
	expected := g.active && g.placesByExpectation(f)
	if !g.active || !f.FairAdmission && !f.FairConnections && !f.DemandDivision && !expected {
		return nil
	}
	var out []gossiper.UpstreamLoad
	for _, u := range g.upstreams {
		l, ok := u.load(now, f)
		if expected && u != g.leader {
			l.Lag = u.reportedLag(now)
			ok = ok || l.Lag > 0
		}
		if ok && len(out) < maxUpstreamLoads {
			out = append(out, l)
		}
	}
	if len(out) == 0 && f.FairConnections && len(g.upstreams) > 0 {
		// Without an entry a gateway that has nothing could not be told from one that does not report.
		out = append(out, gossiper.UpstreamLoad{ID: g.upstreams[0].id})
	}
	return out
}

// load returns what this process has at an upstream, and whether that is anything. The
// caller must hold the group's lock.
func (u *upstream) load(now time.Time, f Features) (gossiper.UpstreamLoad, bool) {
	l := gossiper.UpstreamLoad{ID: u.id, Running: len(u.running), Waiting: u.gate.Waiting()}
	switch {
	case f.FairAdmission:
		u.addUses(&l)
	case f.FairConnections:
		u.addUsage(&l, now)
	}
	return l, l.Running > 0 || l.Waiting > 0 || len(l.Used) > 0
}

// SetPeerLoads records what a peer has at the upstreams of a group. Entries that cannot be
// right are dropped.
func (c *Registry) SetPeerLoads(peer, group string, loads []gossiper.UpstreamLoad, at time.Time) {
	g, ok := c.Group(group)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(loads) == 0 {
		delete(g.peerLoads, peer)
		return
	}
	if _, known := g.peerLoads[peer]; !known && len(g.peerLoads) >= maxPeerLoads && !g.dropOldLoads(at) {
		return
	}
	if g.peerLoads == nil {
		g.peerLoads = map[string]peerLoad{}
	}
	g.peerLoads[peer] = peerLoad{g.validLoads(loads), at}
}

// dropOldLoads drops the loads that no longer count, and reports whether there were any. The
// caller must hold g.mu.
func (g *Group) dropOldLoads(now time.Time) bool {
	before := len(g.peerLoads)
	for peer, l := range g.peerLoads {
		if now.Sub(l.receivedAt) >= peerLoadTTL {
			delete(g.peerLoads, peer)
		}
	}
	return len(g.peerLoads) < before
}

// validLoads returns the loads of known upstreams whose numbers can be right. The caller must
// hold g.mu.
func (g *Group) validLoads(loads []gossiper.UpstreamLoad) []gossiper.UpstreamLoad {
	out := make([]gossiper.UpstreamLoad, 0, min(len(loads), maxUpstreamLoads))
	for _, l := range loads {
		known := false
		for _, u := range g.upstreams {
			known = known || u.id == l.ID
		}
		if !known || len(out) >= maxUpstreamLoads || min(l.Running, l.Waiting, l.Lag, l.Rest, l.Others, l.Cut, l.RestUrgent) < 0 {
			continue
		}
		used := make([]gossiper.WorkspaceUse, 0, min(len(l.Used), maxWorkspaceUses))
		for _, w := range l.Used {
			if len(used) < maxWorkspaceUses && min(w.Busy, w.Waiting, w.Urgent) >= 0 {
				used = append(used, w)
			}
		}
		l.Used = used
		out = append(out, l)
	}
	return out
}

// loadsOfPeers calls f with what each peer has lately reported to have at an upstream. The
// caller must hold g.mu.
func (g *Group) loadsOfPeers(now time.Time, id string, f func(l *gossiper.UpstreamLoad)) {
	for _, p := range g.peerLoads {
		if now.Sub(p.receivedAt) >= peerLoadTTL {
			continue
		}
		for i := range p.upstreams {
			if p.upstreams[i].ID == id && !isIdle(&p.upstreams[i]) {
				f(&p.upstreams[i])
			}
		}
	}
}

// isIdle reports whether a peer has nothing at an upstream. It states that only to show that it
// reports.
func isIdle(l *gossiper.UpstreamLoad) bool {
	return l.Running == 0 && l.Waiting == 0 && l.Lag == 0 && l.Rest == 0 && len(l.Used) == 0
}
