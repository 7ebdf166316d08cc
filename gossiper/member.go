package gossiper

import (
	"cmp"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Condition is the condition of a process in the membership list.
type Condition uint8

// The conditions, in the order of precedence between entries of the same start and
// incarnation.
const (
	Alive   Condition = iota
	Suspect           // sends nothing to some process that it should send to in each round
	Dead              // suspect for so long that it no longer counts as part of the fleet
)

// String returns the name that logs use for the condition.
func (c Condition) String() string {
	switch c {
	case Alive:
		return "present"
	case Suspect:
		return "silent"
	case Dead:
		return "gone"
	default:
		return "unknown"
	}
}

// Member is one entry of the membership list: a process's identity and its condition.
// All processes that received the same entries hold the same list, in whatever order they
// arrived. From that list each computes the gateways of every group by itself. With
// different lists they would compute different gateways, and shares that are meant to add
// up would not.
type Member struct {
	Name        string         `cbor:"1,keyasint" json:"name"`
	Zone        string         `cbor:"2,keyasint,omitempty" json:"zone"`
	GossipAddr  netip.AddrPort `cbor:"3,keyasint,omitzero" json:"peers"`
	GatewayAddr netip.AddrPort `cbor:"4,keyasint,omitzero" json:"carries"`
	Millicores  uint16         `cbor:"5,keyasint,omitempty" json:"millicores"`
	// Start and Incarnation order the entries about a process. A process that restarts has
	// a greater Start. It raises its Incarnation to refute an entry about itself that is
	// not true.
	Start       int64     `cbor:"6,keyasint" json:"start"`
	Incarnation uint32    `cbor:"7,keyasint,omitempty" json:"incarnation"`
	Condition   Condition `cbor:"8,keyasint,omitempty" json:"condition"`
}

// supersedes reports whether m has a later start or incarnation than o, or a worse
// condition at the same ones.
func (m *Member) supersedes(o *Member) bool {
	return cmp.Or(
		cmp.Compare(m.Start, o.Start),
		cmp.Compare(m.Incarnation, o.Incarnation),
		cmp.Compare(m.Condition, o.Condition),
	) > 0
}

// compact returns the member as it is sent in updates: unless it is alive, without its
// zone, addresses and CPU, which each process that knows the member has.
func (m *Member) compact() Member {
	if m.Condition == Alive {
		return *m
	}
	return Member{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Condition: m.Condition}
}

// digest returns the member's part of the list's digest. A dead member contributes
// nothing, so that lists agree whether they still contain it or not.
func (m *Member) digest() uint32 {
	switch m.Condition {
	case Alive:
		return uint32(xxhash.Sum64String(m.Name))
	case Suspect:
		return uint32(xxhash.Sum64String("silent " + m.Name))
	default:
		return 0
	}
}

// member returns the sender's own entry.
func (s *State) member() Member {
	return Member{
		Name: s.Name, Zone: s.Zone, GossipAddr: s.GossipAddr, GatewayAddr: s.GatewayAddr, Millicores: s.Millicores,
		Start: s.Start, Incarnation: s.Incarnation,
	}
}
