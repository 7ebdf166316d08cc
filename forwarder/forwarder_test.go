package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
)

var errLost = errors.New("connection lost")

// fleet is a process that carries nothing itself, and peers that do.
type fleet struct {
	Forwarder
	now   time.Time
	peers []gossiper.Peer
	// fails says what sending to a peer ends with; the others answer.
	fails map[netip.AddrPort]error
	asked []netip.AddrPort
}

func at(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7440)
}

func newFleet(zones ...string) *fleet {
	f := &fleet{now: time.Unix(1000, 0), fails: map[netip.AddrPort]error{}}
	c := &carrier.Registry{Now: func() time.Time { return f.now }, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 0} }}
	c.DivideConnections(10, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	c.Apply([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
	for i, zone := range zones {
		f.peers = append(f.peers, gossiper.Peer{LastSeen: f.now, State: gossiper.State{
			Name: zone, Zone: zone, GatewayAddr: at(byte(i)), Groups: map[string]gossiper.GroupState{"g": {IsGateway: true}},
		}})
	}
	f.Local, f.Zone, f.Log = c.Group, "home", zap.NewNop()
	f.Now = func() time.Time { return f.now }
	f.Gateways = f.carriers
	f.Send = f.send
	return f
}

func (f *fleet) carriers(group string) []Candidate {
	var out []Candidate
	for _, p := range f.peers {
		if state := p.Groups[group]; state.IsGateway {
			out = append(out, Candidate{Name: p.Name, Zone: p.Zone, Address: p.GatewayAddr, LastSeen: p.LastSeen, LeaderFault: state.LeaderFault, IsFaultKnown: true})
		}
	}
	return out
}

func (f *fleet) send(_ context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
	f.asked = append(f.asked, to)
	if err := f.fails[to]; err != nil {
		return nil, err
	}
	return json.Marshal(response{Answer: carrier.Answer{Signature: "s"}})
}

func (f *fleet) run(writes bool) carrier.Answer {
	runner, _ := f.Group("g")
	return runner.Run(&carrier.Job{Writes: writes, Arrived: f.now, Deadline: time.Now().Add(time.Second)}, carrier.Command{Verb: carrier.Read, ID: "r"})
}

func TestPeersOfTheOwnZoneGoFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	for range 10 {
		is.Equal(f.run(false).Code, carrier.OK)
	}
	for _, to := range f.asked {
		is.Equal(to, at(1))
	}
}

// Symptom: a booking is told to be in doubt that nobody has heard of. Sequence: the
// peer that was to carry it can't be reached. Cause: a call that was never sent is
// taken for one whose answer is lost.
func TestAWriteThatWasNeverSentGoesToAnotherPeer(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.fails[at(1)] = errors.Mark(errLost, ErrUnsent)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.asked, []netip.AddrPort{at(1), at(0)})
}

// Symptom: a booking takes effect twice. Sequence: the peer that carries it is lost
// after it was sent, and the statement goes to another one. Cause: a lost answer is
// taken for a call that was never sent.
func TestAWriteWhoseAnswerIsLostIsInDoubt(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.fails[at(1)] = errLost
	is.Equal(f.run(true).Code, carrier.InDoubt)
	is.Equal(len(f.asked), 1)
	is.Equal(f.run(false).Code, carrier.OK) // a read may go again
}

// Symptom: each statement loses half a second on a peer that is cut off. Sequence:
// the peer is asked once a second, whether it was heard of or not. Cause: it is
// passed over for a fixed time only.
func TestALostPeerIsPassedOverUntilItIsHeard(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.fails[at(1)] = errors.Mark(errLost, ErrUnsent)
	f.run(false)
	f.asked = nil
	f.now = f.now.Add(2 * time.Second)
	f.run(false)
	is.Equal(f.asked, []netip.AddrPort{at(0)})
	f.asked = nil
	delete(f.fails, at(1))
	f.peers[1].LastSeen = f.now
	f.run(false)
	is.Equal(f.asked, []netip.AddrPort{at(1)})
}

// A process knows whether some peer carries for a group, or none that it reaches.
func TestReaches(t *testing.T) {
	is := is.New(t)
	f := newFleet("home")
	is.True(f.HasLiveGateway("g"))
	is.True(!f.HasLiveGateway("other"))
	f.peers[0].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	is.True(f.HasLiveGateway("g")) // the leader is gone, not the peer
	f.peers[0].Groups["g"] = gossiper.GroupState{IsGateway: true}
	f.fails[at(0)] = errors.Mark(errLost, ErrUnsent)
	runner, _ := f.Group("g")
	runner.Run(&carrier.Job{Arrived: f.now, Deadline: time.Now().Add(60 * time.Millisecond)}, carrier.Command{Verb: carrier.Read, ID: "r"})
	is.True(!f.HasLiveGateway("g"))
}

// Symptom: after a loss of power everywhere statements are refused a second after
// they came, though others are served. Sequence: the three peers that are asked
// refuse, since they have just started; a moment later they would serve. Cause: a
// peer that has refused isn't asked again.
func TestPeersThatRefusedAreAskedAgain(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "home", "home")
	answer := f.Send
	f.Send = func(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
		if len(f.asked) < hops {
			f.asked = append(f.asked, to)
			return json.Marshal(response{Refused: true})
		}
		return answer(ctx, to, payload)
	}
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(len(f.asked), hops+1)
}

// Symptom: while a leader is replaced, processes without connections refuse reads that
// replicas could answer. Sequence: all who carry for the group miss its leader. Cause:
// whatever the statement needs, only peers that reach the leader are asked.
func TestReadsThatNeedNoLeaderGoToPeersThatMissIt(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	missing := gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	f.peers[0].Groups["g"], f.peers[1].Groups["g"] = missing, missing
	_, found := f.peer(wish{group: "g", leader: true})
	is.True(!found)
	p, found := f.peer(wish{group: "g"})
	is.True(found)
	is.Equal(p.Zone, "home")
	f.peers[1].Groups["g"] = gossiper.GroupState{IsGateway: true}
	p, _ = f.peer(wish{group: "g"})
	is.Equal(p.Zone, "away") // it reaches the leader, too
	runner, _ := f.Group("g")
	f.peers[1].Groups["g"] = missing
	job := &carrier.Job{Freshness: cataloger.BoundedStaleness, MaxAge: time.Second, Arrived: f.now, Deadline: time.Now().Add(time.Second)}
	is.Equal(runner.Run(job, carrier.Command{Verb: carrier.Read, ID: "r"}).Code, carrier.OK)
}

// Symptom: callers of a process without connections wait out their statement's time.
// Sequence: a partition leaves it with peers that are all cut off from whoever leads
// next. Cause: it asks them again and again.
func TestPeersThatAreAllCutOffAreNotWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	is.True(!f.Blind("g"))
	for i := range f.peers {
		is.True(!f.Blind("g"))
		f.peers[i].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Isolated}
	}
	is.True(f.Blind("g"))
	is.Equal(f.run(true).Code, carrier.Busy)
	is.Equal(len(f.asked), 0)
	f.peers[1].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	is.True(!f.Blind("g")) // that one may reach the next leader
	f.peers = nil
	is.True(!f.Blind("g")) // nobody is heard: a process that has just started
}

// Symptom: while a leader is replaced, a process that doesn't carry for its group offers
// each statement to three carriers, again and again. Sequence: it hears of those that
// carry by chance only, and not of their trouble. Cause: what they said with the last
// answer isn't kept.
func TestWhatAPeerSaysWithAnAnswerCounts(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	f.Gateways = func(string) []Candidate {
		return []Candidate{{Name: "home", Zone: "home", Address: at(0)}, {Name: "away", Zone: "away", Address: at(1)}}
	}
	troubled := at(0)
	f.Send = func(_ context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
		f.asked = append(f.asked, to)
		if to == troubled {
			return json.Marshal(response{Refused: true, Trouble: gossiper.Unreachable})
		}
		return json.Marshal(response{Answer: carrier.Answer{Signature: "s"}})
	}
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.asked, []netip.AddrPort{at(0), at(1), at(1)}) // asked once
	f.now = f.now.Add(noted)
	troubled = at(1)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.asked[3:], []netip.AddrPort{at(0)}) // it has found the next leader
}

// Symptom: a process gives callers up though others serve them. Sequence: two of four
// carriers are cut off from the next leader and say so; nothing was heard of the others.
// Cause: silence is taken for consent.
func TestCarriersThatSaidNothingArentBlind(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	blind := func(i byte) Candidate {
		return Candidate{Name: "b", Address: at(i), LeaderFault: gossiper.Isolated, IsFaultKnown: true}
	}
	f.Gateways = func(string) []Candidate { return []Candidate{blind(0), blind(1), {Address: at(2)}, {Address: at(3)}} }
	is.True(!f.Blind("g"))
	f.Gateways = func(string) []Candidate { return []Candidate{blind(0), blind(1), blind(2), {Address: at(3)}} }
	is.True(f.Blind("g")) // as many as a statement is offered to
}
