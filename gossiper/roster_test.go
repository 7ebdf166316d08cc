package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7440)
}

func TestPeersLiveWhileTheyAreHeard(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.Learn("a", at(1))
	is.Equal(len(r.Live(now)), 0) // listed, never heard
	r.Hear(State{Name: "a", Start: 5}, now)
	is.Equal(len(r.Live(now.Add(time.Second))), 1)
	is.Equal(len(r.Live(now.Add(3*time.Second))), 0)
	is.Equal(r.Counted(now.Add(3*time.Second)), 1) // it may still hold connections
	r.Sweep(now.Add(forget + time.Second))
	is.Equal(r.Counted(now.Add(3*time.Second)), 0)
}

// Symptom: a process that has ended seems to live, with duties it no longer has.
// Sequence: it starts again, then a datagram of its earlier run arrives. Cause:
// what comes last wins.
func TestEarlierRunChangesNothing(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	r.Hear(State{Name: "a", Start: 9, Configuration: 4}, now)
	r.Hear(State{Name: "a", Start: 5, Configuration: 1}, now)
	is.Equal(r.Live(now)[0].Configuration, uint64(4))
}

// Symptom: datagrams take up the link of a small instance. Sequence: the fleet
// grows. Cause: each process sends to all others.
func TestDatagramsDontGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	var r Roster
	now := time.Unix(1000, 0)
	for i := range 300 {
		r.Hear(State{Name: fmt.Sprint(i), Peers: at(i)}, now)
	}
	is.Equal(len(r.Targets(rand.New(rand.NewPCG(1, 2)))), fanout)
	is.Equal(len(r.Live(now.Add(20*time.Second))), 300) // and are given more time to be heard
}
