package throttler

import "time"

const (
	// maxWindow is the longest Window of a Tolerance for which the window rule is used.
	maxWindow = time.Minute
	// historyCount is the number of buckets of credits that the window rule needs.
	historyCount = int64((maxWindow+maxTokenLife)/bucketWidth) + 2
	// grantBuckets is the number of buckets into which a Window is divided to count grants,
	// which bounds the state of a workspace.
	grantBuckets = 100
)

// The window rule: an owner grants an operation if, for each start t of a window that contains
// now, its grants since t are at most the tokens that were produced since t less a token's
// life. The credits of all owners together are at most the time that has passed, so the grants
// of all owners in a window are at most the tokens that are produced in the window and a
// token's life, as by the plain rule, whoever the owners are. But a token that was not spent
// within its life counts for the windows that contain it, and a token's life is not lost for
// a workspace that spends its tokens at once: it gets what a window allows in each window.

// history holds the credits of a shard for the longest window and a token's life.
type history struct {
	first  int64 // the oldest bucket that is held
	values []float64
}

// add credits seconds to a bucket, at most up to the fleet's whole time in it.
func (h *history) add(bucket, latest int64, seconds float64) {
	if h.values == nil {
		h.values = make([]float64, historyCount)
	}
	h.advance(latest)
	if bucket >= h.first && bucket < h.first+historyCount {
		v := &h.values[bucket%historyCount]
		*v = min(bucketWidth.Seconds(), *v+seconds)
	}
}

// advance drops the buckets that are too old once latest is held.
func (h *history) advance(latest int64) {
	first := latest - historyCount + 1
	for bucket := max(h.first, first-historyCount); bucket < first; bucket++ {
		h.values[bucket%historyCount] = 0
	}
	h.first = max(h.first, first)
}

// at returns the seconds of a bucket.
func (h *history) at(bucket int64) float64 {
	if h.values == nil || bucket < h.first || bucket >= h.first+historyCount {
		return 0
	}
	return h.values[bucket%historyCount]
}

// grantLog counts a workspace's grants by when they were granted.
type grantLog struct {
	latest int64
	counts [grantBuckets + 2]uint32
}

// grantWidth returns the width of a bucket of grants: a multiple of bucketWidth.
func grantWidth(window time.Duration) time.Duration {
	const span = int64(grantBuckets * bucketWidth)
	n := max(1, (int64(window)+span-1)/span)
	return time.Duration(n * int64(bucketWidth))
}

// add counts a grant.
func (g *grantLog) add(window time.Duration, now time.Time) {
	g.advance(now.UnixNano() / int64(grantWidth(window)))
	g.counts[g.latest%int64(len(g.counts))]++
}

func (g *grantLog) advance(latest int64) {
	n := int64(len(g.counts))
	for bucket := max(g.latest+1, latest-n+1); bucket <= latest; bucket++ {
		g.counts[bucket%n] = 0
	}
	g.latest = max(g.latest, latest)
}

// windowTokens returns how many operations may be granted now by the window rule.
func windowTokens(credits *history, grants *grantLog, limit tokenLimit, now time.Time) float64 {
	if limit.rate == 0 {
		return 0
	}
	width := int64(grantWidth(limit.window))
	grants.advance(now.UnixNano() / width)
	oldest := max(0, now.Add(-limit.window).UnixNano()/width) // a clock that counts from boot starts at 0
	credited := bucketOf(now) + 1                             // the oldest bucket whose credits are in seconds
	seconds, granted, available := 0.0, 0.0, 0.0
	for bucket := grants.latest; bucket >= oldest; bucket-- {
		granted += float64(grants.counts[bucket%int64(len(grants.counts))])
		// The latest start of a window in this bucket has the fewest credits.
		from := ceilDiv((bucket+1)*width-int64(limit.life), int64(bucketWidth))
		for ; credited > from; credited-- {
			seconds += credits.at(credited - 1)
		}
		left := limit.rate*seconds - granted
		if bucket == grants.latest || left < available {
			available = left
		}
	}
	return available
}

func ceilDiv(a, b int64) int64 { return (a + b - 1) / b }
