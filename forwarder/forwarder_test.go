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

// fleet is a process that is not a gateway itself, and peers that are.
type fleet struct {
	Forwarder
	now   time.Time
	peers []gossiper.Peer
	// sendErrors holds the error of sending to a peer; the others answer.
	sendErrors map[netip.AddrPort]error
	called     []netip.AddrPort
}

func at(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7440)
}

func newFleet(zones ...string) *fleet {
	f := &fleet{now: time.Unix(1000, 0), sendErrors: map[netip.AddrPort]error{}}
	c := &carrier.Registry{Now: func() time.Time { return f.now }, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 0} }}
	c.DivideConnections(10, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
	for i, zone := range zones {
		f.peers = append(f.peers, gossiper.Peer{LastSeen: f.now, State: gossiper.State{
			Name: zone, Zone: zone, GatewayAddr: at(byte(i)), Groups: map[string]gossiper.GroupState{"g": {IsGateway: true}},
		}})
	}
	f.Local, f.Zone, f.Log = c.Group, "home", zap.NewNop()
	f.Now = func() time.Time { return f.now }
	f.Gateways = f.gateways
	f.Send = f.send
	return f
}

func (f *fleet) gateways(group string) []Candidate {
	var out []Candidate
	for _, p := range f.peers {
		if state := p.Groups[group]; state.IsGateway {
			out = append(out, Candidate{Name: p.Name, Zone: p.Zone, Address: p.GatewayAddr, LastSeen: p.LastSeen, LeaderFault: state.LeaderFault, IsFaultKnown: true})
		}
	}
	return out
}

func (f *fleet) send(_ context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
	f.called = append(f.called, to)
	if err := f.sendErrors[to]; err != nil {
		return nil, err
	}
	return json.Marshal(response{Answer: carrier.Answer{Signature: "s"}})
}

func (f *fleet) run(writes bool) carrier.Answer {
	runner, _ := f.Group("g")
	return runner.Run(&carrier.Job{Writes: writes, Arrived: f.now, Deadline: time.Now().Add(time.Second)}, carrier.Command{Verb: carrier.Read, ID: "r"})
}

func TestPeersOfOwnZoneGoFirst(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	for range 10 {
		is.Equal(f.run(false).Code, carrier.OK)
	}
	for _, to := range f.called {
		is.Equal(to, at(1))
	}
}

// Guards against a booking that is answered as in doubt although no peer received it: a
// call that was never sent, because the peer is unreachable, must not count as one whose
// answer is lost.
func TestUnsentWriteGoesToAnotherPeer(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.sendErrors[at(1)] = errors.Mark(errLost, ErrUnsent)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.called, []netip.AddrPort{at(1), at(0)})
}

// Guards against a booking that takes effect twice: a peer is lost after the statement was
// sent, and the lost answer must not count as a call that was never sent, which goes to
// another peer.
func TestWriteWithLostAnswerIsInDoubt(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.sendErrors[at(1)] = errLost
	is.Equal(f.run(true).Code, carrier.InDoubt)
	is.Equal(len(f.called), 1)
	is.Equal(f.run(false).Code, carrier.OK) // a read may be sent again
}

// Guards against statements that lose half a second each on a peer that is partitioned,
// because it is skipped for a fixed time only and tried again each second, whether a
// datagram from it was received or not.
func TestLostPeerIsSkippedUntilReceived(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	f.sendErrors[at(1)] = errors.Mark(errLost, ErrUnsent)
	f.run(false)
	f.called = nil
	f.now = f.now.Add(2 * time.Second)
	f.run(false)
	is.Equal(f.called, []netip.AddrPort{at(0)})
	f.called = nil
	delete(f.sendErrors, at(1))
	f.peers[1].LastSeen = f.now
	f.run(false)
	is.Equal(f.called, []netip.AddrPort{at(1)})
}

// A process knows whether it reaches a peer that is a gateway of a group.
func TestHasLiveGateway(t *testing.T) {
	is := is.New(t)
	f := newFleet("home")
	is.True(f.HasLiveGateway("g"))
	is.True(!f.HasLiveGateway("other"))
	f.peers[0].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	is.True(f.HasLiveGateway("g")) // the leader is unreachable, not the peer
	f.peers[0].Groups["g"] = gossiper.GroupState{IsGateway: true}
	f.sendErrors[at(0)] = errors.Mark(errLost, ErrUnsent)
	runner, _ := f.Group("g")
	runner.Run(&carrier.Job{Arrived: f.now, Deadline: time.Now().Add(60 * time.Millisecond)}, carrier.Command{Verb: carrier.Read, ID: "r"})
	is.True(!f.HasLiveGateway("g"))
}

// Guards against statements that are refused a second after they arrived, after a power
// failure of the whole fleet, though others are served: the three peers that are tried
// have just started and refuse, and a moment later they would serve.
func TestRefusingPeersAreRetried(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "home", "home")
	serve := f.Send
	f.Send = func(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
		if len(f.called) < maxOffers {
			f.called = append(f.called, to)
			return json.Marshal(response{Refused: true})
		}
		return serve(ctx, to, payload)
	}
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(len(f.called), maxOffers+1)
}

// Guards against reads that replicas could answer and that processes without connections
// refuse while a leader is replaced: no gateway of the group reaches the leader then, and
// such reads must not be offered only to those that do.
func TestReplicaReadsGoToPeersWithoutLeader(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	unreachable := gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	f.peers[0].Groups["g"], f.peers[1].Groups["g"] = unreachable, unreachable
	_, found := f.choosePeer(criteria{group: "g", needsLeader: true})
	is.True(!found)
	p, found := f.choosePeer(criteria{group: "g"})
	is.True(found)
	is.Equal(p.Zone, "home")
	f.peers[1].Groups["g"] = gossiper.GroupState{IsGateway: true}
	p, _ = f.choosePeer(criteria{group: "g"})
	is.Equal(p.Zone, "away") // it reaches the leader, too
	runner, _ := f.Group("g")
	f.peers[1].Groups["g"] = unreachable
	job := &carrier.Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second, Arrived: f.now, Deadline: time.Now().Add(time.Second)}
	is.Equal(runner.Run(job, carrier.Command{Verb: carrier.Read, ID: "r"}).Code, carrier.OK)
}

// Guards against callers that wait out their statement's time at a process without
// connections: a partition leaves it with gateways that are all isolated from whichever
// upstream leads next, and it offers them the statement again and again.
func TestIsolatedGatewaysAreNotAwaited(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	is.True(!f.AreGatewaysIsolated("g"))
	for i := range f.peers {
		is.True(!f.AreGatewaysIsolated("g"))
		f.peers[i].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Isolated}
	}
	is.True(f.AreGatewaysIsolated("g"))
	is.Equal(f.run(true).Code, carrier.Busy)
	is.Equal(len(f.called), 0)
	f.peers[1].Groups["g"] = gossiper.GroupState{IsGateway: true, LeaderFault: gossiper.Unreachable}
	is.True(!f.AreGatewaysIsolated("g")) // that one may reach the next leader
	f.peers = nil
	is.True(!f.AreGatewaysIsolated("g")) // nothing was received yet: the process has just started
}

// Guards against a process that offers each statement to three gateways again and again
// while a leader is replaced. A process that is not a gateway of the group receives the
// faults that gateways gossip by chance only, so it has to use the fault reported with the
// last answer.
func TestFaultReportedWithAnswerIsUsed(t *testing.T) {
	is := is.New(t)
	f := newFleet("home", "away")
	f.Gateways = func(string) []Candidate {
		return []Candidate{{Name: "home", Zone: "home", Address: at(0)}, {Name: "away", Zone: "away", Address: at(1)}}
	}
	faulty := at(0)
	f.Send = func(_ context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
		f.called = append(f.called, to)
		if to == faulty {
			return json.Marshal(response{Refused: true, LeaderFault: gossiper.Unreachable})
		}
		return json.Marshal(response{Answer: carrier.Answer{Signature: "s"}})
	}
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.called, []netip.AddrPort{at(0), at(1), at(1)}) // the first is tried once
	f.now = f.now.Add(reportTTL)
	faulty = at(1)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.called[3:], []netip.AddrPort{at(0)}) // it has found the next leader
}

// Guards against callers that are refused though others would serve them: two of four
// gateways report that they are isolated from the next leader, and from the others nothing
// was received. Unknown gateways must not count as isolated.
func TestUnknownGatewaysAreNotIsolated(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	cutOff := func(i byte) Candidate {
		return Candidate{Name: "b", Address: at(i), LeaderFault: gossiper.Isolated, IsFaultKnown: true}
	}
	f.Gateways = func(string) []Candidate { return []Candidate{cutOff(0), cutOff(1), {Address: at(2)}, {Address: at(3)}} }
	is.True(!f.AreGatewaysIsolated("g"))
	f.Gateways = func(string) []Candidate { return []Candidate{cutOff(0), cutOff(1), cutOff(2), {Address: at(3)}} }
	is.True(f.AreGatewaysIsolated("g")) // as many as a statement is offered to
}

// Guards against refusals and lost answers that nobody can trace to the process that gave
// them, and against a peer that claims another name.
func TestAnswersNameThePeer(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	is.Equal(f.run(false).Gateway, "home")
	f.sendErrors[at(1)] = errLost
	is.Equal(f.run(true).Gateway, "home") // in doubt there
	is.Equal(answerFrom(Candidate{Name: "home"}, carrier.Answer{Gateway: "another"}).Gateway, "home")
	tx := &remoteTx{f: &f.Forwarder, peer: f.gateways("g")[0], group: "g", open: true}
	j := &carrier.Job{Arrived: f.now, Deadline: time.Now().Add(time.Second)}
	is.Equal(tx.Do(j, carrier.Command{}).Gateway, "away")
	is.Equal(tx.Commit(j, carrier.Command{}).Gateway, "away")
}
