package upstream_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/tracker"
)

const setup = "CREATE TABLE bookings (id text PRIMARY KEY, seat int8 NOT NULL, session text)"

// patience ends a test that hangs; no verdict depends on it.
const patience = time.Minute

func start(t *testing.T, o upstream.Options) *upstream.Group {
	t.Helper()
	if o.Setup == "" {
		o.Setup = setup
	}
	g, err := upstream.NewGroup(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

func connect(t *testing.T, u *upstream.Upstream) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	conn, err := pgx.Connect(ctx, "postgres://app:secret@"+u.Addr().String()+"/app?sslmode=prefer")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func code(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return fmt.Sprint(err)
}

func TestExtendedAndSimpleQueries(t *testing.T) {
	is := is.New(t)
	g := start(t, upstream.Options{Password: "secret"})
	conn := connect(t, g.Upstreams[0])
	ctx := t.Context()
	_, err := conn.Exec(ctx, "INSERT INTO bookings (id, seat, session) VALUES ($1, $2, $3)", "a", 7, nil)
	is.NoErr(err)
	_, err = conn.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('b', 8), ('c', 9) ON CONFLICT DO NOTHING")
	is.NoErr(err)
	tag, err := conn.Exec(ctx, "UPDATE bookings SET seat = seat + $1, session = 'x' WHERE id = $2", 10, "a")
	is.NoErr(err)
	is.Equal(tag.RowsAffected(), int64(1))
	var seat, count int64
	var session *string
	is.NoErr(conn.QueryRow(ctx, "SELECT seat, session FROM bookings WHERE id = $1", "a").Scan(&seat, &session))
	is.Equal(seat, int64(17))
	is.Equal(*session, "x")
	is.NoErr(conn.QueryRow(ctx, "SELECT count(*) FROM bookings", pgx.QueryExecModeSimpleProtocol).Scan(&count))
	is.Equal(count, int64(3))
	_, err = conn.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('a', 1)")
	is.Equal(code(err), "23505")
	_, err = conn.Exec(ctx, "DELETE FROM bookings WHERE seat = 8")
	is.NoErr(err)
	var text string
	is.NoErr(conn.QueryRow(ctx, "SELECT repeat('x', 3)").Scan(&text))
	is.Equal(text, "xxx")
	_, err = conn.Exec(ctx, "COPY bookings TO STDOUT")
	is.Equal(code(err), "0A000")
	_, err = conn.Exec(ctx, "EXPLODE")
	is.Equal(code(err), "42601")
	is.Equal(g.Upstreams[0].Rows("bookings"), [][]string{{"a", "17", "x"}, {"c", "9", ""}})
}

func TestTransactions(t *testing.T) {
	is := is.New(t)
	g := start(t, upstream.Options{})
	one, two := connect(t, g.Upstreams[0]), connect(t, g.Upstreams[0])
	ctx := t.Context()
	tx, err := one.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('a', 1)")
	is.NoErr(err)
	var count int
	is.NoErr(two.QueryRow(ctx, "SELECT count(*) FROM bookings").Scan(&count))
	is.Equal(count, 0) // not seen before the commit
	_, err = tx.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('a', 2)")
	is.Equal(code(err), "23505")
	is.Equal(one.PgConn().TxStatus(), byte('E'))
	_, err = tx.Exec(ctx, "SELECT count(*) FROM bookings")
	is.Equal(code(err), "25P02")
	is.NoErr(tx.Rollback(ctx))
	is.Equal(len(g.Upstreams[0].Rows("bookings")), 0)

	tx, err = one.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('b', 1)")
	is.NoErr(err)
	_, err = two.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('b', 2)")
	is.NoErr(err)
	is.Equal(code(tx.Commit(ctx)), "23505") // the other one came first
	is.Equal(g.Upstreams[0].Rows("bookings"), [][]string{{"b", "2", ""}})
}

func TestReplicaAppliesAndRefusesWrites(t *testing.T) {
	is := is.New(t)
	g := start(t, upstream.Options{Size: 2, Lag: time.Hour})
	primary, replica := connect(t, g.Upstreams[0]), connect(t, g.Upstreams[1])
	ctx := t.Context()
	_, err := primary.Exec(ctx, "INSERT INTO bookings (id, seat) VALUES ('a', 1)")
	is.NoErr(err)
	mark := primary.PgConn().ParameterStatus("basildale.mark")
	is.Equal(mark, "1.1/2")
	is.Equal(g.Upstreams[1].State().Mark.Pos, tracker.Position(1)) // the setup only
	g.Upstreams[1].SetLag(0)
	var role, at string
	is.NoErr(replica.QueryRow(ctx, "SELECT * FROM basildale_wait($1, '60000')", mark).Scan(&role, nil, &at, nil))
	is.Equal(role, "replica")
	is.Equal(at, mark)
	is.Equal(g.Upstreams[1].Rows("bookings"), g.Upstreams[0].Rows("bookings"))
	_, err = replica.Exec(ctx, "DELETE FROM bookings WHERE id = 'a'")
	is.Equal(code(err), "25006")
}
