package promoter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/promoter"
)

// quiet returns the leader's Group of a healthy fleet and the time.
func quiet() (*promoter.Group, promoter.Answered, time.Time) {
	w := newWorld(1, options{})
	w.RunUntil(epochStart.Add(warmUp))
	return &w.leader().group, promoter.Answered{Upstream: w.primary().addr}, w.Now
}

func TestAnswersAllocateNothing(t *testing.T) {
	g, ev, now := quiet()
	var boxed promoter.Event = ev
	is.New(t).Equal(testing.AllocsPerRun(100, func() { g.Handle(boxed, now) }), 0.0)
}

func BenchmarkAnswered(b *testing.B) {
	g, ev, now := quiet()
	var boxed promoter.Event = ev
	b.ReportAllocs()
	for b.Loop() {
		g.Handle(boxed, now)
	}
}
