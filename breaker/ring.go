package breaker

import "time"

// buckets is the number of parts that the window of recent requests has.
const buckets = 10

// ring counts the requests of the last DefaultWindow, in parts of a tenth of it.
type ring struct {
	end    time.Time // of the current part
	at     int
	total  [buckets]int
	failed [buckets]int
}

func (r *ring) add(now time.Time, failed bool) {
	r.turn(now)
	r.total[r.at]++
	if failed {
		r.failed[r.at]++
	}
}

func (r *ring) count(now time.Time) (failed, total int) {
	r.turn(now)
	for i := range buckets {
		failed += r.failed[i]
		total += r.total[i]
	}
	return failed, total
}

// turn drops the parts that have become too old.
func (r *ring) turn(now time.Time) {
	const part = DefaultWindow / buckets
	if now.Sub(r.end) >= DefaultWindow {
		*r = ring{end: now.Add(part)}
		return
	}
	for !now.Before(r.end) {
		r.at = (r.at + 1) % buckets
		r.total[r.at], r.failed[r.at] = 0, 0
		r.end = r.end.Add(part)
	}
}
