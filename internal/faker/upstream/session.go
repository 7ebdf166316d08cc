package upstream

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"basildale.example/basildale/tracker"
)

// The transaction states of ReadyForQuery.
const (
	stateIdle   = 'I'
	stateOpen   = 'T'
	stateFailed = 'E'
)

// session is one connection.
type session struct {
	up     *Upstream
	conn   net.Conn
	be     *pgproto3.Backend
	from   netip.Addr
	pid    uint32
	secret []byte
	gone   chan struct{} // closed by hangup
	once   sync.Once

	state    byte
	tx       *tx
	implicit bool // the transaction ends with the query or at Sync
	term     *tracker.Term
	request  string
	settings settings
	stmts    map[string]*prepared
	portals  map[string]*portal
	skipping bool // an error in an extended batch: skip to Sync

	mu     sync.Mutex
	cancel context.CancelFunc
}

func (u *Upstream) serve(conn net.Conn) {
	s := &session{
		up:      u,
		conn:    conn,
		gone:    make(chan struct{}),
		state:   stateIdle,
		stmts:   make(map[string]*prepared),
		portals: make(map[string]*portal),
		secret:  binary.BigEndian.AppendUint32(nil, rand.Uint32()),
	}
	defer u.forget(s)
	if from, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		s.from = from.Addr()
	}
	u.remember(s)
	if !u.pass(s.from, s.gone) {
		return
	}
	s.be = pgproto3.NewBackend(conn, conn)
	if !s.startup() {
		return
	}
	for s.step() {
		continue
	}
}

// hangup closes the connection at once, without waiting for what is unsent.
func (s *session) hangup() {
	s.once.Do(func() {
		close(s.gone)
		if tcp, ok := s.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		s.conn.Close()
		s.interrupt()
	})
}

func (s *session) interrupt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
	}
}

// startup answers until the session is ready; false when there is none.
func (s *session) startup() bool {
	for {
		msg, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			s.up.cancelStatement(msg.ProcessID, msg.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return s.welcome()
		default:
			return false
		}
	}
}

func (s *session) welcome() bool {
	if !s.authenticate() {
		return false
	}
	s.sleep(s.up.options.Connect)
	if !s.up.register(s) {
		s.reject(codeConnections, "sorry, too many clients already")
		return false
	}
	s.be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", "16.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"},
		{"integer_datetimes", "on"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
	} {
		s.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: stateIdle})
	return s.flush()
}

func (s *session) authenticate() bool {
	if s.up.options.Password == "" {
		return true
	}
	s.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	if s.be.Flush() != nil || s.be.SetAuthType(pgproto3.AuthTypeCleartextPassword) != nil {
		return false
	}
	msg, err := s.be.Receive()
	if err != nil {
		return false
	}
	if given, ok := msg.(*pgproto3.PasswordMessage); ok && given.Password == s.up.options.Password {
		return true
	}
	s.reject(codePassword, "password authentication failed")
	return false
}

// reject sends a last error. The connection is closed with what was sent before.
func (s *session) reject(code, message string) {
	s.be.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	if s.be.Flush() != nil {
		return
	}
	s.once.Do(func() {
		close(s.gone)
		s.conn.Close()
	})
}

// step handles one message; false when the session is over.
func (s *session) step() bool {
	msg, err := s.be.Receive()
	if err != nil || !s.up.pass(s.from, s.gone) {
		return false
	}
	if s.skipping {
		switch msg.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return true
		}
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		s.sleep(s.up.network())
		return s.query(msg.String)
	case *pgproto3.Parse:
		return s.extended(s.prepare(msg))
	case *pgproto3.Bind:
		return s.extended(s.bind(msg))
	case *pgproto3.Describe:
		return s.extended(s.describe(msg))
	case *pgproto3.Execute:
		return s.extended(s.execute(msg))
	case *pgproto3.Close:
		s.forget(msg)
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		s.sleep(s.up.network())
		return s.sync()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// COPY has been refused and the client is still sending.
	default:
		return s.extended(fail("08P01", "unexpected message"))
	}
	return true
}

// flush sends what has been queued, after the network's delay.
func (s *session) flush() bool {
	s.sleep(s.up.network())
	return s.up.pass(s.from, s.gone) && s.be.Flush() == nil
}

func (s *session) sendError(err error) {
	var known *sqlError
	if !errors.As(err, &known) {
		known = &sqlError{code: "XX000", message: err.Error()}
	}
	s.be.Send(&pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                known.code,
		Message:             known.message,
	})
}

func (s *session) ready() bool {
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.state})
	return s.flush()
}

// sleep is cut short when the connection is gone.
func (s *session) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.gone:
	}
}

func (u *Upstream) scaled(d time.Duration) time.Duration {
	f, _ := u.faults.get()
	if f.factor > 0 {
		return time.Duration(float64(d) * f.factor)
	}
	return d
}

func (u *Upstream) network() time.Duration { return u.scaled(u.options.Network) }
