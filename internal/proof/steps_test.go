package proof

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
)

// outcome is the SQLSTATE that a caller got; empty for done.
func outcome(err error) string {
	var answer *pgconn.PgError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &answer):
		return answer.Code
	default:
		return "no answer"
	}
}

// Symptom: half a transaction is there, or another caller's work carries it.
// Sequence: a proxy is killed, and at another one a caller goes away, in the
// middle of a transaction that has written; others go on working on the same
// upstream. Cause: an upstream connection is used again with what was left open.
func TestTransactionOfADeadProxyOrCallerLeavesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 2, upstream: upstream.Options{Connections: 60}})
	ctx := t.Context()
	acknowledged := f.connect(f.proxies[0], "")
	_, err := acknowledged.Exec(ctx, "BEGIN; INSERT INTO bookings (id, seat, session) VALUES ('whole', '1', 's'); COMMIT")
	is.NoErr(err)
	for i, p := range f.proxies {
		c := f.connect(p, "")
		_, err = c.Exec(ctx, "BEGIN")
		is.NoErr(err)
		_, err = c.Exec(ctx, insert, "half"+p.name, "2", "s")
		is.NoErr(err)
		if i == 0 {
			f.kill(p)
		} else {
			is.NoErr(c.PgConn().Conn().Close())
		}
	}
	other := f.connect(f.proxies[1], "")
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		_, err = other.Exec(ctx, insert, id, id, "t") // on the connection that was left, among others
		is.NoErr(err)
	}
	is.True(f.holds("whole"))
	for _, p := range f.proxies {
		is.True(!f.holds("half" + p.name))
	}
	is.Equal(len(f.rows()), 7)
}

// Symptom: a sale is acknowledged and not there. Sequence: a proxy has sent a
// booking to the primary and is stopped from running; the primary, cut off from
// its replicas, commits it and answers; it is replaced; the proxy goes on and
// finds the answer. Cause: an answer that is taken without another look at the
// term.
func TestPausedProxyAcknowledgesNothingOfAReplacedPrimary(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	f := newFleet(t, options{proxies: 3, observe: func(_ int, _ uint32, sql string) {
		if strings.Contains(sql, "'in-hand'") {
			ran.Store("in-hand", true)
		}
	}})
	c := f.connect(f.proxies[0], "basildale.session=guard&basildale.deadline=60s")
	_, err := c.Exec(t.Context(), insert, "before", "1", "guard")
	is.NoErr(err)
	old := f.group.Primary()
	term := old.State().Term
	old.Cut(upstream.Cut{Open: true, Replicas: true}) // callers reach it, replicas don't
	told := make(chan error, 1)
	go func() {
		_, err := c.Exec(t.Context(), "INSERT INTO bookings (id, seat, session) VALUES ('in-hand', '2', 'guard')")
		told <- err
	}()
	f.await("the old primary has the booking", func() bool {
		_, sent := ran.Load("in-hand")
		return sent && len(old.Rows("bookings")) == 2
	})
	f.pause(0)
	old.Cut(upstream.Cut{Callers: nil, Silent: true, Replicas: true})
	f.awaitReplaced(f.proxies[1], term)
	f.awaitGivenUp(0)
	is.True(!f.holds("in-hand")) // no replica had it
	f.signal(f.proxies[0], syscall.SIGCONT)
	err = <-told
	is.True(err != nil) // not acknowledged
	if outcome(err) == "BD100" || outcome(err) == "BD101" {
		is.True(!f.holds("in-hand"))
	}
	old.Restore()
	f.awaitSame() // the unconfirmed tail is dropped
	is.True(f.holds("before"))
	for i := range f.proxies {
		var n string
		again := f.connect(f.proxies[i], "basildale.session=guard")
		is.NoErr(again.QueryRow(t.Context(), "SELECT id FROM bookings WHERE id = 'before'").Scan(&n))
	}
}

// Symptom: a guard waits for a whole deadline although the group has had another
// primary for long. Sequence: a booking and a lookup are sent to a primary that
// is cut off without a word; it is replaced. Cause: nothing ends a wait for an
// upstream that is known to be replaced. The cut lasts until the answers are
// there and the deadline is far, so that only giving the waits up brings them;
// 20000 bookings at the other proxy are the patience.
func TestWhatWaitsForAReplacedPrimaryIsGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 2})
	writer := f.connect(f.proxies[0], "basildale.deadline=600s")
	reader := f.connect(f.proxies[0], "basildale.deadline=600s")
	_, err := reader.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = reader.Exec(t.Context(), insert, "dropped", "1", "s") // binds it to the primary
	is.NoErr(err)
	old := f.group.Primary()
	term := old.State().Term
	old.Cut(upstream.Cut{Silent: true, Replicas: true})
	codes := make(chan string, 2)
	go func() {
		_, err := writer.Exec(t.Context(), insert, "waited", "2", "s")
		codes <- outcome(err)
	}()
	go func() {
		_, err := reader.Exec(t.Context(), "SELECT id FROM bookings")
		codes <- outcome(err)
	}()
	f.awaitReplaced(f.proxies[0], term)
	other := f.connect(f.proxies[1], "")
	for n := 0; len(codes) < cap(codes); n++ {
		if n == 20000 {
			t.Fatalf("still waiting for a replaced primary, %d of 2 answered", len(codes))
		}
		_, _ = other.Exec(t.Context(), insert, fmt.Sprint("other", n), "3", "t") // a refusal counts as well
	}
	for range 2 {
		code := <-codes
		is.True(code == "" || code == "BD100") // done by the new primary, or not run; not late, not unknown
	}
	old.Restore()
	f.awaitSame()
	is.True(!f.holds("dropped"))
}

// Symptom: a booking that was on its way has no answer, or a transaction is lost,
// because a proxy was stopped. Sequence: a booking is running at the upstream of
// one proxy, a transaction is open at another when they get SIGTERM; the
// transaction goes on after its proxy has closed its listener. Cause: a stop that
// doesn't wait.
func TestGracefulStopFinishesWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	running := make(chan struct{}, 1)
	f := newFleet(t, options{proxies: 3, upstream: upstream.Options{Service: 150 * time.Millisecond}, observe: func(_ int, _ uint32, sql string) {
		if strings.Contains(sql, "'flight'") {
			running <- struct{}{}
		}
	}})
	open := f.connect(f.proxies[1], "")
	_, err := open.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = open.Exec(t.Context(), insert, "open", "1", "s")
	is.NoErr(err)
	told := make(chan error, 1)
	c := f.connect(f.proxies[0], "")
	go func() {
		_, err := c.Exec(t.Context(), "INSERT INTO bookings (id, seat, session) VALUES ('flight', '2', 's')")
		told <- err
	}()
	<-running
	for _, p := range f.proxies[:2] {
		f.signal(p, syscall.SIGTERM)
	}
	f.await("no new callers", func() bool {
		conn, err := net.Dial("tcp", f.proxies[1].callers.String())
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	_, err = open.Exec(t.Context(), "COMMIT")
	is.NoErr(err)
	is.NoErr(<-told)
	for _, p := range f.proxies[:2] {
		is.NoErr(p.wait()) // exit code 0
	}
	is.Equal(len(f.rows()), 2)
}

// Symptom: no booking goes through a proxy although the upstream has nothing to
// do. Sequence: one caller has an open transaction and thinks; others book.
// Cause: the open transaction keeps a place in the proxy's queue to the upstream,
// and the queue begins with a single place.
func TestOpenTransactionHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 1})
	open := f.connect(f.proxies[0], "")
	_, err := open.Exec(t.Context(), "BEGIN")
	is.NoErr(err)
	_, err = open.Exec(t.Context(), insert, "open", "1", "s")
	is.NoErr(err)
	_, err = f.connect(f.proxies[0], "").Exec(t.Context(), insert, "other", "2", "t")
	is.NoErr(err) // in time, though the transaction is still open
	_, err = open.Exec(t.Context(), "COMMIT")
	is.NoErr(err)
}

// Symptom: a deposit is charged twice, or told as not run and charged. Sequence:
// the primary's answers to some bookings are lost after they have committed.
// Cause: a booking that is sent again without a look at what became of it.
func TestLostAnswersRunOnceAndAreToldRightly(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	sent := map[string]int{}
	f := newFleet(t, options{proxies: 1, observe: func(_ int, _ uint32, sql string) {
		if _, id, ok := strings.Cut(sql, "VALUES ('lost"); ok {
			mu.Lock()
			defer mu.Unlock()
			sent[id]++
		}
	}})
	var ledger checker.Ledger
	const bookings = 30
	c := f.connect(f.proxies[0], "")
	for n := range bookings {
		if n%3 == 0 {
			f.group.Primary().LoseAnswers(1)
		}
		id := "lost" + string(rune('A'+n))
		ledger.Begin(checker.Booking{ID: id, Group: groupName, Seat: id, Session: "s"})
		_, err := c.Exec(t.Context(), "INSERT INTO bookings (id, seat, session) VALUES ('"+id+"', '"+id+"', 's')")
		switch code := outcome(err); code {
		case "":
			ledger.End(id, checker.Done)
		case "08007": // unknown
		case "BD100", "BD101":
			ledger.End(id, checker.NotRun)
		case "23505":
			ledger.End(id, checker.Repeated)
		default:
			t.Fatal(code, err)
		}
	}
	result := ledger.Audit(f.rows())
	t.Logf("%s; acknowledged %d not run %d unknown %d", result.Counts, result.Acknowledged, result.Refused, result.Unknown)
	is.Equal(result.Counts, checker.Counts{})
	is.Equal(len(sent), bookings)
	for id, n := range sent {
		if n != 1 {
			t.Errorf("booking %s was sent %d times", id, n)
		}
	}
}

// Symptom: an upstream that was announced to leave is still busy when it is
// switched off. Sequence: the platform lists a replica as leaving while callers
// read. Cause: the list is not heeded by the choice of the upstream.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 2})
	leaving := f.group.Upstreams[2]
	read := func() {
		for _, p := range f.proxies {
			c := f.connect(p, "")
			for range 40 {
				_, err := c.Exec(t.Context(), "SELECT id FROM bookings WHERE id = 'x'")
				is.NoErr(err)
			}
			_ = c.Close(context.Background())
		}
	}
	read()
	is.True(leaving.Counts().Statements > 0) // it has worked before
	f.listed[2].State = "leaving"
	f.platform.SetInstances(f.listed)
	// Each look at the list is a call; each proxy makes one a second.
	calls := f.platform.Calls()["instances"]
	begin := time.Now()
	f.await("each proxy has the list", func() bool { return f.platform.Calls()["instances"] >= calls+3*len(f.proxies) })
	before := leaving.Counts().Statements
	read()
	is.Equal(leaving.Counts().Statements, before)
	t.Logf("no statement after %s", time.Since(begin).Round(time.Millisecond))
}

// Symptom: writes go on to an upstream that is about to be switched off, and the
// group has a failover in place of a planned change. Sequence: the platform lists
// the primary as leaving. Cause: only reads are kept away from it.
func TestLeavingPrimaryIsMovedAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, options{proxies: 2})
	leaving := f.group.Primary()
	term := leaving.State().Term
	l := f.begin(generator.Move)
	l.reach(0.2)
	begin := time.Now()
	f.listed[0].State = "leaving"
	f.platform.SetInstances(f.listed)
	for _, p := range f.proxies {
		f.awaitReplaced(p, term)
	}
	t.Logf("another primary after %s", time.Since(begin).Round(time.Millisecond))
	commits := leaving.Counts().Commits
	l.turnover() // a transaction that was open there ends with a refusal, which counts as a statement
	before := leaving.Counts().Writes
	l.audit()
	is.Equal(leaving.Counts().Writes, before)
	is.Equal(leaving.Counts().Commits, commits)
}
