package generator

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"basildale.example/basildale/checker"
)

// SQLSTATEs that a caller must know.
const (
	codeUnique      = "23505"
	codeShutdown    = "57P01"
	codeCrash       = "57P02"
	codeNoAnswer    = "no answer" // in place of an SQLSTATE
	codeLate        = "gave up"
	codeNoConnect   = "no connection"
	classNotRun     = "BD1"
	classConnection = "08" // among them 08007, unknown outcome
)

// link is a session's connection to one address.
type link struct {
	addr netip.AddrPort
	conn Conn
	open bool
}

// session is one caller: it sends one request at a time.
type session struct {
	g     *Generator
	id    string
	queue *queue
	tally *tally
	links []link // one, or two when it alternates
	next  int    // index of the next address
	sent  int
	count int      // bookings so far
	own   []string // IDs of the last acknowledged bookings
}

func newSession(g *Generator, i int, t *tally) *session {
	s := &session{
		g:     g,
		id:    sessionID(g, i),
		queue: newQueue(),
		tally: t,
		next:  i % len(g.Addrs),
	}
	s.links = append(s.links, link{addr: s.address()})
	if g.Moves == Alternate && len(g.Addrs) > 1 {
		s.links = append(s.links, link{addr: s.address()})
	}
	return s
}

func sessionID(g *Generator, i int) string { return g.Name + "s" + strconv.Itoa(i) }

func bookingID(session string, count int) string { return session + "b" + strconv.Itoa(count) }

// address takes the next address in turn.
func (s *session) address() netip.AddrPort {
	addr := s.g.Addrs[s.next]
	s.next = (s.next + 1) % len(s.g.Addrs)
	return addr
}

func (s *session) run(ctx context.Context) {
	defer s.closeAll()
	for {
		r, ok := s.queue.take()
		if !ok {
			return
		}
		if ctx.Err() != nil {
			continue
		}
		s.handle(ctx, r)
	}
}

func (s *session) closeAll() {
	for i := range s.links {
		s.drop(&s.links[i])
	}
}

func (s *session) drop(l *link) {
	if l.open {
		l.conn.Close()
		l.open = false
	}
}

// handle runs one request and counts it.
func (s *session) handle(ctx context.Context, r request) {
	e := Event{Class: r.class, Session: s.id, Intended: r.intended}
	if !time.Now().Before(r.intended.Add(s.g.Timeout)) {
		e.Outcome, e.End = Missed, time.Now()
		s.finish(e)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.intended.Add(s.g.Timeout+s.g.Patience))
	defer cancel()
	l := s.pick()
	e.Addr = l.addr
	sent := time.Now()
	if !s.connect(ctx, l) {
		e.Outcome, e.Code = NotRun, codeNoConnect
	} else if r.class == Booking {
		e.Outcome, e.Code = s.book(ctx, l, r)
	} else {
		e.Outcome, e.Code = s.look(ctx, l, r)
	}
	e.End = time.Now()
	s.tally.service(r.class, e.End.Sub(sent))
	s.finish(e)
}

func (s *session) finish(e Event) {
	s.tally.add(e, !e.End.After(e.Intended.Add(s.g.Timeout)))
	if s.g.Done != nil {
		s.g.Done(e)
	}
}

// pick chooses the connection for the next request, and moves if it is time.
func (s *session) pick() *link {
	s.sent++
	if s.g.Moves == Move && s.sent%s.g.Every == 0 {
		l := &s.links[0]
		s.drop(l)
		l.addr = s.address()
		s.tally.moved()
	}
	return &s.links[s.sent%len(s.links)]
}

// connect opens the link if need be. An address that refuses is left for the
// next one.
func (s *session) connect(ctx context.Context, l *link) bool {
	if l.open && !l.conn.Alive() {
		s.drop(l)
	}
	for range s.g.Addrs {
		if l.open {
			return true
		}
		conn, err := s.g.Connect(ctx, l.addr, s.id)
		if err == nil {
			l.conn, l.open = conn, true
			s.tally.connected()
			return true
		}
		s.tally.refused()
		l.addr = s.address()
		if ctx.Err() != nil {
			return false
		}
	}
	return l.open
}

// sort tells what an error means for its request, and drops a connection that is
// over.
func (s *session) sort(ctx context.Context, l *link, err error) (Outcome, string) {
	if err == nil {
		return Done, ""
	}
	if !l.conn.Alive() {
		defer s.drop(l)
	}
	var answer *pgconn.PgError
	switch {
	case errors.As(err, &answer):
		if ended(answer.Code) {
			s.g.Ledger.Cut(l.addr.String())
		}
		return fromCode(answer.Code), answer.Code
	case pgconn.SafeToRetry(err):
		// The proxy closed the connection between two requests.
		return NotRun, codeNoConnect
	case ctx.Err() != nil:
		return Unknown, codeLate
	default:
		s.g.Ledger.Cut(l.addr.String())
		return Unknown, codeNoAnswer
	}
}

func fromCode(code string) Outcome {
	switch {
	case strings.HasPrefix(code, classConnection), ended(code):
		return Unknown
	case strings.HasPrefix(code, classNotRun):
		return NotRun
	default:
		return Failed
	}
}

// ended reports whether the code ends a connection without a word on the request
// that was in flight.
func ended(code string) bool { return code == codeShutdown || code == codeCrash }

// known turns the caller's outcome of a booking into the ledger's.
func known(o Outcome, code string) checker.Outcome {
	switch {
	case o == Done:
		return checker.Done
	case code == codeUnique:
		return checker.Repeated
	case o == Unknown:
		return checker.Unknown
	default:
		return checker.NotRun
	}
}
