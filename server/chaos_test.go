package server

import (
	"context"
	"strconv"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"

	"basildale.example/basildale/internal/faker/upstream"
)

// ledger is what callers were told of their bookings, by row.
type ledger struct {
	mu   sync.Mutex
	told map[int]string // SQLSTATE, empty for done
}

func (l *ledger) note(id int, code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[id] = code
}

// TestOutcomesAreTrueUnderFaults books rows from many callers, by every way,
// while the upstream crashes, loses answers and comes back. Whatever the order:
// what was acknowledged is there, what was not run is not, and the pool counts
// right when all is over.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	const callers, rounds = 40, 40
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 10 })
	l := &ledger{told: map[int]string{}}
	var all sync.WaitGroup
	for i := range callers {
		c := f.connect(t, "")
		all.Go(func() {
			for r := range rounds {
				id := i*rounds + r
				l.note(id, bookOnce(t, c, id, r%4))
			}
		})
	}
	stop, faults := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(faults)
		up := f.group.Upstreams[0]
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
			}
			if n%3 == 0 {
				up.LoseAnswers(3)
			}
			c := up.Counts()
			for up.Counts().Commits < c.Commits+10 { // let some work be done
				select {
				case <-stop:
					return
				default:
				}
			}
			up.Crash()
			up.Restore()
		}
	}()
	all.Wait()
	close(stop)
	<-faults
	f.compare(t, l)
	stats := f.server.pools.get("billet", f.group.Upstreams[0].Addr()).Stats()
	if stats.Open != stats.Idle || stats.Open > 10 || stats.Waiting != 0 {
		t.Errorf("%+v", stats)
	}
}

// bookOnce books one row by one of four ways and returns the SQLSTATE.
func bookOnce(t *testing.T, c *pgx.Conn, id, way int) string {
	const insert = "INSERT INTO seats (id, holder) VALUES ($1, $2)"
	holder := strconv.Itoa(id)
	switch way {
	case 0:
		_, err := c.Exec(t.Context(), insert, pgx.QueryExecModeSimpleProtocol, id, holder)
		return told(err)
	case 1:
		_, err := c.Exec(t.Context(), insert, id, holder)
		return told(err)
	case 2:
		b := &pgx.Batch{}
		b.Queue(insert, id, holder)
		b.Queue("SELECT 1")
		return told(c.SendBatch(t.Context(), b).Close())
	}
	tx, err := c.Begin(t.Context())
	if err != nil {
		return told(err)
	}
	if _, err := tx.Exec(t.Context(), insert, id, holder); err != nil {
		_ = tx.Rollback(context.Background()) // its error is not the outcome
		return told(err)
	}
	return told(tx.Commit(t.Context()))
}

// told returns an error's SQLSTATE; errors without one count as unknown.
func told(err error) string {
	if err != nil && code(err) == "" {
		return "08007"
	}
	return code(err)
}

// compare checks the ledger against the upstream's rows.
func (f *fixture) compare(t *testing.T, l *ledger) {
	t.Helper()
	there := map[int]string{}
	for _, r := range f.group.Upstreams[0].Rows("seats") {
		id, _ := strconv.Atoi(r[0])
		there[id] = r[1]
	}
	counts := map[string]int{}
	for id, code := range l.told {
		counts[code]++
		holder, ok := there[id]
		switch {
		case ok && holder != strconv.Itoa(id):
			t.Errorf("row %d belongs to %s", id, holder)
		case code == "" && !ok:
			t.Errorf("row %d was acknowledged and is lost", id)
		case code != "" && code != "08007" && ok:
			t.Errorf("row %d is there, its caller was told %s", id, code)
		}
	}
	for code, n := range counts {
		if code != "" && code != "08007" && code != "BD100" {
			t.Errorf("%d callers were told %s", n, code)
		}
	}
	if counts[""] == 0 {
		t.Error("nothing was done")
	}
}
