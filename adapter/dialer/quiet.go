package dialer

import (
	"crypto/tls"
	"net"
	"syscall"
)

// quiet looks at a socket without waiting and without taking anything. Bytes on
// an idle connection are a farewell (57P01) or an answer that nobody waits for;
// no bytes and no error is the end of the stream. Neither may be used again: a
// statement sent there would have an unknown outcome for no need.
func quiet(conn net.Conn) bool {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn() // a farewell over TLS is bytes here as well
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = err == syscall.EAGAIN //nolint:errorlint // a bare errno
	})
	return err == nil && alive
}
