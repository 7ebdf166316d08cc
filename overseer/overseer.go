package overseer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
)

// Intervals and thresholds of the control loop.
const (
	// tickInterval is the time between two checks of the groups. Each step of a change of
	// leader waits for half of it on average.
	tickInterval = 50 * time.Millisecond
	// idleTickInterval applies while no group is relevant to this process.
	idleTickInterval = 4 * tickInterval
	// pauseThreshold is the time between two checks beyond which this process counts as having
	// been paused: what it assumed about others is no longer valid.
	pauseThreshold = 600 * time.Millisecond
	// deadThreshold is how long the processes that vote must see the leader as dead before it
	// is replaced.
	deadThreshold = 100 * time.Millisecond
	// degradedThreshold is how long many peers must fail to reach a leader that this process
	// reaches, or see it fail, before it is replaced by a planned change.
	degradedThreshold = 700 * time.Millisecond
	// failingCooldown is how long the successors of a failing leader are not replaced for
	// failing. If they fail as well, the statements are at fault, and another change would not
	// help.
	failingCooldown = 30 * time.Second
	// overloadThreshold is how long a leader must have been overloaded, with all replicas
	// lagging too far behind for any read, before it is replaced by a planned change.
	overloadThreshold = 500 * time.Millisecond
	// minOverloadCooldown is how long a group's leader is not replaced for overload again. If
	// it is replaced again soon afterwards, the cooldown doubles, up to maxOverloadCooldown:
	// the change has not helped, and each one costs some statements.
	minOverloadCooldown = 15 * time.Second
	maxOverloadCooldown = 4 * time.Minute
	// startupGracePeriod is the time after its start or a pause in which a process replaces no
	// leader for a fault or overload: it does not know its peers and the leaders yet.
	startupGracePeriod = 2 * time.Second
	// reclaimDelay is how long a process that released a lease for another one to claim leaves
	// it to the others.
	reclaimDelay = 6 * time.Second
	// stalledThreshold is how long a leader must have acknowledged no commit before this
	// process checks whether it reaches any of the other upstreams, and demotes the leader if
	// not. The time counts from when the leader is considered commit-stalled, 0.7 s after the
	// first unacknowledged write.
	stalledThreshold = 500 * time.Millisecond
	// partitionCheckInterval is the time between two such checks, and partitionCheckTimeout
	// how long each upstream has to answer in one.
	partitionCheckInterval = time.Second
	partitionCheckTimeout  = 250 * time.Millisecond
	// fenceInterval is the time between two attempts to demote an upstream that the lease
	// holder is replacing.
	fenceInterval = 200 * time.Millisecond
	// fenceHold is how long a change of leader counts as under way after its lease holder was
	// last seen: an order that was accepted takes effect within it.
	fenceHold = 2500 * time.Millisecond
	// controlTimeout bounds one control command to an upstream.
	controlTimeout = 500 * time.Millisecond
)

// Overseer runs the control loop. Set the exported fields before calling Run.
type Overseer struct {
	Name  string
	Start int64
	// Gateways returns the groups that this process is a gateway of.
	Gateways func() []*carrier.Group
	Store    *keeper.Client
	// Era returns the latest era of the store that this process knows.
	Era func() uint64
	// LivePeers returns the peers that were seen recently.
	LivePeers func() []gossiper.Peer
	// IsPartitioned, when set, reports whether this process has peers and receives from none
	// of them.
	IsPartitioned func() bool
	// Promote sends a promotion order to the platform.
	Promote func(context.Context, replacer.Order) (replacer.Outcome, error)
	// NotifyPeers, when set, sends the states to peers at once. Waiting for the next gossip
	// round would add an eighth of a second to a change of leader on average.
	NotifyPeers func()
	// Leaving reports whether this process is shutting down.
	Leaving func() bool
	Now     func() time.Time
	Log     *zap.Logger

	claimCount  atomic.Uint64     // made by this incarnation
	groups      map[string]*group // those that were relevant to this process at some time
	events      chan func(now time.Time)
	lastTick    time.Time
	activeSince time.Time

	mu     sync.Mutex
	states map[string]gossiper.GroupState // as sent to peers
}

// group is the control state of one database group.
type group struct {
	carrierGroup       *carrier.Group
	lease              lease
	replacer           replacer.Replacer
	deadSince          time.Time     // since when most voters see the leader as dead
	stalledSince       time.Time     // since when a leader that answers here acknowledges no commits
	fenceSeenAt        time.Time     // when a lease holder last told of a change of leader that it has under way
	fenceToken         uint64        // the token of that holder
	lastDemoteAttempt  time.Time     // when this process last tried to demote an upstream
	degradedSince      time.Time     // since when many peers do not reach, or see fail, a leader that is reached here
	lastLeader         string        // the leader at the last check
	leaderFailed       bool          // this process or a peer saw lastLeader fail
	failingReplacedAt  time.Time     // when a failing leader was last replaced
	overloadedSince    time.Time     // since when the leader is overloaded and no replica can help
	overloadReplacedAt time.Time     // when a leader was last replaced for overload
	overloadCooldown   time.Duration // how long until it may be replaced for overload again

	wasRelevant bool // the group was relevant at the last check
}

// States returns what this process reports of its groups, for gossip.
func (o *Overseer) States() map[string]gossiper.GroupState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.states
}

// LeaderFault returns the fault that this process sees in a group's leader.
func (o *Overseer) LeaderFault(group string) gossiper.LeaderFault {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.states[group].LeaderFault
}

// Run runs the control loop until the context ends.
func (o *Overseer) Run(ctx context.Context) {
	o.groups = map[string]*group{}
	o.events = make(chan func(time.Time), 256)
	o.activeSince = o.Now()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.events:
			f(o.Now())
		case <-timer.C:
			if o.tick(ctx, o.Now()) {
				timer.Reset(tickInterval)
			} else {
				timer.Reset(idleTickInterval)
			}
		}
	}
}

// tick checks the groups that are relevant to this process, and reports whether there are any.
func (o *Overseer) tick(ctx context.Context, now time.Time) bool {
	paused := !o.lastTick.IsZero() && now.Sub(o.lastTick) > pauseThreshold
	o.lastTick = now
	if paused {
		o.Log.Warn("overseer: this process was paused; its leases are released")
		o.activeSince = now
	}
	relevant := o.relevantGroups()
	var live []gossiper.Peer
	if len(relevant) > 0 {
		live = o.LivePeers()
	}
	reporting := peersByGroup(live, relevant)
	states := make(map[string]gossiper.GroupState, len(relevant))
	for _, g := range relevant {
		c := g.carrierGroup
		peers := reporting[c.Name()]
		if paused {
			// Another process may have claimed the lease in the meantime.
			g.lease = lease{maxToken: g.lease.maxToken}
			g.deadSince, g.degradedSince = time.Time{}, time.Time{}
		}
		g.lease.update(c.Name(), peers, now)
		if g.lease.releaseUnlessGateway(c.IsGateway()) {
			o.Log.Info("overseer: lease released, this process is no longer a gateway for the group", zap.String("group", c.Name()))
		}
		view := o.view(g, peers, now)
		o.applyFence(g, peers, now)
		o.enforceFence(g, peers, now)
		o.demoteIfStalled(g, now)
		if o.shouldClaim(g, peers, live, now) || o.shouldReclaim(g, now) {
			g.lease.claiming = true
			go o.claimAndReport(ctx, c.Name(), c.Roster())
		}
		if g.lease.token > 0 {
			c.CheckAbsent()
		}
		o.updateRecord(ctx, g, now)
		o.execute(ctx, g, g.replacer.Handle(replacer.Tick{View: view}, now))
		if c.IsGateway() || g.lease.token > 0 {
			states[c.Name()] = o.groupState(g, view.Leader)
		}
	}
	o.mu.Lock()
	notify := needsNotify(o.states, states)
	o.states = states
	o.mu.Unlock()
	if notify && o.NotifyPeers != nil {
		o.NotifyPeers()
	}
	return len(relevant) > 0
}

// relevantGroups returns the groups that this process has to check.
func (o *Overseer) relevantGroups() []*group {
	for _, c := range o.Gateways() {
		o.group(c)
	}
	var out []*group
	for _, g := range o.groups {
		if g.isRelevant() {
			out = append(out, g)
		}
	}
	return out
}

// peersByGroup returns, for each of the groups, the peers that report a state of it.
func peersByGroup(peers []gossiper.Peer, groups []*group) map[string][]gossiper.Peer {
	out := make(map[string][]gossiper.Peer, len(groups))
	for _, g := range groups {
		out[g.carrierGroup.Name()] = nil
	}
	for _, p := range peers {
		for name := range p.Groups {
			if reporting, relevant := out[name]; relevant {
				out[name] = append(reporting, p)
			}
		}
	}
	return out
}

// claimAndReport claims a lease and passes the result to the control loop.
func (o *Overseer) claimAndReport(ctx context.Context, name string, known carrier.Roster) {
	c := o.claim(ctx, name, known)
	o.post(ctx, func(now time.Time) { o.onClaimResult(c, now) })
}

// post passes an event to the control loop, unless that has ended.
func (o *Overseer) post(ctx context.Context, event func(now time.Time)) {
	select {
	case o.events <- event:
	case <-ctx.Done():
	}
}

// isRelevant reports whether this process has to check the group: it is a gateway for it,
// holds or is claiming its lease, or did so at the last check and has state left to clear. All
// other groups are skipped: in a large fleet with a few gateways for each of many groups, 20
// checks a second of all groups use most of the CPU of a small machine.
func (g *group) isRelevant() bool {
	wasBefore := g.wasRelevant
	g.wasRelevant = g.carrierGroup.IsGateway() || g.lease.token > 0 || g.lease.claiming
	if g.wasRelevant && !wasBefore {
		g.lease.holderSeenAt = time.Time{} // the holder has yet to be seen
	}
	return wasBefore || g.wasRelevant
}

func (o *Overseer) group(c *carrier.Group) *group {
	g := o.groups[c.Name()]
	if g == nil {
		g = &group{carrierGroup: c, replacer: replacer.Replacer{Group: c.Name()}}
		o.groups[c.Name()] = g
	}
	return g
}

// execute runs the commands of a group's replacer.
func (o *Overseer) execute(ctx context.Context, g *group, commands []replacer.Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case replacer.LogStep:
			o.Log.Info("overseer: "+cmd.Step, zap.String("group", g.carrierGroup.Name()), zap.String("upstream", cmd.Target),
				zap.String("cause", cmd.Cause), zap.Uint64("token", g.lease.token))
		case replacer.Suspend:
			o.sendControl(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Suspend, Term: cmd.Term})
		case replacer.Demote:
			o.sendControl(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Demote, Term: cmd.Term})
		case replacer.Poll:
			o.sendControl(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Status})
		case replacer.Resume:
			o.sendControl(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Resume})
		case replacer.ReleaseLease:
			o.releaseLease(g)
		case replacer.Promote:
			o.requestPromotion(ctx, g, cmd.Order)
		}
	}
}

// releaseLease releases the lease, unless no other process could claim it.
func (o *Overseer) releaseLease(g *group) {
	if len(o.LivePeers()) == 0 {
		return
	}
	g.lease.token = 0
	g.lease.nextClaim = o.Now().Add(reclaimDelay)
}

// sendControl sends a control command to an upstream; the answer comes back as an event.
func (o *Overseer) sendControl(ctx context.Context, g *group, id string, cmd carrier.Command) {
	requestedAt := o.Now()
	go func() {
		report, err := g.carrierGroup.Control(id, time.Now().Add(controlTimeout), cmd)
		if err != nil {
			o.Log.Info("overseer: control command to upstream failed", zap.String("group", g.carrierGroup.Name()), zap.String("upstream", id), zap.Error(err))
		}
		ev := replacer.UpstreamReport{
			ID: id, RequestedAt: requestedAt, OK: err == nil, Term: report.Term, Leads: report.Leads,
			Received: report.Received, SuspendedTerm: report.Held,
		}
		o.post(ctx, func(now time.Time) { o.execute(ctx, g, g.replacer.Handle(ev, now)) })
	}()
}

// requestPromotion sends a promotion order to the platform; the answer comes back as an event.
func (o *Overseer) requestPromotion(ctx context.Context, g *group, order replacer.Order) {
	go func() {
		outcome, err := o.Promote(ctx, order)
		if err != nil {
			outcome = replacer.NoAnswer
		}
		o.Log.Info("overseer: platform answered a promotion order", zap.String("group", order.Group), zap.String("upstream", order.Upstream),
			zap.Uint64("token", order.Token), zap.Stringer("outcome", outcome), zap.Error(err))
		o.post(ctx, func(now time.Time) {
			if outcome == replacer.Rejected && g.replacer.IsLatestOrder(order) {
				o.onRejected(g, order, now)
			}
			o.execute(ctx, g, g.replacer.Handle(replacer.OrderAnswer{Order: order, Outcome: outcome}, now))
		})
	}()
}

// onRejected releases the lease: the platform may have seen a higher token, and a rejected
// token is never used again. The lease may be claimed again at once, also by this process.
func (o *Overseer) onRejected(g *group, order replacer.Order, now time.Time) {
	if order.Token < g.lease.token || order.Token-g.lease.token >= replacer.TokenBlockSize {
		return // the order belongs to an earlier lease
	}
	g.lease.token = 0
	g.lease.nextClaim = now
	g.lease.holderSeenAt = now.Add(-holderTimeout)
}
