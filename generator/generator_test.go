package generator_test

import (
	"encoding/json"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/internal/matcher"
)

func settings(db *fakeDB) generator.Generator {
	return generator.Generator{
		Addrs:        []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")},
		Rate:         100,
		Bookings:     0.4,
		Transactions: 0.3,
		Sessions:     4,
		Seed:         7,
		Name:         "r",
		Moves:        generator.Move,
		Ledger:       &checker.Ledger{},
		Connect:      db.connect,
	}
}

// run makes a run of ten virtual seconds and its audit.
func run(t *testing.T, g generator.Generator) *generator.Report {
	t.Helper()
	report, err := g.Run(t.Context(), time.Now().Add(10*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Audit(t.Context(), report); err != nil {
		t.Fatal(err)
	}
	return report
}

func golden(t *testing.T, name string, v any) {
	t.Helper()
	is := is.New(t)
	got, err := json.MarshalIndent(v, "", "  ")
	is.NoErr(err)
	matcher.Golden(t, filepath.Join("testdata", name), string(got)+"\n")
}

func TestReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		db := &fakeDB{delay: func() time.Duration { return 2 * time.Millisecond }}
		g := settings(db)
		g.Sessions = 1 // the only goroutine that sends: the same order each time
		golden(t, "report.json", run(t, g))
	})
}

// Symptom: a stall of one second barely shows in the percentiles.
// Sequence: the database stalls; requests that should start meanwhile wait for
// their session; once sent, each is answered quickly.
// Cause: latency measured from the sending leaves out the wait (coordinated
// omission).
func TestStallShowsInAllThatWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stall := time.Now().Add(5 * time.Second)
		db := &fakeDB{delay: func() time.Duration {
			if now := time.Now(); now.After(stall) && now.Before(stall.Add(time.Second)) {
				return stall.Add(time.Second).Sub(now)
			}
			return time.Millisecond
		}}
		g := settings(db)
		g.Timeout = 2 * time.Second
		lookups := run(t, g).Classes[generator.Lookup]
		is.True(lookups.Latency.P99 > 500)
		is.True(lookups.Service.P99 < 100)
	})
}

func TestRequestsWhoseTimeIsOverAreMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		db := &fakeDB{delay: func() time.Duration { return 100 * time.Millisecond }}
		g := settings(db)
		g.Bookings, g.Rate = 0, 80 // twice what four sessions can do
		lookups := run(t, g).Classes[generator.Lookup]
		is.True(lookups.Missed > 0)
		is.Equal(lookups.Done+lookups.Missed, lookups.Total)
		const sentAtLast, rounding = 1000 + 100, 1.001
		is.True(lookups.Latency.Max < sentAtLast*rounding) // none was sent after its time
	})
}

// Each case breaks one promise behind the generator's back and names the count
// that must rise.
func TestBrokenPromisesAreCounted(t *testing.T) {
	insert := func(sql string) bool { return strings.HasPrefix(sql, "INSERT") }
	lookup := func(sql string) bool { return strings.Contains(sql, "WHERE") }
	for _, c := range []struct {
		name  string
		db    *fakeDB
		count func(checker.Counts) int
	}{
		{"none", &fakeDB{}, nil},
		{"acknowledged and not run", &fakeDB{skip: func(sql string) bool {
			return insert(sql) && strings.Contains(sql, "b3'")
		}}, func(c checker.Counts) int { return c.Lost }},
		{"reported as not run and run", &fakeDB{spoil: func(sql string, rows [][]string, err error) ([][]string, error) {
			if insert(sql) && strings.Contains(sql, "b3'") {
				return nil, &pgconn.PgError{Code: "BD100"}
			}
			return rows, err
		}}, func(c checker.Counts) int { return c.Doubled }},
		{"run twice", &fakeDB{spoil: func(sql string, rows [][]string, err error) ([][]string, error) {
			if insert(sql) && strings.Contains(sql, "b3'") {
				return nil, &pgconn.PgError{Code: "23505"}
			}
			return rows, err
		}}, func(c checker.Counts) int { return c.Doubled }},
		{"lookups see nothing", &fakeDB{spoil: func(sql string, rows [][]string, err error) ([][]string, error) {
			if lookup(sql) {
				return nil, nil
			}
			return rows, err
		}}, func(c checker.Counts) int { return c.Stale }},
		{"lookups see another's row", &fakeDB{spoil: func(sql string, rows [][]string, err error) ([][]string, error) {
			if lookup(sql) && len(rows) > 0 {
				return [][]string{{"x", "y", "z"}}, nil
			}
			return rows, err
		}}, func(c checker.Counts) int { return c.Mixed }},
		{"connections end without an answer", &fakeDB{spoil: func(sql string, rows [][]string, err error) ([][]string, error) {
			if lookup(sql) && strings.Contains(sql, "b3'") {
				return nil, errors.New("EOF")
			}
			return rows, err
		}}, func(c checker.Counts) int { return c.Cut }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				counts := run(t, settings(c.db)).Audit.Counts
				is.Equal(counts.Zero(), c.count == nil)
				is.True(c.count == nil || c.count(counts) > 0)
			})
		})
	}
}

func TestOverTheProtocol(t *testing.T) {
	for _, moves := range []generator.Movement{generator.Stay, generator.Move, generator.Alternate} {
		t.Run(string(moves), func(t *testing.T) {
			is := is.New(t)
			group, err := upstream.NewGroup(upstream.Options{Setup: "CREATE TABLE bookings (id text, seat text, session text)"})
			is.NoErr(err)
			defer group.Close()
			g := settings(nil)
			g.Connect, g.Name, g.Rate, g.Moves, g.Every = nil, "", 2000, moves, 3
			g.Timeout = time.Minute // slow machines are not what is tested
			g.User, g.Database = "app", "app"
			g.Addrs = append(group.Addrs(), group.Addrs()...)
			report, err := g.Run(t.Context(), time.Now().Add(200*time.Millisecond))
			is.NoErr(err)
			is.NoErr(g.Audit(t.Context(), report))
			is.Equal(report.Audit.Counts, checker.Counts{})
			is.Equal(report.Score, report.Best)
			is.Equal(report.Codes, map[string]int{})
			is.Equal(report.Moves > 0, moves == generator.Move)
			is.True(report.Audit.Acknowledged > 0)
		})
	}
}

// Symptom: a load run counts a cut request when a proxy stops gracefully.
// Sequence: the proxy closes a connection between two requests; the session
// sends the next one into it.
// Cause: the session didn't look whether its idle connection was over.
func TestIdleConnectionThatIsOverIsReplaced(t *testing.T) {
	is := is.New(t)
	group, err := upstream.NewGroup(upstream.Options{Setup: "CREATE TABLE bookings (id text, seat text, session text)"})
	is.NoErr(err)
	defer group.Close()
	u := group.Upstreams[0]
	g := settings(nil)
	g.Connect, g.Sessions, g.Bookings, g.Transactions = nil, 1, 1, 0
	g.Timeout = time.Minute
	g.Addrs = group.Addrs()
	done := 0
	g.Done = func(generator.Event) {
		if done++; done == 3 {
			u.Crash()
			u.Restore()
		}
	}
	report, err := g.Run(t.Context(), time.Now().Add(200*time.Millisecond))
	is.NoErr(err)
	is.NoErr(g.Audit(t.Context(), report))
	is.Equal(report.Audit.Counts, checker.Counts{})
	is.Equal(report.Classes[generator.Booking].Done, report.Classes[generator.Booking].Total)
}
