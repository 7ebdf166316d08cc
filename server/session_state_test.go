package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
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

// Guards against writes that run in a later term than that of their connection,
// because a caller has reset the proxy's own settings.
func TestResetKeepsTermOfConnection(t *testing.T) {
	requireTermAfter(t, "RESET ALL")
}

// Guards against writes that run in a later term than that of their connection,
// because a caller has set the proxy's own settings.
func TestCallersCannotSetTermOfConnection(t *testing.T) {
	for _, sql := range []string{
		"SELECT 1; SET basildale.term = ''", `SET "basildale".term = ''`, "SELECT 1; RESET basildale.term",
		"SELECT set_config('basildale.term', '', false)",
	} {
		t.Run(sql, func(t *testing.T) { requireTermAfter(t, sql) })
	}
}

// Guards against the same by a name that PostgreSQL reads as one of the proxy's settings, though it
// is spelled in another way.
func TestSpelledNamesOfOwnSettingsAreRefused(t *testing.T) {
	s := startStateful(t, 1)
	for _, sql := range []string{
		"SET basildale . term = ''", "SET basildale/**/.term = ''", "SET basildale --\n.term = ''", "SELECT 1; SET basildale .term = ''",
		"RESET basildale . term", `SET "basildale" . "term" = ''`, `SET U&"b\0061sildale.term" = ''`, `SET "basildale"."term" = ''`,
	} {
		t.Run(sql, func(t *testing.T) {
			is := is.New(t)
			is.Equal(code(run(t, s.session(), sql)), retrier.StateForbidden)
		})
	}
}

// requireTermAfter checks that a write is refused at an upstream of a later term
// after a caller has sent a statement.
func requireTermAfter(t *testing.T, sql string) {
	t.Helper()
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections = 1
		s.Control.Route = func(context.Context, *relayer.Request) (relayer.Target, *relayer.Refusal) {
			return relayer.Target{Group: "billet", Address: s.Groups[0].Upstreams[0], Primary: true, Term: tracker.Term{Epoch: 1, Seq: 1}}, nil
		}
	})
	s := &stateful{f, t}
	c := s.session("SET v = 'x'", "INSERT INTO seats (id) VALUES (1)", "SET basildale.deadline = 300")
	_ = run(t, c, sql)
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

// Guards against settings that their session loses, or another one gets, when the
// answer to COMMIT is lost and the transaction is known to have committed.
func TestSettledCommitKeepsSettings(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections = 1
		s.Control.Settle = func(context.Context, string, string, *relayer.Request) retrier.Settlement {
			return retrier.SettledDone
		}
	})
	s := &stateful{f, t}
	a, x := s.session("BEGIN", "INSERT INTO seats (id) VALUES (1)", "SET v = 'x'"), s.session()
	s.group.Upstreams[0].LoseAnswers(1)
	is.NoErr(run(t, a, "COMMIT"))
	is.Equal(show(t, a, "v"), "x")
	is.Equal(show(t, x, "v"), "")
	is.Equal(show(t, a, "v"), "x")
}

// Guards against settings that a function has made and that reach another session.
func TestFunctionSettingStaysOutOfOtherSessions(t *testing.T) {
	for name, do := range map[string]func(c *pgx.Conn) error{
		"simple": func(c *pgx.Conn) error { return run(t, c, "SELECT Set_Config('v', 'x', false)") },
		"transaction": func(c *pgx.Conn) error {
			return errors.Join(run(t, c, "BEGIN"), run(t, c, "SELECT set_config('v', 'x', false)"), run(t, c, "COMMIT"))
		},
		"prepared": func(c *pgx.Conn) error {
			_, err := c.Exec(t.Context(), "SELECT set_config($1, $2, false)", "v", "x")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := startStateful(t, 1)
			a, b := s.session(), s.session()
			for range 2 {
				is.NoErr(do(a))
				is.Equal(show(t, b, "v"), "")
			}
		})
	}
}

// Guards against a new connection for each transaction that sets what ends with
// it.
func TestLocalSettingKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	s := startStateful(t, 1)
	c := s.session()
	for _, sql := range []string{"SELECT set_config('v', 'f(,''', true)", "SELECT set_config('a', 'b', TRUE ), set_config('c', 'd', true)"} {
		is.NoErr(run(t, c, sql))
	}
	is.Equal(show(t, c, "v"), "")
	is.Equal(s.group.Upstreams[0].Counts().Opened, int64(1))
	is.NoErr(run(t, c, "SELECT set_config('a', 'b', true), set_config('c', 'd', false)"))
	is.Equal(show(t, c, "c"), "")
	is.Equal(s.group.Upstreams[0].Counts().Opened, int64(2))
}

// Guards against a driver that goes on decoding by a setting that RESET ALL or DISCARD ALL has taken
// back, because nobody told it.
func TestResetTellsDefaults(t *testing.T) {
	for _, reset := range []string{"RESET ALL", "DISCARD ALL"} {
		for _, extended := range []bool{false, true} {
			is := is.New(t)
			s := startStateful(t, 1)
			c := s.session("SET datestyle = 'German'")
			is.Equal(c.PgConn().ParameterStatus("DateStyle"), "German")
			if extended {
				_, err := c.PgConn().ExecParams(t.Context(), reset, nil, nil, nil, nil).Close()
				is.NoErr(err)
			} else {
				is.NoErr(run(t, c, reset))
			}
			is.Equal(c.PgConn().ParameterStatus("DateStyle"), "ISO, MDY")
		}
	}
}
