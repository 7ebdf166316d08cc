package replacer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

// Guards against writes that fail until a leaving leader has stopped, or acknowledged writes
// that are lost: the leader is not replaced before it stops, or by a replica that lacks
// commits which another replica confirmed.
func TestLeavingLeaderServesUntilItIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams[0].Leaving = true
	s.received["a"], s.received["b"] = 15, 14
	s.advance(200 * time.Millisecond)
	is.Equal(s.orders, []Order{{Group: "g", Upstream: "a", Token: 7}}) // changes nothing, and registers the token
	is.Equal(s.suspended["c"], uint32(0))                              // no replica is suspended before that
	s.answerOrder(Accepted)
	s.advance(500 * time.Millisecond)
	is.Equal(len(s.orders), 1)            // b lacks commits of the leader
	is.Equal(s.suspended["b"], uint32(0)) // and continues receiving
	is.Equal(len(s.suspendRequests), 0)   // neither does c stop: one of them has to confirm commits
	s.received["b"], s.commitsOnSuspend = 15, 1
	s.advance(300 * time.Millisecond)
	is.True(s.suspended["c"] > 0)         // now only b confirms
	is.Equal(s.suspended["b"], uint32(0)) // and continues receiving
	is.Equal(len(s.orders), 1)            // it lacks what c confirmed before it was suspended
	s.received["b"] = 16
	s.advance(300 * time.Millisecond)
	is.Equal(s.orders[1], Order{Group: "g", Upstream: "b", Token: 8})
	s.answerOrder(Accepted)
	s.view.Leader = "b"
	s.advance(time.Second)
	is.Equal(s.r.Busy(), false)
	is.Equal(s.steps[len(s.steps)-1], "done")
}

// Guards against a group that stops working when its leader leaves: the chosen replica does
// not catch up, and the other one stays suspended.
func TestAbortedPlannedChangeResumesReplicas(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams[0].Leaving = true
	s.received["a"] = 15
	s.advance(100 * time.Millisecond)
	s.answerOrder(Accepted)
	s.advance(2300 * time.Millisecond)
	is.Equal(len(s.orders), 1) // only the one that changes nothing
	is.Equal(s.steps[len(s.steps)-1], "give up")
	is.Equal(s.suspended["c"], uint32(0))
}

// An overloaded leader whose replicas cannot help is replaced by a planned change: it leads
// until its successor has everything.
func TestOverloadedLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.LeaderOverloaded = true
	s.advance(300 * time.Millisecond)
	is.Equal(s.orders[0].Upstream, "a") // earlier orders are rejected from now on
	s.answerOrder(Accepted)
	s.advance(300 * time.Millisecond)
	is.Equal(s.orders[len(s.orders)-1].Upstream, "b")
	is.True(s.suspended["c"] > 1)
	is.Equal(s.suspended["b"], uint32(0)) // it receives until the end
}

// Guards against requests that reach a leaving leader beyond the time in which it may get any,
// until it has stopped. A replica stops answering, or has left and is off the list, then the
// leader announces that it is leaving. If a planned change needed every other upstream, each
// attempt would end after two seconds because that replica is not suspended: an upstream that
// does not answer counts as part of the group for up to 15 s after its entry has gone. The
// change used to succeed only once another upstream had taken over the address of that
// replica.
func TestLeavingLeaderIsReplacedWithUnreachableReplica(t *testing.T) {
	for _, unlisted := range []bool{false, true} {
		t.Run(fmt.Sprint("off the list: ", unlisted), func(t *testing.T) {
			is := is.New(t)
			s := newHarness()
			s.unreachable["c"] = true
			s.view.Upstreams[0].Leaving, s.view.Upstreams[2].Unlisted = true, unlisted
			s.received["a"], s.received["b"] = 15, 15
			s.acceptNoops = true       // orders that change nothing
			s.advance(3 * time.Second) // half of the time in which a leaving upstream gets work
			is.Equal(s.orders[len(s.orders)-1].Upstream, "b")
			is.Equal(s.leader, "") // the unreachable replica can confirm nothing more
		})
	}
}

// Guards against writes that end in doubt for two seconds, and a leaving leader that is not
// replaced: the first replica of the list does not answer, or receives nothing, and the other
// replica is suspended, so that only the first one could confirm commits. From then until the
// other replica was resumed no commit was acknowledged. The successor must be a replica that
// receives, not the first one that is not leaving.
func TestSuccessorIsAReplicaThatReceives(t *testing.T) {
	for name, fault := range map[string]func(s *harness){
		"not answering": func(s *harness) { s.unreachable["b"] = true },
		"not receiving": func(s *harness) { s.received["b"] = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newHarness()
			s.view.Upstreams[0].Leaving = true
			s.received["a"], s.received["c"] = 15, 15
			fault(s)
			s.acceptNoops = true       // orders that change nothing
			s.advance(3 * time.Second) // half of the time in which a leaving upstream gets work
			is.True(!slices.Contains(s.suspendRequests, "c"))
			is.Equal(s.orders[len(s.orders)-1].Upstream, "c")
		})
	}
}

// Guards against a group without a leader: the leader was demoted, and the chosen replica
// lacks a commit of its log that was in flight. No upstream can send that commit any more, so
// the old leader has to be promoted again.
func TestDemotedLeaderIsPromotedAgainWhenSuccessorLags(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams[0].Leaving = true
	s.unreachable["c"] = true
	s.acceptNoops = true
	s.commitsOnStepDown = 1
	s.advance(2 * time.Second)
	is.Equal(s.leader, "")
	is.Equal(s.orders[len(s.orders)-1].Upstream, "a")
	is.True(s.orders[len(s.orders)-1].Token > s.orders[1].Token)
}

// Guards against the loss of acknowledged commits in a change of leader: the platform accepts
// an order for the present leader, which changes nothing; the leader is demoted; the order
// takes effect a moment later, and it leads again until the next order takes effect. An
// accepted order must not count as finished: such a leader reported for 20 ms that it leads,
// 300 ms after the order was accepted.
func TestNoOrderIsInFlightWhenLeaderIsDemoted(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams[0].Leaving = true
	s.unreachable["c"] = true
	s.acceptNoops = true
	s.advance(time.Second) // as long as a promotion may take
	is.Equal(s.leader, "a")
	s.advance(time.Second)
	is.Equal(s.leader, "")

	s = newHarness()
	s.view.Upstreams[0].Leaving = true
	s.unreachable["c"] = true
	s.advance(400 * time.Millisecond)
	is.True(len(s.orders) > 1)                                                       // retried
	s.execute(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Accepted}, s.now)) // the other copies are in flight
	s.advance(2 * time.Second)
	is.Equal(s.leader, "a")
	s.answerOrder(Accepted)
	s.advance(2 * time.Second)
	is.Equal(s.leader, "")
}

// Guards against the loss of an acknowledged commit in a planned change: peers must know the
// successor before the order, so that they acknowledge only commits that it has received.
func TestSuccessorIsKnownBeforeTheOrder(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.acceptNoops = true
	s.view.Upstreams[0].Leaving = true
	var known time.Time
	for range 60 {
		s.advance(10 * time.Millisecond)
		if known.IsZero() && s.r.Successor() != "" {
			known = s.now
		}
		if len(s.orders) > 1 {
			break
		}
	}
	is.Equal(len(s.orders), 2) // the guard, and the promotion
	is.Equal(s.r.Successor(), s.orders[1].Upstream)
	is.True(s.now.Sub(known) >= announceTime)
	fenced, term := s.r.FenceTarget()
	is.Equal(fenced, "") // the leader serves
	is.Equal(term, tracker.Term{})
}
