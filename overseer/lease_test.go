package overseer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/gossiper"
)

func peer(name string, lastSeen time.Time, state gossiper.GroupState) gossiper.Peer {
	return gossiper.Peer{LastSeen: lastSeen, State: gossiper.State{Name: name, Groups: map[string]gossiper.GroupState{"g": state}}}
}

// Guards against two processes that replace the leader of one group: a holder is partitioned,
// another process claims the lease, the partition heals, and the first holder continues with
// its lower token.
func TestReplacedHolderReleasesLease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := lease{token: 3, maxToken: 3}
	l.update("g", []gossiper.Peer{peer("a", now, gossiper.GroupState{Token: 2})}, now)
	is.Equal(l.token, uint64(3)) // a lower token changes nothing
	l.update("g", []gossiper.Peer{peer("a", now, gossiper.GroupState{Token: 4})}, now)
	is.Equal(l.token, uint64(0))
	is.Equal(l.maxToken, uint64(4))
}

// Guards against a group that stays without a leader after its lease holder has died: an old
// report of the holder must not count as a new one.
func TestHolderTimesOut(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l lease
	holder := peer("a", now, gossiper.GroupState{Token: 4})
	l.update("g", []gossiper.Peer{holder}, now)
	is.Equal(l.holderSeenAt, now)
	later := now.Add(holderTimeout + time.Second)
	l.update("g", []gossiper.Peer{holder}, later) // known, but not seen since
	is.Equal(l.holderSeenAt, now)
}

// Guards against a leaving leader that is not replaced and gets work until it stops: a process
// claims the lease as a gateway for the group, connections are reassigned, and it is no longer
// a gateway. If it kept the lease, it would see nothing of the group while the others see the
// lease as held.
func TestHolderReleasesLeaseWhenNoLongerGateway(t *testing.T) {
	is := is.New(t)
	l := lease{token: 7, maxToken: 7}
	is.True(!l.releaseUnlessGateway(true))
	is.Equal(l.token, uint64(7))
	is.True(l.releaseUnlessGateway(false))
	is.Equal(l.token, uint64(0))
	is.True(!l.releaseUnlessGateway(false)) // reported once
}

// Only gateways for a group that are not leaving vote on its leader.
func TestVotes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	leaving := peer("d", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable})
	leaving.Leaving = true
	unusable, failing, voters := countVotes("g", []gossiper.Peer{
		peer("a", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}),
		peer("b", now, gossiper.GroupState{IsGateway: true}),
		peer("c", now, gossiper.GroupState{Token: 5, LeaderFault: gossiper.CommitStalled}), // lease holder, but no gateway
		peer("f", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Failing}),
		leaving,
		{State: gossiper.State{Name: "e"}},
	})
	is.Equal(unusable, 1)
	is.Equal(failing, 1)
	is.Equal(voters, 3)
	is.True(reachedByPeer("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x", LeaderFault: gossiper.Failing})}, now))
	is.True(reachedByPeer("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x"})}, now))
	is.True(!reachedByPeer("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x", LeaderFault: gossiper.CommitStalled})}, now))
}

// Guards against half a second of extra delay for a change of leader, or for the first
// statements after a power loss: a process that sees a fault, claims a lease or becomes a
// gateway must not wait for the next gossip round to notify its peers.
func TestPeersAreNotifiedAtOnce(t *testing.T) {
	is := is.New(t)
	state := func(g gossiper.GroupState) map[string]gossiper.GroupState {
		return map[string]gossiper.GroupState{"g": g}
	}
	before := state(gossiper.GroupState{Leader: "x", IsGateway: true})
	is.True(!needsNotify(before, before))
	is.True(!needsNotify(before, state(gossiper.GroupState{Leader: "y", IsGateway: true}))) // each process observes the leader itself
	is.True(needsNotify(before, state(gossiper.GroupState{Leader: "x", IsGateway: true, LeaderFault: gossiper.CommitStalled})))
	is.True(needsNotify(before, state(gossiper.GroupState{Leader: "x", IsGateway: true, Token: 1})))
	is.True(needsNotify(nil, before))
}

// Guards against a group that changes its leader again and again: callers send statements that
// fail on every upstream, and each new leader is blamed although the previous change did not
// help.
func TestSuccessorsOfFailingLeaderAreInCooldown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g group
	is.True(!g.inFailingCooldown("a", false, now))
	is.True(!g.inFailingCooldown("a", true, now))
	is.True(g.inFailingCooldown("b", true, now.Add(time.Second))) // it has just taken over
	is.True(g.inFailingCooldown("b", true, now.Add(failingCooldown)))
	is.True(!g.inFailingCooldown("b", true, now.Add(failingCooldown+2*time.Second)))
}

// A change of a leader that was not failing starts no cooldown.
func TestChangeOfHealthyLeaderStartsNoCooldown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g group
	is.True(!g.inFailingCooldown("a", false, now))
	is.True(!g.inFailingCooldown("b", false, now.Add(time.Second)))
	is.True(!g.inFailingCooldown("b", true, now.Add(2*time.Second)))
}

// Guards against a change of leader that is delayed by 1.5 s: peers behind a partition last
// reported that they reach the leader, and count as alive for 12 s. An old report must not
// count as current.
func TestOldPeerReportsDoNotCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	behind := []gossiper.Peer{peer("a", now.Add(-maxPeerStateAge), gossiper.GroupState{IsGateway: true, Leader: "x"})}
	is.True(!reachedByPeer("g", "x", behind, now))
	o := &Overseer{Name: "self"}
	for range 50 {
		o.Name += "x" // some name that ranks behind the peer
		if weight("g", o.Name) < weight("g", "a") {
			break
		}
	}
	is.Equal(o.rank("g", behind, now), 0)
	is.Equal(o.rank("g", behind, now.Add(-time.Millisecond)), 1)
}

// Guards against processes that claim a lease while its holder is alive: a holder with many
// groups notifies only some of its peers in each round, so that the permitted silence has to
// grow with their number.
func TestMaxSilenceGrowsWithPeers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var peers []gossiper.Peer
	for i := range 2*gossiper.MaxGroupPeers + 2 {
		peers = append(peers, peer(fmt.Sprint("p", i), now, gossiper.GroupState{IsGateway: true}))
	}
	l := lease{lastHolder: peer("holder", now, gossiper.GroupState{Token: 1}).State}
	is.Equal(l.maxSilence(peers[:gossiper.MaxGroupPeers]), holderTimeout)
	is.Equal(l.maxSilence(peers), 3*holderTimeout)
}
