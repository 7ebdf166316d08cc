package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7440)
}

// sweepUntil runs the rounds of a process that receives nothing more, until a moment.
func sweepUntil(r *Roster, from, to time.Time) (dropped []string) {
	for now := from; !now.After(to); now = now.Add(RoundInterval) {
		dropped = append(dropped, r.Sweep(now)...)
	}
	return dropped
}

func TestPeerIsLiveWhileReceived(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.AddListed(State{Name: "a", Zone: "z", GossipAddr: at(1)}, now)
	is.Equal(len(r.Live(now)), 0) // listed, but nothing received
	r.Receive(State{Name: "a", Start: 5}, now)
	is.Equal(len(r.Live(now.Add(time.Second))), 1)
	is.Equal(len(r.Live(now.Add(3*time.Second))), 0)
	sweepUntil(&r, now, now.Add(firstContactTimeout))
	now = now.Add(firstContactTimeout)
	is.Equal(len(r.ReachableNames(now)), 0)
	is.Equal(len(r.Fleet()), 1) // it may still hold connections
	is.Equal(sweepUntil(&r, now.Add(RoundInterval), now.Add(deadTimeout+removeTimeout+2*time.Second)), []string{"a"})
	is.Equal(len(r.Fleet()), 0)
}

// Guards against a part of an upstream's connections that stays unused for good: a machine
// is replaced by one of another name, and the old one's entry stays in the store. Every
// process ever listed would count as one that may hold connections.
func TestReplacedProcessLeavesFleet(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.AddListed(State{Name: "gone", Zone: "z", GossipAddr: at(1)}, now)
	for i := range 2 * int((aliveTimeout+deadTimeout)/RoundInterval) {
		at := now.Add(time.Duration(i) * RoundInterval)
		r.Receive(State{Name: "lives"}, at)
		if at.Sub(now) < deadTimeout {
			r.Receive(State{Name: "leaves"}, at)
		}
		r.Sweep(at)
		switch since := at.Sub(now); {
		case since < neverSeenTimeout:
			is.Equal(len(r.Fleet()), 3) // it may just be partitioned
		case since > neverSeenTimeout+RoundInterval && since < deadTimeout:
			is.Equal(len(r.Fleet()), 2) // nothing was ever received from it
		case since > 2*deadTimeout+aliveTimeout+RoundInterval:
			is.Equal(len(r.Fleet()), 1)
			is.Equal(r.Fleet()[0].Name, "lives")
		}
	}
}

// Guards against a process that has ended and seems alive, with leases that it no longer
// holds: it restarts, and then a datagram of its earlier start arrives.
func TestEarlierStartIsIgnored(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.Receive(State{Name: "a", Start: 9, Configuration: 4}, now)
	r.Receive(State{Name: "a", Start: 5, Configuration: 1}, now)
	is.Equal(r.Live(now)[0].Configuration, uint64(4))
}

// Guards against datagrams that take up the link of a small instance because each process
// sends to all others.
func TestTargetsBoundedInLargeFleet(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	for i := range 300 {
		r.Receive(State{Name: fmt.Sprint(i), GossipAddr: at(i)}, now)
	}
	is.True(len(r.Targets(State{}, rand.New(rand.NewPCG(1, 2)))) <= ringCount+randomTargets)
	is.Equal(len(r.ReachableNames(now.Add(20*time.Second))), 300) // and requests need no recent datagram
}

// Guards against a change of leader that takes seconds longer in a large fleet: when a
// gateway of a group sees a fault, the other gateways must not receive its report
// by chance only, every few rounds.
func TestGatewaysOfAGroupAreTargets(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	gateway := map[string]GroupState{"g": {IsGateway: true}}
	for i := range 70 {
		s := State{Name: fmt.Sprint(i), GossipAddr: at(i)}
		if i < 5 {
			s.Groups = gateway
		}
		r.Receive(s, now)
	}
	targets := r.Targets(State{Groups: gateway}, rand.New(rand.NewPCG(1, 2)))
	is.True(len(targets) <= 5+ringCount+randomTargets)
	for i := range 5 {
		is.True(slices.Contains(targets, at(i)))
	}
}

// Guards against a process that is partitioned from all others and offers them statements
// for seconds: without a check of all peers together each one counts as live until its own
// timeout, some seconds in a large fleet.
func TestPartitionIsDetected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }}
	is.True(!g.IsPartitioned()) // it has no peers
	g.AddListed(State{Name: "a", Zone: "z", GossipAddr: at(1)})
	g.lastReceived = now
	now = now.Add(RoundInterval)
	is.True(!g.IsPartitioned())
	now = now.Add(RoundInterval)
	is.True(g.IsPartitioned())
}

// Guards against a leader that is replaced a second late in a large fleet: all gateways of
// its group miss it at once, each sends to eight of their 30 neighbours in a round, and the
// lease holder receives most of the reports only after some rounds if it is no more
// likely a target than the others.
func TestLeaseHolderIsAlwaysTarget(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	gateway := map[string]GroupState{"g": {IsGateway: true}}
	for i := range 30 {
		r.Receive(State{Name: fmt.Sprint("p", i), GossipAddr: at(i), Groups: gateway}, now)
	}
	r.Receive(State{Name: "holder", GossipAddr: at(99), Groups: map[string]GroupState{"g": {IsGateway: true, Token: 2}}}, now)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		is.True(slices.Contains(r.Targets(State{Groups: gateway}, rng), at(99)))
	}
}

// Guards against processes that take over a lease whose holder is alive: the holder is a
// gateway of several groups and sends to eight of its 30 neighbours in a round, and the
// processes that would take the lease over are no more likely targets than the others.
func TestLeaseHolderSendsToItsGateways(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	self := State{Groups: map[string]GroupState{"held": {IsGateway: true, Token: 3}, "other": {IsGateway: true}}}
	for i := range 36 {
		s := State{Name: fmt.Sprint("p", i), GossipAddr: at(i), Groups: map[string]GroupState{"other": {IsGateway: true}}}
		if i < 6 {
			s.Groups = map[string]GroupState{"held": {IsGateway: true}}
		}
		r.Receive(s, now)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		targets := r.Targets(self, rng)
		is.Equal(len(targets), 36) // every peer shares a group here
		for i := range 6 {
			is.True(slices.Contains(targets, at(i)))
		}
	}
}

// Guards against a restarted process that is sent nothing and offered nothing: it restarts
// and dies before this process has received a state of the later start, and others send
// updates that this start is suspect and then that it is alive. An entry of suspicion
// contains no addresses, and must not remove the known ones.
func TestSuspicionOfLaterStartKeepsAddresses(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.SetSelf(Member{Name: "self", Start: 1})
	r.Receive(State{Name: "a", Zone: "z", Start: 5, GossipAddr: at(1), GatewayAddr: at(2), Millicores: 192}, now)
	r.Merge([]Member{{Name: "a", Start: 6, Condition: Suspect}}, now)
	is.Equal(r.Fleet()[0].GossipAddr, at(1))
	r.Merge([]Member{{Name: "a", Zone: "z", GossipAddr: at(1), GatewayAddr: at(2), Millicores: 192, Start: 6, Incarnation: 1}}, now)
	p, reachable := r.Reachable("a", now)
	is.True(reachable)
	is.Equal(p.GossipAddr, at(1))
	is.Equal(p.GatewayAddr, at(2))
	is.Equal(r.Targets(State{}, rand.New(rand.NewPCG(1, 2))), []netip.AddrPort{at(1)})
}

// Guards against a log full of one line: something sends a thousand datagrams a second
// that cannot be decoded, and each is logged.
func TestUndecodableDatagramsAreCounted(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }, Log: zap.New(core)}
	for range 1000 {
		_, err := decode([]byte("no state"))
		is.True(err != nil)
		g.countDecodeError(err)
		now = now.Add(time.Millisecond)
	}
	g.countDecodeError(errors.New("later"))
	is.Equal(g.DecodeErrors(), int64(1001))
	is.Equal(logs.Len(), 2)
}

// A change of a process's condition is logged once, with the entry it is based on.
func TestConditionChangesAreLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }, Log: zap.New(core)}
	g.AddListed(State{Name: "a", Start: 7, GossipAddr: at(1)})
	g.Merge([]Member{{Name: "a", Start: 7, Condition: Suspect}})
	g.Merge([]Member{{Name: "a", Start: 7, Condition: Suspect}}) // no change
	g.Merge([]Member{{Name: "a", Start: 7, Incarnation: 1}})
	is.Equal(logs.Len(), 2)
	is.Equal(logs.All()[0].Message, "gossiper: process is silent")
	is.Equal(logs.All()[0].ContextMap()["process"], "a")
	is.Equal(logs.All()[1].Message, "gossiper: process is present")
}
