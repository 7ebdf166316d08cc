package meter

import (
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// What a histogram can tell apart. A longer duration counts as the longest.
const (
	Shortest = time.Microsecond
	Longest  = 10 * time.Minute
	// digits is the number of significant digits; one makes buckets of 1/16 of
	// their value, which is enough for operators and takes 3 KiB.
	digits = 1
)

// Histogram is a histogram of durations with fixed buckets. It is a
// metrics.Histogram whose values are nanoseconds. Make it with [NewHistogram].
type Histogram struct {
	mu      sync.Mutex
	buckets *hdrhistogram.Histogram
	sum     time.Duration
}

var _ metrics.Histogram = (*Histogram)(nil)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{
		buckets: hdrhistogram.New(1, int64(Longest/Shortest), digits),
	}
}

// Observe records d; below zero counts as zero.
func (h *Histogram) Observe(d time.Duration) {
	d = min(max(d, 0), Longest)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sum += d
	// The value is inside the bounds, so this can't fail.
	_ = h.buckets.RecordValue(int64(d / Shortest))
}

// Quantile returns the duration that a share q, from 0 to 1, of all durations
// doesn't exceed. It is zero while there is none.
func (h *Histogram) Quantile(q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.buckets.ValueAtPercentile(q*100)) * Shortest
}

// Cumulative returns for each bound, which must rise, how many durations don't
// exceed it, give or take one bucket.
func (h *Histogram) Cumulative(bounds []time.Duration) []int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make([]int64, len(bounds))
	for _, bar := range h.buckets.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for i, bound := range bounds {
			if time.Duration(bar.From)*Shortest <= bound {
				counts[i] += bar.Count
			}
		}
	}
	return counts
}

// Clear forgets everything.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets.Reset()
	h.sum = 0
}

// Count returns how many durations were recorded.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buckets.TotalCount()
}

// Max returns the longest duration in nanoseconds.
func (h *Histogram) Max() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buckets.Max() * int64(Shortest)
}

// Min returns the shortest duration in nanoseconds.
func (h *Histogram) Min() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets.TotalCount() == 0 {
		return 0
	}
	return h.buckets.Min() * int64(Shortest)
}

// Mean returns the mean in nanoseconds.
func (h *Histogram) Mean() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets.TotalCount() == 0 {
		return 0
	}
	return float64(h.sum) / float64(h.buckets.TotalCount())
}

// Percentile returns the p-quantile, p from 0 to 1, in nanoseconds.
func (h *Histogram) Percentile(p float64) float64 { return float64(h.Quantile(p)) }

// Percentiles returns the quantiles ps, each from 0 to 1, in nanoseconds.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = h.Percentile(p)
	}
	return out
}

// Sample returns the count alone: there are buckets here and no sample.
func (h *Histogram) Sample() metrics.Sample {
	return metrics.NewSampleSnapshot(h.Count(), nil)
}

// Snapshot returns a copy that changes no more.
func (h *Histogram) Snapshot() metrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Histogram{buckets: h.buckets.Clone(), sum: h.sum}
}

// StdDev returns the standard deviation in nanoseconds.
func (h *Histogram) StdDev() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buckets.TotalCount() == 0 {
		return 0
	}
	return h.buckets.StdDev() * float64(Shortest)
}

// Sum returns the sum in nanoseconds.
func (h *Histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.sum)
}

// Update records v nanoseconds.
func (h *Histogram) Update(v int64) { h.Observe(time.Duration(v)) }

// Variance returns the square of StdDev.
func (h *Histogram) Variance() float64 { return math.Pow(h.StdDev(), 2) }
