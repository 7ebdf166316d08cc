package demonstrator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a failover gap of a few milliseconds is shown, shorter than the
// failover itself took. Sequence: a primary is cut off while the answer to a
// booking is on its way, and that answer arrives. Cause: the first answer after
// the fault is taken for one of the new primary.
func TestGapIsNotEndedByAnAnswerOnItsWay(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	var g gap
	g.done(at(0))
	g.done(at(90))
	g.begin() // at 100
	g.done(at(110))
	_, over := g.measured()
	is.True(!over)
	g.replaced(at(400))
	g.done(at(450))
	g.done(at(2000)) // a pause of another cause
	length, over := g.measured()
	is.True(over)
	is.Equal(length, 340*time.Millisecond)
}

func TestGapWithoutFaultIsNone(t *testing.T) {
	is := is.New(t)
	var g gap
	g.done(time.UnixMilli(1))
	_, over := g.measured()
	is.True(!over)
}
