package gossiper

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
	"basildale.example/basildale/versioner"
)

func full(groups int) State {
	s := State{
		Name: "front-vejle-hal-1", Zone: "vejle-hal", Start: 1785262487014000000,
		GossipAddr: netip.MustParseAddrPort("10.1.0.8:7440"), GatewayAddr: netip.MustParseAddrPort("10.1.0.8:7440"), OperatorsAddr: netip.MustParseAddrPort("10.1.0.8:7455"),
		Configuration: 18, CatalogComplete: versioner.Version{Era: 2, Revision: 1207}, CatalogDigest: 0x9e3779b97f4a7c15, FleetDigest: 0x9e3779b9, Millicores: 192, StoreReadAges: []time.Duration{300 * time.Millisecond, 900 * time.Millisecond},
	}
	if groups > 0 {
		s.Groups = map[string]GroupState{}
	}
	for i := range groups {
		s.Groups[fmt.Sprint("nyka33", i)] = GroupState{Leader: "i-6c9b6ab970", IsGateway: true, Token: uint64(i)}
	}
	return s
}

// What a process says arrives as it was said.
func TestStatesComeThrough(t *testing.T) {
	is := is.New(t)
	said := full(3)
	said.Groups["nyka330"] = GroupState{Leader: "i-1", LeaderFault: CommitStalled, Token: 7, FencedLeader: "i-1", FenceTerm: tracker.Term{}}
	said.News = []Member{said.member(), {Name: "front-vejle-hal-2", Start: 7, Incarnation: 2, Condition: Silent}}
	b, err := encode(said)
	is.NoErr(err)
	heard, err := decode(b)
	is.NoErr(err)
	is.Equal(heard, said)
	said.GatewayAddr = netip.MustParseAddrPort("10.1.0.8:7441")
	b, err = encode(said)
	is.NoErr(err)
	heard, err = decode(b)
	is.NoErr(err)
	is.Equal(heard, said)
}

// Symptom: what the proxies say to each other is most of the bytes between zones,
// which are paid for. Sequence: 70 processes, each with twelve datagrams every half
// second. Cause: each names every group with every field spelled out, 1,300 bytes.
func TestStatesAreShort(t *testing.T) {
	is := is.New(t)
	for groups, most := range map[int]int{0: 100, 1: 130, 8: 320} {
		b, err := encode(full(groups))
		is.NoErr(err)
		t.Log(groups, "groups:", len(b), "bytes")
		is.True(len(b) <= most)
	}
}
