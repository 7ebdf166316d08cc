package throttler

import "time"

const (
	// bucketWidth is the resolution of the time at which tokens were produced.
	bucketWidth = 50 * time.Millisecond
	// bucketCount is the number of buckets that are kept: more than maxTokenLife contains.
	bucketCount = int64(maxTokenLife/bucketWidth) + 2
)

// ring holds a number for each of the latest buckets of time. Its zero value is empty.
type ring struct {
	first  int64 // the oldest bucket that is held
	values [bucketCount]float64
}

// bucketOf returns the bucket that t falls into.
func bucketOf(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

// advance drops the buckets that are too old once latest is held.
func (r *ring) advance(latest int64) {
	first := latest - bucketCount + 1
	if first <= r.first {
		return
	}
	if first-r.first >= bucketCount {
		clear(r.values[:])
	} else {
		for bucket := r.first; bucket < first; bucket++ {
			r.values[bucket%bucketCount] = 0
		}
	}
	r.first = first
}

// at returns the number of a bucket, nil for one that is not held.
func (r *ring) at(bucket int64) *float64 {
	if bucket < r.first || bucket >= r.first+bucketCount {
		return nil
	}
	return &r.values[bucket%bucketCount]
}
