package proof

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
)

// load is the callers of a case and the ledger of what they were told.
type load struct {
	f        *fleet
	ledger   checker.Ledger
	requests int
	ended    atomic.Int64
	mu       sync.Mutex
	each     map[string]int // requests ended, by session
	wake     chan struct{}
	done     chan *generator.Report
}

const (
	rate     = 250 // requests a second
	requests = 500
	sessions = 16
)

// begin lets callers come.
func (f *fleet) begin(moves generator.Movement) *load {
	l := &load{f: f, requests: requests, each: make(map[string]int), wake: make(chan struct{}, 1), done: make(chan *generator.Report, 1)}
	g := generator.Generator{
		Addrs: f.callers(), User: "kiosk", Password: password, Database: database, Group: groupName,
		Rate: rate, Bookings: 0.5, Transactions: 0.2, Requests: l.requests, Sessions: sessions,
		Moves: moves, Every: 5, Timeout: 10 * time.Second, Patience: 20 * time.Second,
		Seed: 7, Name: "w", Ledger: &l.ledger,
		Done: func(e generator.Event) {
			l.mu.Lock()
			l.each[e.Session]++
			l.mu.Unlock()
			l.ended.Add(1)
			select {
			case l.wake <- struct{}{}:
			default:
			}
		},
	}
	ctx := f.t.Context()
	go func() {
		report, _ := g.Run(ctx, time.Now().Add(time.Hour)) // fails only when the test has ended
		l.done <- report
	}()
	return l
}

// reach returns when a share of the requests has ended.
func (l *load) reach(share float64) {
	for float64(l.ended.Load()) < share*float64(l.requests) {
		select {
		case <-l.wake:
		case <-l.f.t.Context().Done():
			l.f.t.Fatal("too few requests were answered")
		}
	}
}

// turnover returns when each session has ended another request: what was under
// way before, a transaction as well, is over then.
func (l *load) turnover() {
	ended := func() map[string]int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return maps.Clone(l.each)
	}
	before := ended()
	l.f.await("another request of each session", func() bool {
		now := ended()
		for session, n := range now {
			if n == before[session] {
				return false
			}
		}
		return len(now) == sessions
	})
}

// audit waits for the end of the load, and for one booking through each proxy
// that runs, and compares what callers were told with what the primary holds.
func (l *load) audit() {
	l.f.t.Helper()
	is := is.New(l.f.t)
	report := <-l.done
	l.f.awaitBooking(&l.ledger)
	result := l.ledger.Audit(l.f.rows())
	l.f.t.Logf("%s; acknowledged %d not run %d unknown %d (of these %d there); codes %v; greatest gap between bookings %.0f ms", result.Counts,
		result.Acknowledged, result.Refused, result.Unknown, result.Present, report.Codes, report.Classes[generator.Booking].Gap)
	for _, found := range result.Findings {
		l.f.t.Error(found.Kind, found.Text)
	}
	is.Equal(result.Counts.String(), "lost 0 doubled 0 stale 0 cut 0 mixed 0")
	bookings := report.Classes[generator.Booking]
	sent := bookings.Total - bookings.Missed // the others' time was over before callers on a busy machine came to them
	is.True(2*bookings.Done > sent)          // a load that is refused proves nothing
	is.True(5*bookings.Done > bookings.Total)
	l.f.awaitSame()
}

// rows returns what the primary of the highest term holds.
func (f *fleet) rows() []checker.Row {
	var list []checker.Row
	for _, r := range f.group.Primary().Rows("bookings") {
		list = append(list, checker.Row{Group: groupName, ID: r[0], Seat: r[1], Session: r[2]})
	}
	return list
}

// holds reports whether the primary of the highest term has a booking.
func (f *fleet) holds(id string) bool {
	return slices.ContainsFunc(f.rows(), func(r checker.Row) bool { return r.ID == id })
}

// awaitBooking makes a booking through each proxy that runs, each with an ID of
// its own, until one is acknowledged.
func (f *fleet) awaitBooking(l *checker.Ledger) {
	f.t.Helper()
	for _, p := range f.proxies {
		if p.ended {
			continue
		}
		n := 0
		f.await("a booking at "+p.name, func() bool {
			n++
			return f.book(l, p, "after-"+p.name+"-"+string(rune('a'+n/26%26))+string(rune('a'+n%26))) == nil
		})
	}
}

// book makes one booking on a connection of its own and records what came of it.
func (f *fleet) book(l *checker.Ledger, p *proxy, id string) error {
	c, err := f.dial(p, "")
	if err != nil {
		return err
	}
	b := checker.Booking{ID: id, Group: groupName, Seat: id, Session: id}
	l.Begin(b)
	_, err = c.Exec(f.t.Context(), insert, b.ID, b.Seat, b.Session)
	if err == nil {
		l.End(id, checker.Done)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.Close(ctx)
	return err
}

const insert = "INSERT INTO bookings (id, seat, session) VALUES ($1, $2, $3)"

// awaitSame waits until all upstreams that can be reached hold the same rows: a
// replaced primary has dropped what the new one doesn't have.
func (f *fleet) awaitSame() {
	f.t.Helper()
	f.await("all upstreams hold the same", func() bool {
		for _, u := range f.group.Upstreams {
			if !equal(u, f.group.Primary()) {
				return false
			}
		}
		return true
	})
}

func equal(a, b *upstream.Upstream) bool {
	return slices.EqualFunc(a.Rows("bookings"), b.Rows("bookings"), slices.Equal)
}

// Symptom: a check that passes whatever happens. Sequence: a promise is broken
// behind the proxies' backs, by a row taken from the primary's answer to the
// audit. Cause: the audit would compare nothing.
func TestAuditCanFail(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 1})
	var ledger checker.Ledger
	is.NoErr(f.book(&ledger, f.proxies[0], "a"))
	is.NoErr(f.book(&ledger, f.proxies[0], "b"))
	rows := f.rows()
	is.Equal(ledger.Audit(rows).Counts, checker.Counts{})
	is.Equal(ledger.Audit(rows[1:]).Counts, checker.Counts{Lost: 1})
	is.Equal(ledger.Audit(append(rows, rows[0])).Counts, checker.Counts{Doubled: 1})
}
