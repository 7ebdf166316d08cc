package dialer

import (
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/framer"
)

const (
	bufferSize = 16 << 10
	// maxControl bounds frames that are taken whole, such as errors, notices
	// and row descriptions, in bytes.
	maxControl = 1 << 20
)

// Key names a connection to its upstream in a cancel request.
type Key struct {
	Process uint32
	Secret  uint32
}

// Conn is one data connection to an upstream.
type Conn struct {
	// Key is what the upstream gave for cancel requests.
	Key Key
	// Parameters are the parameter statuses of the startup.
	Parameters map[string]string

	net     net.Conn
	talk    exchange
	address netip.AddrPort
	buf     []byte
	r, w    int
}

// Address returns the upstream's address.
func (c *Conn) Address() netip.AddrPort { return c.address }

// SetDeadline bounds all reading and writing from now on; the zero time lifts
// the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Send writes p. sent reports how many bytes have left, also with an error: 0
// proves that the upstream has seen nothing of p.
func (c *Conn) Send(p []byte) (sent int, err error) {
	n, err := c.net.Write(p)
	if err != nil {
		return n, errors.Wrap(err, "dialer: write")
	}
	return n, nil
}

// Ask writes p and waits for the first bytes of an answer, which are left in the
// buffer. sent is as in Send; it is len(p) also when the answer didn't come.
func (c *Conn) Ask(p []byte) (sent int, err error) {
	if c.talk.raw == nil || c.r != c.w {
		return c.Send(p)
	}
	c.r, c.w = 0, 0
	sent, n, full, err := c.talk.do(p, c.buf)
	c.w = n
	switch {
	case err != nil:
		return sent, errors.Wrap(err, "dialer: ask")
	case !full:
		more, err := c.Send(p[sent:])
		return sent + more, err
	case n == 0:
		return sent, errors.Wrap(io.EOF, "dialer: read")
	default:
		return sent, nil
	}
}

// Buffered returns how many bytes have been read and not taken yet.
func (c *Conn) Buffered() int { return c.w - c.r }

// Head waits for the header of the next frame and leaves it in place.
func (c *Conn) Head() (framer.Head, error) {
	for {
		h, ok, err := framer.Peek(c.buf[c.r:c.w], 0)
		if err != nil || ok {
			return h, err
		}
		if err := c.fill(framer.HeaderSize); err != nil {
			return framer.Head{}, err
		}
	}
}

// Frame takes the whole frame whose header Head returned. It lives until the
// next call. Frames above 1 MiB are an error: take them by Chunk.
func (c *Conn) Frame(h framer.Head) (framer.Frame, error) {
	if h.Size > maxControl {
		return framer.Frame{}, &framer.LengthError{Type: h.Type, Length: uint32(h.Size), Limit: maxControl}
	}
	for c.w-c.r < h.Size {
		if err := c.fill(h.Size); err != nil {
			return framer.Frame{}, err
		}
	}
	raw := c.buf[c.r : c.r+h.Size]
	c.r += h.Size
	return framer.Frame{Type: h.Type, Raw: raw}, nil
}

// Chunk takes at least one and at most n bytes. They live until the next call.
func (c *Conn) Chunk(n int) ([]byte, error) {
	if c.r == c.w {
		if err := c.fill(1); err != nil {
			return nil, err
		}
	}
	n = min(n, c.w-c.r)
	p := c.buf[c.r : c.r+n]
	c.r += n
	return p, nil
}

// fill reads once and makes room for a frame of size bytes before it.
func (c *Conn) fill(size int) error {
	if c.r == c.w {
		c.r, c.w = 0, 0
	}
	if len(c.buf)-c.r < size || c.w == len(c.buf) {
		c.makeRoom(size)
	}
	n, err := c.net.Read(c.buf[c.w:])
	c.w += n
	if n > 0 {
		return nil
	}
	return errors.Wrap(err, "dialer: read")
}

func (c *Conn) makeRoom(size int) {
	if size > len(c.buf) {
		grown := make([]byte, size)
		c.w = copy(grown, c.buf[c.r:c.w])
		c.buf, c.r = grown, 0
		return
	}
	c.w = copy(c.buf, c.buf[c.r:c.w])
	c.r = 0
}

// Rest gives back a buffer that one large frame has made grow, so that an idle
// connection holds no more than the usual size.
func (c *Conn) Rest() {
	if len(c.buf) > bufferSize && c.r == c.w {
		c.buf, c.r, c.w = make([]byte, bufferSize), 0, 0
	}
}

// Alive reports whether an idle connection is still usable so far as can be
// known without sending: nothing has arrived and the upstream hasn't closed it.
func (c *Conn) Alive() bool {
	if c.r != c.w {
		return false
	}
	return quiet(c.net)
}

// Close ends the connection without a word to the upstream, which then rolls
// back what was open.
func (c *Conn) Close() { c.net.Close() }

// Terminate says goodbye and closes the connection.
func (c *Conn) Terminate() {
	_ = c.net.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = c.net.Write([]byte{'X', 0, 0, 0, 4})
	c.net.Close()
}
