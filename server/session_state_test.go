package server

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/tracker"
)

// stateful is a proxy with one upstream connection for all sessions.
type stateful struct {
	*fixture
	t *testing.T
}

func startStateful(t *testing.T, connections int) *stateful {
	return &stateful{start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = connections }), t}
}

// session opens a session and carries out what sets it up.
func (s *stateful) session(setup ...string) *pgx.Conn {
	s.t.Helper()
	c := s.connect(s.t, "")
	for _, sql := range setup {
		if err := run(s.t, c, sql); err != nil {
			s.t.Fatal(err)
		}
	}
	return c
}

// run sends a simple query.
func run(t *testing.T, c *pgx.Conn, sql string) error {
	return c.PgConn().Exec(t.Context(), sql).Close()
}

// show returns the value of a setting in the statement that asks for it.
func show(t *testing.T, c *pgx.Conn, name string) string {
	t.Helper()
	results, err := c.PgConn().Exec(t.Context(), "SHOW "+name).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	return string(results[0].Rows[0][0])
}

// extended sends messages of the extended protocol and returns the code of the
// first error. It reads up to ReadyForQuery, an error, or as many answers as there
// are messages.
func extended(t *testing.T, c *pgx.Conn, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	front := c.PgConn().Frontend()
	for _, m := range messages {
		front.Send(m)
	}
	if err := front.Flush(); err != nil {
		t.Fatal(err)
	}
	answers := len(messages)
	if _, ok := messages[answers-1].(*pgproto3.Flush); ok {
		answers--
	}
	for range answers {
		answer, err := front.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch answer := answer.(type) {
		case *pgproto3.ErrorResponse:
			return answer.Code
		case *pgproto3.ReadyForQuery:
			return ""
		}
	}
	return ""
}

// ready reads up to ReadyForQuery.
func ready(t *testing.T, c *pgx.Conn) {
	t.Helper()
	for {
		answer, err := c.PgConn().Frontend().Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := answer.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

// statement returns the messages that prepare and run a statement.
func statement(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

// Guards against statements that run with the settings of another session,
// because a connection's record differs from what its upstream has kept.
func TestConnectionStateIsWhatUpstreamKept(t *testing.T) {
	simple := func(texts ...string) func(*testing.T, *pgx.Conn) {
		return func(t *testing.T, c *pgx.Conn) {
			for _, sql := range texts {
				_ = run(t, c, sql)
			}
		}
	}
	for _, test := range []struct {
		name string
		want string // the session's value of v afterwards
		do   func(*testing.T, *pgx.Conn)
	}{
		{"set", "x", simple("SET v = 'x'")},
		{"failed query", "old", simple("SET v = 'x'; SELECT id FROM nowhere")},
		{"rollback", "old", simple("BEGIN", "SET v = 'x'", "ROLLBACK")},
		{"commit of failed transaction", "old", simple("BEGIN", "SET v = 'x'", "SELECT id FROM nowhere", "COMMIT")},
		{"local", "old", simple("BEGIN", "SET LOCAL v = 'x'", "COMMIT")},
		{"refused in transaction", "old", simple("BEGIN", "SET v = 'x'", "LISTEN news", "ROLLBACK", "SELECT 1")},
		{"rollback to savepoint", "old", simple("BEGIN", "SAVEPOINT s", "SET v = 'x'", "ROLLBACK TO SAVEPOINT s", "COMMIT")},
		{"set before savepoint", "x", simple("BEGIN", "SET v = 'x'; SAVEPOINT s; SELECT id FROM nowhere", "ROLLBACK TO s", "COMMIT")},
		{"released savepoint", "x", simple("BEGIN", "SAVEPOINT s", "SET v = 'x'", "RELEASE s", "COMMIT")},
		{"discard in transaction", "old", simple("BEGIN", "SET v = 'x'", "DISCARD ALL", "COMMIT")},
		{"reset all", "", simple("RESET ALL")},
		{"reset all in transaction", "old", simple("BEGIN", "RESET ALL", "ROLLBACK")},
		{"comment", "x", simple("SET u = 'y' -- SET", "SET v = 'x' -- SET")},
		{"flushed part", "old", func(t *testing.T, c *pgx.Conn) {
			is := is.New(t)
			is.Equal(extended(t, c, append(statement("SET v = 'x'"), &pgproto3.Flush{})...), "")
			is.Equal(extended(t, c, append(statement("SELECT id FROM nowhere"), &pgproto3.Sync{})...), "42P01")
			ready(t, c)
		}},
		{"flushed part of rolled back transaction", "old", func(t *testing.T, c *pgx.Conn) {
			is := is.New(t)
			is.Equal(extended(t, c, append(append(statement("BEGIN"), statement("SET v = 'x'")...), &pgproto3.Flush{})...), "")
			front := c.PgConn().Frontend()
			for _, m := range append(statement("ROLLBACK"), &pgproto3.Sync{}) {
				front.Send(m)
			}
			is.NoErr(front.Flush())
			ready(t, c)
		}},
		{"bound only", "old", func(t *testing.T, c *pgx.Conn) {
			is.New(t).Equal(extended(t, c, &pgproto3.Parse{Query: "SET v = 'x'"}, &pgproto3.Bind{}, &pgproto3.Sync{}), "")
		}},
		{"executed in a later batch", "x", func(t *testing.T, c *pgx.Conn) {
			is := is.New(t)
			is.NoErr(run(t, c, "BEGIN"))
			is.Equal(extended(t, c, &pgproto3.Parse{Query: "SET v = 'x'"}, &pgproto3.Bind{DestinationPortal: "p"}, &pgproto3.Sync{}), "")
			is.Equal(extended(t, c, &pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{}), "")
			is.NoErr(run(t, c, "COMMIT"))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := startStateful(t, 1)
			a, x, none := s.session("SET v = 'old'"), s.session("SET v = 'x'"), s.session()
			is.Equal(show(t, x, "v"), "x")
			test.do(t, a)
			is.Equal(show(t, x, "v"), "x") // not undone by the other session
			is.Equal(show(t, none, "v"), "")
			is.Equal(show(t, a, "v"), test.want)
			is.Equal(show(t, x, "v"), "x")
			is.Equal(show(t, a, "v"), test.want)
		})
	}
}

// Guards against statements that run as another session's user or role.
func TestRoleStaysWithItsSession(t *testing.T) {
	for _, test := range []struct{ name, set, show string }{
		{"role", "SET ROLE bob", "role"},
		{"user", "SET SESSION AUTHORIZATION bob", "session_authorization"},
	} {
		for _, more := range []string{"SELECT 1", "RESET ALL"} {
			t.Run(test.name+" "+more, func(t *testing.T) {
				is := is.New(t)
				s := startStateful(t, 1)
				none, a := s.session(), s.session(test.set, more)
				is.Equal(show(t, none, test.show), "")
				is.Equal(show(t, a, test.show), "bob")
			})
		}
	}
}

// Guards against the user's role being lost when both are set on a connection.
func TestRoleIsSetAfterUser(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	var sent []string
	s.group.Upstreams[0].Observe = func(_ uint32, sql string) { sent = append(sent, sql) }
	a := s.session("SET SESSION AUTHORIZATION bob", "SET ROLE editor")
	is.Equal(show(t, s.session(), "role"), "")
	sent = nil
	is.Equal(show(t, a, "role"), "editor")
	is.Equal(sent[0], "SET SESSION AUTHORIZATION bob;SET ROLE editor;")
}

// Guards against an earlier value of a setting that has two names.
func TestTimeZoneHasOneValue(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	a := s.session("SET timezone = 'CET'", "SET TIME ZONE 'UTC'")
	is.Equal(show(t, s.session(), "timezone"), "")
	is.Equal(show(t, a, "timezone"), "UTC")
}

// Guards against a statement that runs though the upstream has refused a setting
// of its session.
func TestNothingRunsBehindRefusedSetting(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	c := s.connect(t, "v=refused")
	is.Equal(code(run(t, c, "INSERT INTO seats (id) VALUES (1)")), "22023")
	is.Equal(len(s.group.Upstreams[0].Rows("seats")), 0)
	is.Equal(show(t, s.session(), "v"), "")
}

// Guards against a write whose outcome is unknown to its caller, although its
// connection was lost before it was sent.
func TestWriteIsNotSentBeforeItsSettings(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	var lost atomic.Bool
	u := s.group.Upstreams[0]
	u.Observe = func(_ uint32, sql string) {
		if strings.HasPrefix(sql, "SET v = 'x';") && lost.CompareAndSwap(false, true) {
			u.Cut(upstream.Cut{})
			u.Restore()
		}
	}
	a := s.session("SET v = 'x'")
	is.Equal(show(t, s.session("SET v = 'y'"), "v"), "y")
	is.NoErr(run(t, a, "INSERT INTO seats (id) VALUES (1)"))
	is.True(lost.Load())
	is.Equal(show(t, a, "v"), "x")
	is.Equal(len(u.Rows("seats")), 1)
}

// Guards against a bound statement that the rollback of a refused transaction has
// dropped.
func TestUnnamedStatementAfterRefusedTransaction(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	a, b := s.session(), s.session()
	is.Equal(extended(t, b, &pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Sync{}), "")
	is.NoErr(run(t, a, "BEGIN"))
	is.Equal(extended(t, a, append(statement("SELECT 1"), &pgproto3.Sync{})...), "")
	ready(t, a)
	is.Equal(code(run(t, a, "LISTEN news")), "BD102")
	is.Equal(extended(t, b, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}), "")
}

// Guards against a connection that goes to the next session inside a failed
// transaction, or while its upstream skips to a Sync.
func TestRefusedTransactionLeavesNoConnection(t *testing.T) {
	for _, flushed := range []bool{false, true} {
		t.Run(fmt.Sprint("flushed ", flushed), func(t *testing.T) {
			is := is.New(t)
			s := startStateful(t, 1)
			is.NoErr(run(t, s.direct(), "SELECT * FROM basildale_fence('9.1')"))
			a, b := s.session("SET basildale.deadline = 300"), s.session("SET basildale.deadline = 2000")
			if flushed {
				list := append(append(statement("BEGIN"), statement("INSERT INTO seats (id) VALUES (1)")...), &pgproto3.Flush{})
				is.Equal(extended(t, a, list...), "BD100")
				is.Equal(extended(t, a, &pgproto3.Sync{}), "")
			} else {
				is.Equal(code(run(t, a, "BEGIN; INSERT INTO seats (id) VALUES (1)")), "BD100")
			}
			is.NoErr(run(t, a, "ROLLBACK"))
			is.Equal(show(t, b, "v"), "")
		})
	}
}

// Guards against any sequence of refusals, rollbacks and lost connections after
// which a statement runs with other settings than its session's.
func TestStatementsRunWithTheirSessionsSettings(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := startStateful(t, 2)
			h := &history{stateful: s, rng: rand.New(rand.NewPCG(seed, 64))}
			for range 4 {
				h.sessions = append(h.sessions, &drawn{conn: s.session(), values: map[string]string{}})
			}
			for range 150 {
				h.step(h.sessions[h.rng.IntN(len(h.sessions))])
			}
		})
	}
}

// history draws what sessions and their upstream do.
type history struct {
	*stateful
	rng      *rand.Rand
	sessions []*drawn
}

// drawn is a session and the settings that it was acknowledged.
type drawn struct {
	conn   *pgx.Conn
	values map[string]string
}

func (h *history) step(d *drawn) {
	switch h.rng.IntN(12) {
	case 0:
		h.query(d, "RESET ALL")
	case 1:
		h.query(d, "DISCARD ALL")
	case 2, 3, 4:
		h.query(d, h.change())
	case 5:
		h.query(d, h.change()+"; "+h.change())
	case 6:
		h.query(d, h.change()+"; SELECT id FROM nowhere")
	case 7, 8, 9:
		h.transaction(d)
	case 10:
		h.flushed(d)
	default:
		h.group.Upstreams[0].Cut(upstream.Cut{})
		h.group.Upstreams[0].Restore()
	}
	h.compare(d)
}

// change returns a statement that changes a setting.
func (h *history) change() string {
	name := string("vw"[h.rng.IntN(2)])
	switch h.rng.IntN(6) {
	case 0:
		return "RESET " + name
	case 1:
		return "SET " + name + " = 'refused'"
	default:
		return "SET " + name + " = '" + string("abc"[h.rng.IntN(3)]) + "'"
	}
}

// query sends a query outside of a transaction. It changes all or nothing.
func (h *history) query(d *drawn, sql string) {
	if run(h.t, d.conn, sql) == nil {
		d.values = after(d.values, sql)
	}
}

// after returns what the values are after the statements of a text.
func after(values map[string]string, text string) map[string]string {
	next := maps.Clone(values)
	for sql := range strings.SplitSeq(text, "; ") {
		words := strings.Fields(sql)
		switch {
		case words[0] == "SET":
			next[words[1]] = strings.Trim(words[3], "'")
		case len(words) > 1 && words[1] == "ALL":
			clear(next)
		case words[0] == "RESET":
			delete(next, words[1])
		}
	}
	return next
}

// transaction draws a transaction with a savepoint. Some end by an error of the
// proxy, some lose their connection.
func (h *history) transaction(d *drawn) {
	if run(h.t, d.conn, "BEGIN") != nil {
		return
	}
	values, saved := d.values, map[string]string{}
	for range h.rng.IntN(6) {
		sql := h.change()
		switch h.rng.IntN(8) {
		case 0:
			sql = "SAVEPOINT s"
		case 1:
			sql = "ROLLBACK TO s"
		case 2:
			sql = "SELECT id FROM nowhere"
		case 3:
			sql += "; SELECT id FROM nowhere"
		case 4:
			if h.rng.IntN(3) == 0 {
				sql = []string{"LISTEN news", "RESET ALL", "DISCARD ALL"}[h.rng.IntN(3)]
			}
		case 5:
			if h.rng.IntN(3) == 0 {
				h.group.Upstreams[0].Cut(upstream.Cut{})
				h.group.Upstreams[0].Restore()
			}
		}
		err := run(h.t, d.conn, sql)
		switch {
		case err != nil:
		case sql == "SAVEPOINT s":
			saved = values
		case sql == "ROLLBACK TO s":
			values = saved
		default:
			values = after(values, sql)
		}
	}
	end := []string{"COMMIT", "COMMIT", "ROLLBACK"}[h.rng.IntN(3)]
	results, err := d.conn.PgConn().Exec(h.t.Context(), end).ReadAll()
	if err == nil && results[0].CommandTag.String() == "COMMIT" {
		d.values = values
	}
}

// flushed sends a batch in two parts, the second of which may fail.
func (h *history) flushed(d *drawn) {
	first, second := h.change(), h.change()
	if h.rng.IntN(2) == 0 {
		second = "SELECT id FROM nowhere"
	}
	front := d.conn.PgConn().Frontend()
	list := append(append(statement(first), &pgproto3.Flush{}), statement(second)...)
	for _, m := range append(list, &pgproto3.Sync{}) {
		front.Send(m)
	}
	if err := front.Flush(); err != nil {
		h.t.Fatal(err)
	}
	failed := false
	for {
		answer, err := front.Receive()
		if err != nil {
			h.t.Fatal(err)
		}
		switch answer.(type) {
		case *pgproto3.ErrorResponse:
			failed = true
		case *pgproto3.ReadyForQuery:
			if !failed {
				d.values = after(d.values, first+"; "+second)
			}
			return
		}
	}
}

// compare looks whether a statement runs with the session's settings.
func (h *history) compare(d *drawn) {
	h.t.Helper()
	for _, name := range []string{"v", "w"} {
		if got := show(h.t, d.conn, name); got != d.values[name] {
			h.t.Fatalf("%s is %q, the session has %q", name, got, d.values[name])
		}
	}
}

// Guards against writes that run in a later term than that of their connection,
// because a caller has reset the proxy's own settings.
func TestResetKeepsTermOfConnection(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections = 1
		s.Control.Route = func(context.Context, *relayer.Request) (relayer.Target, *relayer.Refusal) {
			return relayer.Target{Group: "billet", Address: s.Groups[0].Upstreams[0], Primary: true, Term: tracker.Term{Epoch: 1, Seq: 1}}, nil
		}
	})
	s := &stateful{f, t}
	c := s.session("SET v = 'x'", "INSERT INTO seats (id) VALUES (1)", "RESET ALL", "SET basildale.deadline = 300")
	direct := s.direct()
	is.NoErr(run(t, direct, "SELECT * FROM basildale_fence('1.2'); SELECT * FROM basildale_promote('1.2')"))
	is.True(run(t, c, "INSERT INTO seats (id) VALUES (2)") != nil)
	is.Equal(s.group.Upstreams[0].Rows("seats"), [][]string{{"1", ""}})
}

// direct opens a connection to the upstream itself.
func (s *stateful) direct() *pgx.Conn {
	s.t.Helper()
	c, err := pgx.Connect(s.t.Context(), "postgres://app@"+s.group.Upstreams[0].Addr().String()+"/app?sslmode=disable")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

// Guards against a statement that can't be prepared again after the batch that was
// to prepare it has failed before it.
func TestParseBehindErrorPreparesNothing(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	a, b := s.session(), s.session()
	is.Equal(extended(t, a, &pgproto3.Parse{Name: "one", Query: "SELECT 1"}, &pgproto3.Sync{}), "")
	is.Equal(extended(t, b, append(statement("SELECT id FROM nowhere"), &pgproto3.Parse{Name: "two", Query: "SELECT 1"}, &pgproto3.Sync{})...), "42P01")
	ready(t, b)
	is.Equal(extended(t, b, &pgproto3.Parse{Name: "two", Query: "SELECT 1"}, &pgproto3.Sync{}), "")
}
