package relayer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
)

// The states of a session's worker.
const (
	workerIdle uint32 = iota
	workerRunning
	workerAgain // running, and an event came since it last looked
)

// phase is how far a session has come.
type phase uint8

const (
	phaseStartup phase = iota
	phaseAuthentication
	phaseReady
	phaseParting // see part
	phaseEnded
)

// Transaction states as ReadyForQuery carries them.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// Session is one caller connection. Readable and Closed may be called by any
// goroutine; all else belongs to the session's worker.
type Session struct {
	relay   *Relay
	caller  Caller
	body    func() // run, made once: a go statement with a method makes a closure each time
	worker  atomic.Uint32
	resting atomic.Uint32           // see settle
	timer   *time.Timer             // see overdue
	until   time.Time               // when an open transaction has rested for too long
	waiting atomic.Pointer[tlsLink] // a TLS handshake under way
	login   *login
	gone    atomic.Bool
	leave   atomic.Bool // end between requests: the proxy stops
	member  atomic.Bool // logged in
	key     Key

	cancelling sync.Mutex // held while a cancel request for target is under way
	target     atomic.Pointer[Upstream]

	phase    phase
	stranger bool // counted among sessions in their startup
	in       inbox
	drained  bool   // nothing more has arrived, so far as the last event tells
	scan     int    // bytes of the inbox known to be whole messages of a batch
	out      []byte // answer gathered for the caller
	tail     int    // where in out the end of the answer begins; -1 if it hasn't
	streamed bool   // a part of the unit's answer has left

	account Account
	notes   Notes

	up       *Upstream
	to       Target
	tx       byte // transaction state that the caller knows
	orphaned bool // in a transaction whose upstream connection is lost
	skipping bool // after an error in a batch, until its Sync
	batch    bool // an extended batch is open: its Sync hasn't come
	request  string

	answering  bool                 // an answer is under way on the upstream connection
	cutOff     bool                 // the upstream was lost inside a message that the caller has begun to get
	kinds      classifier.Kinds     // of the open batch
	count      int                  // statements bound in the open batch
	ends       bool                 // the open batch has ended a transaction
	portals    map[string]statement // portals of the proxy's own statements
	bound      map[string]statement // portals of statements that a scope follows
	scope      scope
	settings   settings
	statements statements
}

// Readable says that the caller has sent something.
func (s *Session) Readable() { s.wake() }

// Closed says that the caller's connection has ended.
func (s *Session) Closed() {
	s.gone.Store(true)
	s.wake()
}

// wake starts the worker, or tells a running one to look again.
func (s *Session) wake() {
	if l := s.waiting.Load(); l != nil {
		l.wake()
	}
	for {
		switch s.worker.Load() {
		case workerIdle:
			if s.worker.CompareAndSwap(workerIdle, workerRunning) {
				go s.body()
				return
			}
		case workerRunning:
			if s.worker.CompareAndSwap(workerRunning, workerAgain) {
				return
			}
		default:
			return
		}
	}
}

func (s *Session) run() {
	for {
		s.work()
		s.settle()
		if s.worker.CompareAndSwap(workerRunning, workerIdle) {
			return
		}
		s.worker.Store(workerRunning)
	}
}

// work handles what has arrived and gives the working space back.
func (s *Session) work() {
	s.drained = false
	handled := false
	for s.phase != phaseEnded {
		more, err := s.step()
		if err != nil {
			s.end(err)
			return
		}
		if !more {
			break
		}
		handled = true
	}
	s.in.rest(&s.relay.pool)
	s.restOut()
	s.rest(handled)
}

// rest ends a session that is to end now that nothing is left to do, or lets it
// rest.
func (s *Session) rest(handled bool) {
	switch {
	case s.phase == phaseEnded:
	case s.gone.Load():
		s.end(nil)
	case s.phase == phaseParting:
	case s.leave.Load() && (s.phase != phaseReady || s.between()):
		s.part()
	case s.up == nil:
		s.until = time.Time{}
	case handled || s.until.IsZero():
		// A transaction keeps its connection while its caller thinks. One that
		// was forgotten would keep it from all others for good.
		s.until = time.Now().Add(s.relay.Limits.Idle)
		s.timer.Reset(s.relay.Limits.Idle)
	case !time.Now().Before(s.until):
		s.farewell(codeIdle, "the transaction was idle for too long")
	}
}

// overdue runs when the session's timer does: a login took too long, or an open
// transaction has rested for long.
func (s *Session) overdue(c Caller) {
	if s.member.Load() {
		s.wake()
		return
	}
	// Its place first: who sees the connection closed may take it at once.
	s.relay.sessions.vacate(s)
	_ = c.Close()
}

// step handles one packet or unit. more is false when the next has not arrived.
func (s *Session) step() (more bool, err error) {
	switch s.phase {
	case phaseStartup:
		return s.startup()
	case phaseAuthentication:
		return s.authentication()
	case phaseParting:
		return s.parting()
	default:
		return s.ready()
	}
}

// read reads once from the caller, with room for a message of size bytes.
func (s *Session) read(size int) (bool, error) {
	if s.drained {
		return false, nil
	}
	room := s.in.room(&s.relay.pool, size)
	n, err := s.caller.Read(room)
	if err != nil {
		return false, err
	}
	s.in.w += n
	s.drained = n < len(room)
	return n > 0, nil
}

// message cuts the next message and reads more if it has to. ok is false when
// it has not arrived. The caller drops it after use.
func (s *Session) message(limit int) (f framer.Frame, ok bool, err error) {
	for {
		f, n, err := framer.Cut(s.in.bytes(), limit)
		if err != nil {
			return framer.Frame{}, false, err
		}
		if n > 0 {
			return f, true, nil
		}
		if ok, err := s.read(s.wanted()); !ok || err != nil {
			return framer.Frame{}, false, err
		}
	}
}

// wanted returns the size of the message at the start of the inbox, if known.
func (s *Session) wanted() int {
	h, _, _ := framer.Peek(s.in.bytes(), 0)
	return h.Size
}

// between reports whether the session is between requests.
func (s *Session) between() bool {
	return s.up == nil && !s.batch && !s.skipping && len(s.in.bytes()) == 0
}

// farewell tells a caller that rests why its session ends.
func (s *Session) farewell(code, message string) {
	s.writeFault(&fault{severity: "FATAL", code: code, message: message})
	_ = s.flush()
	s.end(nil)
}

// end closes the session. err is what ended it, nil for an ordinary end.
func (s *Session) end(err error) {
	if s.phase == phaseEnded {
		return
	}
	s.complain(err)
	s.phase = phaseEnded
	s.timer.Stop()
	s.abandonUpstream()
	s.relay.sessions.remove(s)
	s.caller.Flush(time.Now().Add(flushTime))
	_ = s.caller.Close()
	s.in = inbox{}
	s.out = nil
}

// flushTime bounds how long a last message may take to leave.
const flushTime = time.Second

// complain sends what can be said about an error of the protocol.
func (s *Session) complain(err error) {
	var length *framer.LengthError
	var wrong *protocolError
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return
	case errors.As(err, &length) && length.TooLarge():
		s.writeFault(&fault{severity: "FATAL", code: codeTooLarge, message: length.Error()})
	case errors.As(err, &length):
		s.writeFault(&fault{severity: "FATAL", code: codeProtocol, message: length.Error()})
	case errors.As(err, &wrong):
		s.writeFault(&fault{severity: "FATAL", code: wrong.code, message: wrong.message})
	default:
		s.relay.Log.Debug("relayer: session ended", zap.Error(err))
		return
	}
	_ = s.flush()
}
