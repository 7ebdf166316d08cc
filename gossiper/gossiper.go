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

// maxDatagram is the longest datagram that is read. The state of a process that
// carries for eight groups has about 310 bytes.
const maxDatagram = 16 << 10

// A process that has just started sends more often: what it says of its groups lets the
// others begin, and those that accused it hear that it is back.
const (
	greetEvery = RoundInterval / 2
	greetFor   = 2 * time.Second
)

// JoinWindow is how far apart the processes of a fleet that is started as a whole may
// write their entries into the store's list. One that is new reads the list once more
// after it: what it read before lacks those that came later, and each would have
// another list.
const JoinWindow = 600 * time.Millisecond

// Gossiper sends and receives. Set the exported fields before Start.
type Gossiper struct {
	Address netip.AddrPort
	// Self returns the state to send.
	Self func() State
	// OnState, when set, is called for each datagram of a peer.
	OnState func(State)
	// OnDatagram, when set, is called for each datagram that isn't a state, from the address
	// of its sender. The bytes are valid until it returns.
	OnDatagram func(b []byte, from netip.AddrPort)
	// OnForgotten, when set, is called with the name of a peer that hasn't been heard for
	// so long that it is gone for good.
	OnForgotten func(name string)
	// Now is a clock that also counts the time in which the machine is suspended.
	Now func() time.Time
	Log *zap.Logger

	conn   *net.UDPConn
	mu     sync.Mutex
	roster Roster
	heard  time.Time // when the last datagram came

	unread     atomic.Int64 // datagrams that can't be read
	complained time.Time    // when one was last logged

	done   chan struct{}
	news   chan struct{} // for those that are told each round
	passed chan struct{} // for the next on the circles
}

// Start opens the socket and begins.
func (g *Gossiper) Start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.Address))
	if err != nil {
		return errors.Wrapf(err, "gossiper: listen on %s", g.Address)
	}
	g.conn = conn
	self := g.Self()
	g.roster.SetSelf(self.member())
	g.done = make(chan struct{})
	g.news = make(chan struct{}, 1)
	g.passed = make(chan struct{}, 1)
	go g.receive()
	go g.send()
	return nil
}

// LocalAddr returns the address of the socket, after Start.
func (g *Gossiper) LocalAddr() netip.AddrPort { return g.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stop closes the socket.
func (g *Gossiper) Stop() {
	close(g.done)
	_ = g.conn.Close() // nothing more is sent or awaited
}

// NotifyPeers sends a round at once, for those that decide together with this process. Several
// calls in a row make one round.
func (g *Gossiper) NotifyPeers() { wake(g.news) }

// NotifySuccessors tells the next on the circles at once that this process knows something newer of
// the store. Each that didn't passes it on, so that all come to know it. Told to all that
// a round goes to, each change would cost more datagrams the more carry together, most of
// them to processes that know.
func (g *Gossiper) NotifySuccessors() { wake(g.passed) }

// wake has something done that may be under way.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// AddListed takes in what the store lists of a process: its name, availability zone,
// processor and addresses.
func (g *Gossiper) AddListed(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.AddListed(s, g.Now())
}

// Members returns the list of the fleet, for a peer whose own differs.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Members()
}

// Merge takes in the list of a peer.
func (g *Gossiper) Merge(list []Member) {
	g.mu.Lock()
	g.roster.Take(list, g.Now())
	changes := g.roster.Changes()
	g.mu.Unlock()
	g.explain(changes)
}

// explain logs what is believed of processes from now on.
func (g *Gossiper) explain(changes []Change) {
	for _, c := range changes {
		heard := zap.Skip()
		if !c.Heard.IsZero() {
			heard = zap.Duration("heard", g.Now().Sub(c.Heard))
		}
		g.Log.Info("gossiper: process is "+c.Condition.String(), zap.String("process", c.Name), zap.Stringer("before", c.Before),
			zap.Int64("start", c.Start), zap.Uint32("incarnation", c.Incarnation), heard)
	}
}

// DecodeErrors returns how many datagrams came that can't be read.
func (g *Gossiper) DecodeErrors() int64 { return g.unread.Load() }

// drop counts a datagram that can't be read, and logs one a second at most: whoever sends
// them, broken or of a later version, would fill the log.
func (g *Gossiper) drop(err error) {
	count := g.unread.Add(1)
	now := g.Now()
	if now.Sub(g.complained) < time.Second {
		return
	}
	g.complained = now
	g.Log.Warn("gossiper: datagram dropped", zap.Int64("so far", count), zap.Error(err))
}

// Digest returns a hash of the list of the fleet.
func (g *Gossiper) Digest() uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.digest
}

// ShouldRequestList reports whether to ask a peer for its list, whose hash it told.
func (g *Gossiper) ShouldRequestList(digest uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Lacks(digest, g.Now())
}

// Fleet returns the other processes of the fleet, whether they answer just now or not.
func (g *Gossiper) Fleet() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Fleet()
}

// SetGroupPeers sets who carries for the same groups as this process.
func (g *Gossiper) SetGroupPeers(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.SetGroupPeers(names)
}

// Live returns the peers that were heard lately.
func (g *Gossiper) Live() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Live(g.Now())
}

// ReachableNames returns the names of the peers that may be asked.
func (g *Gossiper) ReachableNames() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Answering(g.Now())
}

// ReachablePeers returns those of some peers that may be asked, with what was last heard of them.
func (g *Gossiper) ReachablePeers(names []string) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Now()
	out := make([]Peer, 0, len(names))
	for _, name := range names {
		if p, ok := g.roster.Answers(name, now); ok {
			out = append(out, p)
		}
	}
	return out
}

// IsPartitioned reports whether no datagram has come for so long that this process is cut
// off from its peers, if it has any: several come each half second.
func (g *Gossiper) IsPartitioned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.roster.peers) > 0 && g.Now().Sub(g.heard) > quiet
}

func (g *Gossiper) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Log.Warn("gossiper: read failed", zap.Error(err))
			time.Sleep(RoundInterval) // an error that stays mustn't keep the process busy
			continue
		}
		if g.OnDatagram != nil && n > 0 && !isState(buffer[0]) {
			g.OnDatagram(buffer[:n], from)
			continue
		}
		s, err := decode(buffer[:n])
		if err != nil {
			g.drop(err)
			continue
		}
		if s.Name == g.Self().Name {
			continue
		}
		g.mu.Lock()
		g.heard = g.Now()
		g.roster.Receive(s, g.heard)
		changes := g.roster.Changes()
		g.mu.Unlock()
		g.explain(changes)
		if g.OnState != nil {
			g.OnState(s)
		}
	}
}

func (g *Gossiper) send() {
	rng := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))
	ticker := time.NewTicker(greetEvery)
	defer ticker.Stop()
	began := time.Now()
	greeting := true
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			if greeting && time.Since(began) > greetFor {
				greeting = false
				ticker.Reset(RoundInterval)
			}
			g.round(rng)
		case <-g.news:
			g.round(rng)
		case <-g.passed:
			g.pass(rng)
		}
	}
}

// pass sends to the next on the circles.
func (g *Gossiper) pass(rng *rand.Rand) {
	self := g.Self()
	g.mu.Lock()
	targets := g.roster.Successors(rng)
	g.roster.FillState(&self)
	g.mu.Unlock()
	g.sendTo(self, targets)
}

func (g *Gossiper) round(rng *rand.Rand) {
	self := g.Self()
	g.mu.Lock()
	dropped := g.roster.Sweep(g.Now())
	changes := g.roster.Changes()
	targets := g.roster.Targets(self, rng)
	g.roster.FillState(&self)
	g.mu.Unlock()
	g.explain(changes)
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
		g.Log.Error("gossiper: state can't be written", zap.Error(err))
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

// Send sends a datagram that isn't a state to a peer.
func (g *Gossiper) Send(b []byte, to netip.AddrPort) error {
	_, err := g.conn.WriteToUDPAddrPort(b, to)
	return errors.Wrapf(err, "gossiper: send to %s", to)
}

// isState reports whether a datagram with such a first byte is a state: a CBOR map.
func isState(first byte) bool {
	const (
		majorBits = 5
		majorMap  = 5
	)
	return first>>majorBits == majorMap
}

// encode writes a state. An address that is told once isn't told twice.
func encode(s State) ([]byte, error) {
	if s.GatewayAddr == s.GossipAddr {
		s.GatewayAddr = netip.AddrPort{}
	}
	return cbor.Marshal(s)
}

// decode reads what encode wrote.
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
