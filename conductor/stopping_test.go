package conductor

import (
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
)

// Guards against work that begins right before the process ends, and against commits that are
// lost although there is time for them.
func TestStatementsWhileStopping(t *testing.T) {
	is := is.New(t)
	s, g := newSession()
	stopping := false
	s.IsStopping = func() bool { return stopping }
	is.Equal(s.do(Begin, "", "").Code, carrier.OK)
	is.Equal(s.do(Write, "", "seat anna").Code, carrier.OK)
	stopping = true
	is.Equal(s.do(Commit, "", "").Code, carrier.OK)
	ran := len(g.jobs)
	for _, verb := range []Verb{Read, Write, Begin, BeginReadOnly} {
		reply := s.do(verb, "", "seat bo")
		is.Equal(reply.Code, carrier.Busy)
		is.Equal(reply.State, carrier.Idle)
	}
	is.Equal(len(g.jobs), ran)

	stopping = false
	is.Equal(s.do(Begin, "", "").Code, carrier.OK)
	is.Equal(s.do(Write, "", "seat anna").Code, carrier.OK)
	stopping = true
	is.Equal(s.do(Write, "", "seat bo").Code, carrier.Aborted)
	is.Equal(s.do(Commit, "", "").Code, carrier.Aborted)
	is.Equal(s.State(), carrier.Idle)
	is.Equal(g.transactionEndings(), []string{"commit", "rollback"})
}
