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

// sweep plays rounds of a process that hears nothing more, until a moment.
func sweep(r *Roster, from, to time.Time) (dropped []string) {
	for now := from; !now.After(to); now = now.Add(RoundInterval) {
		dropped = append(dropped, r.Sweep(now)...)
	}
	return dropped
}

func TestPeersLiveWhileTheyAreHeard(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.AddListed(State{Name: "a", Zone: "z", GossipAddr: at(1)}, now)
	is.Equal(len(r.Live(now)), 0) // listed, never heard
	r.Receive(State{Name: "a", Start: 5}, now)
	is.Equal(len(r.Live(now.Add(time.Second))), 1)
	is.Equal(len(r.Live(now.Add(3*time.Second))), 0)
	sweep(&r, now, now.Add(first))
	now = now.Add(first)
	is.Equal(len(r.Answering(now)), 0)
	is.Equal(len(r.Fleet()), 1) // it may still hold connections
	is.Equal(sweep(&r, now.Add(RoundInterval), now.Add(memory+forget+2*time.Second)), []string{"a"})
	is.Equal(len(r.Fleet()), 0)
}

// Symptom: a part of an upstream's connections is used by nobody for good. Sequence:
// a machine is replaced; its successor has another name, and the old one's entry
// stays in the store. Cause: whoever was ever listed counts as one that may hold
// connections.
func TestReplacedProcessesHoldNothing(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.AddListed(State{Name: "gone", Zone: "z", GossipAddr: at(1)}, now)
	for i := range 2 * int((silence+memory)/RoundInterval) {
		at := now.Add(time.Duration(i) * RoundInterval)
		r.Receive(State{Name: "lives"}, at)
		if at.Sub(now) < memory {
			r.Receive(State{Name: "leaves"}, at)
		}
		r.Sweep(at)
		switch since := at.Sub(now); {
		case since < introduction:
			is.Equal(len(r.Fleet()), 3) // it may just be cut off
		case since > introduction+RoundInterval && since < memory:
			is.Equal(len(r.Fleet()), 2) // it was never heard
		case since > 2*memory+silence+RoundInterval:
			is.Equal(len(r.Fleet()), 1)
			is.Equal(r.Fleet()[0].Name, "lives")
		}
	}
}

// Symptom: a process that has ended seems to live, with duties it no longer has.
// Sequence: it starts again, then a datagram of its earlier run arrives. Cause:
// what comes last wins.
func TestEarlierRunChangesNothing(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.Receive(State{Name: "a", Start: 9, Configuration: 4}, now)
	r.Receive(State{Name: "a", Start: 5, Configuration: 1}, now)
	is.Equal(r.Live(now)[0].Configuration, uint64(4))
}

// Symptom: datagrams take up the link of a small instance. Sequence: the fleet
// grows. Cause: each process sends to all others.
func TestDatagramsDontGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	for i := range 300 {
		r.Receive(State{Name: fmt.Sprint(i), GossipAddr: at(i)}, now)
	}
	is.True(len(r.Targets(State{}, rand.New(rand.NewPCG(1, 2)))) <= rings+strangers)
	is.Equal(len(r.Answering(now.Add(20*time.Second))), 300) // and nobody needs to be heard to be asked
}

// Symptom: a change of leader takes seconds longer in a large fleet. Sequence: a
// process that carries for a group sees trouble. Cause: the others that carry for
// it hear of that by chance, every few rounds.
func TestThoseThatCarryTogetherHearEachOther(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	carries := map[string]GroupState{"g": {IsGateway: true}}
	for i := range 70 {
		s := State{Name: fmt.Sprint(i), GossipAddr: at(i)}
		if i < 5 {
			s.Groups = carries
		}
		r.Receive(s, now)
	}
	targets := r.Targets(State{Groups: carries}, rand.New(rand.NewPCG(1, 2)))
	is.True(len(targets) <= 5+rings+strangers)
	for i := range 5 {
		is.True(slices.Contains(targets, at(i)))
	}
}

// Symptom: a process that is cut off from all others offers them statements for
// seconds. Sequence: no datagram comes any more. Cause: each peer counts as live
// until its own time is over, some seconds in a large fleet.
func TestSilenceOfAllPeersIsNoticed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }}
	is.True(!g.IsPartitioned()) // it has no peers
	g.AddListed(State{Name: "a", Zone: "z", GossipAddr: at(1)})
	g.heard = now
	now = now.Add(RoundInterval)
	is.True(!g.IsPartitioned())
	now = now.Add(RoundInterval)
	is.True(g.IsPartitioned())
}

// Symptom: a leader is replaced a second late in a large fleet. Sequence: all who carry
// for its group miss it at once, and tell eight of their 30 neighbours each round; the
// holder of the duty hears of most of them after some rounds. Cause: it is told as
// seldom as the others.
func TestTheHolderIsToldFirst(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	carries := map[string]GroupState{"g": {IsGateway: true}}
	for i := range 30 {
		r.Receive(State{Name: fmt.Sprint("p", i), GossipAddr: at(i), Groups: carries}, now)
	}
	r.Receive(State{Name: "holder", GossipAddr: at(99), Groups: map[string]GroupState{"g": {IsGateway: true, Token: 2}}}, now)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		is.True(slices.Contains(r.Targets(State{Groups: carries}, rng), at(99)))
	}
}

// Symptom: processes take a duty from its holder, which lives. Sequence: the holder
// carries for several groups, and tells eight of its 30 neighbours each round. Cause:
// those who take the duty over are told as seldom as the others.
func TestAHolderTellsThoseWhoWaitForIt(t *testing.T) {
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
		is.Equal(len(targets), 36) // everyone is near here
		for i := range 6 {
			is.True(slices.Contains(targets, at(i)))
		}
	}
}

// Symptom: a process that was restarted is sent nothing, and nothing is offered to it.
// Sequence: it starts again and dies before this one has heard it; others say that the
// later run is silent, and then that it is back. Cause: word of silence names no addresses,
// and takes those that are known away.
func TestWordOfALaterRunLeavesTheAddresses(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.SetSelf(Member{Name: "self", Start: 1})
	r.Receive(State{Name: "a", Zone: "z", Start: 5, GossipAddr: at(1), GatewayAddr: at(2), Millicores: 192}, now)
	r.Take([]Member{{Name: "a", Start: 6, Condition: Silent}}, now)
	is.Equal(r.Fleet()[0].GossipAddr, at(1))
	r.Take([]Member{{Name: "a", Zone: "z", GossipAddr: at(1), GatewayAddr: at(2), Millicores: 192, Start: 6, Incarnation: 1}}, now)
	p, answers := r.Answers("a", now)
	is.True(answers)
	is.Equal(p.GossipAddr, at(1))
	is.Equal(p.GatewayAddr, at(2))
	is.Equal(r.Targets(State{}, rand.New(rand.NewPCG(1, 2))), []netip.AddrPort{at(1)})
}

// Symptom: the log is full of one line. Sequence: something sends datagrams that can't be
// read, a thousand a second. Cause: each is logged.
func TestDatagramsThatCantBeReadAreCounted(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }, Log: zap.New(core)}
	for range 1000 {
		_, err := decode([]byte("no state"))
		is.True(err != nil)
		g.drop(err)
		now = now.Add(time.Millisecond)
	}
	g.drop(errors.New("later"))
	is.Equal(g.DecodeErrors(), int64(1001))
	is.Equal(logs.Len(), 2)
}

// What is believed of a process is logged when it changes, with what it is based on.
func TestBeliefsAreLogged(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	now := time.Unix(1000, 0)
	g := &Gossiper{Now: func() time.Time { return now }, Log: zap.New(core)}
	g.AddListed(State{Name: "a", Start: 7, GossipAddr: at(1)})
	g.Merge([]Member{{Name: "a", Start: 7, Condition: Silent}})
	g.Merge([]Member{{Name: "a", Start: 7, Condition: Silent}}) // nothing new
	g.Merge([]Member{{Name: "a", Start: 7, Incarnation: 1}})
	is.Equal(logs.Len(), 2)
	is.Equal(logs.All()[0].Message, "gossiper: process is silent")
	is.Equal(logs.All()[0].ContextMap()["process"], "a")
	is.Equal(logs.All()[1].Message, "gossiper: process is present")
}
