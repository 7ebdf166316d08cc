package listener

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

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
