package replacer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: writes fail until a leaving leader is gone, or an acknowledged one is
// missing. Sequence: the leader leaves. Cause: it isn't replaced first, or by a
// replica that others' confirmations have passed by.
func TestLeavingLeaderServesUntilItIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams[0].Leaving = true
	s.received["a"], s.received["b"] = 15, 14
	s.play(200 * time.Millisecond)
	is.Equal(s.orders, []Order{{Group: "g", Upstream: "a", Token: 7}}) // changes nothing, and shows the token
	is.Equal(s.held["c"], uint32(0))                                   // nobody is halted before it was seen
	s.outcome(Accepted)
	s.play(500 * time.Millisecond)
	is.Equal(len(s.orders), 1)       // b lacks what the leader has
	is.Equal(s.held["b"], uint32(0)) // and goes on receiving
	is.Equal(len(s.halts), 0)        // as c does: one of them has to confirm commits
	s.received["b"], s.onHalt = 15, 1
	s.play(300 * time.Millisecond)
	is.True(s.held["c"] > 0)         // only b confirms now
	is.Equal(s.held["b"], uint32(0)) // and goes on receiving
	is.Equal(len(s.orders), 1)       // it lacks what c confirmed until it was halted
	s.received["b"] = 16
	s.play(300 * time.Millisecond)
	is.Equal(s.orders[1], Order{Group: "g", Upstream: "b", Token: 8})
	s.outcome(Accepted)
	s.view.Leader = "b"
	s.play(time.Second)
	is.Equal(s.r.Busy(), false)
	is.Equal(s.steps[len(s.steps)-1], "done")
}

// Symptom: a group whose leader leaves stands still. Sequence: the chosen replica
// doesn't catch up. Cause: the other one stays halted.
func TestPlannedChangeIsGivenUpAndReleases(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams[0].Leaving = true
	s.received["a"] = 15
	s.play(100 * time.Millisecond)
	s.outcome(Accepted)
	s.play(2300 * time.Millisecond)
	is.Equal(len(s.orders), 1) // the one that changes nothing
	is.Equal(s.steps[len(s.steps)-1], "give up")
	is.Equal(s.held["c"], uint32(0))
}

// A leader that is alone with more work than it can do is replaced as planned: it
// leads until the replica that follows it has everything.
func TestALeaderThatIsAloneIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.LeaderOverloaded = true
	s.play(300 * time.Millisecond)
	is.Equal(s.orders[0].Upstream, "a") // earlier orders are refused from now on
	s.outcome(Accepted)
	s.play(300 * time.Millisecond)
	is.Equal(s.orders[len(s.orders)-1].Upstream, "b")
	is.True(s.held["c"] > 1)
	is.Equal(s.held["b"], uint32(0)) // it receives until the end
}

// Symptom: callers' requests reach a leader that has said that it leaves, beyond the
// time in which it may get any, and until it is gone. Sequence: a replica goes dark, or
// has left and is off the list; the leader says that it leaves; each try to replace it
// ends after two seconds with that replica not halted. Cause: a planned change needed
// every other member, and one that doesn't answer counts as a member for up to 15 s
// after its entry has gone. Evidence: in the log of the holder each order that wasn't
// followed was for that replica, and the change succeeded as soon as another upstream
// had taken over its address.
func TestALeavingLeaderIsReplacedWhileAReplicaCantBeReached(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("off the list: ", lost), func(t *testing.T) {
			is := is.New(t)
			s := newScene()
			s.mute["c"] = true
			s.view.Upstreams[0].Leaving, s.view.Upstreams[2].Unlisted = true, lost
			s.received["a"], s.received["b"] = 15, 15
			s.prompt = true         // orders that change nothing
			s.play(3 * time.Second) // half of the time in which one that leaves gets work
			is.Equal(s.orders[len(s.orders)-1].Upstream, "b")
			is.Equal(s.leads, "") // nothing more can be confirmed by the one out of reach
		})
	}
}

// Symptom: writes of a group end in doubt for two seconds, and its leader, which leaves,
// isn't replaced. Sequence: the first replica of the list has gone dark, or receives
// nothing; the leader says that it leaves; the other replica is halted, so that only the
// first one could confirm commits. Cause: the successor was the first that stays,
// whether it received or not. Evidence: from the moment at which the other replica was
// halted until it was released no commit was acknowledged.
func TestAPlannedChangeGoesToAReplicaThatReceives(t *testing.T) {
	for name, ail := range map[string]func(s *scene){
		"dark": func(s *scene) { s.mute["b"] = true },
		"deaf": func(s *scene) { s.received["b"] = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScene()
			s.view.Upstreams[0].Leaving = true
			s.received["a"], s.received["c"] = 15, 15
			ail(s)
			s.prompt = true         // orders that change nothing
			s.play(3 * time.Second) // half of the time in which one that leaves gets work
			is.True(!slices.Contains(s.halts, "c"))
			is.Equal(s.orders[len(s.orders)-1].Upstream, "c")
		})
	}
}

// Symptom: a group has no leader. Sequence: a leader has given the lead up, and the chosen
// replica lacks a commit of its log that was on its way. Cause: nobody can hand it over any
// more; the one that has it has to lead again.
func TestALeaderThatYieldedInVainLeadsAgain(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams[0].Leaving = true
	s.mute["c"] = true
	s.prompt = true
	s.onYield = 1
	s.play(2 * time.Second)
	is.Equal(s.leads, "")
	is.Equal(s.orders[len(s.orders)-1].Upstream, "a")
	is.True(s.orders[len(s.orders)-1].Token > s.orders[1].Token)
}

// Symptom: commits that were acknowledged are gone after a change of leader. Sequence: the
// platform accepts an order for the present leader, which changes nothing; the leader gives
// the lead up; the order takes effect a moment later, and it leads again until the next one
// does. Cause: an accepted order counted as done. Evidence: for 20 ms such a leader answered
// that it leads, 300 ms after the order was accepted.
func TestNoOrderIsUnderWayWhenALeaderYields(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams[0].Leaving = true
	s.mute["c"] = true
	s.prompt = true
	s.play(time.Second) // as long as a promotion may take
	is.Equal(s.leads, "a")
	s.play(time.Second)
	is.Equal(s.leads, "")

	s = newScene()
	s.view.Upstreams[0].Leaving = true
	s.mute["c"] = true
	s.play(400 * time.Millisecond)
	is.True(len(s.orders) > 1)                                                   // repeated
	s.run(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Accepted}, s.now)) // the others are under way
	s.play(2 * time.Second)
	is.Equal(s.leads, "a")
	s.outcome(Accepted)
	s.play(2 * time.Second)
	is.Equal(s.leads, "")
}
