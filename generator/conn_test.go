package generator

import (
	"net"
	"runtime"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a load run never ends on a busy machine. Sequence: a write is slow, so
// pgconn starts a reader in the background; the answer comes, the reader stays;
// before the next request the session looks whether its connection is over.
// Cause: the look waits for the reader, which waits for the other side.
func TestEndingWaitsForNoReader(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	conn, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	other, err := ln.Accept()
	is.NoErr(err)
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	reading, release := make(chan struct{}), make(chan struct{})
	go func() {
		_ = raw.Read(func(uintptr) bool {
			close(reading)
			<-release
			return true
		})
	}()
	<-reading
	is.True(!ending(conn))
	close(release)
	_, err = other.Write([]byte{messageError})
	is.NoErr(err)
	is.NoErr(other.Close())
	for !ending(conn) {
		runtime.Gosched() // until the packet is there
	}
}
