package relayer

import (
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// secure answers a request for TLS and does the handshake.
func (s *Session) secure() error {
	if len(s.in.bytes()) > requestSize {
		// What follows the request in clear text would be taken for what the
		// caller sends encrypted: somebody in between could put words into its
		// mouth.
		return &protocolError{codeProtocol, "data after the request for TLS"}
	}
	if s.relay.TLS == nil {
		return s.send([]byte{'N'})
	}
	if _, ok := s.caller.(*tlsCaller); ok {
		return &protocolError{codeProtocol, "TLS is in use already"}
	}
	if err := s.send([]byte{'S'}); err != nil {
		return err
	}
	link := &tlsLink{caller: s.caller, events: make(chan struct{}, 1)}
	s.waiting.Store(link)
	defer s.waiting.Store(nil)
	conn := tls.Server(link, s.relay.TLS)
	if err := conn.Handshake(); err != nil {
		return errors.Wrap(err, "relayer: TLS")
	}
	link.settled = true
	s.drained = false
	s.caller = &tlsCaller{Caller: s.caller, conn: conn}
	return nil
}

// requestSize is the size of a request for TLS, in bytes.
const requestSize = 8

// tlsLink lets crypto/tls read a caller's connection. It waits for bytes during
// the handshake, which has a goroutine; after it reading never waits, so that an
// idle TLS session needs no goroutine either.
type tlsLink struct {
	caller  Caller
	events  chan struct{}
	settled bool
}

// wake tells a waiting handshake to look again.
func (l *tlsLink) wake() {
	select {
	case l.events <- struct{}{}:
	default:
	}
}

// againError says that nothing has arrived. crypto/tls keeps what it has read of a
// record after a temporary error and goes on from there at the next call.
type againError struct{}

func (againError) Error() string   { return "relayer: nothing to read now" }
func (againError) Timeout() bool   { return true }
func (againError) Temporary() bool { return true }

// Read implements net.Conn.
func (l *tlsLink) Read(p []byte) (int, error) {
	for {
		n, err := l.caller.Read(p)
		switch {
		case n > 0 || err != nil:
			return n, err
		case l.settled:
			return 0, againError{}
		}
		<-l.events
	}
}

// Write implements net.Conn.
func (l *tlsLink) Write(p []byte) (int, error) { return l.caller.Write(p) }

// Close implements net.Conn.
func (l *tlsLink) Close() error { return l.caller.Close() }

// LocalAddr implements net.Conn.
func (l *tlsLink) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(netip.AddrPort{}) }

// RemoteAddr implements net.Conn.
func (l *tlsLink) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(l.caller.Remote()) }

// SetDeadline implements net.Conn. The session bounds its login itself.
func (l *tlsLink) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (l *tlsLink) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (l *tlsLink) SetWriteDeadline(time.Time) error { return nil }

// tlsCaller is a caller's connection under TLS.
type tlsCaller struct {
	Caller
	conn *tls.Conn
}

// Read returns what has arrived and can be decrypted, without waiting. It fills
// p as far as it can: a short read means that nothing more has arrived.
func (c *tlsCaller) Read(p []byte) (int, error) {
	total := 0
	for total < len(p) {
		n, err := c.conn.Read(p[total:])
		total += n
		if errors.Is(err, againError{}) {
			break
		}
		if err != nil && total == 0 {
			return 0, err
		}
		if err != nil {
			break // seen again at the next call
		}
	}
	return total, nil //nolint:nilerr // crypto/tls keeps the error
}

// Write sends p encrypted.
func (c *tlsCaller) Write(p []byte) (int, error) { return c.conn.Write(p) }

// CloseWrite says goodbye and closes this side.
func (c *tlsCaller) CloseWrite() error {
	_ = c.conn.CloseWrite()
	c.Flush(time.Now().Add(flushTime))
	return c.Caller.CloseWrite()
}

// Close says goodbye and ends the connection.
func (c *tlsCaller) Close() error {
	_ = c.conn.CloseWrite()
	c.Flush(time.Now().Add(flushTime))
	return c.Caller.Close()
}
