package gossiper

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
	"basildale.example/basildale/versioner"
)

// Times and bounds of the roster.
const (
	// RoundInterval is the time between two rounds of datagrams.
	//
	// News is sent at once, so the period only bounds how late a death is noticed.
	// The bytes between zones, which are paid for, fall with it.
	RoundInterval = 500 * time.Millisecond
	// few is the size of a fleet in which each process sends to all others.
	few = 12
	// MaxGroupPeers bounds how many of those that carry for the same groups get a datagram
	// each round, those of groups that the sender has the duty for first.
	MaxGroupPeers = 48
	// strangers is how many get one that are neither near nor next on a circle. What
	// is said of anybody, and what is new anywhere, passes from group to group by them.
	strangers = 2
	// patience is the number of rounds after which a peer that should have been
	// heard counts as silent. Some of ten datagrams get lost; all never do.
	patience = 4
	// silence is how long one that should be heard each round may be silent.
	silence = patience * RoundInterval
	// accusable is how long before the fleet is told. With a tenth of the datagrams lost
	// one of the four that hear a process is wrong once in 250,000 rounds.
	accusable = silence + 2*RoundInterval
	// quiet is how long nobody may be heard before this process counts as cut off from
	// all. Four datagrams come each half second at least.
	quiet = 3 * RoundInterval / 2
	// first is how long one that is listed may take to be heard for the first time by
	// those whom it should send to: they may not agree yet on who these are.
	first = 8 * RoundInterval
	// memory is how long a silent process still counts as one of the fleet, which may
	// hold connections and comes back. One that is cut off from the others keeps its own.
	memory = 30 * time.Second
	// introduction is how long one that was listed and never heard counts as one.
	introduction = 8 * time.Second
	// contradicted is how long a process that said of another that it is silent, and
	// was contradicted, doesn't say so again. Where only the way between the two is cut
	// the fleet would hear of a death and a return each few seconds.
	contradicted = 30 * time.Second
	// stalled is the time between two rounds beyond which this process stood still:
	// datagrams that came meanwhile lie unread, and it accuses nobody for them.
	stalled = silence / 2
	// forget is when a process that is gone is dropped altogether.
	forget = 10 * time.Minute
	// dissent is how many more lists must differ from this process's than agree with it
	// before it asks for one: most differences end by the news that is on its way.
	dissent = 8
	// consensus is how many others must have the same list, one after the other, for what
	// is to be told on to be known to all.
	consensus = 8
	// compareEvery is the time between two such questions of one process.
	compareEvery = 4 * RoundInterval
)

// LeaderFault says what is wrong with a group's leader, seen from one process.
type LeaderFault uint8

// The troubles.
const (
	NoFault       LeaderFault = iota
	Unreachable               // it doesn't answer
	CommitStalled             // it answers, but commits aren't acknowledged
	Failing                   // it answers, and fails much of what it is asked
	Isolated                  // it doesn't answer, and nobody does who could lead next
)

// IsLeaderReachable reports whether who sees the trouble can have statements run by the leader.
func (t LeaderFault) IsLeaderReachable() bool { return t == NoFault || t == Failing }

// GroupState is what one process says of a database group.
type GroupState struct {
	Leader      string      `cbor:"1,keyasint,omitempty"`
	LeaderFault LeaderFault `cbor:"2,keyasint,omitempty"`
	// IsGateway says that the sender has connections to the group's upstreams.
	IsGateway bool `cbor:"3,keyasint,omitempty"`
	// Token is that of the sender's duty for the group; zero when it has none.
	Token uint64 `cbor:"4,keyasint,omitempty"`
	// FencedLeader is the upstream that the sender, as holder, is replacing and has
	// halted the replicas of, and FenceTerm the term for which. Peers that reach
	// that upstream take the lead from it.
	FencedLeader string       `cbor:"5,keyasint,omitempty"`
	FenceTerm    tracker.Term `cbor:"6,keyasint,omitzero"`
}

// State is what one process says of itself.
type State struct {
	Name  string `cbor:"1,keyasint"`
	Zone  string `cbor:"2,keyasint"`
	Start int64  `cbor:"3,keyasint"` // tells runs of one name apart; later ones are greater
	// GossipAddr, Carries and Operators are its addresses: for datagrams, for statements
	// that it carries for others, and for HTTP.
	GossipAddr    netip.AddrPort `cbor:"4,keyasint"`
	GatewayAddr   netip.AddrPort `cbor:"5,keyasint,omitzero"`
	OperatorsAddr netip.AddrPort `cbor:"6,keyasint"`
	// Configuration is the version in force there.
	Configuration uint64 `cbor:"7,keyasint"`
	// CatalogComplete is the version up to which the entries of upstreams are all known
	// there, and Digest a hash of them. Who has another digest, and is complete up to
	// less, asks the sender.
	CatalogComplete versioner.Version `cbor:"17,keyasint,omitzero"`
	CatalogDigest   uint64            `cbor:"12,keyasint"`
	// Millicores is its processor in thousandths of a core.
	Millicores uint16 `cbor:"13,keyasint,omitempty"`
	// StoreReadAges says for each kind of the store's objects that is read as a whole, in an
	// order that all know, how long ago some process read it, as far as the sender knows,
	// as of sending.
	StoreReadAges []time.Duration `cbor:"9,keyasint,omitempty"`
	Leaving       bool            `cbor:"10,keyasint,omitempty"`
	// Groups are those that the sender carries for, or has the duty for.
	Groups map[string]GroupState `cbor:"11,keyasint,omitempty"`
	// Incarnation is raised by the sender to contradict who says that it is silent.
	Incarnation uint32 `cbor:"14,keyasint,omitempty"`
	// FleetDigest is a hash of the sender's list of the fleet, and News what it has learned
	// lately about processes of it.
	FleetDigest uint32   `cbor:"15,keyasint,omitempty"`
	News        []Member `cbor:"16,keyasint,omitempty"`
}

// Peer is another process and when it was last heard.
type Peer struct {
	State
	LastSeen time.Time
	// Listed is when it was first heard of.
	Listed time.Time
}
