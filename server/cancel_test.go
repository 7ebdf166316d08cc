package server

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"basildale.example/basildale/framer"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// cancelAt sends a cancel request for c's session to a proxy, and returns when
// the proxy has closed the request's connection.
func cancelAt(t *testing.T, s *Server, c *pgx.Conn) {
	nc, err := net.Dial("tcp", s.Bound().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, framer.CodeCancel)
	b = binary.BigEndian.AppendUint32(b, c.PgConn().PID())
	b = append(b, c.PgConn().SecretKey()...)
	_, _ = nc.Write(b)
	_, _ = nc.Read(b[:1])
}

// slow makes each statement take longer than any test, until it is cancelled.
var slow = upstream.Options{Size: 1, Service: time.Hour, Setup: seats}

// TestCancel cancels one of two running statements, through the own proxy and
// through another one.
func TestCancel(t *testing.T) {
	for _, through := range []string{"own", "other"} {
		t.Run(through, func(t *testing.T) {
			is := is.New(t)
			f := start(t, slow, func(s *Server) { s.Index = 7 })
			other := start(t, upstream.Options{Size: 1}, func(s *Server) {
				s.Control.ForwardCancel = func(index uint16, key relayer.Key) {
					if index == 7 {
						f.server.Cancel(key)
					}
				}
			})
			at := f.server
			if through == "other" {
				at = other.server
			}
			a, b := f.connect(t, ""), f.connect(t, "")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var done [2]chan error
			for i, c := range []*pgx.Conn{a, b} {
				done[i] = make(chan error, 1)
				go func() {
					_, err := c.Exec(ctx, book)
					done[i] <- err
				}()
			}
			err := cancelUntil(t, at, a, done[0])
			is.Equal(code(err), "57014")
			is.Equal(len(done[1]), 0) // the other one runs on
			cancel()
			is.True(<-done[1] != nil)
		})
	}
}

// cancelUntil sends cancel requests until the statement has ended: one that
// comes before the statement has begun cancels nothing, as the protocol has it.
func cancelUntil(t *testing.T, s *Server, c *pgx.Conn, done chan error) error {
	for {
		cancelAt(t, s, c)
		select {
		case err := <-done:
			return err
		default:
		}
	}
}

// Symptom: a statement is cancelled that nobody wanted to cancel. Sequence: a
// cancel request reaches the upstream when its statement has ended and the
// connection has a new owner. Cause: the upstream knows connections, not callers.
func TestCancelHitsNobodyElse(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	a, b := f.connect(t, ""), f.connect(t, "")
	var all sync.WaitGroup
	stop := make(chan struct{})
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				cancelAt(t, f.server, a)
			}
		}
	})
	for range 50 {
		_, err := a.Exec(t.Context(), "SELECT 1")
		is.True(err == nil || code(err) == "57014")
		_, err = b.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}
	close(stop)
	all.Wait()
}

// Symptom: a request is cut in half by a planned stop. Sequence: the process is
// told to stop while callers work. Cause: sessions may only end between their
// requests, and transactions must be finished.
func TestDrain(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Grace = time.Hour })
	idle, busy := f.connect(t, ""), f.connect(t, "")
	tx, err := busy.Begin(t.Context())
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), book)
	is.NoErr(err)
	drained := make(chan int, 1)
	go func() { drained <- f.server.relay.Drain(time.Now().Add(time.Hour)) }()
	_, err = idle.PgConn().ReceiveMessage(t.Context())
	is.Equal(code(err), "BD100")
	_, err = tx.Exec(t.Context(), "INSERT INTO seats (id) VALUES (2)")
	is.NoErr(err)
	is.Equal(len(drained), 0)
	is.NoErr(tx.Commit(t.Context()))
	is.Equal(<-drained, 0)
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 2)
	_, err = pgx.Connect(t.Context(), f.url(""))
	is.True(err != nil)
}

func TestDrainGivesUpAtItsDeadline(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, nil)
	c := f.connect(t, "")
	_, err := c.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	is.Equal(f.server.relay.Drain(time.Now()), 1)
}

// Symptom: prepared statements vanish. Sequence: a caller prepares a statement
// and runs it when another connection serves it. Cause: a statement lives in
// one upstream connection; the session's must be made again on the others.
func TestPreparedStatementsFollow(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 2 })
	a, b := f.connect(t, ""), f.connect(t, "")
	for i, c := range []*pgx.Conn{a, b} {
		_, err := c.Prepare(t.Context(), "p", "SELECT '"+strings.Repeat("x", i+1)+"'") // one name, two statements
		is.NoErr(err)
	}
	_, err := a.Prepare(t.Context(), "q", "INSERT INTO seats (id) VALUES ($1)")
	is.NoErr(err)
	tx, err := b.Begin(t.Context()) // takes one connection away
	is.NoErr(err)
	var got string
	is.NoErr(a.QueryRow(t.Context(), "p").Scan(&got))
	is.Equal(got, "x")
	is.NoErr(tx.QueryRow(t.Context(), "p").Scan(&got))
	is.Equal(got, "xx")
	is.NoErr(tx.Commit(t.Context()))
	f.group.Upstreams[0].Crash() // all connections are new
	f.group.Upstreams[0].Restore()
	_, err = a.Exec(t.Context(), "q", 5)
	is.NoErr(err)
	is.NoErr(a.Deallocate(t.Context(), "q"))
	_, err = a.Exec(t.Context(), "EXECUTE q(5)")
	is.Equal(code(err), "BD102")
}

// Symptom: each caller's first use of a statement costs a parse. Cause: drivers
// prepare for their own connection; here many share one, which has it already.
func TestPreparedStatementsAreShared(t *testing.T) {
	is := is.New(t)
	const text = "SELECT 'shared'"
	var parsed atomic.Int64
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	f.group.Upstreams[0].Observe = func(_ uint32, sql string) {
		if sql == text {
			parsed.Add(1)
		}
	}
	for range 5 {
		c := f.connect(t, "")
		for range 2 {
			var got string
			is.NoErr(c.QueryRow(t.Context(), text).Scan(&got))
			is.Equal(got, "shared")
		}
	}
	is.Equal(parsed.Load(), int64(1))
}

// Symptom: an upstream's memory grows with each distinct statement. Cause:
// statements stay on connections for other sessions; there must be an end to it.
func TestPreparedStatementsAreBounded(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	c := f.connect(t, "")
	for i := range 600 {
		var got string
		text := strings.Repeat("i", i)
		_, err := c.Prepare(t.Context(), "p"+text, "SELECT '"+text+"'")
		is.NoErr(err)
		is.NoErr(c.QueryRow(t.Context(), "p"+text).Scan(&got))
		is.Equal(got, text)
	}
	got := "?"
	is.NoErr(c.QueryRow(t.Context(), "p").Scan(&got)) // evicted, made again
	is.Equal(got, "")
}

// Symptom: an upstream has no free slot, and nobody waits for what it does.
// Sequence: statements run past their deadlines. Cause: closing a connection
// doesn't stop its statement; only a cancel request does.
func TestOverdueStatementIsStopped(t *testing.T) {
	is := is.New(t)
	o := slow
	o.Slots = 1
	f := start(t, o, nil)
	c := f.connect(t, "basildale.deadline=2s") // long enough to be sent on a busy machine
	_, err := c.Exec(t.Context(), book)
	is.Equal(code(err), "08007")
	for f.group.Upstreams[0].Counts().Cancels == 0 {
		runtime.Gosched() // the request is on its way
	}
}

// TestPipelinedSimpleQueries sends many queries before it reads any answer: the
// proxy stops reading when its bounds are reached, and loses none.
func TestPipelinedSimpleQueries(t *testing.T) {
	is := is.New(t)
	const many = 20_000
	f := start(t, upstream.Options{Size: 1}, nil)
	c, err := net.Dial("tcp", f.server.Bound().String())
	is.NoErr(err)
	defer c.Close()
	sent := make(chan error, 1)
	go func() {
		w := bufio.NewWriter(c)
		_, _ = w.WriteString(hello)
		for i := range many {
			_, _ = w.WriteString(message('Q', fmt.Sprintf("SELECT '%s%08d'\x00", strings.Repeat(".", 92), i)))
		}
		sent <- w.Flush()
	}()
	front := pgproto3.NewFrontend(c, nil)
	for next := 0; next < many; {
		m, err := front.Receive()
		is.NoErr(err)
		if row, ok := m.(*pgproto3.DataRow); ok {
			is.Equal(string(row.Values[0][92:]), fmt.Sprintf("%08d", next))
			next++
		}
	}
	is.NoErr(<-sent)
}
