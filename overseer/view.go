package overseer

import (
	"time"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
)

// state returns what this process says of a group. It says nothing of groups that
// it neither carries for nor has the duty for: that would be most of a datagram.
func (o *Overseer) state(g *group, leader string) gossiper.GroupState {
	fenced, term := g.replacer.FenceTarget()
	return gossiper.GroupState{
		Leader: leader, LeaderFault: trouble(g.carried.Observe()), IsGateway: g.carried.IsGateway(),
		Token: g.duty.token, FencedLeader: fenced, FenceTerm: term,
	}
}

// telling reports whether peers should hear of the new states at once: who votes
// on a leader, holds a duty, or carries for others, has changed.
func telling(before, after map[string]gossiper.GroupState) bool {
	for name, state := range after {
		old := before[name]
		if old.LeaderFault != state.LeaderFault || old.Token != state.Token || old.FencedLeader != state.FencedLeader || old.IsGateway != state.IsGateway {
			return true
		}
	}
	return false
}

func trouble(v carrier.Observation) gossiper.LeaderFault {
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

// view puts together what this process and its peers see of a group.
func (o *Overseer) view(g *group, peers []gossiper.Peer, now time.Time) replacer.View {
	seen := g.carried.Observe()
	bad, failing, voters := votes(g.carried.Name(), peers)
	own := trouble(seen)
	if own == gossiper.Failing {
		failing++
	}
	if g.excuses(seen.Leader, failing > 0, now) {
		failing = 0
	}
	if !g.carried.IsGateway() {
		return replacer.View{} // it sees nothing of the group itself
	}
	if !own.IsLeaderReachable() && 2*(bad+1) > voters+1 {
		g.bad = first(g.bad, now)
	} else {
		g.bad = time.Time{}
	}
	if own.IsLeaderReachable() && 5*(bad+failing) >= 2*(voters+1) {
		if g.missed.IsZero() {
			go g.carried.VerifyLeader()
		}
		g.missed = first(g.missed, now)
	} else {
		g.missed = time.Time{}
	}
	settled := now.Sub(o.begun) > settling
	v := replacer.View{
		Leader:           seen.Leader,
		LeaderAnswers:    seen.LeaderAnswers,
		Dead:             settled && lasted(g.bad, now, dwell),
		CommitStalled:    own == gossiper.CommitStalled,
		ReachedByPeer:    reached(g.carried.Name(), seen.Leader, peers, now),
		MinReceived:      seen.MinReceived,
		LeaderDegraded:   settled && lasted(g.missed, now, shunned),
		LeaderOverloaded: settled && g.relieves(seen, now),
		Term:             seen.Term,
		Token:            g.duty.token,

		Partitioned: o.IsPartitioned != nil && o.IsPartitioned(),
	}
	for _, m := range seen.Upstreams {
		v.Upstreams = append(v.Upstreams, replacer.Upstream{ID: m.ID, StartedAt: m.StartedAt, Leaving: m.Leaving, Unlisted: m.Unlisted})
	}
	return v
}

// relieves reports whether the leader is to be replaced because it is alone with more
// work than it can do. Upstreams apply commits in order, so that one replica that is
// late with one commit serves no reads until that is done, long after what
// made it late has ended. The one that is promoted leads with all that it has
// received, and the former leader, whose log is complete, is a replica that isn't late.
func (g *group) relieves(seen carrier.Observation, now time.Time) bool {
	if !seen.LeaderOverloaded {
		g.alone = time.Time{}
		return false
	}
	g.alone = first(g.alone, now)
	since := now.Sub(g.relieved)
	if !lasted(g.alone, now, alone) || !g.relieved.IsZero() && since < g.pause {
		return false
	}
	if g.duty.token == 0 {
		return true // the holder decides
	}
	if g.relieved.IsZero() || since > 2*g.pause {
		g.pause = relieved
	} else {
		g.pause = min(2*g.pause, mostRelieved)
	}
	g.relieved = now
	return true
}

func first(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

func lasted(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// excuses reports whether a leader that fails is left alone, since one that failed
// was replaced a while ago. failing says that somebody sees the present one fail.
func (g *group) excuses(leader string, failing bool, now time.Time) bool {
	if g.leader != "" && leader != g.leader && g.failed {
		g.blamed = now
	}
	g.leader, g.failed = leader, failing
	return !g.blamed.IsZero() && now.Sub(g.blamed) < excused
}

// votes counts the peers that don't reach a group's leader or can't write there,
// those that see it fail, and all peers that know the group.
func votes(name string, peers []gossiper.Peer) (bad, failing, voters int) {
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
			bad++
		}
	}
	return bad, failing, voters
}

// reached reports whether a peer that was heard lately reaches the leader.
func reached(name, leader string, peers []gossiper.Peer, now time.Time) bool {
	for _, p := range peers {
		state, knows := p.Groups[name]
		if now.Sub(p.LastSeen) < lately && knows && state.IsGateway && state.Leader == leader && state.LeaderFault.IsLeaderReachable() {
			return true
		}
	}
	return false
}
