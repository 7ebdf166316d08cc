package listener

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"go.uber.org/zap"
)

const (
	defaultMaxUnsent = 256 << 10
	defaultStall     = 30 * time.Second
	maxLoops         = 4
	minOpenFiles     = 1 << 10
	maxOpenFiles     = 1 << 20
)

// Handler gets a connection's events. Both methods run on the event loop and
// must return at once.
type Handler interface {
	// Readable says that bytes have arrived since Read last returned nothing.
	Readable()
	// Closed says that the connection has ended; no other event follows.
	Closed()
}

// Listener accepts caller connections. Set the exported fields before Start.
type Listener struct {
	// Address to listen on; port 0 takes a free one, see Bound.
	Address netip.AddrPort
	// Open makes the handler of a new connection. Nil refuses the connection.
	Open func(c *Conn) Handler
	// Farewell is sent to a connection that Open refuses.
	Farewell []byte
	// MaxUnsent bounds the bytes of one connection that wait for its caller to
	// read; 0 means 256 KiB.
	MaxUnsent int
	// Stall is how long a caller may read nothing while Write waits, before its
	// connection is closed; 0 means 30 s.
	Stall time.Duration
	// Log gets the listener's and nbio's lines; nil means none.
	Log *zap.Logger

	ln      *net.TCPListener
	engines []*nbio.Engine
	done    sync.WaitGroup
	once    sync.Once
}

// engineSetup guards nbio's package variables, which several listeners of one
// process set to the same values.
var engineSetup sync.Mutex //nolint:gochecknoglobals // guards variables that are global in nbio

// Start binds the address and begins to accept.
func (l *Listener) Start() error {
	l.defaults()
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.Address))
	if err != nil {
		return errors.Wrapf(err, "listener: listen on %s", l.Address)
	}
	for range loops() {
		engine, err := startLoop(l.Log)
		if err != nil {
			ln.Close()
			return errors.Wrap(err, "listener: start the event loop")
		}
		l.engines = append(l.engines, engine)
	}
	l.ln = ln
	l.done.Add(1)
	go l.accept()
	return nil
}

func (l *Listener) defaults() {
	if l.MaxUnsent == 0 {
		l.MaxUnsent = defaultMaxUnsent
	}
	if l.Stall == 0 {
		l.Stall = defaultStall
	}
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
}

// Bound returns the address that the listener is bound to, after Start.
func (l *Listener) Bound() netip.AddrPort {
	return l.ln.Addr().(*net.TCPAddr).AddrPort()
}

func (l *Listener) accept() {
	defer l.done.Done()
	for n := 0; ; n++ {
		conn, err := l.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn("listener: accept failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // out of file descriptors: don't spin
			continue
		}
		l.add(conn, l.engines[n%len(l.engines)])
	}
}

func (l *Listener) add(tcp *net.TCPConn, engine *nbio.Engine) {
	remote := tcp.RemoteAddr().(*net.TCPAddr).AddrPort()
	nc, err := nbio.NBConn(tcp)
	if err != nil {
		_ = tcp.Close()
		l.Log.Warn("listener: connection refused", zap.Error(err))
		return
	}
	c := l.wrap(nc, remote)
	c.handler = l.Open(c)
	if c.handler == nil {
		c.abandon(l.Farewell)
		return
	}
	if err := c.join(engine); err != nil {
		l.Log.Warn("listener: connection refused", zap.Error(err))
	}
}

func (l *Listener) wrap(nc *nbio.Conn, remote netip.AddrPort) *Conn {
	return &Conn{nc: nc, remote: remote, maxUnsent: int64(l.MaxUnsent), stall: l.Stall, joined: make(chan struct{})}
}

// StopAccepting closes the listening socket. Connections go on.
func (l *Listener) StopAccepting() {
	l.once.Do(func() {
		l.ln.Close()
		l.done.Wait()
	})
}

// Stop closes the listening socket and all connections and ends the event loop.
func (l *Listener) Stop() {
	l.StopAccepting()
	for _, e := range l.engines {
		e.Stop()
	}
}

// engineLog writes nbio's lines with the listener's prefix.
type engineLog struct{ log *zap.SugaredLogger }

// Debug drops the line: nbio writes one for each poller.
func (e engineLog) Debug(string, ...any) {}

// Info writes at debug level: nbio's lines are of no use to an operator.
func (e engineLog) Info(format string, v ...any) { e.log.Debugf("listener: "+format, v...) }

// Warn writes a warning.
func (e engineLog) Warn(format string, v ...any) { e.log.Warnf("listener: "+format, v...) }

// Error writes an error.
func (e engineLog) Error(format string, v ...any) { e.log.Errorf("listener: "+format, v...) }
