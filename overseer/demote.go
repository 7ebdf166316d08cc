package overseer

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// applyFence tells the carrier what the lease holder has under way. A holder that is no longer
// seen, or was replaced, may have sent an order that is still to take effect. So what it told
// counts for a while, unless its successor has a change of leader under way itself.
func (o *Overseer) applyFence(g *group, peers []gossiper.Peer, now time.Time) {
	state, seenAt := g.holderState(peers, now)
	fence := fenceOf(state)
	switch {
	case fence != carrier.Fence{}:
		g.fenceSeenAt, g.fenceToken = seenAt, state.Token
	case state.Token != g.fenceToken && now.Sub(g.fenceSeenAt) < fenceHold:
		return
	}
	g.carrierGroup.SetFence(fence)
}

// holderState returns what the lease holder reports of the group, and when that was; zero when
// no holder is seen.
func (g *group) holderState(peers []gossiper.Peer, now time.Time) (gossiper.GroupState, time.Time) {
	if g.lease.token > 0 {
		leader, term := g.replacer.FenceTarget()
		return gossiper.GroupState{Token: g.lease.token, FencedLeader: leader, FenceTerm: term, Successor: g.replacer.Successor()}, now
	}
	for _, p := range peers {
		state := p.Groups[g.carrierGroup.Name()]
		if state.Token > 0 && state.Token >= g.lease.maxToken && now.Sub(p.LastSeen) < maxPeerStateAge {
			return state, p.LastSeen
		}
	}
	return gossiper.GroupState{}, time.Time{}
}

func fenceOf(s gossiper.GroupState) carrier.Fence {
	return carrier.Fence{Leader: s.FencedLeader, Successor: s.Successor, LeaderServes: s.Successor != "" && s.FenceTerm == tracker.Term{}}
}

// enforceFence demotes an upstream that the lease holder is replacing, if this process reaches
// it.
func (o *Overseer) enforceFence(g *group, peers []gossiper.Peer, now time.Time) {
	name := g.carrierGroup.Name()
	if !g.carrierGroup.IsGateway() {
		return // it has no connection to the upstream
	}
	for _, p := range peers {
		state := p.Groups[name]
		if state.FencedLeader == "" || state.Token < g.lease.maxToken || now.Sub(g.lastDemoteAttempt) < fenceInterval {
			continue
		}
		if !g.carrierGroup.Observe().Reaches(state.FencedLeader) {
			continue
		}
		g.lastDemoteAttempt = now
		o.Log.Info("overseer: demoting an upstream that is being replaced", zap.String("group", name), zap.String("upstream", state.FencedLeader),
			zap.String("holder", p.Name), zap.Uint64("token", state.Token), zap.Stringer("term", state.FenceTerm))
		o.demote(g, state.FencedLeader, state.FenceTerm)
	}
}

// demoteIfStalled demotes a leader that is partitioned together with this process: it
// acknowledges nothing, and none of the other upstreams can be reached from here. On the other
// side of the partition another upstream may be promoted. A replica that joins on this side
// would then confirm commits that wait at the old leader and that the new leader lacks:
// acknowledged commits would be rolled back seconds later. If the other upstreams are only
// down, this costs another change of leader when one of them is back.
func (o *Overseer) demoteIfStalled(g *group, now time.Time) {
	seen := g.carrierGroup.Observe()
	if !seen.LeaderAnswers || !seen.CommitStalled {
		g.stalledSince = time.Time{}
		return
	}
	g.stalledSince = sinceOrNow(g.stalledSince, now)
	if !lasted(g.stalledSince, now, stalledThreshold) || now.Sub(g.lastDemoteAttempt) < partitionCheckInterval {
		return
	}
	g.lastDemoteAttempt = now
	go o.demoteIfPartitioned(g, seen, now.Sub(g.stalledSince))
}

// demoteIfPartitioned demotes a commit-stalled leader, unless another upstream answers here, in
// which case the lease holder replaces the leader, or refuses the connection, in which case it
// is down and there is no partition.
func (o *Overseer) demoteIfPartitioned(g *group, seen carrier.Observation, stalled time.Duration) {
	for _, u := range seen.Upstreams {
		if u.ID == seen.Leader {
			continue
		}
		_, err := g.carrierGroup.Control(u.ID, time.Now().Add(partitionCheckTimeout), carrier.Command{Verb: carrier.Status})
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return // it answers, or its process is down: no partition
		}
	}
	report, err := g.carrierGroup.Control(seen.Leader, time.Now().Add(partitionCheckTimeout), carrier.Command{Verb: carrier.Status})
	if err != nil || !report.Leads {
		o.Log.Info("overseer: upstream does not answer as leader; not demoted", zap.String("group", g.carrierGroup.Name()), zap.String("upstream", seen.Leader), zap.Error(err))
		return
	}
	o.Log.Warn("overseer: demoting a partitioned leader", zap.String("group", g.carrierGroup.Name()), zap.String("upstream", seen.Leader),
		zap.Duration("stuck", stalled), zap.Stringer("term", report.Term))
	o.demote(g, seen.Leader, tracker.Term{Epoch: report.Term.Epoch + 1})
}

// demote sends a demote command to an upstream. Whether it complies shows in its next answers.
func (o *Overseer) demote(g *group, id string, term tracker.Term) {
	go func() {
		report, err := g.carrierGroup.Control(id, time.Now().Add(controlTimeout), carrier.Command{Verb: carrier.Demote, Term: term})
		if err != nil {
			o.Log.Info("overseer: demote command failed", zap.String("group", g.carrierGroup.Name()), zap.String("upstream", id), zap.Error(err))
			return
		}
		o.Log.Info("overseer: demote command answered", zap.String("group", g.carrierGroup.Name()), zap.String("upstream", id), zap.Bool("leads", report.Leads))
	}()
}
