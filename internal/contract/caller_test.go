package contract_test

import (
	"context"
	"crypto/rand"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

// caller is an ordinary driver in front of two addresses of the same group.
type caller struct {
	t     *testing.T
	is    *is.I
	ctx   context.Context
	addrs []netip.AddrPort
	run   string
}

const standInPassword = "stand-in"

func password() string {
	if os.Getenv("BASILDALE_CONTRACT_CALLERS") == "" {
		return standInPassword
	}
	return os.Getenv("BASILDALE_CONTRACT_PASSWORD")
}

// entries gives the two addresses: from the environment, or a stand-in twice.
func entries(t *testing.T) []netip.AddrPort {
	if given := os.Getenv("BASILDALE_CONTRACT_CALLERS"); given != "" {
		return parseAddrs(t, given)
	}
	g, err := upstream.NewGroup(upstream.Options{Password: standInPassword})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return append(g.Addrs(), g.Addrs()...)
}

func (c *caller) open(addr netip.AddrPort, password string, params map[string]string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("postgres://" + user() + "@" + addr.String() + "/app?sslmode=prefer")
	if err != nil {
		return nil, err
	}
	config.Password = password
	for k, v := range params {
		config.RuntimeParams[k] = v
	}
	return pgx.ConnectConfig(c.ctx, config)
}

func (c *caller) connect() *pgx.Conn {
	c.t.Helper()
	return c.session(0, c.run+"s")
}

func (c *caller) session(i int, id string) *pgx.Conn {
	c.t.Helper()
	conn, err := c.open(c.addrs[i], password(), map[string]string{"basildale.session": id})
	c.is.NoErr(err)
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (c *caller) exec(conn *pgx.Conn, sql string, args ...any) {
	c.t.Helper()
	_, err := conn.Exec(c.ctx, sql, args...)
	c.is.NoErr(err)
}

func (c *caller) seat(conn *pgx.Conn, id string, mode pgx.QueryExecMode) int64 {
	c.t.Helper()
	var seat int64
	c.is.NoErr(conn.QueryRow(c.ctx, "SELECT seat FROM "+table+" WHERE id = $1", mode, c.run+id).Scan(&seat))
	return seat
}

const insertRow = "INSERT INTO " + table + " (id, seat) VALUES ($1, $2)"

func TestCallerContract(t *testing.T) {
	addrs := entries(t)
	for _, k := range []struct {
		name string
		run  func(*caller)
	}{
		{"each mode of the driver", modes},
		{"a pipelined batch", pipeline},
		{"a batch fails as a whole", failedBatch},
		{"a transaction commits", committed},
		{"a transaction rolls back", rolledBack},
		{"an error inside a transaction ends it", failedTransaction},
		{"an error leaves the session usable", usable},
		{"a large row", largeRow},
		{"several statements in one query", severalStatements},
		{"cancel ends the statement of that session only", cancelled},
		{"a wrong password", wrongPassword},
		{"COPY is refused or whole", copied},
		{"a session reads its own writes on another address", moved},
	} {
		t.Run(k.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			t.Cleanup(cancel)
			c := &caller{t: t, is: is.New(t), ctx: ctx, addrs: addrs, run: rand.Text()}
			c.exec(c.connect(), "CREATE TABLE IF NOT EXISTS "+table+" (id text PRIMARY KEY, seat int8)")
			k.run(c)
		})
	}
}

func modes(c *caller) {
	conn := c.connect()
	for i, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe,
		pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		id := strconv.Itoa(i)
		c.exec(conn, insertRow, mode, c.run+id, int64(i))
		c.is.Equal(c.seat(conn, id, mode), int64(i))
	}
}

func pipeline(c *caller) {
	conn := c.connect()
	batch := &pgx.Batch{}
	for i := range 50 {
		batch.Queue(insertRow, c.run+strconv.Itoa(i), int64(i))
		batch.Queue("SELECT seat FROM "+table+" WHERE id = $1", c.run+strconv.Itoa(i))
	}
	results := conn.SendBatch(c.ctx, batch)
	for i := range 50 {
		_, err := results.Exec()
		c.is.NoErr(err)
		var seat int64
		c.is.NoErr(results.QueryRow().Scan(&seat))
		c.is.Equal(seat, int64(i)) // the answers come in the order of the questions
	}
	c.is.NoErr(results.Close())
}

func failedBatch(c *caller) {
	conn := c.connect()
	batch := &pgx.Batch{}
	batch.Queue(insertRow, c.run+"a", int64(1))
	batch.Queue(insertRow, c.run+"a", int64(2))
	c.is.Equal(code(conn.SendBatch(c.ctx, batch).Close()), "23505")
	c.absent(conn)
}

// absent checks that row a isn't there.
func (c *caller) absent(conn *pgx.Conn) {
	c.t.Helper()
	rows, err := conn.Query(c.ctx, "SELECT id FROM "+table+" WHERE id = $1", c.run+"a")
	c.is.NoErr(err)
	c.is.True(!rows.Next())
	rows.Close()
	c.is.NoErr(rows.Err())
}

func committed(c *caller) {
	conn := c.connect()
	tx, err := conn.Begin(c.ctx)
	c.is.NoErr(err)
	c.exec(conn, insertRow, c.run+"a", int64(1))
	c.exec(conn, "UPDATE "+table+" SET seat = seat + 1 WHERE id = $1", c.run+"a")
	c.is.Equal(c.seat(conn, "a", pgx.QueryExecModeExec), int64(2))
	c.absent(c.session(0, c.run+"other"))
	c.is.NoErr(tx.Commit(c.ctx))
	c.is.Equal(c.seat(conn, "a", pgx.QueryExecModeExec), int64(2))
}

func rolledBack(c *caller) {
	conn := c.connect()
	tx, err := conn.Begin(c.ctx)
	c.is.NoErr(err)
	c.exec(conn, insertRow, c.run+"a", int64(1))
	c.is.NoErr(tx.Rollback(c.ctx))
	c.absent(conn)
}

func failedTransaction(c *caller) {
	conn := c.connect()
	tx, err := conn.Begin(c.ctx)
	c.is.NoErr(err)
	c.exec(conn, insertRow, c.run+"a", int64(1))
	_, err = conn.Exec(c.ctx, insertRow, c.run+"a", int64(2))
	c.is.Equal(code(err), "23505")
	c.is.Equal(conn.PgConn().TxStatus(), byte('E'))
	_, err = conn.Exec(c.ctx, "SELECT 1")
	c.is.Equal(code(err), "25P02")
	c.is.Equal(tx.Commit(c.ctx), pgx.ErrTxCommitRollback)
	c.absent(conn)
}

func usable(c *caller) {
	conn := c.connect()
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		_, err := conn.Exec(c.ctx, "SELEKT 1", mode)
		c.is.Equal(code(err), "42601")
		c.absent(conn)
	}
}

func largeRow(c *caller) {
	const size = 4 << 20
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		var text string
		sql := "SELECT repeat('x', " + strconv.Itoa(size) + ")"
		c.is.NoErr(c.connect().QueryRow(c.ctx, sql, mode).Scan(&text))
		c.is.True(text == strings.Repeat("x", size))
	}
}

func severalStatements(c *caller) {
	conn := c.connect()
	one, two := "('"+c.run+"a', 1)", "('"+c.run+"b', 2)"
	into := "INSERT INTO " + table + " (id, seat) VALUES "
	results, err := conn.PgConn().Exec(c.ctx, into+one+"; "+into+two+"; SELECT 3").ReadAll()
	c.is.NoErr(err)
	c.is.Equal(len(results), 3)
	c.is.Equal(string(results[2].Rows[0][0]), "3")
	c.is.Equal(c.seat(conn, "b", pgx.QueryExecModeExec), int64(2))
}

// cancelled asks again and again, because a request that comes before the
// statement runs has no effect.
func cancelled(c *caller) {
	conn, other := c.connect(), c.session(0, c.run+"other")
	done := make(chan error, 1)
	go func() { done <- conn.PgConn().Exec(c.ctx, "SELECT pg_sleep(3600)").Close() }()
	for {
		c.is.NoErr(conn.PgConn().CancelRequest(c.ctx))
		c.absent(other) // undisturbed
		select {
		case err := <-done:
			c.is.Equal(code(err), "57014")
			return
		default:
		}
	}
}

func wrongPassword(c *caller) {
	_, err := c.open(c.addrs[0], password()+"wrong", nil)
	c.is.Equal(code(err), "28P01")
}

func copied(c *caller) {
	conn := c.connect()
	rows := [][]any{{c.run + "a", int64(1)}, {c.run + "b", int64(2)}}
	_, err := conn.CopyFrom(c.ctx, pgx.Identifier{table}, []string{"id", "seat"}, pgx.CopyFromRows(rows))
	if err == nil {
		c.is.Equal(c.seat(conn, "b", pgx.QueryExecModeExec), int64(2))
		return
	}
	c.is.True(code(err) == "0A000" || code(err) == "BD102")
	c.absent(conn)
}

func moved(c *caller) {
	for i := range 20 {
		id := strconv.Itoa(i)
		conn := c.session(i%2, c.run+"moving")
		c.exec(conn, insertRow, c.run+id, int64(i))
		c.is.Equal(c.seat(c.session((i+1)%2, c.run+"moving"), id, pgx.QueryExecModeExec), int64(i))
	}
}
