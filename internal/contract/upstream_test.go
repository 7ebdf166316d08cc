package contract_test

import (
	"context"
	"crypto/rand"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/tracker"
)

// patience ends a test that hangs; no verdict depends on it.
const patience = time.Minute

const table = "contract_rows"

// fixture is a database group under test, put in order before each case: the
// first upstream is primary in a new term, the others follow it.
type fixture struct {
	t       *testing.T
	is      *is.I
	ctx     context.Context
	control *commander.Commander
	addrs   []netip.AddrPort
	term    tracker.Term
	run     string // makes the IDs of this case its own
}

// addresses gives the group under test: from the environment, or a stand-in.
func addresses(t *testing.T) []netip.AddrPort {
	given := os.Getenv("BASILDALE_CONTRACT_UPSTREAMS")
	if given == "" {
		g, err := upstream.NewGroup(upstream.Options{Size: 3, Lag: time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(g.Close)
		return g.Addrs()
	}
	return parseAddrs(t, given)
}

func parseAddrs(t *testing.T, given string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, text := range strings.Split(given, ",") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, addr)
	}
	return list
}

func user() string {
	if u := os.Getenv("BASILDALE_CONTRACT_USER"); u != "" {
		return u
	}
	return "app"
}

func newFixture(t *testing.T, addrs []netip.AddrPort) *fixture {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	f := &fixture{
		t:       t,
		is:      is.New(t),
		ctx:     ctx,
		control: &commander.Commander{User: user(), Password: os.Getenv("BASILDALE_CONTRACT_PASSWORD"), Database: "app"},
		addrs:   addrs,
		run:     rand.Text(),
	}
	t.Cleanup(f.control.Close)
	for i := range addrs {
		if own := f.state(i).Term; f.term.Less(own) {
			f.term = own
		}
	}
	f.lead(0)
	f.is.NoErr(f.exec(f.connect(0), "CREATE TABLE IF NOT EXISTS "+table+" (id text PRIMARY KEY, seat int8)"))
	return f
}

func (f *fixture) next() tracker.Term {
	return tracker.Term{Epoch: f.term.Epoch, Seq: f.term.Seq + 1}
}

// lead fences all, promotes upstream i and has the others follow it.
func (f *fixture) lead(i int) {
	f.t.Helper()
	f.term = f.next()
	for _, addr := range f.addrs {
		_, err := f.control.Fence(f.ctx, addr, f.term)
		f.is.NoErr(err)
	}
	_, err := f.control.Promote(f.ctx, f.addrs[i], f.term)
	f.is.NoErr(err)
	for j := range f.addrs {
		if j != i {
			f.is.NoErr(f.follow(j, f.term, i))
		}
	}
}

func (f *fixture) follow(j int, term tracker.Term, primary int) error {
	_, err := f.control.Follow(f.ctx, f.addrs[j], term, f.addrs[primary])
	return err
}

func (f *fixture) state(i int) commander.Answer {
	f.t.Helper()
	a, err := f.control.State(f.ctx, f.addrs[i])
	f.is.NoErr(err)
	return a
}

// reach waits until upstream i is at or past the mark.
func (f *fixture) reach(i int, m tracker.Mark) commander.Answer {
	f.t.Helper()
	a, err := f.control.Wait(f.ctx, f.addrs[i], m, time.Now().Add(patience))
	f.is.NoErr(err)
	f.is.True(!a.Mark.Less(m))
	return a
}

func (f *fixture) connect(i int) *pgconn.PgConn {
	f.t.Helper()
	conn, err := dial(f.ctx, f.addrs[i])
	f.is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func dial(ctx context.Context, addr netip.AddrPort) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://" + user() + "@" + addr.String() + "/app?sslmode=disable")
	if err != nil {
		return nil, err
	}
	config.Password = os.Getenv("BASILDALE_CONTRACT_PASSWORD")
	return pgconn.ConnectConfig(ctx, config)
}

func (f *fixture) exec(conn *pgconn.PgConn, sql string) error {
	return conn.Exec(f.ctx, sql).Close()
}

func (f *fixture) insert(id string) string {
	return "INSERT INTO " + table + " (id, seat) VALUES ('" + f.run + id + "', 1)"
}

// write inserts a row in the term of the group and returns the commit's mark.
func (f *fixture) write(conn *pgconn.PgConn, id string) tracker.Mark {
	f.t.Helper()
	f.is.NoErr(f.exec(conn, "SET basildale.term = '"+f.term.String()+"'"))
	f.is.NoErr(f.exec(conn, f.insert(id)))
	return f.reported(conn)
}

func (f *fixture) reported(conn *pgconn.PgConn) tracker.Mark {
	f.t.Helper()
	m, err := tracker.ParseMark(conn.ParameterStatus("basildale.mark"))
	f.is.NoErr(err)
	return m
}

func (f *fixture) holds(i int, id string) bool {
	f.t.Helper()
	sql := "SELECT id FROM " + table + " WHERE id = '" + f.run + id + "'"
	results, err := f.connect(i).Exec(f.ctx, sql).ReadAll()
	f.is.NoErr(err)
	return len(results[0].Rows) == 1
}

func (f *fixture) settle(i int, id string) commander.Settlement {
	f.t.Helper()
	s, err := f.control.Settle(f.ctx, f.addrs[i], f.run+id)
	f.is.NoErr(err)
	return s
}

func (f *fixture) request(id string) string {
	return "SET basildale.request = '" + f.run + id + "'"
}

func code(err error) string {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}
