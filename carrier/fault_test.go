package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: all writes of a group fail for as long as its leader is ill. Sequence: the
// leader answers whoever asks whether it is well, and fails what callers want.
// Cause: only silence counts against an upstream.
func TestAnUpstreamThatFailsItsWorkIsNoticed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f faults
	is.True(!f.many(now))
	for range 20 {
		f.note(now, false)
	}
	f.note(now, true)
	f.note(now, true)
	is.True(!f.many(now)) // two may be chance
	f.note(now, true)
	is.True(f.many(now))
	is.True(!f.many(now.Add(2 * faultsLast))) // nothing is known any more
	f.note(now.Add(2*faultsLast), true)
	is.True(!f.many(now.Add(2 * faultsLast)))
}

// An upstream that loses a tenth of its answers, here each tenth one, does its work.
func TestSomeLostAnswersAreNoFailure(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var f faults
	for i := range 1000 {
		f.note(now, i%10 == 0)
		is.True(!f.many(now))
	}
}
