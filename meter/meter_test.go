package meter

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

func TestHistogramTellsQuantilesAndSum(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	is.Equal(h.Quantile(0.99), time.Duration(0)) // empty
	is.Equal(h.Mean(), 0.0)
	for i := 1; i <= 1000; i++ {
		h.Observe(time.Duration(i) * time.Millisecond)
	}
	is.Equal(h.Count(), int64(1000))
	is.Equal(time.Duration(h.Sum()), 500500*time.Millisecond) // exact, not from buckets
	for _, tc := range []struct {
		q    float64
		want time.Duration
	}{{0.5, 500 * time.Millisecond}, {0.99, 990 * time.Millisecond}, {1, time.Second}} {
		got := h.Quantile(tc.q)
		is.True(got >= tc.want && got <= tc.want*107/100) // inside one bucket
	}
	counts := h.Cumulative([]time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Minute})
	is.True(counts[0] >= 10 && counts[0] <= 11)
	is.True(counts[1] >= 100 && counts[1] <= 107)
	is.Equal(counts[2], int64(1000))
}

func TestHistogramTakesAnyDuration(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	h.Observe(-time.Second)
	h.Observe(time.Hour)
	is.Equal(h.Count(), int64(2))
	is.Equal(h.Min(), int64(0))
	is.True(time.Duration(h.Max()) >= Longest) // the upper end of its bucket
}

func TestSnapshotStands(t *testing.T) {
	is := is.New(t)
	h := NewHistogram()
	h.Observe(time.Second)
	snap := h.Snapshot()
	h.Observe(time.Second)
	is.Equal(snap.Count(), int64(1))
	is.Equal(h.Count(), int64(2))
}

// Symptom: latency rises with the rate and the garbage collector is busy.
// Sequence: each statement records its times. Cause: a label string or a handle
// made anew for each statement.
func TestRecordingAllocatesNothing(t *testing.T) {
	is := is.New(t)
	m := &Meter{Registry: metrics.NewRegistry()}
	record := func() {
		m.Series("a", "booking").Observe(Timing{Wait: time.Millisecond, Total: time.Second})
		m.Outcome("a", "booking", "done")
		m.Route("primary")
	}
	record()
	is.Equal(testing.AllocsPerRun(100, record), 0.0)
}

// Symptom: the process grows until it is killed. Sequence: more and more tenants
// are declared. Cause: histograms for each of them without a bound.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m := &Meter{Registry: metrics.NewRegistry(), Limit: 4}
	for i := range 100 {
		tenant := "t" + strconv.Itoa(i)
		m.Series(tenant, "lookup").Observe(Timing{Total: time.Second})
		m.Outcome(tenant, "lookup", "done")
	}
	is.Equal(len(m.series), 5) // four and the rest
	is.Equal(m.Series("t3", "lookup").Total.Count(), int64(1))
	is.Equal(m.Series("t99", "lookup").Total.Count(), int64(96))
	other, ok := m.Registry.Get(Name(Outcomes, Label{"tenant", Other}, Label{"class", "lookup"}, Label{"outcome", "done"})).(metrics.Counter)
	is.True(ok)
	is.Equal(other.Count(), int64(96))
}

func TestNamesCarryLabels(t *testing.T) {
	is := is.New(t)
	is.Equal(Name("up"), "up")
	is.Equal(Name("up", Label{"zone", "vejle-hal"}, Label{"x", `a"b`}), `up{zone="vejle-hal",x="a\"b"}`)
}

func BenchmarkRecord(b *testing.B) {
	m := &Meter{Registry: metrics.NewRegistry()}
	s := m.Series("a", "booking")
	b.ReportAllocs()
	for b.Loop() {
		s.Observe(Timing{Wait: time.Millisecond, Upstream: 2 * time.Millisecond, Total: 3 * time.Millisecond})
		m.Outcome("a", "booking", "done")
		m.Route("primary")
	}
}

// The two ways of keeping durations that docs/notes/operators.md compares.
func BenchmarkWays(b *testing.B) {
	for name, h := range map[string]metrics.Histogram{
		"buckets":   NewHistogram(),
		"reservoir": metrics.NewHistogram(metrics.NewExpDecaySample(1028, 0.015)),
	} {
		b.Run(name, func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				d := time.Duration(1+i%10) * time.Millisecond
				if i%2000 == 0 {
					d = time.Second // one in two thousand is slow
				}
				h.Update(int64(d))
			}
			b.ReportMetric(float64(h.Max())/float64(time.Millisecond), "ms-max")
			b.ReportMetric(h.Percentile(0.9996)/float64(time.Millisecond), "ms-p99.96")
		})
	}
}
