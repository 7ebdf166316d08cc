package throttler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
)

// clusteredLoad plays operations that arrive at random times at a mean rate against a quota,
// all of whose time is credited, and returns the share that was refused and the most that
// were granted in a window.
func clusteredLoad(tolerance Tolerance, quota cataloger.Quota, rate float64) (refusedShare float64, most int) {
	const length = 10 * time.Minute
	rng := rand.New(rand.NewPCG(4, 5))
	limit := tolerance.tokenLimit(quota)
	var l ledger
	start := time.Unix(1000, 0)
	credited, now := start, start
	var granted []time.Time
	operations, refused := 0, 0
	for now.Sub(start) < length {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		for ; now.Sub(credited) >= bucketWidth; credited = credited.Add(bucketWidth) {
			l.add(Shard("w"), bucketWidth, 1, credited.Add(bucketWidth))
		}
		operations++
		if !l.take("w", limit, now).Granted {
			refused++
			continue
		}
		granted = append(granted, now)
		for len(granted) > 0 && now.Sub(granted[0]) >= tolerance.Window {
			granted = granted[1:]
		}
		most = max(most, len(granted))
	}
	return float64(refused) / float64(operations), most
}

// Guards against a small workspace whose operations are refused though it stays below its
// quota: 5 operations a second come in clusters, and the burst of 5 is used up by one of
// them while the slack of the tolerance is left.
func TestClusteredOperationsBelowQuotaAreGranted(t *testing.T) {
	is := is.New(t)
	tolerance := Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	for _, test := range []struct{ quota, demand, refused float64 }{
		{5, 4.5, 0.01},
		{20, 18, 0.01},
		{117, 90, 0.01},
	} {
		quota := cataloger.Quota{Rate: test.quota, Burst: test.quota}
		refused, most := clusteredLoad(tolerance, quota, test.demand)
		t.Logf("quota %v, demand %v: %.2f %% refused, at most %d in a window", test.quota, test.demand, 100*refused, most)
		is.True(refused <= test.refused)
		is.True(float64(most) <= (quota.Rate*5+quota.Burst)*(1+tolerance.Excess)+tolerance.Slack)
	}
}

// A workspace that asks for more than its quota for long gets the rate of the quota, and in no
// window more than the tolerance allows.
func TestOverloadedQuotaStaysWithinTolerance(t *testing.T) {
	is := is.New(t)
	tolerance := Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	for _, rate := range []float64{1, 5, 20, 117} {
		quota := cataloger.Quota{Rate: rate, Burst: rate}
		refused, most := clusteredLoad(tolerance, quota, 2*rate)
		is.True(2*(1-refused) >= 1) // at least the quota's rate
		is.True(float64(most) <= (quota.Rate*5+quota.Burst)*(1+tolerance.Excess)+tolerance.Slack)
	}
}
