package server

import (
	"context"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

const seats = "CREATE TABLE seats (id int PRIMARY KEY, holder text)"

// fixture is one proxy before one group of stand-in upstreams.
type fixture struct {
	group  *upstream.Group
	server *Server
}

// start runs a proxy before a group and ends both with the test.
func start(t testing.TB, o upstream.Options, change func(*Server)) *fixture {
	t.Helper()
	if o.Setup == "" {
		o.Setup = seats
	}
	g, err := upstream.NewGroup(o)
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		Groups: []Group{{Name: "billet", Upstreams: g.Addrs(), Connections: 4}},
		Grace:  5 * time.Second,
	}
	s.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	if change != nil {
		change(s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	select {
	case <-s.Started():
	case err := <-done:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		g.Close()
	})
	return &fixture{group: g, server: s}
}

// connect opens a caller's connection; more is added to the connection string.
func (f *fixture) connect(t testing.TB, more string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), f.url(more))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func (f *fixture) url(more string) string {
	return "postgres://kiosk@" + f.server.Bound().String() + "/billet?sslmode=disable&" + more
}

func TestBookAndReadBack(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, nil)
	c := f.connect(t, "")
	_, err := c.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES ($1, $2)", 7, "Karen")
	is.NoErr(err)
	var holder string
	is.NoErr(c.QueryRow(t.Context(), "SELECT holder FROM seats WHERE id = $1", 7).Scan(&holder))
	is.Equal(holder, "Karen")
	is.Equal(f.group.Upstreams[0].Rows("seats"), [][]string{{"7", "Karen"}})
}

func TestReadsGoToReplicas(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 3, Setup: seats + "; INSERT INTO seats (id, holder) VALUES (1, 'Ole')"}, nil)
	c := f.connect(t, "")
	for range 4 {
		var holder string
		is.NoErr(c.QueryRow(t.Context(), "SELECT holder FROM seats WHERE id = 1").Scan(&holder))
		is.Equal(holder, "Ole")
	}
	is.Equal(f.group.Upstreams[0].Counts().Statements, int64(0))
	is.True(f.group.Upstreams[1].Counts().Statements > 0)
	is.True(f.group.Upstreams[2].Counts().Statements > 0)
}

// Symptom: a pool counts connections that it never opened, and stops opening
// any. Sequence: the groups change while a transaction holds a connection of the
// old pool. Cause: a connection must go back to the pool that has opened it.
func TestConfigureDuringTransaction(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	c := f.connect(t, "")
	tx, err := c.Begin(t.Context())
	is.NoErr(err)
	g := f.server.Groups[0]
	g.User = "another"
	f.server.Configure([]Group{g})
	_, err = tx.Exec(t.Context(), "INSERT INTO seats (id) VALUES (1)")
	is.NoErr(err)
	is.NoErr(tx.Commit(t.Context()))
	for range 3 {
		_, err = c.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
	}
	stats := f.server.pools.get("billet", g.Upstreams[0]).Stats
	for stats().Idle == 0 {
		runtime.Gosched() // the connection goes back after the answer has left
	}
	is.Equal(stats().Open, 1)
	is.Equal(stats().Idle, 1)
}
