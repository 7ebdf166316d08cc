package conductor

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

func mark(pos uint64) tracker.Mark {
	return tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: tracker.Position(pos)}
}

// fakeGroup is a database group that gives the same preset answer to every request.
type fakeGroup struct {
	answer  carrier.Answer
	jobs    []*carrier.Job
	started int

	mu      sync.Mutex
	endings []string // how transactions ended
}

func (g *fakeGroup) end(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endings = append(g.endings, how)
}

// transactionEndings returns how transactions ended.
func (g *fakeGroup) transactionEndings() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.endings)
}

func (g *fakeGroup) Run(j *carrier.Job, _ carrier.Command) carrier.Answer {
	g.jobs = append(g.jobs, j)
	return g.answer
}

func (g *fakeGroup) Start(j *carrier.Job, _ bool, _ carrier.Command) (carrier.Transaction, carrier.Answer) {
	g.jobs = append(g.jobs, j)
	if g.answer.Code != carrier.OK {
		return nil, g.answer
	}
	g.started++
	return &fakeTransaction{g}, g.answer
}

func (g *fakeGroup) CommitEmpty(*carrier.Job, bool, carrier.Command) carrier.Answer {
	g.end("empty")
	return g.answer
}

type fakeTransaction struct{ g *fakeGroup }

func (t *fakeTransaction) Do(j *carrier.Job, _ carrier.Command) carrier.Answer {
	t.g.jobs = append(t.g.jobs, j)
	return t.g.answer
}

func (t *fakeTransaction) Commit(*carrier.Job, carrier.Command) carrier.Answer {
	t.g.end("commit")
	return t.g.answer
}

func (t *fakeTransaction) Rollback() { t.g.end("rollback") }

// newSession returns a session at a database whose reads must see its own writes.
func newSession() (*Session, *fakeGroup) {
	g := &fakeGroup{answer: carrier.Answer{Signature: "s", Mark: mark(7)}}
	catalog := &cataloger.Catalog{}
	catalog.Configure(cataloger.Config{Version: 3, IdleTransactionTimeout: 2 * time.Second, Routes: []cataloger.Route{
		{Database: "guards", Group: "g", Freshness: cataloger.ReadYourWrites, MaxStaleness: time.Second, Timeout: time.Second, Objective: 400 * time.Millisecond},
	}})
	return &Session{
		Database: "guards", View: catalog.View, Now: time.Now, Log: zap.NewNop(),
		Group: func(name string) (carrier.Runner, bool) { return g, name == "g" },
	}, g
}

func (s *Session) do(verb Verb, name, value string) Reply {
	defer s.RollbackEnded()
	return s.Handle(Statement{ID: "r", Verb: verb, Name: name, Value: value, Text: value}, s.Now())
}

// A read carries the mark of the session's last write and the time of its latency objective.
func TestReadsSeeTheSessionsWrites(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	is.Equal(s.do(Write, "", "seat anna").Code, carrier.OK)
	is.Equal(s.do(Read, "", "seat").Code, carrier.OK)
	is.Equal(g.jobs[0].LastWrite, tracker.Mark{})
	is.True(g.jobs[0].Writes)
	is.Equal(g.jobs[1].LastWrite, mark(7))
	is.True(!g.jobs[1].Writes)
	is.Equal(g.jobs[1].ObjectiveAt.Sub(g.jobs[1].Arrived), 400*time.Millisecond)
}

// A prepared statement is executed with the shape and the write flag that it was prepared
// with.
func TestPreparedStatements(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	is.Equal(s.do(Execute, "s", "seat").Code, carrier.NoStatement)
	is.Equal(s.Handle(Statement{Verb: Prepare, Name: "s", Value: "shape", Writes: true}, s.Now()).Code, carrier.OK)
	is.Equal(s.do(Set, "tz", "cet").Code, carrier.OK)
	is.Equal(s.do(Execute, "s", "seat anna").Code, carrier.OK)
	is.True(g.jobs[0].Writes)
	is.Equal(*g.jobs[0].Prepared, carrier.Prepared{Shape: "shape", Writes: true})
	is.Equal(g.jobs[0].Values, []carrier.Value{{Name: "tz", Data: "cet"}})
	is.Equal(s.do(Deallocate, "s", "").Code, carrier.OK)
	is.Equal(s.do(Deallocate, "s", "").Code, carrier.NoStatement)
}

// Guards against a statement that runs with values that its session has set after it was sent:
// copies of it may outlast its answer.
func TestJobKeepsTheValuesOfItsStatement(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.do(Set, "tz", "utc")
	s.do(Set, "lang", "da")
	s.do(Read, "", "seat")
	s.do(Set, "tz", "cet")
	s.do(Set, "user", "anna")
	s.do(Read, "", "seat")
	is.Equal(g.jobs[0].Values, []carrier.Value{{Name: "tz", Data: "utc"}, {Name: "lang", Data: "da"}})
	is.Equal(g.jobs[1].Values, []carrier.Value{{Name: "tz", Data: "cet"}, {Name: "lang", Data: "da"}, {Name: "user", Data: "anna"}})
	appended := append(g.jobs[0].Values, carrier.Value{Name: "zone", Data: "x"})
	is.Equal(len(appended), 3)
	is.Equal(g.jobs[1].Values[2], carrier.Value{Name: "user", Data: "anna"})
}

// A transaction uses no upstream until its first statement, and ends with the statement that
// ends it.
func TestTransactionsStartWithFirstStatement(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	is.Equal(s.do(Begin, "", "").State, carrier.InTransaction)
	is.Equal(g.started, 0)
	is.Equal(s.do(Write, "", "seat anna").State, carrier.InTransaction)
	is.Equal(g.started, 1)
	is.Equal(s.do(Begin, "", "").Code, carrier.Malformed)
	is.Equal(s.do(Commit, "", "").State, carrier.Idle)
	is.Equal(g.transactionEndings(), []string{"commit"})
	is.Equal(s.do(Commit, "", "").Code, carrier.Malformed) // nothing is open
	s.do(Begin, "", "")
	is.Equal(s.do(Commit, "", "").Code, carrier.OK)
	is.Equal(g.transactionEndings(), []string{"commit", "empty"})
}

// Guards against a transaction of which only a part takes effect: a statement fails, and the
// commit that the caller sends all the same is carried out.
func TestFailedTransactionIsRolledBack(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.do(Begin, "", "")
	s.do(Write, "", "seat anna")
	g.answer = carrier.Answer{Code: carrier.Aborted}
	is.Equal(s.do(Write, "", "seat bo").State, carrier.InFailedTransaction)
	is.Equal(g.transactionEndings(), []string{"rollback"})
	g.answer = carrier.Answer{}
	is.Equal(s.do(Read, "", "seat").Code, carrier.Malformed)
	is.Equal(s.do(Commit, "", "").Code, carrier.Aborted)
	is.Equal(s.State(), carrier.Idle)
	is.Equal(g.transactionEndings(), []string{"rollback"})
}

// Guards against a promise for a transaction of which something may be kept.
func TestCommitOfTransactionInDoubtPromisesNothing(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	is.Equal(s.do(Begin, "", "BEGIN").Code, carrier.OK)
	is.Equal(s.do(Write, "", "seat anna").Code, carrier.OK)
	g.answer = carrier.Answer{Code: carrier.InDoubt}
	is.Equal(s.do(Write, "", "seat otto").Code, carrier.InDoubt)
	is.Equal(s.do(Commit, "", "COMMIT").Code, carrier.InDoubt)
	g.answer = carrier.Answer{Code: carrier.Failed}
	is.Equal(s.do(Begin, "", "BEGIN").Code, carrier.OK)
	is.Equal(s.do(Write, "", "seat anna").Code, carrier.Failed)
	is.Equal(s.do(Commit, "", "COMMIT").Code, carrier.Aborted) // the next one is in no doubt
}

// Guards against a group that runs out of connections: callers begin transactions, write and
// go idle, and each transaction occupies a connection.
func TestIdleTransactionIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, g := newSession()
		s.do(Begin, "", "")
		s.do(Write, "", "seat anna")
		time.Sleep(2 * time.Second)
		is.Equal(len(g.transactionEndings()), 0) // still within the idle timeout
		time.Sleep(idleTimeoutSlack)
		synctest.Wait()
		is.Equal(g.transactionEndings(), []string{"rollback"})
		is.Equal(s.do(Commit, "", "").Code, carrier.Aborted)
	})
}

// When a caller disconnects inside a transaction, the transaction is rolled back, and requests
// that wait for an upstream are cancelled.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.do(Begin, "", "")
	s.do(Write, "", "seat anna")
	s.Close()
	is.Equal(g.transactionEndings(), []string{"rollback"})
	<-g.jobs[0].CallerGone
}

// Guards against a statement that is run and kept outside of its transaction: its caller disconnects,
// and the session is closed between the statement's arrival and its turn.
func TestStatementAfterCloseIsNotRun(t *testing.T) {
	for _, verb := range []Verb{Read, Write, Execute, Begin, Commit, Rollback, Set, Prepare, Deallocate} {
		is := is.New(t)
		s, g := newSession()
		s.do(Prepare, "s", "shape")
		s.do(Begin, "", "")
		s.do(Write, "", "seat anna")
		s.Close()
		r := s.do(verb, "s", "seat bo")
		is.Equal(r.Code, carrier.Aborted) // nothing of it is kept
		is.Equal(len(g.jobs), 1)
		is.Equal(g.transactionEndings(), []string{"rollback"})
		is.Equal(s.State(), carrier.Idle)
	}
}

// A database without a route is refused, also in the middle of a session.
func TestUnknownRoute(t *testing.T) {
	is := is.New(t)
	s, _ := newSession()
	s.Database = "nowhere"
	is.Equal(s.do(Read, "", "seat").Code, carrier.NoDatabase)
	is.Equal(s.do(Begin, "", "").Code, carrier.NoDatabase)
}
