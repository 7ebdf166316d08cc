package comparer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// inTime returns the part of the requests of a kind and group that were answered in time.
func inTime(counts map[string]*FairCount, kind, group string) float64 {
	for key, n := range counts {
		if strings.Contains(key, kind) && strings.HasSuffix(key, group) {
			return float64(n.InTime) / float64(n.Asked)
		}
	}
	return 0
}

// Guards against a hot workspace that delays or displaces others, at one gateway and at six,
// and against less urgent work that delays urgent work in a surge.
func TestFairLoads(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	for _, c := range []FairCase{
		{Name: "one gateway", Gateways: 1},
		{Name: "six gateways, the hot workspace at one", Gateways: 6, HotAtOne: true},
		{Name: "six gateways, the hot workspace at all", Gateways: 6},
		{Name: "one gateway, surges", Gateways: 1, Surges: true},
		{Name: "six gateways, surges, the hot workspace at one", Gateways: 6, HotAtOne: true, Surges: true},
		{Name: "one gateway, surges, no hot workspace", Gateways: 1, Surges: true, Calm: true},
		{Name: "six gateways, no hot workspace", Gateways: 6, Calm: true},
	} {
		name := c.Name
		plain := 0.0
		for _, c.Fair = range []bool{false, true} {
			c.Name = name + map[bool]string{false: ": plain", true: ": fair"}[c.Fair]
			counts, left := PlayFair(c, 1)
			b.WriteString(FairReport(c, counts))
			is.Equal(left, 0)
			if !c.Fair {
				plain = Value(counts)
				continue
			}
			// In a surge without a hot workspace the large ones ask for more than their fair
			// share, and only the plain order lets them use the queue of the small ones.
			is.True(c.Calm && c.Surges || Value(counts) >= plain)
			is.True(inTime(counts, "submissions", "small") >= 0.995)
			is.True(inTime(counts, "waves", "small") >= 0.99)
			is.True(c.Surges || inTime(counts, "dashboards", "small") >= 0.99)
			is.True(c.Calm || inTime(counts, "submissions", "hot") >= 0.99)
			is.True(inTime(counts, "submissions", "large") >= 0.99)
		}
	}
	matcher.Golden(t, "testdata/fair.golden", b.String())
}

// Guards against a large workspace that asks for less than its fair share and loses its
// dashboards beside a hot one, because work that waits counts more than once in the demand of
// small ones. The targets hold over several arrival patterns.
func TestLargeWorkspaceBelowItsShare(t *testing.T) {
	is := is.New(t)
	for _, c := range []FairCase{
		{Gateways: 1, Fair: true},
		{Gateways: 6, Fair: true, HotAtOne: true},
		{Gateways: 6, Fair: true},
	} {
		all := map[string]float64{}
		for seed := range uint64(4) {
			counts, left := PlayFair(c, seed+1)
			is.Equal(left, 0)
			for _, k := range kinds() {
				all[k.name+" large"] += inTime(counts, k.name, "large") / 4
				all[k.name+" small"] += inTime(counts, k.name, "small") / 4
			}
		}
		for key, part := range all {
			t.Logf("%d gateways, hot at one %v: %s %.1f %%", c.Gateways, c.HotAtOne, key, 100*part)
			is.True(part >= 0.99)
		}
	}
}

// Guards against a part of the group that suffers when the exchange of reports fails: without
// reports each gateway is fair by itself, and none is trusted or counted beyond its bounds.
func TestFairFailures(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	for _, c := range []FairCase{
		{Name: "all reports lost", Report: func(_, _ int, _ time.Duration) int { return 0 }},
		{Name: "no reports from 5 s on", Report: func(_, _ int, at time.Duration) int { return map[bool]int{true: 1}[at < 5*time.Second] }},
		{Name: "the first gateway receives none", Report: func(_, to int, _ time.Duration) int { return min(to, 1) }},
		{Name: "each report twice", Report: func(_, _ int, _ time.Duration) int { return 2 }},
		{Name: "one gateway reports nonsense", Wrong: true},
		{Name: "a gateway dies", Dies: 5 * time.Second},
		{Name: "switched each 300 ms", Switched: 300 * time.Millisecond},
	} {
		c.Gateways, c.Fair, c.HotAtOne = 6, true, true
		counts, left := PlayFair(c, 1)
		b.WriteString(FairReport(c, counts))
		is.Equal(left, 0) // nothing waits or holds a slot
		is.True(inTime(counts, "submissions", "small") >= 0.99)
		is.True(inTime(counts, "waves", "small") >= 0.93)
	}
	matcher.Golden(t, "testdata/fair_failures.golden", b.String())
}
