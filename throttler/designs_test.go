package throttler

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/internal/matcher"
)

// loadDuration is how long each load runs.
const loadDuration = 10 * time.Second

// localBucket is a token bucket that one process or group has for itself.
type localBucket struct {
	rate, burst, level float64
	last               time.Duration
}

func (l *localBucket) take(now time.Duration) bool {
	l.level = min(l.burst, l.level+l.rate*(now-l.last).Seconds())
	l.last = now
	if l.level < 1 {
		return false
	}
	l.level--
	return true
}

// splitQuota simulates a quota that is split among separate buckets, each with its part of
// what the tolerance permits, and returns the part of a load that is refused.
func splitQuota(parts int, quota cataloger.Quota, load float64, choose func(*rand.Rand) int) float64 {
	rng := rand.New(rand.NewPCG(5, 6))
	limit := tolerance.tokenLimit(quota)
	buckets := make([]localBucket, parts)
	for i := range buckets {
		burst := limit.rate * limit.life.Seconds() / float64(parts)
		buckets[i] = localBucket{rate: limit.rate / float64(parts), burst: max(1, burst), level: max(1, burst)}
	}
	requested, refused := 0, 0
	for now := time.Duration(0); now < loadDuration; now += time.Duration(rng.ExpFloat64() / load * float64(time.Second)) {
		requested++
		if !buckets[choose(rng)].take(now) {
			refused++
		}
	}
	return float64(refused) / float64(requested)
}

// Compares designs for a quota: the part of a load below the quota that is refused when it
// arrives at one, five or all processes, and the messages that each process sends.
func TestQuotaDesigns(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	const groups = 8
	fmt.Fprintln(&out, "rate  processes  load at  equal parts  by group  one holder  messages a second of each")
	for _, quota := range []cataloger.Quota{small, large} {
		load := 0.8 * quota.Rate
		byGroup := splitQuota(groups, quota, load, func(rng *rand.Rand) int { return rng.IntN(groups) })
		for _, n := range []int{9, 83, 195, 1000} {
			for _, at := range []int{1, 5, n} {
				if n == 1000 && at == 1 {
					continue // like five
				}
				equal := splitQuota(n, quota, load, func(rng *rand.Rand) int { return rng.IntN(at) })
				f := newFleet(n, tolerance, quota, 1)
				f.run(4 * time.Second)
				sent := f.sent
				f.load(load, all(at), loadDuration)
				f.run(loadDuration + time.Second)
				oneOwner := float64(f.refused) / float64(f.refused+len(f.granted))
				fmt.Fprintf(&out, "%4.0f %10d %8d %10.1f %% %7.1f %% %9.1f %% %8.0f\n", quota.Rate, n, at, 100*equal, 100*byGroup, 100*oneOwner,
					float64(f.sent-sent)/(loadDuration+time.Second).Seconds()/float64(n))
			}
		}
	}
	matcher.Golden(t, filepath.Join("testdata", "ways.golden"), out.String())
}
