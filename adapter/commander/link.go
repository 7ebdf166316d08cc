package commander

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"basildale.example/basildale/tracker"
)

// slice is the longest that one query waits for a mark. A fence may have to wait
// for it, so it is short beside the time in which a primary is replaced.
const slice = 50 * time.Millisecond

// slack is how long before the context's deadline a wait's query ends, so that
// its answer arrives and the connection can be used again.
const slack = 10 * time.Millisecond

// SQLSTATEs of the contract.
const (
	codeStaleTerm = "BD001"
	codeWrongTerm = "BD002"
	codeReadOnly  = "25006"
)

// link is the control connection to one upstream.
type link struct {
	connect func(context.Context) (*pgconn.PgConn, error)
	// turn is held by whoever uses the connection. Channel operations are served
	// in order, so nobody is overtaken for ever.
	turn chan struct{}
	conn *pgconn.PgConn // guarded by turn
	// lead is held by the one waiter that asks for all. Without it a command would
	// stand in line behind every waiter, a slice each: a fence came seconds late.
	lead chan struct{}

	mu     sync.Mutex
	closed bool
	stop   context.CancelFunc // ends the command that runs now
	wanted map[*waiter]struct{}
}

// waiter wants to know when the upstream's log has reached a mark.
type waiter struct {
	mark   tracker.Mark
	answer chan Answer
}

func newLink(connect func(context.Context) (*pgconn.PgConn, error)) *link {
	return &link{
		connect: connect,
		turn:    make(chan struct{}, 1),
		lead:    make(chan struct{}, 1),
		wanted:  make(map[*waiter]struct{}),
	}
}

// command sends one query and returns its only row.
func (l *link) command(ctx context.Context, sql string) ([][]byte, error) {
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, unsent(ctx)
	}
	defer func() { <-l.turn }()
	return l.send(ctx, sql)
}

func unsent(ctx context.Context) error {
	return errors.Mark(errors.Wrap(ctx.Err(), "commander: waiting for the connection"), ErrUnreachable)
}

// send is called by the holder of the turn.
func (l *link) send(ctx context.Context, sql string) ([][]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.begin(cancel) {
		if l.conn != nil {
			l.hangup()
		}
		return nil, errors.Wrap(ErrUnreachable, "closed")
	}
	reused := l.conn != nil
	row, err := l.try(ctx, sql)
	// An idle connection that the upstream has closed looks like a lost answer.
	// Commands are idempotent, so a new connection tells.
	if reused && l.conn == nil && ctx.Err() == nil {
		row, err = l.try(ctx, sql)
	}
	if l.end() && l.conn != nil {
		l.hangup()
	}
	return row, err
}

func (l *link) begin(stop context.CancelFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.stop = stop
	return true
}

// end reports whether the link has been closed in the meantime.
func (l *link) end() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stop = nil
	return l.closed
}

func (l *link) try(ctx context.Context, sql string) ([][]byte, error) {
	if l.conn == nil {
		conn, err := l.connect(ctx)
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "commander: connect"), ErrUnreachable)
		}
		l.conn = conn
	}
	results, err := l.conn.Exec(ctx, sql).ReadAll()
	var refused *pgconn.PgError
	switch {
	case err == nil && len(results) == 1 && len(results[0].Rows) == 1:
		return results[0].Rows[0], nil
	case err == nil:
		return nil, errors.Wrap(ErrAnswer, "not one row")
	case errors.As(err, &refused) && !l.conn.IsClosed():
		return nil, refusal(refused)
	}
	// What is left of the answer may still come: the connection is not used again.
	l.hangup()
	if pgconn.SafeToRetry(err) {
		return nil, errors.Mark(errors.Wrap(err, "commander: send"), ErrUnreachable)
	}
	return nil, errors.Mark(errors.Wrap(err, "commander: receive"), ErrLost)
}

func refusal(err *pgconn.PgError) error {
	switch err.Code {
	case codeStaleTerm:
		return errors.Wrap(ErrStale, err.Message)
	case codeWrongTerm, codeReadOnly:
		return errors.Wrap(ErrNotPrimary, err.Message)
	default:
		return errors.Mark(errors.Wrap(err, "commander"), ErrAnswer)
	}
}

// hangup drops the connection without a farewell that could block.
func (l *link) hangup() {
	l.conn.Conn().Close()
	l.conn = nil
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	stop := l.stop
	l.mu.Unlock()
	if stop != nil {
		stop()
		return
	}
	select {
	case l.turn <- struct{}{}:
		if l.conn != nil {
			l.hangup()
		}
		<-l.turn
	default:
		// Whoever holds the turn sees closed before it sends, or after it.
	}
}

func (l *link) wait(ctx context.Context, mark tracker.Mark, until time.Time) (Answer, error) {
	w := &waiter{mark: mark, answer: make(chan Answer, 1)}
	l.want(w)
	defer l.unwant(w)
	for {
		select {
		case a := <-w.answer:
			return a, nil
		case l.lead <- struct{}{}:
		case <-ctx.Done():
			return Answer{}, unsent(ctx)
		}
		a, err := l.round(ctx, w, until)
		<-l.lead
		if err != nil || !a.Mark.Less(mark) || !time.Now().Before(until) {
			return a, err
		}
	}
}

// round is one turn of the waiter that leads.
func (l *link) round(ctx context.Context, w *waiter, until time.Time) (Answer, error) {
	select {
	case a := <-w.answer:
		return a, nil
	default:
	}
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return Answer{}, unsent(ctx)
	}
	defer func() { <-l.turn }()
	return l.ask(ctx, until)
}

// ask waits in the upstream for the lowest mark wanted, for one slice at most,
// and hands the answer to all whose mark is reached.
func (l *link) ask(ctx context.Context, until time.Time) (Answer, error) {
	span := min(time.Until(until), slice)
	if deadline, ok := ctx.Deadline(); ok {
		span = min(span, time.Until(deadline)-slack)
	}
	ms := strconv.FormatInt(max(span.Milliseconds(), 0), 10)
	row, err := l.send(ctx, "SELECT * FROM basildale_wait('"+l.lowest().String()+"', '"+ms+"')")
	if err != nil {
		return Answer{}, err
	}
	a, err := parseAnswer(row)
	if err == nil {
		l.publish(a)
	}
	return a, err
}

func (l *link) want(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted[w] = struct{}{}
}

func (l *link) unwant(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.wanted, w)
}

// lowest is called by a waiter, so there is at least one.
func (l *link) lowest() tracker.Mark {
	l.mu.Lock()
	defer l.mu.Unlock()
	var low tracker.Mark
	first := true
	for w := range l.wanted {
		if first || w.mark.Less(low) {
			low, first = w.mark, false
		}
	}
	return low
}

func (l *link) publish(a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for w := range l.wanted {
		if !a.Mark.Less(w.mark) {
			w.answer <- a
			delete(l.wanted, w)
		}
	}
}
