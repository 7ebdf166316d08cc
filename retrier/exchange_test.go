package retrier

import (
	"testing"

	"github.com/matryer/is"
)

// Symptom: a caller gets rows that another request asked for.
// Sequence: in the table; "send" opens a request, "drop N" gives N up, "answer
// N" is the end of an answer to request N.
// Cause: an answer taken by its place on the connection, not by its request.
func TestExchange(t *testing.T) {
	type step struct {
		do   string
		id   uint64
		want Match
	}
	for _, c := range []struct {
		name   string
		steps  []step
		usable bool
	}{
		{"in order", []step{{"send", 1, 0}, {"answer", 1, Whole}, {"send", 2, 0}, {"answer", 2, Whole}}, true},
		{"late", []step{{"send", 1, 0}, {"drop", 1, 0}, {"answer", 1, Overdue}}, false},
		{"late, never came", []step{{"send", 1, 0}, {"drop", 1, 0}}, false},
		{"doubled at rest", []step{{"send", 1, 0}, {"answer", 1, Whole}, {"answer", 1, Doubled}}, false},
		{"doubled, next waits", []step{{"send", 1, 0}, {"answer", 1, Whole}, {"send", 2, 0}, {"answer", 1, Doubled}, {"answer", 2, Crossed}}, false},
		{"crossed, nothing asked", []step{{"answer", 1, Crossed}}, false},
		{"crossed, another's", []step{{"send", 1, 0}, {"answer", 9, Crossed}, {"answer", 1, Crossed}}, false},
		{"drop of an older one", []step{{"send", 1, 0}, {"answer", 1, Whole}, {"drop", 1, 0}, {"send", 2, 0}, {"answer", 2, Whole}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var e Exchange
			for _, s := range c.steps {
				switch s.do {
				case "send":
					is.Equal(e.Send(), s.id)
				case "drop":
					e.GiveUp(s.id)
				default:
					is.Equal(e.Answer(s.id), s.want)
				}
			}
			is.Equal(e.Usable(), c.usable)
			if !c.usable {
				is.Equal(e.Send(), uint64(0)) // a broken exchange takes no request
			}
		})
	}
}

func TestFromSQLState(t *testing.T) {
	for code, want := range map[string]Outcome{
		"BD002": {Kind: NotRun, Cause: Fenced},
		"25006": {Kind: NotRun, Cause: ReadOnly},
		"53300": {Kind: NotRun, Cause: Refused},
		"57P01": {Kind: Unknown, Cause: Lost},
		"BD003": {Kind: Unknown, Cause: Lost},
		"08007": {Kind: Unknown, Cause: Lost},
	} {
		got, ok := FromSQLState(code)
		is := is.New(t)
		is.True(ok)
		is.Equal(got, want)
	}
	_, ok := FromSQLState("23505") // the statement's own answer
	is.New(t).True(!ok)
}
