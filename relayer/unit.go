package relayer

import (
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/classifier"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

// unit is a piece of work that is carried out whole: a simple query, or the
// messages of an extended batch up to its Sync or Flush.
type unit struct {
	simple  bool
	sync    bool   // its answer ends with ReadyForQuery
	raw     []byte // a simple query's message
	items   []item // an extended batch's messages
	request Request
	retry   retrier.Request
	text    []byte // a simple query's statements, if a scope follows them
	sql     []byte // a simple query's text
	message string // why it was refused
	final   bool   // the outcome stands: nothing more can be tried
	lasting bool   // as of a statement
	commits bool   // may end a transaction for good, so a lost answer is in doubt

	// Of the attempt under way.
	flight  []byte
	ops     []op
	head    int  // index of the op whose answer is next
	swallow int  // ReadyForQuery messages of the proxy's own statements to come
	placed  bool // it had a connection
	began   bool // in a transaction already when it was sent
	mark    tracker.Mark
	follows []byte // what is left of text
	refused retrier.Outcome
	told    bool // refused is set: the upstream's error proves that it has not run
	failed  bool // the upstream answered with an error

	completed int // statements of a simple query whose end has arrived

	broken    error // ends the session: the upstream refused its settings
	undecided scope // of a transaction whose connection was lost
}

// maxKept bounds the working space that a unit keeps for the next one, in bytes.
const maxKept = 64 << 10

// newUnit takes a unit out of the store. freeUnit gives it back.
func (r *Relay) newUnit() *unit {
	if u, ok := r.units.Get().(*unit); ok {
		return u
	}
	return &unit{}
}

func (r *Relay) freeUnit(u *unit) {
	clear(u.items)
	clear(u.ops)
	kept := unit{items: u.items[:0], ops: u.ops[:0], flight: u.flight[:0]}
	if cap(u.flight) > maxKept || cap(u.items) > maxKept/64 {
		return
	}
	*u = kept
	r.units.Put(u)
}

// open prepares a unit that has just arrived.
func (s *Session) open(u *unit, st classifier.Statement) {
	now := time.Now()
	terms := s.terms()
	u.request = Request{
		Account:   &s.account,
		Statement: st,
		Notes:     &s.notes,
		Terms:     terms,
		Arrived:   now,
		Deadline:  now.Add(terms.Budget),
		Remote:    s.caller.Remote(),
	}
	read := st.Kind == classifier.Read
	u.commits = !read && (s.tx == txIdle || st.Kinds.Has(classifier.Commit) || st.Count > 1)
	u.retry = retrier.Request{
		Statement: retrier.Statement{
			Read:       read,
			Repeatable: terms.Repeat,
			Booking:    terms.Class == Booking,
			Named:      !read && s.relay.Settle != nil,
		},
		Latest:   u.request.Deadline,
		Deadline: u.request.Deadline,
		Seed:     uint64(now.UnixNano()),
	}
}

// perform carries a unit out, however many attempts it takes. An error ends the
// session.
func (s *Session) perform(u *unit) error {
	for {
		u.retry.Statement.Bound = s.up != nil
		outcome, err := s.attempt(u)
		if err != nil {
			return err
		}
		if s.relay.Observe != nil && u.placed {
			s.relay.Observe(s.to, &u.request, outcome)
		}
		if outcome.Kind == retrier.Done {
			if s.relay.counting.Load() {
				s.relay.finished.Add(1)
			}
			return s.succeed(u)
		}
		again, err := s.follow(u, outcome)
		if !again || err != nil {
			return err
		}
	}
}

// errGone ends a session whose caller has gone.
var errGone = errors.New("relayer: the caller has gone")

// attempt sends a unit once and gathers its answer.
func (s *Session) attempt(u *unit) (retrier.Outcome, error) {
	bound := s.up != nil
	u.placed = bound
	if !u.placed {
		if refusal := s.place(u); refusal != nil {
			u.message = refusal.Message
			return refusal.Outcome, nil
		}
		if s.gone.Load() {
			// The caller gave up while it waited for its place. Nobody would
			// get the answer; a booking made now would surprise its caller.
			s.releaseUpstream()
			return retrier.Outcome{}, errGone
		}
	}
	u.placed = true
	u.began = s.tx != txIdle
	u.mark, u.follows, u.told, u.failed = tracker.Mark{}, u.text, false, false
	u.completed = 0
	s.streamed, s.cutOff = false, false
	s.up.bound(u.request.Deadline, s.slack(u))
	s.answering = true
	// What has arrived already would be taken for the answer to this unit.
	if bound && !s.up.Alive() {
		return s.lost(u, true), nil
	}
	if !s.adapt(u) {
		return u.refused, u.broken
	}
	s.prelude(u)
	s.load(u)
	sent, err := s.up.Ask(u.flight)
	if err != nil {
		return s.lost(u, sent == 0), nil //nolint:nilerr // the loss is an outcome
	}
	return s.answer(u)
}

// slack is how much earlier than a unit's deadline its connection may give up.
// Setting a deadline for each statement costs more than decoding it, so one
// that nobody has stated is only set now and then.
func (s *Session) slack(u *unit) time.Duration {
	if u.request.Terms.Budget < s.relay.Limits.Unit {
		return 0
	}
	return s.relay.Limits.Unit / 4
}

// place finds a connection for a unit.
func (s *Session) place(u *unit) *Refusal {
	target, refusal := s.relay.Route(s.relay.ctx, &u.request)
	if refusal != nil {
		return refusal
	}
	up, refusal := s.relay.Acquire(s.relay.ctx, target, &u.request)
	if refusal != nil {
		return refusal
	}
	s.up, s.to = up, target
	s.target.Store(up)
	s.request = ""
	return nil
}

// prelude begins the attempt's flight with the proxy's own statements: the term
// and request ID of a write. They go out with the unit and cost no round trip.
func (s *Session) prelude(u *unit) {
	u.flight, u.swallow = u.flight[:0], 0
	if s.tx != txIdle || s.batch {
		return
	}
	start := len(u.flight)
	u.flight = append(u.flight, 'Q', 0, 0, 0, 0)
	text := len(u.flight)
	if s.to.Primary && !u.request.Read() {
		s.name(u)
	}
	if len(u.flight) == text {
		u.flight = u.flight[:start]
		return
	}
	u.flight = append(u.flight, 0)
	putLength(u.flight, start)
	u.swallow = 1
	s.up.unnamed = body{} // a simple query drops the unnamed statement
}

// name appends the term, unless the connection has it, and a request ID.
func (s *Session) name(u *unit) {
	if s.up.term != s.to.Term && s.to.Term != (tracker.Term{}) {
		s.up.term = s.to.Term
		u.flight = append(u.flight, "SET basildale.term='"...)
		u.flight = append(u.flight, s.to.Term.String()...)
		u.flight = append(u.flight, "';"...)
	}
	s.request = s.relay.ids.take()
	u.flight = append(u.flight, "SET basildale.request='"...)
	u.flight = append(u.flight, s.request...)
	u.flight = append(u.flight, "';"...)
}

// load appends the unit's own messages to the flight.
func (s *Session) load(u *unit) {
	if u.simple {
		if u.lasting {
			s.up.spoiled.Store(true)
		}
		u.flight = append(u.flight, u.raw...)
		s.up.unnamed = body{} // as in prelude
		return
	}
	s.loadBatch(u)
}

// succeed lets the answer of a finished unit go out. The connection is given
// back first: a caller that reads slowly would keep it from others.
func (s *Session) succeed(u *unit) error {
	s.batch = !u.sync
	s.skipping = u.failed && !u.sync
	switch {
	case u.sync && s.tx == txIdle:
		s.releaseUpstream()
	case u.sync && s.relay.Yield != nil && s.up != nil:
		s.relay.Yield(&s.to)
	}
	return s.flush()
}

// lost gives up the upstream connection of an attempt. unsent means that the
// upstream has seen nothing of it.
func (s *Session) lost(u *unit, unsent bool) retrier.Outcome {
	if !unsent && !time.Now().Before(u.request.Deadline.Add(-s.slack(u))) {
		s.stopStatement()
	}
	u.undecided = s.scope
	s.discardUpstream()
	switch {
	case unsent:
		return retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.NeverSent}
	case u.began && !u.commits:
		// Its transaction has seen no COMMIT and its connection is closed, so
		// that nothing of it can take effect any more.
		return retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.Aborted}
	default:
		return retrier.Outcome{Kind: retrier.Unknown, Cause: retrier.Lost}
	}
}

// stopStatement asks the upstream to cancel a statement whose time is over. An
// upstream doesn't look at its connection while a statement runs: without the
// request, work that nobody waits for would keep one of its few slots.
func (s *Session) stopStatement() {
	address, key := s.up.Address(), s.up.Key
	go func() { _ = dialer.Cancel(s.relay.ctx, address, key) }()
}
