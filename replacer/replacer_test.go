package replacer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

// harness runs a Replacer against upstreams that answer at once.
type harness struct {
	r                 Replacer
	now               time.Time
	view              View
	received          map[string]uint64 // end of each log in term 1
	suspended         map[string]uint32
	unreachable       map[string]bool // does not answer
	leader            string
	orders            []Order
	acceptNoops       bool     // orders for the present leader are accepted at once
	commitsOnSuspend  uint64   // commits of the leader that are confirmed before a replica is suspended
	commitsOnStepDown uint64   // commits of the leader in flight when it is demoted
	suspendRequests   []string // upstreams that were sent a Suspend
	leaseReleases     int
	steps             []string
}

func newHarness() *harness {
	s := &harness{
		r: Replacer{Group: "g"}, now: time.Unix(1000, 0),
		received: map[string]uint64{"a": 10, "b": 10, "c": 10}, suspended: map[string]uint32{}, unreachable: map[string]bool{}, leader: "a",
	}
	s.view = View{
		Leader: "a", LeaderAnswers: true, Term: tracker.Term{Epoch: 1}, Token: 7,
		Upstreams: []Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}
	return s
}

// crashLeader stops the leader; all voters see it as dead.
func (s *harness) crashLeader() {
	s.unreachable["a"] = true
	s.leader = ""
	s.view.LeaderAnswers = false
	s.view.Dead = true
}

// advance lets time pass, with a tick every 100 ms.
func (s *harness) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		s.execute(s.r.Handle(Tick{View: s.view}, s.now))
	}
}

func (s *harness) execute(commands []Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case Suspend:
			s.suspendRequests = append(s.suspendRequests, cmd.ID)
			s.received["a"] += s.commitsOnSuspend // confirmed before the suspension
			s.answer(cmd.ID, func() { s.suspended[cmd.ID] = cmd.Term.Epoch })
		case Resume:
			s.suspended[cmd.ID] = 0
		case Demote:
			s.received[cmd.ID] += s.commitsOnStepDown // commits in flight
			s.answer(cmd.ID, func() { s.leader = strings.TrimPrefix(s.leader, cmd.ID) })
		case Poll:
			s.answer(cmd.ID, func() {})
		case Promote:
			s.orders = append(s.orders, cmd.Order)
			if s.acceptNoops && cmd.Order.Upstream == s.leader {
				s.answerOrder(Accepted)
			}
		case ReleaseLease:
			s.leaseReleases++
			s.view.Token = 0
		case LogStep:
			s.steps = append(s.steps, cmd.Step)
		}
	}
}

func (s *harness) answer(id string, do func()) {
	if s.unreachable[id] {
		return
	}
	do()
	s.execute(s.r.Handle(UpstreamReport{
		ID: id, RequestedAt: s.now, OK: true, Term: tracker.Term{Epoch: 1}, Leads: s.leader == id, SuspendedTerm: tracker.Term{Epoch: s.suspended[id]},
		Received: tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: tracker.Position(s.received[id])},
	}, s.now))
}

func (s *harness) answerOrder(o Outcome) {
	s.execute(s.r.Handle(OrderAnswer{Order: s.orders[len(s.orders)-1], Outcome: o}, s.now))
}

func TestNothingHappensWhileTheLeaderWorks(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.advance(5 * time.Second)
	is.Equal(len(s.orders), 0)
	is.Equal(len(s.suspended), 0)
}

// Guards against the loss of an acknowledged commit in a failover: the promoted replica lagged
// when the leader died.
func TestReplicaWithLongestLogIsPromoted(t *testing.T) {
	is := is.New(t)
	for _, ahead := range []string{"b", "c"} {
		s := newHarness()
		s.received[ahead] = 12
		s.crashLeader()
		s.advance(time.Second)
		is.True(len(s.orders) > 0)
		is.Equal(s.orders[0], Order{Group: "g", Upstream: ahead, Token: 7})
		is.True(s.suspended["b"] > 1)
		is.True(s.suspended["c"] > 1) // both were suspended
	}
}

// Guards against the loss of an acknowledged commit in a failover: the leader dies while a
// replica cannot be reached or is not listed, and the rest is taken for all replicas.
func TestEveryReplicaMustBeSuspended(t *testing.T) {
	is := is.New(t)
	for _, unlisted := range []bool{false, true} {
		s := newHarness()
		s.view.Upstreams[2].Unlisted = unlisted
		s.unreachable["c"] = true
		s.crashLeader()
		s.advance(2 * time.Second)
		is.Equal(len(s.orders), 0)
		s.unreachable["c"] = false
		s.received["c"] = 11
		s.advance(time.Second)
		is.Equal(s.orders[0].Upstream, "c")
	}
}

// Guards against the loss of an acknowledged commit in a failover: a lease holder stops waiting
// for the platform's answer and chooses a new target, and the first order is carried out late.
// Or it sends the first order again, and that is carried out twice, the second time after its
// upstream was demoted: if both copies had the same token, the platform would reject neither.
func TestOrderIsRetriedForTheSameUpstream(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.advance(time.Second)
	s.received["c"] = 20
	s.answerOrder(NoAnswer)
	s.advance(2 * time.Second)
	is.True(len(s.orders) > 3)
	for i, o := range s.orders {
		is.Equal(o, Order{Group: "g", Upstream: "b", Token: 7 + uint64(i)})
	}
}

// Guards against a holder that releases a lease that no other process has claimed, or chooses
// a new target while its first order is in flight: an order is sent twice, the platform
// accepts the second copy and then rejects the first, as it must. That rejection must not be
// taken for one caused by another holder.
func TestRejectionOfEarlierCopyIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.advance(time.Second)
	is.True(len(s.orders) > 1)
	is.True(!s.r.IsLatestOrder(s.orders[0]))
	s.execute(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Rejected}, s.now))
	is.True(s.r.Busy())
	s.execute(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Accepted}, s.now)) // the answer came late
	is.Equal(s.steps[len(s.steps)-1], "accepted")
}

// Guards against a working group that loses its leader: a process that was partitioned comes
// back and trusts its outdated view without polling the leader.
func TestLeaderThatAnswersIsKept(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.LeaderAnswers = false
	s.view.Dead = true
	s.advance(3 * time.Second)
	is.Equal(len(s.orders), 0)
	is.Equal(len(s.suspended), 0)
	is.Equal(s.steps[1], "called off")
}

// Guards against writes that hang although the leader answers: it is partitioned from its
// replicas, and its answers to everything else count as working.
func TestCommitStalledLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Dead, s.view.CommitStalled = true, true
	s.advance(time.Second)
	is.Equal(len(s.orders) > 0, true)
	is.True(s.orders[0].Upstream != "a")
}

// Guards against the loss of an acknowledged commit in a failover: peers still reach the old
// leader, a replica that joins confirms a commit there, and the promotion is ordered before
// the peers have demoted the old leader.
func TestPeersDemoteLeaderBeforePromotion(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.view.ReachedByPeer = true
	s.advance(700 * time.Millisecond)
	is.Equal(len(s.orders), 0)
	id, term := s.r.FenceTarget()
	is.Equal(id, "a")
	is.Equal(term, tracker.Term{Epoch: 2})
	s.view.ReachedByPeer = false
	s.view.Upstreams = append(s.view.Upstreams, Upstream{ID: "d"})
	s.received["d"] = 13
	s.advance(time.Second)
	is.Equal(s.orders[0].Upstream, "d") // it joined on the leader's side and is ahead
}

// Guards against the loss of acknowledged commits in a change of leader: an order gets no
// answer and is repeated; the second copy is carried out, and the first one seconds later,
// after another change. If both changes used one token, the platform would reject nothing.
func TestEachOrderHasItsOwnToken(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.received["b"] = 12
	s.advance(time.Second)
	is.True(len(s.orders) > 1) // repeated
	last := s.orders[len(s.orders)-1].Token
	s.answerOrder(Accepted)
	s.view.Leader, s.view.LeaderAnswers, s.view.Dead, s.leader = "b", true, false, "b"
	s.view.Term = tracker.Term{Epoch: 2}
	s.advance(time.Second)
	s.unreachable["a"], s.unreachable["b"] = false, true
	s.leader, s.view.LeaderAnswers, s.view.Dead = "", false, true
	s.received["c"] = 13
	s.advance(time.Second)
	seen := map[uint64]bool{}
	for _, o := range s.orders {
		is.True(!seen[o.Token])
		seen[o.Token] = true
		is.Equal(o.Upstream == "c", o.Token > last)
	}
	is.Equal(s.orders[len(s.orders)-1].Upstream, "c")
}

// Guards against the loss of acknowledged commits in a change of leader: a holder has
// suspended the replicas and is partitioned; the next holder suspends them too and sends an
// order; the first one learns that it was replaced and resumes replicas that are no longer its
// own to resume.
func TestReplacedHolderResumesNothing(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams[0].Leaving = true
	s.commitsOnSuspend = 1 // so that b has to catch up
	s.advance(200 * time.Millisecond)
	s.answerOrder(Accepted)
	s.advance(300 * time.Millisecond)
	is.True(s.suspended["c"] > 0)
	s.view.Token = 0
	s.advance(time.Second)
	is.Equal(s.steps[len(s.steps)-1], "give up")
	is.True(s.suspended["c"] > 0)
	s.view.Upstreams[0].Leaving = false
	s.view.Token = 7 + 2*TokenBlockSize // it holds the lease again, and no change is needed
	s.advance(cleanupDelay / 2)
	is.True(s.suspended["c"] > 0) // orders of other holders may still be carried out
	s.advance(cleanupDelay)
	is.Equal(s.suspended["c"], uint32(0))
}

// Guards against a group that stays without a leader although other processes could replace
// it: the holder cannot reach one replica and keeps the lease.
func TestHolderThatCannotReachAReplicaReleasesLease(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.unreachable["c"] = true
	s.crashLeader()
	s.advance(4 * time.Second)
	is.Equal(s.leaseReleases, 1)
	is.Equal(len(s.orders), 0)
	is.Equal(s.r.Busy(), false)
	is.Equal(s.suspended["b"], uint32(0)) // resumed for the next holder
}

// Guards against a new leader that lacks commits of an upstream that is gone for good: a
// replica has been off the list for a long time, then the leader dies. Not only the absence of
// the replica counts, but also what the leader has confirmed since.
func TestNewLeaderReachesMinReceived(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.MinReceived = tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: 11}
	s.crashLeader()
	s.advance(2 * time.Second)
	is.Equal(len(s.orders), 0)
	s.received["b"] = 11
	s.suspended["b"] = 0
	s.view.Token = 0 // another holder starts over
	s.advance(300 * time.Millisecond)
	s.view.Token = 8
	s.advance(2 * time.Second)
	is.Equal(s.orders[0], Order{Group: "g", Upstream: "b", Token: 8})
}

func TestRejectedOrderStartsOver(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.advance(time.Second)
	s.answerOrder(Rejected)
	s.view.Token = 9 + TokenBlockSize
	before := len(s.orders)
	s.advance(2 * time.Second)
	is.Equal(s.orders[before].Token, s.view.Token)
	is.Equal(fmt.Sprint(Rejected, Retryable, NoAnswer, Accepted), "rejected not now no answer accepted")
}

// Guards against the loss of an acknowledged commit in a failover: a suspended replica
// restarts under the same id before a target is chosen; it receives again, and may have lost
// its log. Its report from before the restart must not count.
func TestRestartedReplicaIsSuspendedAgain(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.received["b"] = 12
	s.unreachable["c"] = true
	s.crashLeader()
	s.advance(time.Second) // b is suspended, c does not answer
	is.True(s.suspended["b"] > 1)
	is.Equal(len(s.orders), 0)

	s.view.Upstreams = []Upstream{{ID: "a"}, {ID: "b", StartedAt: s.now}, {ID: "c"}}
	s.suspended["b"], s.received["b"] = 0, 0
	s.unreachable["c"] = false
	s.advance(time.Second)
	is.True(s.suspended["b"] > 1) // again
	is.Equal(s.orders[0].Upstream, "c")
}

// Guards against a group without a leader for as long as one replica is unreachable: its
// leader was demoted for a planned change, the holder dies before it sends the order, and the
// next holder cannot reach that replica. The former leader answers and has every commit, so it
// must not count as dead.
func TestFormerLeaderReplacesUnreachableReplica(t *testing.T) {
	for _, tail := range []uint64{0, 1} {
		is := is.New(t)
		s := newHarness()
		s.leader, s.view.LeaderAnswers, s.view.Dead = "", false, true
		s.unreachable["c"] = true
		s.received["a"], s.received["b"] = 15+tail, 15
		s.advance(time.Second)
		is.True(s.suspended["a"] > 1)
		is.True(s.suspended["b"] > 1)
		want := "b" // of two with equal logs, not the former leader
		if tail > 0 {
			want = "a" // only it certainly has everything
		}
		is.Equal(s.orders[0].Upstream, want)
	}
}

// Guards against the loss of an acknowledged commit in a failover: the leader is gone and no
// longer an upstream of the group, and one replica does not answer. Only one listed upstream
// is missing, but two of those that may have the commit.
func TestRemovedLeaderCountsAsMissing(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Upstreams = []Upstream{{ID: "b"}, {ID: "c"}}
	s.unreachable["c"] = true
	s.crashLeader()
	s.advance(2 * time.Second)
	is.Equal(len(s.orders), 0)
	s.unreachable["c"] = false
	s.advance(2 * time.Second)
	is.True(len(s.orders) > 0)
}

// Guards against the loss of acknowledged commits in a change of leader: a holder that
// receives from no peer was replaced without knowing it; it cannot suspend all replicas and
// resumes those that the next holder has suspended.
func TestPartitionedHolderResumesNothing(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Partitioned = true
	s.unreachable["c"] = true
	s.crashLeader()
	s.advance(4 * time.Second)
	is.Equal(s.leaseReleases, 1)
	is.True(s.suspended["b"] > 0)
	s.view.Token, s.view.Partitioned = 7, false // no other process has claimed the lease
	s.view.LeaderAnswers, s.view.Dead = true, false
	s.leader, s.unreachable["a"] = "a", false
	s.advance(2 * cleanupDelay)
	is.Equal(s.suspended["b"], uint32(0))
}

// Guards against two holders that send orders with one token: the platform does not answer for
// minutes, each copy of an order uses another token, and the holder runs into the block of the
// next one.
func TestTokensStayInTheirBlock(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.crashLeader()
	s.advance(10 * time.Minute)
	is.True(len(s.orders) > TokenBlockSize)
	for _, o := range s.orders {
		is.True(o.Token < 7+TokenBlockSize)
	}

	s = newHarness()
	s.advance(tickInterval)
	s.r.token, s.r.usedTokens = 7, TokenBlockSize-1 // earlier changes used the others
	s.view.Upstreams[0].Leaving = true
	s.acceptNoops = true
	s.advance(time.Second)
	is.Equal(s.leaseReleases, 1)
	is.Equal(len(s.orders), 0)
}

// Guards against the loss of an acknowledged commit in a failover: the leader is back before
// the order takes effect, under its id or another one, and a replica that joins confirms its
// commits.
func TestReturnedLeaderIsDemotedWhileOrderIsOut(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "d"} {
		for _, accepted := range []bool{false, true} {
			s := newHarness()
			s.crashLeader()
			s.advance(time.Second)
			is.True(len(s.orders) > 0)
			if accepted {
				s.answerOrder(Accepted)
			}
			s.unreachable["a"] = id != "a"
			s.leader = id
			s.view.Upstreams[0] = Upstream{ID: id, ClaimsToLead: true}
			s.advance(400 * time.Millisecond)
			is.Equal(s.leader, "") // demoted
			fenced, term := s.r.FenceTarget()
			is.Equal(fenced, "a")
			is.Equal(term, tracker.Term{Epoch: 2})
			is.Equal(s.r.Successor(), s.orders[0].Upstream)
			s.answerOrder(Accepted)
			s.leader = s.orders[0].Upstream
			s.view.Leader, s.view.LeaderAnswers, s.view.Dead = s.leader, true, false
			s.advance(time.Second)
			is.Equal(s.leader, s.orders[0].Upstream)
			is.Equal(s.r.Successor(), "")
		}
	}
}

// Guards against a group that stays without a leader: the leader answers, but its commits wait
// for a replica that lacks what another one had confirmed. If the leader were demoted, the
// replica could receive that from nobody.
func TestLeaderIsKeptWhileReplicasLackMinReceived(t *testing.T) {
	is := is.New(t)
	s := newHarness()
	s.view.Dead, s.view.CommitStalled = true, true
	s.view.Upstreams = s.view.Upstreams[:2]
	s.view.MinReceived = tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: 12}
	s.advance(10 * time.Second)
	is.Equal(len(s.orders), 0)
	is.Equal(s.leader, "a")
	is.True(s.leaseReleases > 0)
	is.Equal(s.suspended["b"], uint32(0)) // it may receive
	s.view.Token, s.received["b"] = 2000, 12
	s.advance(2 * time.Second)
	is.True(len(s.orders) > 0)
}
