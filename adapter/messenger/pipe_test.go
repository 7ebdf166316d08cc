package messenger

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// network joins messengers by pipes, so that tests run in virtual time.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	dials     int
}

type pipeListener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func (n *network) listen(addr netip.AddrPort) *pipeListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &pipeListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*pipeListener)
	}
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[to]
	n.dials++
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	here, there := net.Pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func testAddr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7600)
}

// join starts a messenger at address n that the test's end closes.
func (n *network) join(t *testing.T, host byte, h Handler) *Messenger {
	t.Helper()
	m := &Messenger{
		Self:    Peer{Addr: testAddr(host), Start: 1},
		Keys:    [][]byte{[]byte("shared key of the fleet")},
		Handler: h,
		Dial:    n.dial,
		Metrics: metrics.NewRegistry(),
	}
	n.run(t, m)
	return m
}

func (n *network) run(t *testing.T, m *Messenger) {
	t.Helper()
	ln := n.listen(m.Self.Addr)
	done := make(chan error, 1)
	go func() { done <- m.Serve(ln) }()
	t.Cleanup(func() {
		m.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
