package replacer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

// scene plays a Replacer against upstreams that answer at once.
type scene struct {
	r        Replacer
	now      time.Time
	view     View
	received map[string]uint64 // end of each log in term 1
	held     map[string]uint32
	mute     map[string]bool // doesn't answer
	leads    string
	orders   []Order
	prompt   bool     // orders for the present leader are accepted at once
	onHalt   uint64   // commits of the leader's until a replica is halted
	onYield  uint64   // and until it gives the lead up
	halts    []string // whom it told to stop receiving
	resigned int
	steps    []string
}

func newScene() *scene {
	s := &scene{
		r: Replacer{Group: "g"}, now: time.Unix(1000, 0),
		received: map[string]uint64{"a": 10, "b": 10, "c": 10}, held: map[string]uint32{}, mute: map[string]bool{}, leads: "a",
	}
	s.view = View{
		Leader: "a", LeaderAnswers: true, Term: tracker.Term{Epoch: 1}, Token: 7,
		Upstreams: []Upstream{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}
	return s
}

// crash takes the leader away, as all who vote see it.
func (s *scene) crash() {
	s.mute["a"] = true
	s.leads = ""
	s.view.LeaderAnswers = false
	s.view.Dead = true
}

// play lets time pass, a tick each tenth of a second.
func (s *scene) play(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		s.run(s.r.Handle(Tick{View: s.view}, s.now))
	}
}

func (s *scene) run(commands []Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case Suspend:
			s.halts = append(s.halts, cmd.ID)
			s.received["a"] += s.onHalt // what was confirmed until then
			s.answer(cmd.ID, func() { s.held[cmd.ID] = cmd.Term.Epoch })
		case Resume:
			s.held[cmd.ID] = 0
		case Demote:
			s.received[cmd.ID] += s.onYield // what was on its way
			s.answer(cmd.ID, func() { s.leads = strings.TrimPrefix(s.leads, cmd.ID) })
		case Poll:
			s.answer(cmd.ID, func() {})
		case Promote:
			s.orders = append(s.orders, cmd.Order)
			if s.prompt && cmd.Order.Upstream == s.leads {
				s.outcome(Accepted)
			}
		case ReleaseLease:
			s.resigned++
			s.view.Token = 0
		case LogStep:
			s.steps = append(s.steps, cmd.Step)
		}
	}
}

func (s *scene) answer(id string, do func()) {
	if s.mute[id] {
		return
	}
	do()
	s.run(s.r.Handle(UpstreamReport{
		ID: id, RequestedAt: s.now, OK: true, Term: tracker.Term{Epoch: 1}, Leads: s.leads == id, SuspendedTerm: tracker.Term{Epoch: s.held[id]},
		Received: tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: tracker.Position(s.received[id])},
	}, s.now))
}

func (s *scene) outcome(o Outcome) {
	s.run(s.r.Handle(OrderAnswer{Order: s.orders[len(s.orders)-1], Outcome: o}, s.now))
}

func TestNothingHappensWhileTheLeaderWorks(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.play(5 * time.Second)
	is.Equal(len(s.orders), 0)
	is.Equal(len(s.held), 0)
}

// Symptom: an acknowledged commit is missing after a failover. Sequence: one
// replica is behind when the leader dies. Cause: it is promoted.
func TestFurthestReplicaIsPromoted(t *testing.T) {
	is := is.New(t)
	for _, ahead := range []string{"b", "c"} {
		s := newScene()
		s.received[ahead] = 12
		s.crash()
		s.play(time.Second)
		is.True(len(s.orders) > 0)
		is.Equal(s.orders[0], Order{Group: "g", Upstream: ahead, Token: 7})
		is.True(s.held["b"] > 1)
		is.True(s.held["c"] > 1) // both had stopped receiving
	}
}

// Symptom: the same. Sequence: the leader dies while a replica can't be asked, or
// isn't listed. Cause: the rest is taken for all.
func TestEveryReplicaMustBeHalted(t *testing.T) {
	is := is.New(t)
	for _, lost := range []bool{false, true} {
		s := newScene()
		s.view.Upstreams[2].Unlisted = lost
		s.mute["c"] = true
		s.crash()
		s.play(2 * time.Second)
		is.Equal(len(s.orders), 0)
		s.mute["c"] = false
		s.received["c"] = 11
		s.play(time.Second)
		is.Equal(s.orders[0].Upstream, "c")
	}
}

// Symptom: the same. Sequence: a holder gives up waiting for an answer of the
// platform, chooses anew, and the first order is carried out late. Cause: two
// orders in turn. Or it sends the first again, that is carried out twice, the second time
// after its upstream has lost the lead. Cause: both have one token, so that the platform
// refuses neither.
func TestOrderIsRepeatedUnchanged(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.play(time.Second)
	s.received["c"] = 20
	s.outcome(NoAnswer)
	s.play(2 * time.Second)
	is.True(len(s.orders) > 3)
	for i, o := range s.orders {
		is.Equal(o, Order{Group: "g", Upstream: "b", Token: 7 + uint64(i)})
	}
}

// Symptom: a holder gives up a duty that nobody else has, or chooses anew while its first
// choice is under way. Sequence: an order is sent twice; the platform takes the second and
// then refuses the first, as it must. Cause: any refusal is taken for another holder's.
func TestARefusalOfAnEarlierCopyMeansNothing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.play(time.Second)
	is.True(len(s.orders) > 1)
	is.True(!s.r.IsLatestOrder(s.orders[0]))
	s.run(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Rejected}, s.now))
	is.True(s.r.Busy())
	s.run(s.r.Handle(OrderAnswer{Order: s.orders[0], Outcome: Accepted}, s.now)) // the answer came late
	is.Equal(s.steps[len(s.steps)-1], "accepted")
}

// Symptom: a group that works loses its leader. Sequence: a process that was cut
// off comes back and believes what it last saw. Cause: nobody asks the leader.
func TestLeaderThatAnswersIsLeftAlone(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.LeaderAnswers = false
	s.view.Dead = true
	s.play(3 * time.Second)
	is.Equal(len(s.orders), 0)
	is.Equal(len(s.held), 0)
	is.Equal(s.steps[1], "called off")
}

// Symptom: writes hang although the leader answers. Sequence: it is cut off from
// its replicas. Cause: its answers to all else pass for work.
func TestStuckLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Dead, s.view.CommitStalled = true, true
	s.play(time.Second)
	is.Equal(len(s.orders) > 0, true)
	is.True(s.orders[0].Upstream != "a")
}

// Symptom: an acknowledged commit is missing after a failover. Sequence: peers
// still reach the old leader, which confirms a commit by a replica that joins.
// Cause: the promotion is ordered before they have taken the lead from it.
func TestPeersTakeTheLeadFirst(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.view.ReachedByPeer = true
	s.play(700 * time.Millisecond)
	is.Equal(len(s.orders), 0)
	id, term := s.r.FenceTarget()
	is.Equal(id, "a")
	is.Equal(term, tracker.Term{Epoch: 2})
	s.view.ReachedByPeer = false
	s.view.Upstreams = append(s.view.Upstreams, Upstream{ID: "d"})
	s.received["d"] = 13
	s.play(time.Second)
	is.Equal(s.orders[0].Upstream, "d") // it joined on the leader's side and is ahead
}

// Symptom: commits that were acknowledged are gone after a change of leader. Sequence: an
// order gets no answer and is repeated; the repeat is carried out; seconds later the
// first one is, after another change. Cause: both changes use one token, so the platform
// refuses nothing.
func TestEachChoiceHasATokenOfItsOwn(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.received["b"] = 12
	s.play(time.Second)
	is.True(len(s.orders) > 1) // repeated
	last := s.orders[len(s.orders)-1].Token
	s.outcome(Accepted)
	s.view.Leader, s.view.LeaderAnswers, s.view.Dead, s.leads = "b", true, false, "b"
	s.view.Term = tracker.Term{Epoch: 2}
	s.play(time.Second)
	s.mute["a"], s.mute["b"] = false, true
	s.leads, s.view.LeaderAnswers, s.view.Dead = "", false, true
	s.received["c"] = 13
	s.play(time.Second)
	seen := map[uint64]bool{}
	for _, o := range s.orders {
		is.True(!seen[o.Token])
		seen[o.Token] = true
		is.Equal(o.Upstream == "c", o.Token > last)
	}
	is.Equal(s.orders[len(s.orders)-1].Upstream, "c")
}

// Symptom: commits that were acknowledged are gone after a change of leader. Sequence: a
// holder has halted the replicas and is cut off; the next holder halts them too and
// orders; the first hears that it was replaced and releases them. Cause: what it gives up
// isn't its own any more.
func TestAHolderThatWasReplacedReleasesNothing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams[0].Leaving = true
	s.onHalt = 1 // so that b has to catch up
	s.play(200 * time.Millisecond)
	s.outcome(Accepted)
	s.play(300 * time.Millisecond)
	is.True(s.held["c"] > 0)
	s.view.Token = 0
	s.play(time.Second)
	is.Equal(s.steps[len(s.steps)-1], "give up")
	is.True(s.held["c"] > 0)
	s.view.Upstreams[0].Leaving = false
	s.view.Token = 7 + 2*TokenBlockSize // it has the duty again, and nothing is to be changed
	s.play(tidyAfter / 2)
	is.True(s.held["c"] > 0) // what others ordered may still be carried out
	s.play(tidyAfter)
	is.Equal(s.held["c"], uint32(0))
}

// Symptom: a group stays without a leader although other processes could replace
// it. Sequence: the holder can't reach one replica. Cause: it keeps the duty.
func TestHolderThatCantReachAReplicaResigns(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.mute["c"] = true
	s.crash()
	s.play(4 * time.Second)
	is.Equal(s.resigned, 1)
	is.Equal(len(s.orders), 0)
	is.Equal(s.r.Busy(), false)
	is.Equal(s.held["b"], uint32(0)) // released for the next holder
}

// Symptom: a leader is promoted that lacks commits of one that is gone for good.
// Sequence: a replica is off the list for long, then the leader dies. Cause: only
// its absence is looked at, not what the leader has confirmed since.
func TestFloorHoldsForTheNewLeader(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.MinReceived = tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: 11}
	s.crash()
	s.play(2 * time.Second)
	is.Equal(len(s.orders), 0)
	s.received["b"] = 11
	s.held["b"] = 0
	s.view.Token = 0 // another holder begins anew
	s.play(300 * time.Millisecond)
	s.view.Token = 8
	s.play(2 * time.Second)
	is.Equal(s.orders[0], Order{Group: "g", Upstream: "b", Token: 8})
}

func TestRejectedOrderBeginsAnew(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.play(time.Second)
	s.outcome(Rejected)
	s.view.Token = 9 + TokenBlockSize
	before := len(s.orders)
	s.play(2 * time.Second)
	is.Equal(s.orders[before].Token, s.view.Token)
	is.Equal(fmt.Sprint(Rejected, NotNow, NoAnswer, Accepted), "rejected not now no answer accepted")
}

// Symptom: an acknowledged commit is missing after a failover. Sequence: a halted
// replica starts again under its id before the leader's successor is chosen; it receives
// again, and may have lost its log. Cause: what it reported before counts as halted.
func TestAReplicaThatStartsAgainIsHaltedAnew(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.received["b"] = 12
	s.mute["c"] = true
	s.crash()
	s.play(time.Second) // b is halted, c can't be asked
	is.True(s.held["b"] > 1)
	is.Equal(len(s.orders), 0)

	s.view.Upstreams = []Upstream{{ID: "a"}, {ID: "b", StartedAt: s.now}, {ID: "c"}}
	s.held["b"], s.received["b"] = 0, 0
	s.mute["c"] = false
	s.play(time.Second)
	is.True(s.held["b"] > 1) // once more
	is.Equal(s.orders[0].Upstream, "c")
}

// Symptom: a group has no leader for as long as one replica is away. Sequence: its leader
// has given the lead up for a planned change, the holder dies before it orders, and the
// next holder can't reach that replica. Cause: the former leader counted as dead, though
// it answers and has every commit.
func TestAFormerLeaderStandsInForAReplicaThatIsAway(t *testing.T) {
	for _, tail := range []uint64{0, 1} {
		is := is.New(t)
		s := newScene()
		s.leads, s.view.LeaderAnswers, s.view.Dead = "", false, true
		s.mute["c"] = true
		s.received["a"], s.received["b"] = 15+tail, 15
		s.play(time.Second)
		is.True(s.held["a"] > 1)
		is.True(s.held["b"] > 1)
		want := "b" // of two that are as far not the one that led
		if tail > 0 {
			want = "a" // the only one that surely has everything
		}
		is.Equal(s.orders[0].Upstream, want)
	}
}

// Symptom: an acknowledged commit is missing after a failover. Sequence: the leader is gone
// and counts as a member no longer; one replica can't be asked. Cause: the rest lacks only
// one member, but two of those that may have the commit.
func TestALeaderThatIsGoneIsTheOneThatIsMissing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Upstreams = []Upstream{{ID: "b"}, {ID: "c"}}
	s.mute["c"] = true
	s.crash()
	s.play(2 * time.Second)
	is.Equal(len(s.orders), 0)
	s.mute["c"] = false
	s.play(2 * time.Second)
	is.True(len(s.orders) > 0)
}

// Symptom: commits that were acknowledged are gone after a change of leader. Sequence: a
// holder that hears nobody was replaced; it can't halt all replicas and releases those
// that the next holder has halted. Cause: it takes itself for the holder.
func TestAHolderThatHearsNobodyReleasesNothing(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.view.Partitioned = true
	s.mute["c"] = true
	s.crash()
	s.play(4 * time.Second)
	is.Equal(s.resigned, 1)
	is.True(s.held["b"] > 0)
	s.view.Token, s.view.Partitioned = 7, false // nobody has taken it
	s.view.LeaderAnswers, s.view.Dead = true, false
	s.leads, s.mute["a"] = "a", false
	s.play(2 * tidyAfter)
	is.Equal(s.held["b"], uint32(0))
}

// Symptom: two holders order with one token. Sequence: the platform answers nothing for
// minutes, and each copy of an order takes another token. Cause: the holder goes on into
// the block of the next one.
func TestTokensStayInTheirBlock(t *testing.T) {
	is := is.New(t)
	s := newScene()
	s.crash()
	s.play(10 * time.Minute)
	is.True(len(s.orders) > TokenBlockSize)
	for _, o := range s.orders {
		is.True(o.Token < 7+TokenBlockSize)
	}

	s = newScene()
	s.play(step)
	s.r.token, s.r.chosen = 7, TokenBlockSize-1 // what earlier changes left
	s.view.Upstreams[0].Leaving = true
	s.prompt = true
	s.play(time.Second)
	is.Equal(s.resigned, 1)
	is.Equal(len(s.orders), 0)
}
