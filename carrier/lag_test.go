package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an upstream that spends a fifth of its load on refusing reads for lag, so
// that these are late. A replica receives nothing, or applies a second late, for some
// seconds, while reads that may be 1.5 s old keep arriving. When a refusal counted for only
// 60 ms, each read tried each replica anew.
func TestReadsAvoidLaggingReplica(t *testing.T) {
	is := is.New(t)
	const negligible = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var l lag
	is.True(!l.lacks(now, now)) // nothing is known yet
	l.recordRefused(now, now.Add(-time.Second))
	now = now.Add(50 * time.Millisecond)
	is.True(l.lacks(now, now.Add(-900*time.Millisecond)))
	is.True(!l.lacks(now, now.Add(-1200*time.Millisecond))) // an older log is enough
	now = now.Add(lagRetryDelay)
	is.True(!l.lacks(now, now)) // one read tries again
	l.recordRetry(now)
	is.True(l.lacks(now, now)) // and the next ones do not
	l.recordServed(now, now.Add(-500*time.Millisecond), negligible)
	is.True(!l.lacks(now, now.Add(-600*time.Millisecond))) // its lag has halved
	is.True(l.lacks(now, now.Add(-400*time.Millisecond)))
	l.recordServed(now, now.Add(-50*time.Millisecond), negligible)
	is.True(!l.lacks(now, now)) // it no longer lags
}

// Samples give the time at which the leader's log first contained a mark, and the time up
// to which the log of a replica at a mark is complete.
func TestSampleTimes(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * 100 * time.Millisecond) }
	for i := range 10 {
		s.add(at(i), mark(1, uint64(10*i)))
	}
	is.Equal(s.firstContaining(mark(1, 35), at(20)), at(4)) // the first at which the log contained it
	is.Equal(s.firstContaining(mark(1, 95), at(20)), at(20))
	is.Equal(s.completeTo(mark(1, 35)), at(3))
	is.Equal(s.completeTo(mark(1, 90)), at(9))
	is.Equal(s.completeTo(mark(0, 35)), time.Time{}) // before all samples
}
