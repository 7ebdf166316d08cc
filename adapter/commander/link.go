package commander

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

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

	mu     sync.Mutex
	closed bool
	stop   context.CancelFunc // ends the command that runs now
	wanted map[*waiter]struct{}
	asking bool // somebody asks for all in wanted
}

func newLink(connect func(context.Context) (*pgconn.PgConn, error)) *link {
	return &link{
		connect: connect,
		turn:    make(chan struct{}, 1),
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
