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

// group is a database group that answers all with what it is told to.
type group struct {
	answer  carrier.Answer
	jobs    []*carrier.Job
	started int

	mu   sync.Mutex
	ends []string // how transactions ended
}

func (g *group) end(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ends = append(g.ends, how)
}

// ended returns how transactions ended.
func (g *group) ended() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ends)
}

func (g *group) Run(j *carrier.Job, _ carrier.Command) carrier.Answer {
	g.jobs = append(g.jobs, j)
	return g.answer
}

func (g *group) Start(j *carrier.Job, _ bool, _ carrier.Command) (carrier.Transaction, carrier.Answer) {
	g.jobs = append(g.jobs, j)
	if g.answer.Code != carrier.OK {
		return nil, g.answer
	}
	g.started++
	return &transaction{g}, g.answer
}

func (g *group) CommitEmpty(*carrier.Job, bool, carrier.Command) carrier.Answer {
	g.end("empty")
	return g.answer
}

type transaction struct{ g *group }

func (t *transaction) Do(j *carrier.Job, _ carrier.Command) carrier.Answer {
	t.g.jobs = append(t.g.jobs, j)
	return t.g.answer
}

func (t *transaction) Commit(*carrier.Job, carrier.Command) carrier.Answer {
	t.g.end("commit")
	return t.g.answer
}

func (t *transaction) Rollback() { t.g.end("rollback") }

// newSession returns a session at a database whose reads must see its own writes.
func newSession() (*Session, *group) {
	g := &group{answer: carrier.Answer{Signature: "s", Mark: mark(7)}}
	catalog := &cataloger.Catalog{}
	catalog.Configure(cataloger.Config{Version: 3, IdleTransactionTimeout: 2 * time.Second, Routes: []cataloger.Route{
		{Database: "guards", Group: "g", Freshness: cataloger.ReadYourWrites, MaxAge: time.Second, Timeout: time.Second, Objective: 400 * time.Millisecond},
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

// A read names the session's own writes, and what is aimed at by when.
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

// Prepared statements are what they were prepared as, whatever their name is.
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

// A transaction costs nothing until its first statement, and ends as it is told.
func TestTransactionsBeginWithTheirFirstStatement(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	is.Equal(s.do(Begin, "", "").State, carrier.Open)
	is.Equal(g.started, 0)
	is.Equal(s.do(Write, "", "seat anna").State, carrier.Open)
	is.Equal(g.started, 1)
	is.Equal(s.do(Begin, "", "").Code, carrier.Malformed)
	is.Equal(s.do(Commit, "", "").State, carrier.Idle)
	is.Equal(g.ended(), []string{"commit"})
	is.Equal(s.do(Commit, "", "").Code, carrier.Malformed) // nothing is open
	s.do(Begin, "", "")
	is.Equal(s.do(Commit, "", "").Code, carrier.OK)
	is.Equal(g.ended(), []string{"commit", "empty"})
}

// Symptom: half of a transaction is kept. Sequence: a statement inside it fails, and
// the caller commits all the same. Cause: the commit is carried out.
func TestAFailedTransactionIsRolledBack(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.do(Begin, "", "")
	s.do(Write, "", "seat anna")
	g.answer = carrier.Answer{Code: carrier.Aborted}
	is.Equal(s.do(Write, "", "seat bo").State, carrier.Broken)
	is.Equal(g.ended(), []string{"rollback"})
	g.answer = carrier.Answer{}
	is.Equal(s.do(Read, "", "seat").Code, carrier.Malformed)
	is.Equal(s.do(Commit, "", "").Code, carrier.Aborted)
	is.Equal(s.State(), carrier.Idle)
	is.Equal(g.ended(), []string{"rollback"})
}

// Symptom: connections of a group run out. Sequence: callers begin, write and rest.
// Cause: their transactions hold a connection each for as long as they like.
func TestATransactionThatRestsIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, g := newSession()
		s.do(Begin, "", "")
		s.do(Write, "", "seat anna")
		time.Sleep(2 * time.Second)
		is.Equal(len(g.ended()), 0) // as long as it may
		time.Sleep(restSlack)
		synctest.Wait()
		is.Equal(g.ended(), []string{"rollback"})
		is.Equal(s.do(Commit, "", "").Code, carrier.Aborted)
	})
}

// A caller that leaves inside a transaction leaves nothing behind, and what waits for
// it gives up.
func TestACallerThatLeaves(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	s.do(Begin, "", "")
	s.do(Write, "", "seat anna")
	s.Close()
	is.Equal(g.ended(), []string{"rollback"})
	<-g.jobs[0].CallerGone
}

// A database that the configuration doesn't name is told so, also in the middle of a
// session.
func TestARouteThatIsGone(t *testing.T) {
	is := is.New(t)
	s, _ := newSession()
	s.Database = "nowhere"
	is.Equal(s.do(Read, "", "seat").Code, carrier.NoDatabase)
	is.Equal(s.do(Begin, "", "").Code, carrier.NoDatabase)
}
