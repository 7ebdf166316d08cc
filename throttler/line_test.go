package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals that name the same delay for all, and so bring all back at once.
func TestTurnsAreSuccessive(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l line
	for i := range 5 {
		is.Equal(l.join(2, 1, 10, time.Second, now), time.Duration(i+1)*100*time.Millisecond)
	}
	is.Equal(l.join(0, 1, 10, time.Second, now), 100*time.Millisecond) // an urgent one goes before them
	is.Equal(l.join(2, 1, 10, time.Second, now), 700*time.Millisecond)
}

// Guards against turns after the caller's deadline, and against a line that such operations
// make longer.
func TestNoTurnAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l line
	is.Equal(l.join(1, 10, 10, 800*time.Millisecond, now), 800*time.Millisecond)
	is.Equal(l.join(1, 1, 0, 800*time.Millisecond, now), 800*time.Millisecond) // all tokens go to the more urgent
	is.Equal(l.join(1, 1, 10, -time.Hour, now), minRetryAfter)
	is.Equal(l.count, 0)
	for range 2 * maxTurns {
		l.join(1, 1, 1e6, 1<<62, now)
	}
	is.Equal(l.count, maxTurns)
}

// Guards against operations that don't come back and make others wait: their turns are
// forgotten, and those that come back use up theirs.
func TestTurnsAreForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var l line
	for range 5 {
		l.join(1, 1, 10, time.Second, now)
	}
	now = now.Add(100 * time.Millisecond)
	l.arrive(1, now) // the first comes back
	is.Equal(l.ahead(1), 4)
	l.arrive(1, now) // one that comes for the first time: no turn is due
	is.Equal(l.ahead(1), 4)
	l.arrive(0, now.Add(300*time.Millisecond).Add(turnGrace))
	is.Equal(l.ahead(1), 2)
	l.arrive(0, now.Add(time.Second))
	is.Equal(l.ahead(priorities-1), 0)
	is.Equal(l.count, 0)
}
