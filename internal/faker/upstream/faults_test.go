package upstream_test

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

const insert = "INSERT INTO bookings (id, seat) VALUES ('a', 1)"

// from dials from another loopback address, as if from another instance.
func from(ctx context.Context, u *upstream.Upstream, local string) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://app@" + u.Addr().String() + "/app?sslmode=disable")
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(local), 0))}
	config.DialFunc = dialer.DialContext
	return pgconn.ConnectConfig(ctx, config)
}

func TestCutDropsOneSideOnly(t *testing.T) {
	is := is.New(t)
	ctx := t.Context()
	u := start(t, upstream.Options{}).Upstreams[0]
	near, err := from(ctx, u, "127.0.0.1")
	is.NoErr(err)
	far, err := from(ctx, u, "127.0.0.2")
	is.NoErr(err)
	u.Cut(upstream.Cut{Callers: func(a netip.Addr) bool { return a == netip.MustParseAddr("127.0.0.2") }})
	is.NoErr(near.Exec(ctx, insert).Close())
	is.True(far.Exec(ctx, insert).Close() != nil) // dropped
	_, err = from(ctx, u, "127.0.0.2")
	is.True(err != nil) // refused
	u.Restore()
	_, err = from(ctx, u, "127.0.0.2")
	is.NoErr(err)
}

func TestCutStopsReplication(t *testing.T) {
	is := is.New(t)
	g := start(t, upstream.Options{Size: 2})
	g.Upstreams[0].Cut(upstream.Cut{Open: true, Replicas: true})
	primary, replica := connect(t, g.Upstreams[0]), connect(t, g.Upstreams[1])
	_, err := primary.Exec(t.Context(), insert)
	is.NoErr(err)
	var at string
	wait := "SELECT * FROM basildale_wait('1.1/2', $1)"
	is.NoErr(replica.QueryRow(t.Context(), wait, "1").Scan(nil, nil, &at, nil))
	is.Equal(at, "1.1/1")
	g.Upstreams[0].Restore()
	is.NoErr(replica.QueryRow(t.Context(), wait, "60000").Scan(nil, nil, &at, nil))
	is.Equal(at, "1.1/2")
}

func TestFrozenRunsWhatItGotAtThaw(t *testing.T) {
	is := is.New(t)
	u := start(t, upstream.Options{}).Upstreams[0]
	conn := connect(t, u)
	u.Freeze()
	done := make(chan error, 1)
	go func() {
		_, err := conn.PgConn().Exec(context.Background(), insert).ReadAll()
		done <- err
	}()
	is.Equal(u.Counts().Commits, int64(0))
	u.Thaw()
	is.NoErr(<-done)
	is.Equal(u.Counts().Commits, int64(1))
}

func TestCrashLosesOpenTransactions(t *testing.T) {
	is := is.New(t)
	u := start(t, upstream.Options{}).Upstreams[0]
	conn := connect(t, u)
	tx, err := conn.Begin(t.Context())
	is.NoErr(err)
	_, err = tx.Exec(t.Context(), insert)
	is.NoErr(err)
	u.Crash()
	is.True(tx.Commit(t.Context()) != nil)
	_, err = from(t.Context(), u, "127.0.0.1")
	is.True(err != nil)
	u.Restore()
	_, err = connect(t, u).Exec(t.Context(), insert)
	is.NoErr(err) // the first one did not commit
}

func TestLostAnswerHasCommitted(t *testing.T) {
	for _, c := range []struct{ name, sql string }{
		{"alone", insert},
		{"in a transaction", "BEGIN; " + insert + "; COMMIT"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := start(t, upstream.Options{}).Upstreams[0]
			conn := connect(t, u)
			u.LoseAnswers(1)
			is.True(conn.PgConn().Exec(t.Context(), c.sql).Close() != nil)
			is.Equal(u.Rows("bookings"), [][]string{{"a", "1", ""}})
			_, err := connect(t, u).Exec(t.Context(), "DELETE FROM bookings")
			is.NoErr(err) // one answer only
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	u := start(t, upstream.Options{Connections: 2}).Upstreams[0]
	connect(t, u)
	connect(t, u)
	_, err := from(t.Context(), u, "127.0.0.1")
	is.Equal(code(err), "53300")
	is.Equal(u.Counts().Refused, int64(1))
}

func TestCancelEndsTheStatementInItsSlot(t *testing.T) {
	is := is.New(t)
	u := start(t, upstream.Options{Slots: 1}).Upstreams[0]
	busy, next := connect(t, u).PgConn(), connect(t, u).PgConn()
	slept, inserted := make(chan error, 1), make(chan error, 1)
	go func() { slept <- busy.Exec(context.Background(), "SELECT pg_sleep(3600)").Close() }()
	for u.Counts().Statements == 0 {
		runtime.Gosched()
	}
	go func() { inserted <- next.Exec(context.Background(), insert).Close() }()
	is.Equal(u.Counts().Commits, int64(0)) // waits for the only slot
	is.NoErr(busy.CancelRequest(t.Context()))
	is.Equal(code(<-slept), "57014")
	is.NoErr(<-inserted)
}
