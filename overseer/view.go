package overseer

import (
	"time"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
)

// groupState returns what this process reports of a group. Groups for which it is neither a
// gateway nor the lease holder are left out: they would fill most of a datagram.
func (o *Overseer) groupState(g *group, leader string) gossiper.GroupState {
	fenced, term := g.replacer.FenceTarget()
	return gossiper.GroupState{
		Leader: leader, LeaderFault: faultOf(g.carrierGroup.Observe()), IsGateway: g.carrierGroup.IsGateway(),
		Token: g.lease.token, FencedLeader: fenced, FenceTerm: term, Successor: g.replacer.Successor(), Upstreams: g.carrierGroup.Loads(o.Now()),
	}
}

// needsNotify reports whether peers should receive the new states at once: the fault that this
// process sees in a leader, its lease, the change of leader that it makes or whether it is a
// gateway has changed.
func needsNotify(before, after map[string]gossiper.GroupState) bool {
	for name, state := range after {
		old := before[name]
		if old.LeaderFault != state.LeaderFault || old.Token != state.Token || old.FencedLeader != state.FencedLeader || old.Successor != state.Successor || old.IsGateway != state.IsGateway {
			return true
		}
	}
	return false
}

func faultOf(v carrier.Observation) gossiper.LeaderFault {
	switch {
	case v.Isolated:
		return gossiper.Isolated
	case !v.LeaderAnswers:
		return gossiper.Unreachable
	case v.CommitStalled:
		return gossiper.CommitStalled
	case v.Failing:
		return gossiper.Failing
	default:
		return gossiper.NoFault
	}
}

// view combines what this process and its peers see of a group.
func (o *Overseer) view(g *group, peers []gossiper.Peer, now time.Time) replacer.View {
	seen := g.carrierGroup.Observe()
	unusable, failing, voters := countVotes(g.carrierGroup.Name(), peers)
	ownFault := faultOf(seen)
	if ownFault == gossiper.Failing {
		failing++
	}
	if g.inFailingCooldown(seen.Leader, failing > 0, now) {
		failing = 0
	}
	if !g.carrierGroup.IsGateway() {
		return replacer.View{} // it has no connections to the group
	}
	if !ownFault.IsLeaderReachable() && 2*(unusable+1) > voters+1 {
		g.deadSince = sinceOrNow(g.deadSince, now)
	} else {
		g.deadSince = time.Time{}
	}
	if ownFault.IsLeaderReachable() && 5*(unusable+failing) >= 2*(voters+1) {
		if g.degradedSince.IsZero() {
			go g.carrierGroup.VerifyLeader()
		}
		g.degradedSince = sinceOrNow(g.degradedSince, now)
	} else {
		g.degradedSince = time.Time{}
	}
	settled := now.Sub(o.activeSince) > startupGracePeriod
	v := replacer.View{
		Leader:           seen.Leader,
		LeaderAnswers:    seen.LeaderAnswers,
		Dead:             settled && lasted(g.deadSince, now, deadThreshold),
		CommitStalled:    ownFault == gossiper.CommitStalled,
		ReachedByPeer:    reachedByPeer(g.carrierGroup.Name(), seen.Leader, peers, now),
		MinReceived:      seen.MinReceived,
		LeaderDegraded:   settled && lasted(g.degradedSince, now, degradedThreshold),
		LeaderOverloaded: settled && g.shouldReplaceOverloaded(seen, now),
		Term:             seen.Term,
		Token:            g.lease.token,

		Partitioned: o.IsPartitioned != nil && o.IsPartitioned(),
	}
	for _, u := range seen.Upstreams {
		v.Upstreams = append(v.Upstreams, replacer.Upstream{ID: u.ID, StartedAt: u.StartedAt, Leaving: u.Leaving, ClaimsToLead: u.ClaimsToLead, Unlisted: u.Unlisted})
	}
	return v
}

// shouldReplaceOverloaded reports whether the leader should be replaced because it is
// overloaded and no replica can help. Upstreams apply commits in order, so a replica that
// lags because of a single commit serves no reads until that commit is applied, long after the
// cause of the lag has ended. The promoted replica leads with everything it has received, and
// the former leader, whose log is complete, becomes a replica without lag.
func (g *group) shouldReplaceOverloaded(seen carrier.Observation, now time.Time) bool {
	if !seen.LeaderOverloaded {
		g.overloadedSince = time.Time{}
		return false
	}
	g.overloadedSince = sinceOrNow(g.overloadedSince, now)
	since := now.Sub(g.overloadReplacedAt)
	if !lasted(g.overloadedSince, now, overloadThreshold) || !g.overloadReplacedAt.IsZero() && since < g.overloadCooldown {
		return false
	}
	if g.lease.token == 0 {
		return true // the lease holder decides
	}
	if g.overloadReplacedAt.IsZero() || since > 2*g.overloadCooldown {
		g.overloadCooldown = minOverloadCooldown
	} else {
		g.overloadCooldown = min(2*g.overloadCooldown, maxOverloadCooldown)
	}
	g.overloadReplacedAt = now
	return true
}

func sinceOrNow(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

func lasted(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// inFailingCooldown reports whether a failing leader is kept because a failing leader was
// replaced recently. failing says that this process or a peer sees the present leader fail.
func (g *group) inFailingCooldown(leader string, failing bool, now time.Time) bool {
	if g.lastLeader != "" && leader != g.lastLeader && g.leaderFailed {
		g.failingReplacedAt = now
	}
	g.lastLeader, g.leaderFailed = leader, failing
	return !g.failingReplacedAt.IsZero() && now.Sub(g.failingReplacedAt) < failingCooldown
}

// countVotes counts the peers that do not reach a group's leader or cannot write to it, those
// that see it fail, and all peers that vote: the gateways for the group that are not leaving.
func countVotes(name string, peers []gossiper.Peer) (unusable, failing, voters int) {
	for _, p := range peers {
		state, knows := p.Groups[name]
		if !knows || p.Leaving || !state.IsGateway {
			continue
		}
		voters++
		switch {
		case state.LeaderFault == gossiper.Failing:
			failing++
		case state.LeaderFault != gossiper.NoFault:
			unusable++
		}
	}
	return unusable, failing, voters
}

// reachedByPeer reports whether a recently seen peer reaches the leader.
func reachedByPeer(name, leader string, peers []gossiper.Peer, now time.Time) bool {
	for _, p := range peers {
		state, knows := p.Groups[name]
		if now.Sub(p.LastSeen) < maxPeerStateAge && knows && state.IsGateway && state.Leader == leader && state.LeaderFault.IsLeaderReachable() {
			return true
		}
	}
	return false
}
