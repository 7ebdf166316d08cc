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

// Guards against callers that are told that nothing is kept of what an upstream may have done, and
// against doubt where there is none.
func TestCodeWithoutResult(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []Verb
		verb   Verb
		want   carrier.Code
	}{
		{"read", nil, Read, carrier.Failed},
		{"write", nil, Write, carrier.InDoubt},
		{"write in a transaction", []Verb{Begin, Write}, Write, carrier.Aborted},
		{"commit", []Verb{Begin, Write}, Commit, carrier.InDoubt},
		{"commit of a read-only transaction", []Verb{BeginReadOnly, Read}, Commit, carrier.Aborted},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, _ := newSession()
			for _, verb := range test.before {
				is.Equal(s.do(verb, "", "seat").Code, carrier.OK)
			}
			is.Equal(s.CodeWithoutResult(Statement{Verb: test.verb, Value: "seat"}), test.want)
		})
	}
	is := is.New(t)
	s, _ := newSession()
	is.Equal(s.do(Prepare, "s", "shape").Code, carrier.OK)
	is.Equal(s.CodeWithoutResult(Statement{Verb: Execute, Name: "s"}), carrier.Failed)
	s.Handle(Statement{Verb: Prepare, Name: "s", Value: "shape", Writes: true}, s.Now())
	is.Equal(s.CodeWithoutResult(Statement{Verb: Execute, Name: "s"}), carrier.InDoubt)
}
