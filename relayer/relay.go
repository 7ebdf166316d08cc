package relayer

import (
	"context"
	"crypto/tls"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

// Caller is a caller's connection.
type Caller interface {
	// Read returns what has arrived without waiting; less than asked for means
	// that there is no more now, 0 and no error that there is nothing.
	Read(p []byte) (int, error)
	// Write sends all of p; it waits while the caller doesn't read.
	Write(p []byte) (int, error)
	// Flush waits until all that was written has left, or until the deadline.
	Flush(deadline time.Time)
	// CloseWrite closes this side after what was written. Reading goes on.
	CloseWrite() error
	// Close ends the connection and drops what is unsent.
	Close() error
	// Remote returns the caller's address.
	Remote() netip.AddrPort
}

// Account is who a session belongs to, as its startup named it.
type Account struct {
	// Tenant and Caller name the customer and its declared caller.
	Tenant string
	Caller string
	// Group is the database group that the session works on.
	Group string
	// Verifier checks the password; the zero value lets anybody in.
	Verifier Verifier
}

// Request is what is known of a unit when a place for it is sought. It lives
// until the unit is done.
type Request struct {
	Account *Account
	// Statement is what the unit's text does; for several texts, all of them.
	Statement classifier.Statement
	// Text is the unit's SQL text, the first one of an extended batch.
	Text []byte
	// Notes are the session's annotations, Terms what holds by them and by the
	// configuration.
	Notes *Notes
	Terms Terms
	// Arrived and Deadline bound the unit.
	Arrived  time.Time
	Deadline time.Time
	// Attempt counts the attempts before this one.
	Attempt int
	// Avoid is an upstream that has just failed the unit; the zero value is none.
	Avoid netip.AddrPort
	// Remote is the caller's address.
	Remote netip.AddrPort
}

// Read reports whether the unit provably changes nothing.
func (r *Request) Read() bool { return r.Statement.Kind == classifier.Read }

// Target is the upstream that a unit goes to.
type Target struct {
	Group   string
	Address netip.AddrPort
	// Term is set for a primary: its writes run only in this term.
	Term tracker.Term
	// Primary says that writes may go there.
	Primary bool
	// Token and Ticket are the router's own: when the unit got its place, and the
	// slot to give back.
	Token  uint64
	Ticket uint64
}

// Refusal says why a unit is not run.
type Refusal struct {
	Outcome retrier.Outcome
	// Message is one short sentence for the caller.
	Message string
}

// Limits bound what a session holds. Zero fields take the defaults.
type Limits struct {
	// Message is the greatest message of a caller in bytes; 0 means 16 MiB.
	Message int
	// Batch is how many bytes of an extended batch are taken before its Sync;
	// what is beyond is sent in parts. 0 means 64 KiB.
	Batch int
	// Statements is how many prepared statements a session may keep; 0 means 1024.
	Statements int
	// Unit bounds a unit without a deadline of its own; 0 means one minute.
	Unit time.Duration
	// Idle bounds how long an open transaction may wait for its caller's next
	// statement; 0 means one minute.
	Idle time.Duration
	// Login bounds the time until a session is authenticated; 0 means 10 s.
	Login time.Duration
	// Strangers is how many sessions may be in their startup at once; 0 means 1024.
	Strangers int
	// Callers is how many sessions there may be; 0 means no bound.
	Callers int
}

// Relay is what all sessions of a proxy share. Set the exported fields before
// the first session.
type Relay struct {
	// Index is the proxy's number in the fleet, below 4096. It is a part of each
	// cancel key, so that any proxy knows whose statement a request is for.
	Index uint16
	// Login finds the account of a user and database. False refuses the session.
	Login func(user, database string) (Account, bool)
	// Terms returns what the configuration in force says of an account's
	// statements; nil means that it says nothing.
	Terms func(a *Account) Terms
	// Route chooses the upstream for a unit, or refuses it. It may wait until
	// the unit's deadline.
	Route func(ctx context.Context, r *Request) (Target, *Refusal)
	// Acquire takes a connection to the target for one transaction.
	Acquire func(ctx context.Context, t Target, r *Request) (*Upstream, *Refusal)
	// Yield is told that a transaction now waits for its caller: the target keeps
	// its connection and gives up its place among what the upstream runs. Nil
	// means that nobody counts places.
	Yield func(t *Target)
	// Release gives a connection back; healthy is false when it has been closed.
	Release func(t Target, u *Upstream, healthy bool)
	// Confirm waits until a replica holds the mark of a write and the term still
	// stands. Nil confirms at once. Only Done lets the caller know of the write.
	Confirm func(ctx context.Context, t Target, mark tracker.Mark, r *Request) retrier.Outcome
	// Observe is told each attempt's outcome; nil means nobody is.
	Observe func(t Target, r *Request, o retrier.Outcome)
	// Decide says what follows on an attempt; nil never tries again.
	Decide func(group string, r *retrier.Request, o retrier.Outcome) retrier.Decision
	// Settle asks the primary what became of a request ID. It may say done only
	// when a replica has confirmed the mark. Nil leaves lost writes unknown.
	Settle func(ctx context.Context, group, id string, r *Request) retrier.Settlement
	// Settled says what follows on a settling step.
	Settled func(group string, r *retrier.Request, s retrier.Settlement) retrier.Decision
	// ForwardCancel hands a cancel request to the proxy with that index.
	ForwardCancel func(index uint16, key Key)
	// TLS serves callers that ask for it; nil answers that there is none.
	TLS *tls.Config
	// Limits bound each session.
	Limits Limits
	// Log gets the sessions' lines; nil means none.
	Log *zap.Logger

	once     sync.Once
	pool     buffers
	units    sync.Pool
	counting atomic.Bool // finished requests are counted
	ended    atomic.Int64
	finished atomic.Int64
	sessions registry
	ids      identities
	ctx      context.Context //nolint:containedctx // ends with the relay, not with one call
	cancel   context.CancelFunc
}

// Open makes the session of a new caller connection. It returns nil when too
// many sessions are in their startup or the relay has stopped.
func (r *Relay) Open(c Caller) *Session {
	r.once.Do(r.prepare)
	s := &Session{relay: r, caller: c}
	s.body = s.run
	s.timer = time.AfterFunc(r.Limits.Login, func() { s.overdue(c) })
	if !r.sessions.add(s, &r.Limits) {
		s.timer.Stop()
		return nil
	}
	return s
}

// Farewell is what a connection is sent that Open refuses.
func Farewell() []byte {
	f := fault{severity: "FATAL", code: codeTooMany, message: "too many connections", hint: "Connect again later."}
	return f.append(nil)
}

func (r *Relay) prepare() {
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if r.Log == nil {
		r.Log = zap.NewNop()
	}
	r.Limits.defaults()
	r.ids.start()
}

func (l *Limits) defaults() {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&l.Message, 16<<20)
	def(&l.Batch, 64<<10)
	def(&l.Statements, 1024)
	def(&l.Strangers, 1024)
	if l.Unit == 0 {
		l.Unit = time.Minute
	}
	if l.Idle == 0 {
		l.Idle = time.Minute
	}
	if l.Login == 0 {
		l.Login = 10 * time.Second
	}
}
