package listener

import (
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/matryer/is"
)

// echo sends back what it reads and tells when its connection has ended.
type echo struct {
	conn  *Conn
	ended chan struct{}
	once  sync.Once
}

func (e *echo) Readable() {
	var b [64]byte
	for {
		n, err := e.conn.Read(b[:])
		if n == 0 || err != nil {
			return
		}
		_, _ = e.conn.Write(b[:n])
	}
}

func (e *echo) Closed() { e.once.Do(func() { close(e.ended) }) }

func startEcho(t *testing.T, l *Listener) chan *echo {
	t.Helper()
	opened := make(chan *echo, 16)
	l.Address = netip.MustParseAddrPort("127.0.0.1:0")
	if l.Open == nil {
		l.Open = func(c *Conn) Handler {
			e := &echo{conn: c, ended: make(chan struct{})}
			opened <- e
			return e
		}
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	return opened
}

// Symptom: a process that is stopped at once never ends and is busy. Sequence:
// Start, then Stop before any connection. Cause: nbio's own accept loop goes on
// when its socket is closed; ours must end.
func TestStopRightAfterStart(t *testing.T) {
	for range 20 {
		l := &Listener{}
		startEcho(t, l)
		l.Stop()
	}
}

func TestEchoAndStopAccepting(t *testing.T) {
	is := is.New(t)
	l := &Listener{}
	opened := startEcho(t, l)
	defer l.Stop()
	c, err := net.Dial("tcp", l.Bound().String())
	is.NoErr(err)
	defer c.Close()
	e := <-opened
	l.StopAccepting()
	_, err = c.Write([]byte("seat 7"))
	is.NoErr(err)
	b := make([]byte, 6)
	_, err = io.ReadFull(c, b)
	is.NoErr(err)
	is.Equal(string(b), "seat 7")
	_, err = net.Dial("tcp", l.Bound().String())
	is.True(err != nil)
	c.Close()
	<-e.ended
}

// Symptom: the proxy's memory grows without end. Sequence: a caller asks for
// much and reads nothing. Cause: Write must wait for the caller, and give up on
// one that never reads.
func TestWriteWaitsForSlowCaller(t *testing.T) {
	is := is.New(t)
	l := &Listener{MaxUnsent: 1 << 10, Stall: 50 * time.Millisecond}
	opened := startEcho(t, l)
	defer l.Stop()
	c, err := net.Dial("tcp", l.Bound().String())
	is.NoErr(err)
	defer c.Close()
	e := <-opened
	p := make([]byte, 64<<10)
	for err == nil {
		_, err = e.conn.Write(p)
		is.True(e.conn.unsent.Load() <= int64(len(p)+1<<10))
	}
	is.Equal(err, ErrStalled)
	<-e.ended
}

func TestRefusedConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	l := &Listener{Open: func(*Conn) Handler { return nil }, Farewell: []byte("full")}
	startEcho(t, l)
	defer l.Stop()
	c, err := net.Dial("tcp", l.Bound().String())
	is.NoErr(err)
	defer c.Close()
	last, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(last), "full")
}

// accepted returns a connection that no event loop has yet, and its caller's side.
func accepted(t *testing.T, l *Listener) (*Conn, *echo, net.Conn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	tcp, err := ln.Accept()
	is.NoErr(err)
	nc, err := nbio.NBConn(tcp)
	is.NoErr(err)
	c := l.wrap(nc, netip.AddrPort{})
	e := &echo{conn: c, ended: make(chan struct{})}
	c.handler = e
	return c, e, caller
}

// Symptom: the process ends with a nil dereference inside nbio, and where that is
// recovered a stop hangs for ever on the connection's lock. Sequence: a handler's
// goroutine writes between Open and the moment at which the event loop has the
// connection. Cause: nbio knows no loop for it until then.
func TestWriteBeforeTheLoopHasTheConnection(t *testing.T) {
	is := is.New(t)
	l := &Listener{}
	startEcho(t, l)
	defer l.Stop()
	c, e, caller := accepted(t, l)
	written := make(chan error)
	go func() {
		_, err := c.Write([]byte("seat 7"))
		written <- err
	}()
	for range 1000 {
		runtime.Gosched() // the writer gets its turn before the loop
	}
	is.NoErr(c.join(l.engines[0]))
	is.NoErr(<-written)
	b := make([]byte, 6)
	_, err := io.ReadFull(caller, b)
	is.NoErr(err)
	is.Equal(string(b), "seat 7")
	caller.Close()
	<-e.ended
}

// Symptom: a connection of another caller is cut, or events of one arrive at
// another. Sequence: a handler closes between Open and the moment at which the
// event loop has the connection; the file descriptor is given to the next one.
// Cause: the loop then watches a descriptor that it doesn't own.
func TestCloseBeforeTheLoopHasTheConnection(t *testing.T) {
	is := is.New(t)
	l := &Listener{}
	startEcho(t, l)
	defer l.Stop()
	c, e, caller := accepted(t, l)
	defer caller.Close()
	is.NoErr(c.Close())
	is.NoErr(c.join(l.engines[0]))
	<-e.ended
	_, err := caller.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
