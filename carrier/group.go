package carrier

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/pooler"
	"basildale.example/basildale/tracker"
)

// Group is this proxy's view of one database group. It is safe for concurrent use.
type Group struct {
	name     string
	registry *Registry

	mu        sync.Mutex
	listed    []cataloger.Upstream // as last applied
	upstreams []*upstream
	// absent holds, by id, upstreams that the store no longer lists and whose logs are not
	// accounted for.
	absent map[string]*absentUpstream
	// accounted holds the ids of upstreams that were absent and were accounted for last, and
	// minReceived the position that the log of a new leader must reach because of them.
	accounted   []string
	minReceived tracker.Mark
	// leader is the upstream that last proved or claimed that it leads; nil while none is
	// known. provenAt is when the last proof was requested.
	leader   *upstream
	provenAt time.Time
	// lastLeader is the id of the last leader.
	lastLeader string
	former     formerLeader
	// fence is the change of leader that is under way, and successorMark the position that
	// its successor has stated.
	fence         Fence
	successorMark tracker.Mark
	polling       chan struct{} // closed when the successor was asked; nil while it is not
	// leaderlessSince is when the last leader that answered was lost; zero while one is
	// known.
	leaderlessSince time.Time
	// changed is closed and replaced when the leader or an upstream changes.
	changed    chan struct{}
	samples    samples
	ages       ages
	sampling   chan struct{} // closed when the running sampling has ended; nil when none runs
	searchedAt time.Time     // when upstreams were last asked who leads
	tickedAt   time.Time
	shrunkAt   time.Time // when unneeded connections were last closed
	// active is set once this process has had a share of the connections. Until then the
	// upstreams have no pools and gates: in a large fleet a process is a gateway of few
	// groups.
	active bool
	// peerLoads holds the latest loads that peers have reported, by name.
	peerLoads map[string]peerLoad
	// limit replaces the share of the connections to one upstream; nil where there is none.
	limit *connLimit
	// divisions holds, by upstream, the loans between gateways of the group.
	divisions map[string]*division
	// applying is held while shares are applied, so that an older one does not replace a newer.
	applying sync.Mutex
	expected expectation
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// apply replaces the upstreams of the group by the listed ones.
func (g *Group) apply(list []cataloger.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Equal(list, g.listed) {
		return
	}
	g.listed = list
	kept := make([]*upstream, 0, len(list))
	for _, listed := range list {
		kept = append(kept, g.update(listed))
	}
	for _, u := range g.upstreams {
		switch {
		case containsUpstream(kept, u):
		case g.keepUnlisted(u, list):
			kept = append(kept, u)
		default:
			g.drop(u)
		}
	}
	g.upstreams = kept
	g.registry.setBusy(g, true)
	g.resolveAbsent()
	g.notifyWaiters()
}

func containsUpstream(list []*upstream, u *upstream) bool {
	for _, o := range list {
		if o == u {
			return true
		}
	}
	return false
}

// update returns the upstream of an entry. It creates a new one when the upstream is not
// known or has restarted, because nothing learned before a restart still holds, neither the
// position of its log nor what is prepared on its connections. What the store's entry
// states about the leader is applied only where it has changed.
func (g *Group) update(listed cataloger.Upstream) *upstream {
	for _, u := range g.upstreams {
		if u.id != listed.ID {
			continue
		}
		if listed.Born.IsZero() || listed.Born.Before(u.entry.Born) {
			listed.Born = u.entry.Born // no start time, or that of an earlier start
		}
		if isRestart(u.entry, listed) {
			g.log().Warn("carrier: upstream restarted", zap.String("group", g.name), zap.String("upstream", listed.ID),
				zap.Time("born", listed.Born), zap.Time("before", u.entry.Born), zap.Stringer("version", listed.Version))
			break
		}
		before := u.entry
		// An upstream that was not listed counts as leaving without having announced it.
		leavingChanged := listed.Leaving != before.Leaving || listed.Leaving && !u.unlistedSince.IsZero()
		u.entry, u.unlistedSince = listed, time.Time{}
		if leavingChanged {
			g.setDrainTime(u, g.registry.LeaveTimeout)
			g.log().Info("carrier: leaving state of upstream changed", zap.String("group", g.name), zap.String("upstream", listed.ID), zap.Bool("leaving", listed.Leaving))
		}
		if listed.Leads && !before.Leads {
			g.handleLeaderClaim(u)
		}
		if !listed.Leads && before.Leads && g.leader == u {
			g.setLeader(nil, "listed as replica")
		}
		return u
	}
	u := &upstream{id: listed.ID, slots: listed.Slots, entry: listed}
	if g.active {
		g.activateUpstream(u)
	}
	g.setDrainTime(u, g.registry.LeaveTimeout/2)
	g.logChange("carrier: upstream joined", zap.String("group", g.name), zap.String("upstream", listed.ID),
		zap.Stringer("address", listed.Address), zap.String("zone", listed.Zone), zap.Bool("leads", listed.Leads), zap.Stringer("version", listed.Version))
	if listed.Leads {
		g.handleLeaderClaim(u)
	}
	return u
}

// activate creates the pools and gates of the group's upstreams. It must be called before
// this process has a share of their connections.
func (g *Group) activate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active {
		return
	}
	g.active = true
	for _, u := range g.upstreams {
		g.activateUpstream(u)
	}
}

// activateUpstream creates the pool and gate of an upstream. The caller must hold g.mu.
func (g *Group) activateUpstream(u *upstream) {
	u.running = map[*run]struct{}{}
	u.gate = newGate()
	u.gate.SetWindowMin(g.registry.minWindow(g.name, u.slots))
	u.opener = &opener{now: g.registry.Now, after: func(d time.Duration, f func()) { time.AfterFunc(d, f) }}
	u.pool = &pooler.Pool[*conn]{
		Limit:         g.shareOf(u.id),
		Dial:          func(ctx context.Context, workspace string) (*conn, error) { return g.dial(ctx, u, workspace) },
		Close:         func(c *conn) { _ = c.Close() }, // the connection is discarded whether or not closing it fails
		Owner:         func(c *conn) string { return c.workspace },
		RequestPermit: u.opener.request,
		ZeroLimitErr:  errNoShare,
		Sharing:       g.sharing(u),
	}
	u.opener.permit = u.pool.Permit
}

// logChange logs a change of the group's upstreams, at a lower level while this process has
// never been a gateway of the group: in a large fleet most lines would be of such groups.
func (g *Group) logChange(message string, fields ...zap.Field) {
	level := zap.DebugLevel
	if g.active {
		level = zap.InfoLevel
	}
	g.log().Log(level, message, fields...)
}

// handleLeaderClaim handles an upstream's own claim that it leads. Where another upstream
// has proved that it leads, this one must prove it too: an upstream that was partitioned
// when it was replaced claims to lead until it learns of its successor. The caller must
// hold g.mu.
func (g *Group) handleLeaderClaim(u *upstream) {
	switch {
	case g.fence.bars(u.id):
	case g.reachableLeaderLocked() == nil:
		g.setLeader(u, "listed")
	case g.active:
		go g.checkLeader(u)
	}
}

// drop stops the pool of an upstream that is no longer listed and records it as absent. The
// caller must hold g.mu.
func (g *Group) drop(u *upstream) {
	u.removed = true
	if u.pool != nil {
		go u.pool.Stop()
	}
	if g.leader == u {
		g.setLeader(nil, "gone")
	}
	if u.minReceived != unreachableMark() {
		g.minReceived = laterMark(g.minReceived, u.minReceived)
	}
	g.recordAbsent(u)
	g.logChange("carrier: upstream removed", zap.String("group", g.name), zap.String("upstream", u.id), zap.Stringer("version", u.entry.Version))
}

// setLeader records which upstream leads. The caller must hold g.mu.
func (g *Group) setLeader(u *upstream, evidence string) {
	if g.leader == u {
		return
	}
	id := ""
	if u != nil {
		id = u.id
	}
	g.logChange("carrier: leader changed", zap.String("group", g.name), zap.String("upstream", id),
		zap.String("before", g.lastLeader), zap.String("evidence", evidence))
	g.followDemand(u)
	g.leader = u
	if u != nil {
		u.expected.lag = placer.Lag{} // it does not lag, and is a new replica afterwards
	}
	if u == nil && g.leaderlessSince.IsZero() {
		g.leaderlessSince = g.registry.Now()
	}
	if u != nil {
		g.leaderlessSince = time.Time{}
		g.lastLeader = u.id
	}
	g.notifyWaiters()
}

// notifyWaiters wakes all that wait for a change. The caller must hold g.mu.
func (g *Group) notifyWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) log() *zap.Logger { return g.registry.Log }

// applyShare applies this process's share of the connections to each upstream's pool and
// gate.
func (g *Group) applyShare() {
	g.applying.Lock()
	defer g.applying.Unlock()
	g.mu.Lock()
	if !g.active {
		g.mu.Unlock()
		return
	}
	upstreams := append([]*upstream(nil), g.upstreams...)
	shares := make([]int, len(upstreams))
	for i, u := range upstreams {
		shares[i] = g.shareOf(u.id)
	}
	g.registry.setBusy(g, true)
	g.mu.Unlock()
	for i, u := range upstreams {
		u.gate.SetWindowMin(g.minWindow(u, shares[i]))
		u.pool.SetLimit(shares[i])
	}
}

// recordAnswer records that an upstream has answered, and the position of its log.
func (g *Group) recordAnswer(u *upstream, mark tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.answeredAt = g.registry.Now()
	if u.mark.Less(mark) {
		u.mark = mark
	}
	g.learnPosition(u, u.answeredAt, mark)
	if u.ejected {
		g.log().Info("carrier: upstream answers again; no longer ejected", zap.String("group", g.name), zap.String("upstream", u.id),
			zap.Duration("barred", u.answeredAt.Sub(u.ejectedAt)))
		u.ejected = false
		u.probeInterval = 0
		if u == g.leader {
			g.leaderlessSince = time.Time{}
		}
		g.notifyWaiters()
	}
}

// recordLeader records that an upstream led the group when it was asked, and the position
// of its log. Of two proofs the one that was requested later counts: there is never more
// than one leader at a time.
func (g *Group) recordLeader(u *upstream, requestedAt time.Time, mark tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if requestedAt.Before(g.provenAt) || g.fence.bars(u.id) {
		return
	}
	g.provenAt = requestedAt
	if !u.removed {
		g.setLeader(u, "proved")
	}
	g.samples.add(requestedAt, mark)
	g.resolveRestarts(requestedAt, mark)
	g.resolveEnded(requestedAt, mark)
}

// recordReplica records that an upstream refused a command because it is a replica.
func (g *Group) recordReplica(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == u {
		g.setLeader(nil, "refused as a replica")
	}
}

// handleReadOnly does the same as recordReplica, and searches for the leader.
func (g *Group) handleReadOnly(u *upstream) {
	g.recordReplica(u)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.searchLeader()
}

// choose picks an upstream for a job and returns the reason for the choice. If there is
// none, it returns a channel that is closed when the leader or an upstream changes; if that
// is because no leader is known, it starts a search for it.
func (g *Group) choose(need placer.Need, workspace string, tried map[*upstream]bool) (*upstream, placer.Reason, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	candidates := make([]placer.Candidate, len(g.upstreams))
	upTo := g.samples.firstContaining(need.MinMark, now)
	home := g.homeReplica(workspace)
	for i, u := range g.upstreams {
		candidates[i] = u.candidate(now, upTo, u == g.leader, u.entry.Zone == g.registry.Zone, tried[u], g.shareOf(u.id))
		candidates[i].ConnectDelay = u.connectDelay(workspace, u == g.leader, u == home)
	}
	i, reason := placer.Choose(candidates, need)
	if g.registry.CountPlacement != nil {
		g.registry.CountPlacement(string(reason))
	}
	if i == placer.None {
		if reason == placer.NoLeader {
			g.searchLeader()
		}
		return nil, reason, g.changed
	}
	u := g.upstreams[i]
	if !need.LeaderOnly {
		u.lag.recordRetry(now)
	}
	return u, reason, nil
}

// homeReplica returns the replica that a workspace's reads should use, nil where any will
// do. Connections of each workspace to one replica rather than to all of them halve the
// number of connections to open. The caller must hold g.mu.
func (g *Group) homeReplica(workspace string) *upstream {
	if workspace == "" {
		return nil
	}
	var home *upstream
	var maxWeight uint64
	for _, u := range g.upstreams {
		if u == g.leader || u.ejected || u.entry.Leaving {
			continue
		}
		if weight := xxhash.Sum64String(workspace + " " + u.id); home == nil || weight > maxWeight {
			home, maxWeight = u, weight
		}
	}
	return home
}

// reachableLeaderLocked returns the leader if it answers, or nil. The caller must hold
// g.mu.
func (g *Group) reachableLeaderLocked() *upstream {
	if g.leader == nil || g.leader.ejected {
		return nil
	}
	return g.leader
}

// reachableLeader returns the leader if it answers, or nil.
func (g *Group) reachableLeader() *upstream {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reachableLeaderLocked()
}

// addRun records that a job is running on an upstream.
func (g *Group) addRun(u *upstream, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.running[r] = struct{}{}
	u.peakRunning = max(u.peakRunning, len(u.running))
}

func (g *Group) removeRun(u *upstream, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(u.running, r)
}

// release returns a connection to the pool, or closes it when it cannot be used again.
func (g *Group) release(u *upstream, c *conn, usable bool) {
	if !usable || !c.isUsable() {
		u.pool.Discard(c)
		return
	}
	u.pool.Put(c)
}

// recordWrite records that an upstream answered a write or the commit of one, whatever the
// outcome.
func (g *Group) recordWrite(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.wroteAt = g.registry.Now()
}

// recordLag records that an upstream's log lacked what a read needed.
func (g *Group) recordLag(u *upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	completeAt := g.samples.completeTo(u.mark)
	if completeAt.IsZero() && len(g.samples.ring) > 0 {
		completeAt = g.samples.ring[0].requestedAt // it lags by more than the samples cover
	}
	now := g.registry.Now()
	u.lag.recordRefused(now, completeAt)
	g.log().Info("carrier: replica lags", zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Duration("by", now.Sub(completeAt)), zap.Stringer("at", u.mark))
}

// recordOutcome records the outcome of a statement that an upstream answered. Only
// statements that it ran show whether it works.
func (g *Group) recordOutcome(u *upstream, a Answer) {
	if a.Code == OK || a.Code == Failed && !a.Doubtful {
		g.recordFailure(u, a.Code == Failed)
	}
}

// recordFailure records whether an upstream failed a statement.
func (g *Group) recordFailure(u *upstream, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	u.failures.record(now, failed)
	if failed && u.failures.rate > maxPartialFailureRate {
		g.loseWork(u, now, "failing")
	}
}

// recordAnswerTime records the latency of an answer.
func (g *Group) recordAnswerTime(u *upstream, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.recordLatency(g.registry.Now(), d)
}
