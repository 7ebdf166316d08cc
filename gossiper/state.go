package gossiper

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
	"basildale.example/basildale/versioner"
)

// Timeouts and bounds of the roster.
const (
	// RoundInterval is the time between two rounds of datagrams.
	//
	// Updates are sent at once, so the interval only bounds how late a failure is detected.
	// A longer interval saves traffic between zones, which is paid for.
	RoundInterval = 500 * time.Millisecond
	// maxFullMesh is the largest number of peers with which each process sends to all
	// others.
	maxFullMesh = 12
	// MaxGroupPeers is the maximum number of gateways of the same groups that get a
	// datagram in each round. Lease holders, and the gateways of groups whose lease the
	// sender holds, come first.
	MaxGroupPeers = 48
	// randomTargets is the number of peers drawn at random in each round. They pass
	// entries and updates from group to group.
	randomTargets = 2
	// maxMissedRounds is the number of rounds without a datagram after which a peer that
	// sends in each round no longer counts as live. Some of ten datagrams get lost, but
	// never all of them.
	maxMissedRounds = 4
	// aliveTimeout is how long a peer that sends in each round counts as live after its
	// last datagram.
	aliveTimeout = maxMissedRounds * RoundInterval
	// suspectTimeout is the time without a datagram after which a process is marked
	// suspect. With a tenth of the datagrams lost, one of the four that monitor a process
	// is wrong once in 250,000 rounds.
	suspectTimeout = aliveTimeout + 2*RoundInterval
	// partitionTimeout is the time without a state of any peer after which this process
	// counts as partitioned from all of them. In all but the smallest fleets several arrive
	// in each half second.
	partitionTimeout = 3 * RoundInterval / 2
	// firstContactTimeout replaces suspectTimeout until the first datagram since a process
	// is expected to send: the processes may not agree yet on who sends to whom.
	firstContactTimeout = 8 * RoundInterval
	// deadTimeout is how long a suspect process stays in the fleet, since it may hold
	// connections and come back. One that is partitioned from the others keeps its own
	// connections.
	deadTimeout = 30 * time.Second
	// neverSeenTimeout is how long a listed process from which no datagram was ever
	// received stays in the fleet.
	neverSeenTimeout = 8 * time.Second
	// refutedDelay is how long a process does not suspect another one again after a
	// refutation. Otherwise, where only the link between the two is cut, the fleet would
	// receive a failure and a return every few seconds.
	refutedDelay = 30 * time.Second
	// pauseThreshold is the time between two rounds beyond which this process was paused:
	// datagrams that came meanwhile are still unread, and it suspects nobody for lack of
	// them.
	pauseThreshold = aliveTimeout / 2
	// removeTimeout is how long a dead process is kept before it is removed from the list.
	removeTimeout = 10 * time.Minute
	// dissentThreshold is how many more lists must differ from this process's than agree
	// with it before it requests one: updates in flight end most differences.
	dissentThreshold = 8
	// consensusThreshold is how many equal digests in a row show that all processes have
	// the queued updates.
	consensusThreshold = 8
	// listRequestInterval is the minimum time between two such requests of one process.
	listRequestInterval = 4 * RoundInterval
)

// LeaderFault is what is wrong with a group's leader, as seen by one process.
type LeaderFault uint8

// The faults of a leader.
const (
	NoFault       LeaderFault = iota
	Unreachable               // it does not answer
	CommitStalled             // it answers, but commits are not acknowledged
	Failing                   // it answers, but fails many of its requests
	Isolated                  // it does not answer, and no upstream is reachable that could lead next
)

// IsLeaderReachable reports whether the process that sees the fault can have statements
// run by the leader.
func (f LeaderFault) IsLeaderReachable() bool { return f == NoFault || f == Failing }

// GroupState is the state of a database group as one process sees it.
type GroupState struct {
	Leader      string      `cbor:"1,keyasint,omitempty"`
	LeaderFault LeaderFault `cbor:"2,keyasint,omitempty"`
	// IsGateway is set if the sender has connections to the group's upstreams.
	IsGateway bool `cbor:"3,keyasint,omitempty"`
	// Token is the fencing token of the sender's lease for the group; zero without a
	// lease.
	Token uint64 `cbor:"4,keyasint,omitempty"`
	// FencedLeader is the upstream that the sender, as lease holder, is replacing and
	// whose replicas it has suspended, and FenceTerm the term for which. Peers that
	// reach that upstream demote it.
	FencedLeader string       `cbor:"5,keyasint,omitempty"`
	FenceTerm    tracker.Term `cbor:"6,keyasint,omitzero"`
	// Successor is the upstream that the sender, as lease holder, has chosen to lead. While
	// FenceTerm is zero the former leader serves until the successor leads; otherwise no
	// other upstream may be used as the leader.
	Successor string `cbor:"8,keyasint,omitempty"`
	// Upstreams is the sender's load of the group's upstreams; empty unless a feature of
	// the sender needs it.
	Upstreams []UpstreamLoad `cbor:"7,keyasint,omitempty"`
}

// UpstreamLoad is what one gateway has at an upstream.
type UpstreamLoad struct {
	ID string `cbor:"1,keyasint"`
	// Running and Waiting are the statements that the gateway has there, and in its queue.
	Running int `cbor:"2,keyasint,omitempty"`
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Lag is the estimated replication lag in milliseconds; zero when unknown.
	Lag int `cbor:"4,keyasint,omitempty"`
	// Used lists the workspaces with the most service time in the last second. Rest is the
	// service time of all others, in milliseconds, and Others their number.
	Used   []WorkspaceUse `cbor:"5,keyasint,omitempty"`
	Rest   int            `cbor:"6,keyasint,omitempty"`
	Others int            `cbor:"7,keyasint,omitempty"`
	// Cut is the priority from which the sender's own statements are less urgent; zero where
	// all have one priority, and from older processes. RestUrgent is what the urgent
	// statements of the workspaces that aren't listed want in a second, in milliseconds.
	Cut        int `cbor:"8,keyasint,omitempty"`
	RestUrgent int `cbor:"9,keyasint,omitempty"`
}

// WorkspaceUse is what one workspace uses of an upstream through one gateway.
type WorkspaceUse struct {
	// ID is a hash of the workspace's name.
	ID uint32 `cbor:"1,keyasint"`
	// Busy is its service time in the last second, in milliseconds.
	Busy int `cbor:"2,keyasint,omitempty"`
	// Waiting is how many of its statements wait in the gateway's queue.
	Waiting int `cbor:"3,keyasint,omitempty"`
	// Urgent is what its statements more urgent than the cut want in a second, in
	// milliseconds of service time.
	Urgent int `cbor:"4,keyasint,omitempty"`
}

// State is the state that a process sends to its peers.
type State struct {
	Name  string `cbor:"1,keyasint"`
	Zone  string `cbor:"2,keyasint"`
	Start int64  `cbor:"3,keyasint"` // distinguishes restarts under one name; later ones are greater
	// The addresses of the sender: for datagrams, for statements forwarded to it as a
	// gateway, and for HTTP.
	GossipAddr    netip.AddrPort `cbor:"4,keyasint"`
	GatewayAddr   netip.AddrPort `cbor:"5,keyasint,omitzero"`
	OperatorsAddr netip.AddrPort `cbor:"6,keyasint"`
	// Configuration is the version in force at the sender.
	Configuration uint64 `cbor:"7,keyasint"`
	// CatalogComplete is the version up to which the sender knows all entries of
	// upstreams, and CatalogDigest a hash of them. A receiver that has another digest and
	// is complete up to an earlier version requests the entries from the sender.
	CatalogComplete versioner.Version `cbor:"17,keyasint,omitzero"`
	CatalogDigest   uint64            `cbor:"12,keyasint"`
	// Millicores is the sender's CPU in thousandths of a core.
	Millicores uint16 `cbor:"13,keyasint,omitempty"`
	// StoreReadAges has an item for each kind of the store's objects that is read as a
	// whole, in an order known to all: how long before the state was sent some process last
	// read that kind, as far as the sender knows.
	StoreReadAges []time.Duration `cbor:"9,keyasint,omitempty"`
	Leaving       bool            `cbor:"10,keyasint,omitempty"`
	// Groups are those that the sender is a gateway for, or holds the lease of.
	Groups map[string]GroupState `cbor:"11,keyasint,omitempty"`
	// Incarnation is raised by the sender to refute an entry that it is suspect or dead.
	Incarnation uint32 `cbor:"14,keyasint,omitempty"`
	// FleetDigest is a hash of the sender's membership list, and Updates what it has
	// learned lately about members.
	FleetDigest uint32   `cbor:"15,keyasint,omitempty"`
	Updates     []Member `cbor:"16,keyasint,omitempty"`
	// FleetKnown is set once the sender knows the whole fleet. A process that does not
	// requests the list from one that does.
	FleetKnown bool `cbor:"18,keyasint,omitempty"`
}

// Peer is another process: its last state and when that was received.
type Peer struct {
	State
	LastSeen time.Time
	// AddedAt is when it was added to the list.
	AddedAt time.Time
}
