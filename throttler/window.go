package throttler

import "time"

const (
	// windowBuckets is the number of buckets into which a Window is divided to count credits
	// and grants, which bounds their state. A start of a window is rounded to a bucket, which
	// costs a part of 1 in windowBuckets.
	windowBuckets = 500
	// minWindowBucket is the width of the buckets of short windows.
	minWindowBucket = 10 * time.Millisecond
	// maxReplyDelay is the maximum time between a grant at the owner and the operation: a
	// process uses no verdict that comes later.
	maxReplyDelay = 150 * time.Millisecond
	// maxReach is how long before a window the oldest credits are produced that count for it.
	maxReach = maxTokenLife + time.Second
	// creditLead is how old credits are that count for a whole window of operations. With
	// 100 ms fewer are granted than by the plain rule after a loss of power, with 150 ms the
	// first operation after the end of an owner gets no verdict in time.
	creditLead = 0 * time.Millisecond
)

// The window rule: an owner grants an operation if, for each start t of a window that contains
// now, its grants since t are at most the tokens that were produced in an interval whose place
// relative to t is fixed. All owners together are credited at most the time that has passed, so
// that the grants of all owners in a window are at most the tokens of the interval, whoever the
// owners are. A token that was not spent within its life counts for the windows whose interval
// contains it.
//
// When a token was produced is not known exactly. It counts if the earliest time at which it
// may have been produced is in the interval, and the latest one as well.

// windowRule is an interval and the windows that it applies to.
type windowRule struct {
	// window is the length of the windows.
	window time.Duration
	// reach is how long before the start of a window its interval begins, and end how long
	// after that start it ends.
	reach, end time.Duration
}

// windowRules returns the rules of a limit: one for windows of decisions, and one for windows of
// operations, which follow their decisions by up to replyDelay. Both intervals have all tokens
// that the tolerance allows. The first interval contains that of the plain rule, so that the
// limit holds among owners of both rules. The second one could
// end creditLead before its windows do, since the latest credits are still under way.
func (l tokenLimit) windowRules() [2]windowRule {
	reach := time.Duration(l.allowed/l.rate*float64(time.Second)) - l.window
	return [2]windowRule{
		{l.window, min(reach, maxReach), l.window + windowBucket(l.window)},
		{l.window + l.replyDelay, min(reach+creditLead, maxReach) - l.replyDelay, l.window + l.replyDelay - creditLead},
	}
}

// windowBucket returns the width of the buckets for a Window.
func windowBucket(window time.Duration) time.Duration {
	return max(minWindowBucket, (window+windowBuckets-1)/windowBuckets)
}

// history holds the credits of a shard for the window rule, in buckets of time.
type history struct {
	latest int64
	// early holds each credit where it may have been produced at the earliest. late holds those
	// of the last creditLead where they may have been produced at the latest.
	early, late []float64
}

// add credits a span of one process out of fleet, which ended between two times.
func (h *history) add(span time.Duration, fleet int, earliest, now time.Time, window time.Duration) {
	width := windowBucket(window)
	if h.early == nil {
		h.early = make([]float64, (window+maxReplyDelay+maxReach)/width+4)
		h.late = make([]float64, creditLead/width+4)
	}
	h.advance(now.UnixNano() / int64(width))
	// At most the fleet's whole time is credited, whatever sizes of the fleet the processes assume.
	h.spread(h.early, span, fleet, earliest, width, width.Seconds())
	h.spread(h.late, span, fleet, now, width, span.Seconds())
}

// spread adds a span of one process out of fleet that ended at a time to buckets, each at most
// up to a limit.
func (h *history) spread(buckets []float64, span time.Duration, fleet int, ended time.Time, width time.Duration, limit float64) {
	end, n := ended.UnixNano(), int64(len(buckets))
	for begin := end - int64(span); end > begin; {
		bucket := (end - 1) / int64(width)
		if bucket <= h.latest-n {
			return
		}
		from := max(begin, bucket*int64(width))
		v := &buckets[bucket%n]
		*v = min(limit, *v+time.Duration(end-from).Seconds()/float64(fleet))
		end = from
	}
}

// advance drops the buckets that are too old once latest is held.
func (h *history) advance(latest int64) {
	for _, buckets := range [][]float64{h.early, h.late} {
		n := int64(len(buckets))
		for bucket := max(h.latest, latest-n) + 1; bucket <= latest; bucket++ {
			buckets[bucket%n] = 0
		}
	}
	h.latest = max(h.latest, latest)
}

// grantLog counts a workspace's grants by when they were granted.
type grantLog struct {
	latest int64
	counts [windowBuckets + int(maxReplyDelay/minWindowBucket) + 3]uint32
}

// add counts a grant.
func (g *grantLog) add(window time.Duration, now time.Time) {
	g.advance(now.UnixNano() / int64(windowBucket(window)))
	g.counts[g.latest%int64(len(g.counts))]++
}

func (g *grantLog) advance(latest int64) {
	n := int64(len(g.counts))
	for bucket := max(g.latest+1, latest-n+1); bucket <= latest; bucket++ {
		g.counts[bucket%n] = 0
	}
	g.latest = max(g.latest, latest)
}

// intervalSum is the sum of the credits in the interval of a rule, for earlier and earlier
// windows.
type intervalSum struct {
	reach, end int64 // in buckets
	oldest     int64 // the first bucket of the window that is about to end
	newest     int64 // the last bucket that needs to be checked
	from, to   int64 // the first bucket of the interval, and the first one after it
	early      int64 // the index of from in the early credits
	seconds    float64
}

// sum returns the seconds of the interval of windows that start in a bucket: in any part of it,
// so that what may be outside of the interval does not count.
func (s *intervalSum) sum(h *history, bucket int64) float64 {
	for ; s.from > bucket+1-s.reach; s.from-- {
		if s.early--; s.early < 0 {
			s.early += int64(len(h.early))
		}
		s.seconds += h.early[s.early]
	}
	for ; s.to > bucket+s.end && s.to > 0; s.to-- {
		s.seconds -= h.late[(s.to-1)%int64(len(h.late))]
	}
	return s.seconds
}

// windowTokens returns how many operations may be granted now by the window rule.
func windowTokens(h *history, grants *grantLog, limit tokenLimit, now time.Time) float64 {
	if limit.rate == 0 || h.early == nil {
		return 0
	}
	width := windowBucket(limit.window)
	latest := now.UnixNano() / int64(width)
	h.advance(latest)
	grants.advance(latest)
	rules := limit.windowRules()
	var sums [len(rules)]intervalSum
	first := latest
	for i, rule := range rules {
		oldest := max(0, now.Add(-rule.window).UnixNano()/int64(width)) // a clock that counts from boot starts at 0
		first = min(first, oldest)
		sums[i] = intervalSum{int64(rule.reach / width), floorDiv(rule.end, width), oldest, latest, latest + 1, latest + 1, (latest + 1) % int64(len(h.early)), 0}
	}
	// As long as the second interval has not ended, it allows no less than the first one.
	sums[1].newest = latest - sums[1].end
	granted, available := 0.0, limit.allowed
	index := latest % int64(len(grants.counts))
	for bucket := latest; bucket >= first; bucket-- {
		granted += float64(grants.counts[index])
		if index--; index < 0 {
			index += int64(len(grants.counts))
		}
		for i := range sums {
			if bucket < sums[i].oldest || bucket > sums[i].newest {
				continue
			}
			available = min(available, limit.rate*sums[i].sum(h, bucket)-granted)
		}
	}
	return available
}

func floorDiv(a, b time.Duration) int64 {
	if a < 0 {
		return -int64((-a + b - 1) / b)
	}
	return int64(a / b)
}
