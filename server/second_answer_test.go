package server

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

// via forwards one connection to an upstream and returns the end that the proxy talks to.
func via(t *testing.T, to netip.AddrPort) (netip.AddrPort, <-chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	first := make(chan net.Conn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			up, err := net.Dial("tcp", to.String())
			if err != nil {
				c.Close()
				continue
			}
			select {
			case first <- c:
			default:
			}
			go func() { _, _ = io.Copy(up, c); up.Close() }()
			go func() { _, _ = io.Copy(c, up); c.Close() }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), first
}

// Guards against a second answer on an idle connection that is taken for that of the next read.
func TestSecondAnswerOnIdleConnectionIsNotThatOfTheNextRead(t *testing.T) {
	is := is.New(t)
	g, err := upstream.NewGroup(upstream.Options{Size: 1, Setup: seats})
	is.NoErr(err)
	defer g.Close()
	address, first := via(t, g.Upstreams[0].Addr())
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Upstreams = []netip.AddrPort{address}
		s.Groups[0].Connections = 1
	})
	c := f.connect(t, "")
	var n int
	is.NoErr(c.QueryRow(t.Context(), "SELECT 41", pgx.QueryExecModeSimpleProtocol).Scan(&n))
	_, err = (<-first).Write([]byte(message('C', "SELECT 0\x00") + message('Z', "I")))
	is.NoErr(err)
	pool := f.server.pools.get("billet", address)
	idle, ok := pool.TryGet()
	is.True(ok)
	for idle.Alive() {
		runtime.Gosched()
	}
	pool.Put(idle)
	is.NoErr(c.QueryRow(t.Context(), "SELECT 42", pgx.QueryExecModeSimpleProtocol).Scan(&n))
	is.Equal(n, 42)
}
