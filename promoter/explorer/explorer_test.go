package explorer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// replacedTwice leads to two promotions with an unconfirmed write in each of the
// first two terms. The next promotion decides which of the two logs lives on.
var replacedTwice = []string{
	"write 0 on 0 at 8",
	"leader 0 begins 16",
	"1 is fenced at 16",
	"2 is fenced at 16",
	"leader 0 hears that 1 is fenced at 16",
	"leader 0 hears that 2 is fenced at 16",
	"leader 0 asks 1 to be primary at 16",
	"1 is primary at 16",
	"write 1 on 1 at 16",
	"leader 1 begins 9",
	"1 refuses 9, being at 16",
	"leader 1 begins 17",
	"0 is fenced at 17",
	"2 is fenced at 17",
	"leader 1 hears that 0 is fenced at 17",
	"leader 1 hears that 2 is fenced at 17",
	"leader 1 asks 0 to be primary at 17",
	"0 is primary at 17",
}

// Symptom: an acknowledged write is gone, or two primaries share a term.
// Sequence: any order of the steps of two leaders, three upstreams and writers,
// with any of them paused and any message lost, late or doubled. Cause: whatever
// the protocol overlooked.
func TestProtocolHoldsInEveryState(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name   string
		bounds Bounds
	}{
		{"one try each, one write, all states", Bounds{Tries: 1, Writes: 1}},
		{"one try each, two writes, all states", Bounds{Tries: 1, Writes: 2}},
		{"two tries each, two writes, 9 steps", Bounds{Depth: 9, Tries: 2, Writes: 2}},
		{"after one promotion, 13 steps", Bounds{Depth: 13, Tries: 2, Writes: 2, From: replacedTwice[:9]}},
		{"after two promotions, all states", Bounds{Tries: 2, Writes: 3, From: replacedTwice}},
	} {
		r := Explore(c.bounds, Rules{})
		is := is.New(t)
		is.Equal(r.Violation, "")   // the protocol is broken
		is.True(r.Promoted > 0)     // otherwise nothing was shown
		is.True(r.Acknowledged > 0) // the same
		fmt.Fprintf(&b, "%s: %s\n", c.name, r)
	}
	t.Log(b.String())
	matcher.Golden(t, "testdata/"+"explored.txt", b.String())
}

// Symptom: the exploration finds nothing. Sequence: the protocol is broken on
// purpose, in one way at a time. Cause: checks that can't fail, or bounds too
// narrow to reach the fault.
func TestBrokenProtocolsAreCaught(t *testing.T) {
	var b strings.Builder
	narrow := Bounds{Depth: 13, Tries: 1, Writes: 1}
	for _, c := range []struct {
		name   string
		bounds Bounds
		rules  Rules
	}{
		{"promotion without a fenced majority", narrow, Rules{NoMajority: true}},
		{"promotion of one that isn't the furthest", narrow, Rules{NotFurthest: true}},
		{"acknowledgement without confirmation", narrow, Rules{NoConfirmation: true}},
		{"confirmation without a look at the term", narrow, Rules{AnyTerm: true}},
		{"an older entry confirmed in a new term", Bounds{Depth: 13, Tries: 2, Writes: 2, From: replacedTwice}, Rules{OldEntry: true}},
		{"two leaders that share a term", Bounds{Depth: 16, Tries: 1}, Rules{SharedTerms: true}},
		{"a second candidate in one term", narrow, Rules{SecondCandidate: true}},
	} {
		r := Explore(c.bounds, c.rules)
		is.New(t).True(r.Violation != "") // not caught: c.name
		fmt.Fprintf(&b, "%s (after %d states): %s\n", c.name, r.States, r.Violation)
		for _, step := range r.Trace {
			fmt.Fprintf(&b, "    %s\n", step)
		}
	}
	matcher.Golden(t, "testdata/"+"caught.txt", b.String())
}
