package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more operations in a window than the tolerance allows: the verdicts of one burst
// come late, those of the next one, a Window later, at once.
func TestLateVerdictsCountInTheirWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limit := tolerance.tokenLimit(large)
	f := fleet{tolerance: tolerance, quota: large}
	var l ledger
	begin := time.Unix(1000, 0)
	// A verdict counts until 150 ms after its operation arrived.
	const late = 149 * time.Millisecond
	for at := 10 * time.Millisecond; at < 14*time.Second; at += 10 * time.Millisecond {
		now := begin.Add(at)
		l.history[0].add(bucketOf(now), bucketOf(now), 0.010)
		for at >= 8*time.Second && l.takeRanked(&Ask{Workspace: "w5", Rank: 1}, limit, now).Granted {
			f.granted = append(f.granted, begin.Add(max(at, 8*time.Second+late)))
		}
	}
	is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
}
