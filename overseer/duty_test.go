package overseer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/gossiper"
)

func peer(name string, heard time.Time, state gossiper.GroupState) gossiper.Peer {
	return gossiper.Peer{LastSeen: heard, State: gossiper.State{Name: name, Groups: map[string]gossiper.GroupState{"g": state}}}
}

// Symptom: two processes replace the leader of one group. Sequence: a holder is cut
// off, another one takes the duty, the partition heals. Cause: the first goes on with
// its lower token.
func TestAHolderThatWasReplacedGivesTheDutyUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := duty{token: 3, highest: 3}
	d.hear("g", []gossiper.Peer{peer("a", now, gossiper.GroupState{Token: 2})}, now)
	is.Equal(d.token, uint64(3)) // an earlier holder changes nothing
	d.hear("g", []gossiper.Peer{peer("a", now, gossiper.GroupState{Token: 4})}, now)
	is.Equal(d.token, uint64(0))
	is.Equal(d.highest, uint64(4))
}

// Symptom: a group without a leader stays so. Sequence: its holder dies. Cause: what a
// holder said once counts as word of it for ever.
func TestASilentHolderIsMissed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var d duty
	holder := peer("a", now, gossiper.GroupState{Token: 4})
	d.hear("g", []gossiper.Peer{holder}, now)
	is.Equal(d.heard, now)
	later := now.Add(holderSilence + time.Second)
	d.hear("g", []gossiper.Peer{holder}, later) // known, and not heard since
	is.Equal(d.heard, now)
}

// Symptom: a leader that leaves isn't replaced, and gets work until it is gone.
// Sequence: a process takes the duty while it carries for the group; the connections are
// divided anew, and it carries for it no longer. Cause: it keeps the duty, sees nothing
// of the group, and the others hear that the duty is held.
func TestAHolderThatCarriesNoLongerGivesTheDutyUp(t *testing.T) {
	is := is.New(t)
	d := duty{token: 7, highest: 7}
	is.True(!d.abandon(true))
	is.Equal(d.token, uint64(7))
	is.True(d.abandon(false))
	is.Equal(d.token, uint64(0))
	is.True(!d.abandon(false)) // it is said once
}

// Only processes that carry for a group, and stay, have a vote on its leader.
func TestVotes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	leaving := peer("d", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable})
	leaving.Leaving = true
	bad, failing, voters := votes("g", []gossiper.Peer{
		peer("a", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}),
		peer("b", now, gossiper.GroupState{IsGateway: true}),
		peer("c", now, gossiper.GroupState{Token: 5, LeaderFault: gossiper.CommitStalled}), // holds the duty, carries nothing
		peer("f", now, gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Failing}),
		leaving,
		{State: gossiper.State{Name: "e"}},
	})
	is.Equal(bad, 1)
	is.Equal(failing, 1)
	is.Equal(voters, 3)
	is.True(reached("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x", LeaderFault: gossiper.Failing})}, now))
	is.True(reached("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x"})}, now))
	is.True(!reached("g", "x", []gossiper.Peer{peer("a", now, gossiper.GroupState{IsGateway: true, Leader: "x", LeaderFault: gossiper.CommitStalled})}, now))
}

// Symptom: a change of leader, or the first statements after a loss of power, take
// half a second longer. Sequence: a process sees trouble, takes a duty or begins to
// carry. Cause: peers hear of it with the next round only.
func TestNewsIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	state := func(g gossiper.GroupState) map[string]gossiper.GroupState {
		return map[string]gossiper.GroupState{"g": g}
	}
	before := state(gossiper.GroupState{Leader: "x", IsGateway: true})
	is.True(!telling(before, before))
	is.True(!telling(before, state(gossiper.GroupState{Leader: "y", IsGateway: true}))) // each sees it for itself
	is.True(telling(before, state(gossiper.GroupState{Leader: "x", IsGateway: true, LeaderFault: gossiper.CommitStalled})))
	is.True(telling(before, state(gossiper.GroupState{Leader: "x", IsGateway: true, Token: 1})))
	is.True(telling(nil, before))
}

// Symptom: a group changes its leader again and again. Sequence: callers send what
// every upstream fails; each new leader is taken for the cause. Cause: nobody
// remembers that a change has mended nothing.
func TestLeadersAfterOneThatFailedAreExcused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g group
	is.True(!g.excuses("a", false, now))
	is.True(!g.excuses("a", true, now))
	is.True(g.excuses("b", true, now.Add(time.Second))) // it has just taken over
	is.True(g.excuses("b", true, now.Add(excused)))
	is.True(!g.excuses("b", true, now.Add(excused+2*time.Second)))
}

// A change of a leader that did well excuses nobody.
func TestAPlannedChangeExcusesNobody(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var g group
	is.True(!g.excuses("a", false, now))
	is.True(!g.excuses("b", false, now.Add(time.Second)))
	is.True(!g.excuses("b", true, now.Add(2*time.Second)))
}

// Symptom: a change of leader waits for 1.5 s more. Sequence: a partition; peers
// behind it said last that they reach the leader, and count as live for 12 s. Cause:
// what was said long ago is taken for what is.
func TestWhatAPeerSaidLongAgoDoesntCount(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	behind := []gossiper.Peer{peer("a", now.Add(-lately), gossiper.GroupState{IsGateway: true, Leader: "x"})}
	is.True(!reached("g", "x", behind, now))
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

// Symptom: processes take a duty from one another while its holder lives. Sequence:
// the holder carries for many groups and tells only some of its peers each round.
// Cause: the silence that is allowed doesn't grow with them.
func TestAHolderWithManyPeersMayBeSilentForLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var peers []gossiper.Peer
	for i := range 2*gossiper.MaxGroupPeers + 2 {
		peers = append(peers, peer(fmt.Sprint("p", i), now, gossiper.GroupState{IsGateway: true}))
	}
	d := duty{holder: peer("holder", now, gossiper.GroupState{Token: 1}).State}
	is.Equal(d.patience(peers[:gossiper.MaxGroupPeers]), holderSilence)
	is.Equal(d.patience(peers), 3*holderSilence)
}
