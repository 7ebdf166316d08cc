package listener

import (
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
)

// ErrStalled reports a caller that read nothing for too long while an answer
// waited for it.
var ErrStalled = errors.New("listener: caller doesn't read")

// Conn is one caller connection. Read and Write may be used by one goroutine
// each at a time, Close by any.
type Conn struct {
	nc        *nbio.Conn
	handler   Handler
	remote    netip.AddrPort
	maxUnsent int64
	stall     time.Duration

	// opened orders what Open has written before what the event loop reads: the
	// two meet only in the kernel's event queue, which Go's memory model and its
	// race detector know nothing of.
	opened atomic.Bool
	// joined is closed when the event loop has taken the connection, or refused it.
	// A write before that dereferences nil inside nbio, and a close before it frees
	// the file descriptor that the loop is about to watch.
	joined chan struct{}
	// closing says that Close came before that.
	closing atomic.Bool
	unsent  atomic.Int64
	closed  atomic.Bool
	ended   sync.Once

	mu    sync.Mutex
	space chan struct{} // made when a writer first waits
}

// Remote returns the caller's address.
func (c *Conn) Remote() netip.AddrPort { return c.remote }

// Read reads what has arrived, without waiting. When it returns less than asked
// for, nothing more has arrived, and Readable follows when it has; 0 and no
// error is nothing at all. io.EOF is the end.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.nc.Read(p)
		switch {
		case n > 0:
			return n, nil
		case errors.Is(err, syscall.EAGAIN):
			return 0, nil
		case errors.Is(err, syscall.EINTR):
			continue
		case err == nil:
			return 0, io.EOF
		default:
			return 0, errors.Wrap(err, "listener: read")
		}
	}
}

// join hands the connection to an event loop.
func (c *Conn) join(engine *nbio.Engine) error {
	c.nc.SetSession(c)
	c.opened.Store(true)
	_, err := engine.AddConn(c.nc)
	close(c.joined)
	if err != nil {
		c.end()
		return err
	}
	if c.closing.Load() {
		return c.nc.Close()
	}
	return nil
}

// end tells the handler, once, that the connection has ended.
func (c *Conn) end() {
	c.closed.Store(true)
	c.signal()
	c.ended.Do(c.handler.Closed)
}

// Write sends p, which it doesn't keep. It waits while too much is unsent, or
// until the event loop has the connection, so Open can't call it. It fails with
// ErrStalled when the caller reads nothing for too long.
func (c *Conn) Write(p []byte) (int, error) {
	<-c.joined
	if err := c.waitSpace(); err != nil {
		return 0, err
	}
	c.unsent.Add(int64(len(p)))
	n, err := c.nc.Write(p)
	if err != nil {
		return max(n, 0), errors.Wrap(err, "listener: write")
	}
	return len(p), nil
}

func (c *Conn) waitSpace() error {
	if c.unsent.Load() < c.maxUnsent {
		return nil
	}
	space := c.spaceSignal()
	timer := time.NewTimer(c.stall)
	defer timer.Stop()
	for left := c.unsent.Load(); left >= c.maxUnsent; left = c.unsent.Load() {
		if c.closed.Load() {
			return io.ErrClosedPipe
		}
		select {
		case <-space:
			timer.Reset(c.stall)
		case <-timer.C:
			_ = c.Close()
			return ErrStalled
		}
	}
	return nil
}

func (c *Conn) spaceSignal() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.space == nil {
		c.space = make(chan struct{}, 1)
	}
	return c.space
}

// signal wakes a writer that waits for space. It never blocks.
func (c *Conn) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.space == nil {
		return
	}
	select {
	case c.space <- struct{}{}:
	default:
	}
}

// Unsent returns the number of bytes that were written and have not left for the caller; zero
// once the connection has ended.
func (c *Conn) Unsent() int64 {
	if c.closed.Load() {
		return 0
	}
	return c.unsent.Load()
}

// Flush waits until all that was written has left for the caller, the
// connection has ended, or the deadline has passed. Closing drops what is
// unsent, so a last message is flushed before it.
func (c *Conn) Flush(deadline time.Time) {
	if c.Unsent() == 0 {
		return
	}
	space := c.spaceSignal()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for c.unsent.Load() > 0 && !c.closed.Load() {
		select {
		case <-space:
		case <-timer.C:
			return
		}
	}
}

// CloseWrite closes this side of the connection: the caller reads the end after
// what was flushed. Reading goes on until it closes its side.
func (c *Conn) CloseWrite() error {
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener: close one side")
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Shutdown(int(fd), syscall.SHUT_WR) }); err != nil {
		return errors.Wrap(err, "listener: close one side")
	}
	return errors.Wrap(failed, "listener: close one side")
}

// Close ends the connection. What is unsent is dropped.
func (c *Conn) Close() error {
	c.closing.Store(true) // before the look: either join sees it, or joined is closed
	select {
	case <-c.joined:
		return c.nc.Close()
	default:
		return nil
	}
}

// abandon says a last word and closes a connection that the engine doesn't know.
func (c *Conn) abandon(farewell []byte) {
	c.closed.Store(true)
	if raw, err := c.nc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _, _ = syscall.Write(int(fd), farewell) })
	}
	_ = c.nc.Close()
}

func onRead(nc *nbio.Conn) {
	switch c := nc.Session().(type) {
	case *Conn:
		if c.opened.Load() {
			c.handler.Readable()
		}
	case *probe:
		if !c.opened.Load() {
			return
		}
		select {
		case c.seen <- struct{}{}:
		default:
		}
	}
}

func onClose(nc *nbio.Conn, _ error) {
	c, ok := nc.Session().(*Conn)
	if !ok || !c.opened.Load() {
		return
	}
	c.end()
}

// onWritten counts down what is unsent. It runs inside nbio's lock of the
// connection and may not call its methods.
func onWritten(nc *nbio.Conn, _ []byte, n int) {
	c, ok := nc.Session().(*Conn)
	if !ok {
		return
	}
	if left := c.unsent.Add(int64(-n)); left == 0 || left < c.maxUnsent {
		c.signal()
	}
}
