package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

// Messenger sends requests to peers and answers theirs. Set the exported fields
// before Serve or the first call; then it is safe for concurrent use.
type Messenger struct {
	// Self is the address that peers dial and the start of this process.
	Self Peer
	// Handler answers peers.
	Handler Handler
	// Keys are shared by the fleet: the first proves, all are accepted.
	Keys [][]byte
	// TLS, if set, must hold a certificate and require one of the other side.
	TLS *tls.Config
	// Dial opens a connection; nil dials TCP.
	Dial func(context.Context, netip.AddrPort) (net.Conn, error)
	// Metrics gets one counter of bytes for each method and direction.
	Metrics metrics.Registry
	// Log gets a line for each refused peer; nil discards.
	Log *zap.Logger

	CallTimeout      time.Duration // longest a request may take, on both sides
	HandshakeTimeout time.Duration // from connect to the end of authentication
	// Silence is how long a peer may send nothing while a request is under way, before
	// it is asked whether it lives, and how long it has to answer that; zero doesn't
	// ask.
	Silence      time.Duration
	IdleTimeout  time.Duration // a link without requests is closed after this
	WriteTimeout time.Duration // longest one message may take to be written
	MaxInFlight  int           // requests under way on a link, each way
	// MaxMessage is the size in bytes of the greatest message that is read or sent.
	// Messages above DefaultMaxMessage are sent only to peers that read them, which
	// costs one question on each link, and MaxLarge is how many such requests are
	// served at a time.
	MaxMessage    int
	MaxLarge      int
	MaxHandshakes int // inbound connections not authenticated yet

	ids   atomic.Uint64
	large atomic.Int64 // requests above DefaultMaxMessage that are being served
	dials singleflight.Group

	mu     sync.Mutex
	links  map[netip.AddrPort]*link // the one that calls use
	all    map[*link]struct{}
	closed bool
	base   context.Context
	stop   context.CancelFunc
}

// Serve accepts peers on ln until Close, and then returns nil, or until an error
// of ln. It closes ln.
func (m *Messenger) Serve(ln net.Listener) error {
	defer ln.Close()
	if err := m.check(); err != nil {
		return err
	}
	ctx, err := m.context()
	if errors.Is(err, ErrClosed) {
		return nil
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	handshakes := make(chan struct{}, m.maxHandshakes())
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "messenger: accept")
		}
		select {
		case handshakes <- struct{}{}:
		default:
			// A flood of connections that never authenticate would take
			// memory and goroutines without bound.
			conn.Close()
			continue
		}
		go func() {
			defer func() { <-handshakes }()
			m.accept(ctx, conn)
		}()
	}
}

func (m *Messenger) accept(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(m.handshakeTimeout()))
	conn := raw
	if m.TLS != nil {
		conn = tls.Server(raw, m.TLS)
	}
	peer, err := m.authenticator().accept(conn)
	if err != nil {
		m.logger().Warn("messenger: refused a connection", zap.Stringer("from", conn.RemoteAddr()), zap.Error(err))
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	m.add(ctx, m.newLink(conn, peer, false))
}

// context returns the context that Close ends.
func (m *Messenger) context() (context.Context, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, ErrClosed
	}
	if m.base == nil {
		m.base, m.stop = context.WithCancel(context.Background())
		m.links = make(map[netip.AddrPort]*link)
		m.all = make(map[*link]struct{})
	}
	return m.base, nil
}

// Close ends all connections and Serve. Calls under way end with ErrClosed.
func (m *Messenger) Close() {
	m.mu.Lock()
	m.closed = true
	stop := m.stop
	m.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// Links returns the number of open connections.
func (m *Messenger) Links() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all)
}

// Serving returns the number of peers' requests that have no answer yet. One counts until its
// answer has been written.
func (m *Messenger) Serving() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for l := range m.all {
		n += len(l.serving)
	}
	return n
}

// add starts a link and makes it the one that calls use, if it is to be.
//
// Two peers that dial each other at the same time end up with two connections.
// Closing one at once would cut the requests on it, and if each side closed the
// other's, both would be gone. So both sides prefer the one that the lower
// address dialled; the other one gets no new requests and ends by being idle.
func (m *Messenger) add(ctx context.Context, l *link) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.start(ctx)
	m.all[l] = struct{}{}
	go func() {
		<-l.conn.DisconnectNotify()
		m.remove(l)
	}()
	old := m.links[l.peer.Addr]
	switch {
	case old == nil:
	case old.peer.Start != l.peer.Start:
		// The process there was restarted: what the old connection still
		// carries can't be answered by the process that now listens.
		go old.close()
	case !m.prefers(l):
		return old
	}
	m.links[l.peer.Addr] = l
	return l
}

// prefers reports whether the lower of both addresses dialled l.
func (m *Messenger) prefers(l *link) bool {
	return l.dialed == (m.Self.Addr.Compare(l.peer.Addr) < 0)
}

func (m *Messenger) remove(l *link) {
	l.idle.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.all, l)
	if m.links[l.peer.Addr] != l {
		return
	}
	delete(m.links, l.peer.Addr)
	for other := range m.all {
		if other.peer == l.peer {
			m.links[l.peer.Addr] = other
			return
		}
	}
}

// link returns the connection to a peer and opens it if there is none. Callers
// that ask at the same time share one attempt, which has its own deadline.
func (m *Messenger) link(ctx context.Context, to netip.AddrPort) (*link, error) {
	base, err := m.context()
	if err != nil {
		return nil, err
	}
	if l := m.linked(to); l != nil {
		return l, nil
	}
	opened := m.dials.DoChan(to.String(), func() (any, error) {
		// An attempt may have ended between the look above and here. Without
		// this one a second connection would stand beside the first.
		if l := m.linked(to); l != nil {
			return l, nil
		}
		return m.open(base, to)
	})
	select {
	case r := <-opened:
		l, _ := r.Val.(*link)
		return l, r.Err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrDeadline, "dial %s", to)
	}
}

// linked returns the connection that calls to a peer use, nil if there is none.
func (m *Messenger) linked(to netip.AddrPort) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[to]
}

func (m *Messenger) open(base context.Context, to netip.AddrPort) (*link, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(base, m.handshakeTimeout())
	defer cancel()
	conn, err := m.dial(ctx, to)
	if err != nil {
		return nil, errors.Wrapf(err, "messenger: dial %s", to)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	secure := conn
	if m.TLS != nil {
		secure = tls.Client(conn, m.client(to))
	}
	peer, err := m.authenticator().dial(secure, to)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return m.add(base, m.newLink(secure, peer, true)), nil
}

func (m *Messenger) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if m.Dial != nil {
		return m.Dial(ctx, to)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", to.String())
}

// client is the TLS configuration for dialling: the name to check is the IP.
func (m *Messenger) client(to netip.AddrPort) *tls.Config {
	c := m.TLS.Clone()
	if c.ServerName == "" {
		c.ServerName = to.Addr().String()
	}
	return c
}

func (m *Messenger) logger() *zap.Logger {
	if m.Log == nil {
		return zap.NewNop()
	}
	return m.Log
}

// count adds bytes to the counter of a method and direction.
func (m *Messenger) count(method Method, way string, bytes int) {
	if m.Metrics == nil {
		return
	}
	name := "messenger." + string(method) + "." + way
	metrics.GetOrRegisterCounter(name, m.Metrics).Inc(int64(bytes))
}
