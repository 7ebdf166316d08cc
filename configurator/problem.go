package configurator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong with a document: where, what, and what
// would be allowed.
type Problem struct {
	File  string // empty when the object is a stored one
	Line  int    // from 1; 0 when unknown
	ID    ID
	Field string // path of the field, as in upstreams[1].zone; may be empty
	Text  string
}

// String returns "file:line: kind/name: field: text", without the parts that
// are empty.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.ID != (ID{}) {
		b.WriteString(p.ID.String() + ": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems lists what is wrong.
type Problems []Problem

// ProblemsError is an error that lists all that is wrong, by file and line.
type ProblemsError struct {
	Problems Problems
}

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// err returns the problems as a *ProblemsError, sorted, and nil when there are
// none.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	return &ProblemsError{Problems: ps.sorted()}
}

// sorted returns the problems by file and line.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.ID.String(), b.ID.String()), cmp.Compare(a.Field, b.Field),
		)
	})
	return ps
}
