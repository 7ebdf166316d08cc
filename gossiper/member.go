package gossiper

import (
	"cmp"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Condition is what the fleet says of one of its processes.
type Condition uint8

// The conditions, in the order in which one outweighs another that was stated of the
// same moment.
const (
	Alive  Condition = iota
	Silent           // those whom it sends to each round don't hear it
	Gone             // silent for so long that nobody reckons with it any more
)

// String returns the condition in lower case.
func (c Condition) String() string {
	switch c {
	case Alive:
		return "present"
	case Silent:
		return "silent"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Member is one statement about one process of the fleet: who it is, and what its
// condition is. All processes that have heard the same statements hold the same list,
// in whichever order they came. From that list each works out alone who carries for
// which group; two that had different lists would come to different carriers, and
// shares that were to add up wouldn't.
type Member struct {
	Name        string         `cbor:"1,keyasint" json:"name"`
	Zone        string         `cbor:"2,keyasint,omitempty" json:"zone"`
	GossipAddr  netip.AddrPort `cbor:"3,keyasint,omitzero" json:"peers"`
	GatewayAddr netip.AddrPort `cbor:"4,keyasint,omitzero" json:"carries"`
	Millicores  uint16         `cbor:"5,keyasint,omitempty" json:"millicores"`
	// Start and Incarnation say which moment of the process is meant. A process that
	// starts anew has a greater Start. It raises its Incarnation to contradict a
	// statement that isn't true any more.
	Start       int64     `cbor:"6,keyasint" json:"start"`
	Incarnation uint32    `cbor:"7,keyasint,omitempty" json:"incarnation"`
	Condition   Condition `cbor:"8,keyasint,omitempty" json:"condition"`
}

// outweighs reports whether m is of a later moment than o, or a worse condition at the
// same moment.
func (m *Member) outweighs(o *Member) bool {
	return cmp.Or(
		cmp.Compare(m.Start, o.Start),
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Condition, o.Condition),
	) > 0
}

// brief leaves out what whoever knows the process knows of it anyway.
func (m *Member) brief() Member {
	if m.Condition == Alive {
		return *m
	}
	return Member{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Condition: m.Condition}
}

// digest is the member's part in the digest of a list. One that is gone has none, so
// that lists agree whether they still remember it or not.
func (m *Member) digest() uint32 {
	switch m.Condition {
	case Alive:
		return uint32(xxhash.Sum64String(m.Name))
	case Silent:
		return uint32(xxhash.Sum64String("silent " + m.Name))
	default:
		return 0
	}
}

// member returns what a process says of itself as a statement.
func (s *State) member() Member {
	return Member{
		Name: s.Name, Zone: s.Zone, GossipAddr: s.GossipAddr, GatewayAddr: s.GatewayAddr, Millicores: s.Millicores,
		Start: s.Start, Incarnation: s.Incarnation,
	}
}
