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

func fullState(groups int) State {
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

// A state is decoded as it was encoded.
func TestStateRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := fullState(3)
	sent.Groups["nyka330"] = GroupState{Leader: "i-1", LeaderFault: CommitStalled, Token: 7, FencedLeader: "i-1", FenceTerm: tracker.Term{}, Successor: "i-2"}
	sent.Updates = []Member{sent.member(), {Name: "front-vejle-hal-2", Start: 7, Incarnation: 2, Condition: Suspect}}
	b, err := encode(sent)
	is.NoErr(err)
	received, err := decode(b)
	is.NoErr(err)
	is.Equal(received, sent)
	sent.GatewayAddr = netip.MustParseAddrPort("10.1.0.8:7441")
	b, err = encode(sent)
	is.NoErr(err)
	received, err = decode(b)
	is.NoErr(err)
	is.Equal(received, sent)
}

// Guards against states that make up most of the paid bytes between zones: 70 processes
// send twelve datagrams each in every half second, and with every field and group
// spelled out one had 1,300 bytes.
func TestStateSize(t *testing.T) {
	is := is.New(t)
	for groups, most := range map[int]int{0: 100, 1: 130, 8: 320} {
		b, err := encode(fullState(groups))
		is.NoErr(err)
		t.Log(groups, "groups:", len(b), "bytes")
		is.True(len(b) <= most)
	}
}
