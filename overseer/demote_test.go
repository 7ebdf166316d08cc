package overseer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// Guards against a former leader that is used again because its lease holder has died: the
// order that the holder sent still takes effect.
func TestFenceOutlastsItsHolder(t *testing.T) {
	is := is.New(t)
	p := newRecordProcess("p", &recordStore{}, "abc")
	is.True(p.g.carrierGroup.Observe().LeaderAnswers)
	state := gossiper.GroupState{Token: 8, FencedLeader: "a", FenceTerm: tracker.Term{Epoch: 2}, Successor: "b"}
	holder := peer("q", p.now, state)
	p.applyFence(p.g, []gossiper.Peer{holder}, p.now)
	is.True(!p.g.carrierGroup.Observe().LeaderAnswers)
	for range 4 {
		p.now = p.now.Add(500 * time.Millisecond)
		p.applyFence(p.g, []gossiper.Peer{holder}, p.now) // not seen since
		p.list("bc")
		p.list("abc")
		is.True(!p.g.carrierGroup.Observe().LeaderAnswers)
	}
	next := peer("r", p.now, gossiper.GroupState{Token: 9})
	p.applyFence(p.g, []gossiper.Peer{holder, next}, p.now) // the next holder knows nothing of the order
	p.list("bc")
	p.list("abc")
	is.True(!p.g.carrierGroup.Observe().LeaderAnswers)
	p.now = p.now.Add(fenceHold)
	p.applyFence(p.g, []gossiper.Peer{holder}, p.now)
	p.list("bc")
	p.list("abc")
	is.True(p.g.carrierGroup.Observe().LeaderAnswers)
}

// Guards against a group without a leader for the time that a fence outlasts its holder: a
// holder that has called a change off says so itself.
func TestHolderEndsItsFence(t *testing.T) {
	is := is.New(t)
	p := newRecordProcess("p", &recordStore{}, "abc")
	state := gossiper.GroupState{Token: 8, FencedLeader: "a", FenceTerm: tracker.Term{Epoch: 2}}
	p.applyFence(p.g, []gossiper.Peer{peer("q", p.now, state)}, p.now)
	is.True(!p.g.carrierGroup.Observe().LeaderAnswers)
	p.applyFence(p.g, []gossiper.Peer{peer("q", p.now, gossiper.GroupState{Token: 8})}, p.now)
	p.list("bc")
	p.list("abc")
	is.True(p.g.carrierGroup.Observe().LeaderAnswers)
}
