package server

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

const book = "INSERT INTO seats (id, holder) VALUES (1, 'Karen')"

func hint(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Hint
	}
	return ""
}

// Symptom: a seat is sold twice. Sequence: the upstream commits a sale and its
// connection breaks before the answer; the proxy sends the sale again. Cause: a
// lost answer doesn't say whether the statement ran; only "unknown" is true.
func TestLostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, nil)
	c := f.connect(t, "")
	f.group.Upstreams[0].LoseAnswers(1)
	_, err := c.Exec(t.Context(), book)
	is.Equal(code(err), "08007")
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 1)
	is.Equal(f.group.Upstreams[0].Counts().Writes, int64(1))
	is.NoErr(c.Ping(t.Context())) // the session goes on
}

// Symptom: a caller is told "not run" and the booking exists. Sequence: as
// above, but the primary can be asked. Cause: only the primary's own word for
// the request's ID may turn unknown into not run or done.
func TestLostAnswerIsSettled(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer retrier.Settlement
		code   string
		writes int64
	}{
		{"done", retrier.SettledDone, "08007", 1},
		{"not run", retrier.SettledNotRun, "23505", 2}, // sent again: the stand-in had run it
		{"no answer", retrier.SettleFailed, "08007", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var asked atomic.Int64
			f := start(t, upstream.Options{Size: 1}, func(s *Server) {
				s.Control.Settle = func(_ context.Context, group, id string, _ *relayer.Request) retrier.Settlement {
					if group == "billet" && id != "" {
						asked.Add(1)
					}
					return tt.answer
				}
			})
			c := f.connect(t, "")
			f.group.Upstreams[0].LoseAnswers(1)
			_, err := c.Exec(t.Context(), book)
			is.Equal(code(err), tt.code)
			is.True(asked.Load() > 0)
			is.Equal(f.group.Upstreams[0].Counts().Writes, tt.writes)
		})
	}
}

func TestUnreachableUpstreamIsNotRun(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, nil)
	c := f.connect(t, "")
	f.group.Upstreams[0].Crash()
	_, err := c.Exec(t.Context(), book)
	is.Equal(code(err), "BD100")
	is.True(strings.HasPrefix(hint(err), "retry after "))
	f.group.Upstreams[0].Restore()
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 0)
	_, err = c.Exec(t.Context(), book)
	is.NoErr(err)
}

// Symptom: a booking is told "unknown" for no need. Sequence: an upstream closes
// idle connections, a statement is sent into one. Cause: a dead connection is
// only noticed by looking before it is used.
func TestDeadIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Warm = 4 })
	c := f.connect(t, "")
	f.group.Upstreams[0].Crash()
	f.group.Upstreams[0].Restore()
	_, err := c.Exec(t.Context(), book)
	is.NoErr(err)
}

// Symptom: half of a transaction is done. Sequence: the connection is lost
// between two statements and later ones run on another connection. Cause: the
// rest of a lost transaction must fail until the caller has ended it.
func TestLostTransactionIsNotRun(t *testing.T) {
	for _, end := range []string{"COMMIT", "ROLLBACK"} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			f := start(t, upstream.Options{Size: 1}, nil)
			c := f.connect(t, "")
			run := func(sql string, mode pgx.QueryExecMode) error {
				_, err := c.Exec(t.Context(), sql, mode)
				return err
			}
			is.NoErr(run("BEGIN", pgx.QueryExecModeSimpleProtocol))
			is.NoErr(run(book, pgx.QueryExecModeDescribeExec))
			f.group.Upstreams[0].Crash()
			f.group.Upstreams[0].Restore()
			is.Equal(code(run("INSERT INTO seats (id) VALUES (2)", pgx.QueryExecModeSimpleProtocol)), "BD100")
			is.Equal(code(run("INSERT INTO seats (id) VALUES (3)", pgx.QueryExecModeSimpleProtocol)), "25P02")
			is.Equal(code(run("INSERT INTO seats (id) VALUES (4)", pgx.QueryExecModeDescribeExec)), "25P02")
			tag, err := c.Exec(t.Context(), end)
			is.NoErr(err)
			is.Equal(tag.String(), "ROLLBACK")
			is.Equal(c.PgConn().TxStatus(), byte('I'))
			is.NoErr(run(book, pgx.QueryExecModeSimpleProtocol))
			is.Equal(len(f.group.Upstreams[0].Rows("seats")), 1)
		})
	}
}

// Symptom: a caller reads another one's rows. Sequence: a statement's time is
// over, its upstream answers later, the connection has a new owner by then.
// Cause: an answer carries no name; a connection whose answer was given up must
// not be used again.
func TestLateAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	a, b := f.connect(t, "basildale.deadline=1s"), f.connect(t, "")
	_, err := b.Exec(t.Context(), "SELECT 41")
	is.NoErr(err)
	f.group.Upstreams[0].Freeze()
	_, err = a.Exec(t.Context(), book)
	is.Equal(code(err), "08007")
	f.group.Upstreams[0].Thaw()
	var n int
	is.NoErr(b.QueryRow(t.Context(), "SELECT 42", pgx.QueryExecModeSimpleProtocol).Scan(&n))
	is.Equal(n, 42)
	is.NoErr(a.QueryRow(t.Context(), "SELECT 43", pgx.QueryExecModeSimpleProtocol).Scan(&n))
	is.Equal(n, 43)
}

// Symptom: a caller waits for ever. Sequence: all connections are in use, the
// deadline passes. Cause: waiting must end by the statement's own deadline.
func TestNoConnectionBeforeDeadline(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	a, b := f.connect(t, ""), f.connect(t, "basildale.deadline=1s")
	_, err := a.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = b.Exec(t.Context(), book)
	is.Equal(code(err), "BD101")
	_, err = a.Exec(t.Context(), "ROLLBACK")
	is.NoErr(err)
	_, err = b.Exec(t.Context(), book)
	is.NoErr(err)
}

// Symptom: a booking is acknowledged and then lost. Sequence: the primary
// commits it and fails before a replica has it. Cause: the answer must wait for
// a replica's confirmation, and an unconfirmed one must not go out.
func TestAnswerWaitsForConfirmation(t *testing.T) {
	is := is.New(t)
	confirmed := retrier.Outcome{Kind: retrier.Done}
	var marks []tracker.Mark
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Control.Confirm = func(_ context.Context, _ relayer.Target, m tracker.Mark, _ *relayer.Request) retrier.Outcome {
			marks = append(marks, m)
			return confirmed
		}
	})
	c := f.connect(t, "")
	_, err := c.Exec(t.Context(), book)
	is.NoErr(err)
	confirmed = retrier.Outcome{Kind: retrier.Unknown, Cause: retrier.Unconfirmed}
	_, err = c.Exec(t.Context(), "INSERT INTO seats (id) VALUES ($1)", 2)
	is.Equal(code(err), "08007")
	tx, err := c.Begin(t.Context())
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), "INSERT INTO seats (id) VALUES (3)")
	is.NoErr(err)
	is.Equal(code(tx.Commit(t.Context())), "08007")
	is.Equal(len(marks), 3)
	is.True(marks[0].Less(marks[1]))
	is.NoErr(c.Ping(t.Context()))
}

// Symptom: an upstream does nothing and yet no connection to it is free. Sequence:
// many writes wait for their confirmation. Cause: a transaction that is over
// needs its connection no more.
func TestConfirmationHoldsNoConnection(t *testing.T) {
	is := is.New(t)
	waiting, confirm := make(chan struct{}), make(chan struct{})
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections = 1
		s.Control.Confirm = func(context.Context, relayer.Target, tracker.Mark, *relayer.Request) retrier.Outcome {
			close(waiting)
			<-confirm
			return retrier.Outcome{Kind: retrier.Done}
		}
	})
	c, other := f.connect(t, ""), f.connect(t, "")
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), book)
		done <- err
	}()
	<-waiting
	_, err := other.Exec(t.Context(), "SELECT 1")
	is.NoErr(err)
	is.Equal(len(done), 0)
	close(confirm)
	is.NoErr(<-done)
}

// Symptom: reads fail although copies of the data are well. Sequence: a replica
// breaks while it answers a read. Cause: a read may run again elsewhere.
func TestReadRunsAgainElsewhere(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 3}, func(s *Server) { s.Groups[0].Warm = 1 })
	c := f.connect(t, "")
	f.group.Upstreams[1].Crash()
	for range 4 {
		var n int
		is.NoErr(c.QueryRow(t.Context(), "SELECT 42").Scan(&n))
	}
}

// A write that its text hides from the classifier reaches a replica, which
// refuses it; the primary then runs it.
func TestReadOnlyRefusalGoesToThePrimary(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 2}, func(s *Server) {
		s.Control.Route = func(_ context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
			list := s.Groups[0].Upstreams
			return relayer.Target{Group: "billet", Address: list[(r.Attempt+1)%2], Primary: r.Attempt == 1}, nil
		}
	})
	c := f.connect(t, "")
	for id, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		_, err := c.Exec(t.Context(), "INSERT INTO seats (id) VALUES ($1)", mode, id)
		is.NoErr(err)
	}
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 2)
}

// Symptom: a booking fails by "read only" after a change of the primary.
// Sequence: a proxy that has not heard of the change sends it to the old primary,
// which is a replica now. Cause: the refusal was taken for that of a transaction
// that the caller had made read only.
func TestReplacedPrimaryThatIsAReplicaIsNoAnswer(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 2}, func(s *Server) {
		s.Control.Route = func(_ context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
			list := s.Groups[0].Upstreams
			return relayer.Target{Group: "billet", Address: list[(r.Attempt+1)%2], Primary: true}, nil
		}
	})
	c := f.connect(t, "")
	for id, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		_, err := c.Exec(t.Context(), "INSERT INTO seats (id) VALUES ($1)", mode, id)
		is.NoErr(err)
	}
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 2)
	_, err := c.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = c.Exec(t.Context(), book)
	is.Equal(code(err), "25006") // inside a transaction the caller may have asked for it
}

// Symptom: an upstream has no free connection although it has nothing to do.
// Sequence: a caller opens a transaction and forgets it. Cause: a transaction
// keeps its connection, so it may not rest for ever.
func TestForgottenTransactionEnds(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections = 1
		s.Limits.Idle = 20 * time.Millisecond
	})
	c, other := f.connect(t, ""), f.connect(t, "")
	_, err := c.Exec(t.Context(), "BEGIN; "+book)
	is.NoErr(err)
	_, err = other.Exec(t.Context(), "SELECT 1") // waits until it is over
	is.NoErr(err)
	_, err = c.PgConn().ReceiveMessage(t.Context())
	is.Equal(code(err), "25P03")
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 0)
}
