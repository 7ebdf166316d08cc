package gossiper

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// maxDatagram is the longest datagram that is read. The state of a process that
// carries for eight groups has about 310 bytes.
const maxDatagram = 16 << 10

// A process that has just started sends more often: after a loss of power everywhere
// it knows of nobody who carries for the groups that it doesn't carry for, and hears
// of twelve others in each round.
const (
	greetEvery = Period / 5
	greetFor   = 2 * time.Second
)

// Gossiper sends and receives. Set the exported fields before Start.
type Gossiper struct {
	Address netip.AddrPort
	// Self returns the state to send.
	Self func() State
	// Heard, when set, is called for each datagram of a peer.
	Heard func(State)
	// Dropped, when set, is called with the name of a peer that hasn't been heard for
	// so long that it is gone for good.
	Dropped func(name string)
	// Now is a clock that also counts the time in which the machine is suspended.
	Now func() time.Time
	Log *zap.Logger

	conn   *net.UDPConn
	mu     sync.Mutex
	roster Roster
	heard  time.Time // when the last datagram came
	done   chan struct{}
	news   chan struct{}
}

// Start opens the socket and begins.
func (g *Gossiper) Start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(g.Address))
	if err != nil {
		return errors.Wrapf(err, "gossiper: listen on %s", g.Address)
	}
	g.conn = conn
	g.done = make(chan struct{})
	g.news = make(chan struct{}, 1)
	go g.receive()
	go g.send()
	return nil
}

// Bound returns the address of the socket, after Start.
func (g *Gossiper) Bound() netip.AddrPort { return g.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Stop closes the socket.
func (g *Gossiper) Stop() {
	close(g.done)
	_ = g.conn.Close() // nothing more is sent or awaited
}

// Tell sends a round at once. Several calls in a row make one round.
func (g *Gossiper) Tell() {
	select {
	case g.news <- struct{}{}:
	default:
	}
}

// Learn takes in what the store lists of a process: its name, availability zone,
// processor and address for datagrams.
func (g *Gossiper) Learn(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roster.Learn(s, g.Now())
}

// Live returns the peers that were heard lately.
func (g *Gossiper) Live() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Live(g.Now())
}

// Silent reports whether no datagram has come for so long that this process is cut
// off from its peers, if it has any: several come each half second.
func (g *Gossiper) Silent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.roster.peers) > 0 && g.Now().Sub(g.heard) > quiet
}

// Holders returns the processes that may hold connections.
func (g *Gossiper) Holders() []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Holders(g.Now())
}

func (g *Gossiper) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Log.Warn("gossiper: read failed", zap.Error(err))
			time.Sleep(Period) // an error that stays mustn't keep the process busy
			continue
		}
		var s State
		if err := cbor.Unmarshal(buffer[:n], &s); err != nil {
			g.Log.Warn("gossiper: datagram dropped", zap.Error(err))
			continue
		}
		if s.Name == g.Self().Name {
			continue
		}
		g.mu.Lock()
		g.heard = g.Now()
		g.roster.Hear(s, g.heard)
		g.mu.Unlock()
		if g.Heard != nil {
			g.Heard(s)
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
				ticker.Reset(Period)
			}
			g.round(rng)
		case <-g.news:
			g.round(rng)
		}
	}
}

func (g *Gossiper) round(rng *rand.Rand) {
	self := g.Self()
	b, err := cbor.Marshal(self)
	if err != nil {
		g.Log.Error("gossiper: state can't be written", zap.Error(err))
		return
	}
	g.mu.Lock()
	dropped := g.roster.Sweep(g.Now())
	targets := g.roster.Targets(self, rng)
	g.mu.Unlock()
	if g.Dropped != nil {
		for _, name := range dropped {
			g.Dropped(name)
		}
	}
	for _, to := range targets {
		if to == self.Peers {
			continue
		}
		if _, err := g.conn.WriteToUDPAddrPort(b, to); err != nil {
			g.Log.Debug("gossiper: datagram not sent", zap.Stringer("to", to), zap.Error(err))
		}
	}
}
