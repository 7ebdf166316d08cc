package messenger

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/internal/faker/network"
)

func testAddr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7600)
}

// join starts a messenger at address n that the test's end closes.
func join(t *testing.T, n *network.Network, host byte, h Handler) *Messenger {
	t.Helper()
	m := &Messenger{
		Self:    Peer{Addr: testAddr(host), Start: 1},
		Keys:    [][]byte{[]byte("shared key of the fleet")},
		Handler: h,
		Dial:    n.Dial,
		Metrics: metrics.NewRegistry(),
	}
	run(t, n, m)
	return m
}

func run(t *testing.T, n *network.Network, m *Messenger) {
	t.Helper()
	ln := n.Listen(m.Self.Addr)
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
