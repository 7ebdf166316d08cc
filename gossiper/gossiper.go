package gossiper

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// maxDatagramBytes is the size of the receive buffer. The state of a process that is a
// gateway for eight groups has about 310 bytes.
const maxDatagramBytes = 16 << 10

// A process that has just started sends more often: its group states let the others
// begin, and those that suspect it learn that it is back.
const (
	startupInterval = RoundInterval / 2
	startupPhase    = 2 * time.Second
)

// JoinWindow is the time within which processes of a fleet that is started as a whole
// may write their entries to the store's list. A new process reads the list again
// after it: the first read lacks the entries written later, and the processes would
// have different lists.
const JoinWindow = 600 * time.Millisecond

// Gossiper sends and receives datagrams. Set the exported fields before Start.
type Gossiper struct {
	Address netip.AddrPort
	// Self returns the state to send.
	Self func() State
	// OnState, when set, is called for each state received from a peer.
	OnState func(State)
	// OnDatagram, when set, is called for each datagram that is not a state, with the
	// address of its sender. The bytes are valid until it returns.
	OnDatagram func(b []byte, from netip.AddrPort)
	// OnForgotten, when set, is called with the name of a peer that was removed from the
	// list because it has been dead for a long time.
	OnForgotten func(name string)
	// Now is a clock that also counts the time in which the machine is suspended.
	Now func() time.Time
	Log *zap.Logger

	conn         *net.UDPConn
	mu           sync.Mutex
	roster       Roster
	lastReceived time.Time // time of the last state received

	decodeErrors        atomic.Int64 // datagrams that could not be decoded
	decodeErrorLoggedAt time.Time    // time of the last log line about one

	done          chan struct{}
	peersDue      chan struct{} // signals a round to all targets
	successorsDue chan struct{} // signals a send to the ring successors
}

// Start opens the socket and starts sending and receiving.
func (g *Gossiper) Start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.Address))
	if err != nil {
		return errors.Wrapf(err, "gossiper: listen on %s", g.Address)
	}
	g.conn = conn
	self := g.Self()
	g.roster.SetSelf(self.member())
	g.done = make(chan struct{})
	g.peersDue = make(chan struct{}, 1)
	g.successorsDue = make(chan struct{}, 1)
	go g.receive()
	go g.send()
	return nil
}

// LocalAddr returns the address of the socket. Call it after Start.
func (g *Gossiper) LocalAddr() netip.AddrPort { return g.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stop closes the socket and ends sending and receiving.
func (g *Gossiper) Stop() {
	close(g.done)
	_ = g.conn.Close() // nothing more is sent or awaited
}

// NotifyPeers triggers a round now, so that the processes that decide together with this
// one receive its state. Calls in quick succession make one round.
func (g *Gossiper) NotifyPeers() { signal(g.peersDue) }

// NotifySuccessors sends the state to the ring successors now. Call it when this process
// has newer data of the store. Each receiver that did not have the data sends it on, until
// all processes have it. Sent to all targets of a round instead, each change would cost
// more datagrams the more gateways the groups have, most of them to processes that have it
// already.
func (g *Gossiper) NotifySuccessors() { signal(g.successorsDue) }

// signal sends to c without blocking. A signal that is already pending is enough.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddListed adds a process from the store's list: its name, availability zone,
// CPU and addresses.
func (g *Gossiper) AddListed(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.AddListed(s, g.Now())
}

// Ranges returns the ranges of the membership list, by which a peer finds out what this
// process lacks.
func (g *Gossiper) Ranges() Ranges {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Ranges()
}

// MembersDiffering returns the part of the membership list to send to a peer whose list has
// these ranges.
func (g *Gossiper) MembersDiffering(other Ranges) []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.MembersDiffering(other)
}

// Merge merges the membership list of a peer, or a part of it, into this one.
func (g *Gossiper) Merge(list []Member) {
	g.mu.Lock()
	g.roster.Merge(list, g.Now())
	changes := g.roster.Changes()
	g.mu.Unlock()
	g.logChanges(changes)
}

// logChanges logs changes of processes' conditions.
func (g *Gossiper) logChanges(changes []Change) {
	for _, c := range changes {
		sinceLastSeen := zap.Skip()
		if !c.LastSeen.IsZero() {
			sinceLastSeen = zap.Duration("heard", g.Now().Sub(c.LastSeen))
		}
		g.Log.Info("gossiper: process is "+c.Condition.String(), zap.String("process", c.Name), zap.Stringer("before", c.Before),
			zap.Int64("start", c.Start), zap.Uint32("incarnation", c.Incarnation), sinceLastSeen)
	}
}

// DecodeErrors returns the number of datagrams that could not be decoded.
func (g *Gossiper) DecodeErrors() int64 { return g.decodeErrors.Load() }

// countDecodeError counts a datagram that could not be decoded, and logs at most one a
// second: a sender that is faulty or of a later version would fill the log.
func (g *Gossiper) countDecodeError(err error) {
	count := g.decodeErrors.Add(1)
	now := g.Now()
	if now.Sub(g.decodeErrorLoggedAt) < time.Second {
		return
	}
	g.decodeErrorLoggedAt = now
	g.Log.Warn("gossiper: datagram dropped", zap.Int64("so far", count), zap.Error(err))
}

// Digest returns the hash of the membership list.
func (g *Gossiper) Digest() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.digest
}

// ShouldRequestList reports whether to request the list of a peer that sent this digest.
func (g *Gossiper) ShouldRequestList(digest uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.ShouldRequestList(digest, g.Now())
}

// Fleet returns the other processes of the fleet that are not dead, whether they answer
// now or not.
func (g *Gossiper) Fleet() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Fleet()
}

// SetGroupPeers sets the processes that are gateways of the same groups as this one.
func (g *Gossiper) SetGroupPeers(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetGroupPeers(names)
}

// LivePeers returns the peers from which a state was received lately.
func (g *Gossiper) LivePeers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Live(g.Now())
}

// ReachableNames returns the names of the peers to which requests may be sent.
func (g *Gossiper) ReachableNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.ReachableNames(g.Now())
}

// ReachablePeers returns those of the named peers to which requests may be sent, with
// the last state received from each.
func (g *Gossiper) ReachablePeers(names []string) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	out := make([]Peer, 0, len(names))
	for _, name := range names {
		if p, ok := g.roster.Reachable(name, now); ok {
			out = append(out, p)
		}
	}
	return out
}

// IsPartitioned reports whether this process has peers and no state of any has arrived
// for partitionTimeout. In all but the smallest fleets several arrive in each half second.
func (g *Gossiper) IsPartitioned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.roster.peers) > 0 && g.Now().Sub(g.lastReceived) > partitionTimeout
}

func (g *Gossiper) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Log.Warn("gossiper: read failed", zap.Error(err))
			time.Sleep(RoundInterval) // avoids a busy loop when the error persists
			continue
		}
		if g.OnDatagram != nil && n > 0 && !isState(buffer[0]) {
			g.OnDatagram(buffer[:n], from)
			continue
		}
		s, err := decode(buffer[:n])
		if err != nil {
			g.countDecodeError(err)
			continue
		}
		if s.Name == g.Self().Name {
			continue
		}
		g.mu.Lock()
		g.lastReceived = g.Now()
		g.roster.Receive(s, g.lastReceived)
		changes := g.roster.Changes()
		g.mu.Unlock()
		g.logChanges(changes)
		if g.OnState != nil {
			g.OnState(s)
		}
	}
}

func (g *Gossiper) send() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	ticker := time.NewTicker(startupInterval)
	defer ticker.Stop()
	began := time.Now()
	starting := true
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			if starting && time.Since(began) > startupPhase {
				starting = false
				ticker.Reset(RoundInterval)
			}
			g.sendRound(rng)
		case <-g.peersDue:
			g.sendRound(rng)
		case <-g.successorsDue:
			g.sendToSuccessors(rng)
		}
	}
}

// sendToSuccessors sends the state to the ring successors.
func (g *Gossiper) sendToSuccessors(rng *rand.Rand) {
	self := g.Self()
	g.mu.Lock()
	targets := g.roster.Successors(rng)
	g.roster.FillState(&self)
	g.mu.Unlock()
	g.sendTo(self, targets)
}

func (g *Gossiper) sendRound(rng *rand.Rand) {
	self := g.Self()
	g.mu.Lock()
	dropped := g.roster.Sweep(g.Now())
	changes := g.roster.Changes()
	targets := g.roster.Targets(self, rng)
	g.roster.FillState(&self)
	g.mu.Unlock()
	g.logChanges(changes)
	if g.OnForgotten != nil {
		for _, name := range dropped {
			g.OnForgotten(name)
		}
	}
	g.sendTo(self, targets)
}

func (g *Gossiper) sendTo(self State, targets []netip.AddrPort) {
	b, err := encode(self)
	if err != nil {
		g.Log.Error("gossiper: cannot encode state", zap.Error(err))
		return
	}
	for _, to := range targets {
		if to == self.GossipAddr {
			continue
		}
		if _, err := g.conn.WriteToUDPAddrPort(b, to); err != nil {
			g.Log.Debug("gossiper: datagram not sent", zap.Stringer("to", to), zap.Error(err))
		}
	}
}

// Send sends a datagram that is not a state to a peer.
func (g *Gossiper) Send(b []byte, to netip.AddrPort) error {
	_, err := g.conn.WriteToUDPAddrPort(b, to)
	return errors.Wrapf(err, "gossiper: send to %s", to)
}

// isState reports whether a datagram with this first byte is a state: a CBOR map.
func isState(first byte) bool {
	const (
		majorBits = 5
		majorMap  = 5
	)
	return first>>majorBits == majorMap
}

// encode encodes a state. It omits the gateway address when it equals the gossip address.
func encode(s State) ([]byte, error) {
	if s.GatewayAddr == s.GossipAddr {
		s.GatewayAddr = netip.AddrPort{}
	}
	return cbor.Marshal(s)
}

// decode decodes what encode wrote.
func decode(b []byte) (State, error) {
	var s State
	if err := cbor.Unmarshal(b, &s); err != nil {
		return State{}, err
	}
	if !s.GatewayAddr.IsValid() {
		s.GatewayAddr = s.GossipAddr
	}
	return s, nil
}
