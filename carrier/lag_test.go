package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Symptom: a fifth of what upstreams get is refused for lag, and reads are late.
// Sequence: a replica receives nothing, or applies a second late, for some seconds;
// reads that may be 1.5 s old come all the time. Cause: the refusal was forgotten
// after 60 ms, so each read tried each replica anew.
func TestALaggingReplicaIsSparedWhatItLacks(t *testing.T) {
	is := is.New(t)
	const little = 100 * time.Millisecond
	now := time.Unix(1000, 0)
	var l lag
	is.True(!l.lacks(now, now)) // nothing is known against it
	l.refused(now, now.Add(-time.Second))
	now = now.Add(50 * time.Millisecond)
	is.True(l.lacks(now, now.Add(-900*time.Millisecond)))
	is.True(!l.lacks(now, now.Add(-1200*time.Millisecond))) // an older log will do
	now = now.Add(lagRetry)
	is.True(!l.lacks(now, now)) // one read tries again
	l.trying(now)
	is.True(l.lacks(now, now)) // and the next ones don't
	l.served(now, now.Add(-500*time.Millisecond), little)
	is.True(!l.lacks(now, now.Add(-600*time.Millisecond))) // it has caught up by half
	is.True(l.lacks(now, now.Add(-400*time.Millisecond)))
	l.served(now, now.Add(-50*time.Millisecond), little)
	is.True(!l.lacks(now, now)) // it keeps up
}

// A sample tells when the leader's log was complete up to a mark, and up to when the
// log of a replica at a mark is.
func TestMomentsOfMarks(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	at := func(i int) time.Time { return start.Add(time.Duration(i) * 100 * time.Millisecond) }
	for i := range 10 {
		s.add(at(i), mark(1, uint64(10*i)))
	}
	is.Equal(s.needed(mark(1, 35), at(20)), at(4)) // the first at which the log had it
	is.Equal(s.needed(mark(1, 95), at(20)), at(20))
	is.Equal(s.complete(mark(1, 35)), at(3))
	is.Equal(s.complete(mark(1, 90)), at(9))
	is.Equal(s.complete(mark(0, 35)), time.Time{}) // before all that is known
}
