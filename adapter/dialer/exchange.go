package dialer

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// exchange sends a request and waits for the first bytes of its answer with one
// system call less than writing and then reading.
//
// A plain read after a write finds nothing, as the answer takes its time, and is
// then done again when the runtime's poller says so. Leaving the first read out
// isn't safe by itself: an answer that arrives before the wait is set up would
// not wake it, and the statement would hang. So the write is made where the
// runtime has set up the wait already: inside the function that RawConn.Read
// calls, whose first "not ready" makes it wait.
type exchange struct {
	raw  syscall.RawConn
	step func(fd uintptr) bool

	request []byte
	sent    int
	started bool
	into    []byte
	read    int
	err     error
}

// open readies the exchange for a connection. It stays unused where the system
// offers no way.
func (e *exchange) open(nc net.Conn) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	e.raw, e.step = raw, e.run
}

// run is called with the descriptor until it returns true.
func (e *exchange) run(fd uintptr) bool {
	if !e.started {
		e.started = true
		n, err := syscall.Write(int(fd), e.request)
		e.sent = max(n, 0)
		if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
			e.err = err
			return true
		}
		return e.sent < len(e.request) // the rest goes the plain way
	}
	n, err := syscall.Read(int(fd), e.into)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false
	case err != nil:
		e.err = err
	}
	e.read = max(n, 0)
	return true
}

// do sends p and reads into buf what comes first. full is false when p could not
// be sent at once; nothing has been read then.
func (e *exchange) do(p, buf []byte) (sent, read int, full bool, err error) {
	e.request, e.into = p, buf
	e.sent, e.read, e.started, e.err = 0, 0, false, nil
	err = e.raw.Read(e.step)
	e.request, e.into = nil, nil
	if err == nil {
		err = e.err
	}
	return e.sent, e.read, e.sent == len(p), err
}
