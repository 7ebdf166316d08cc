package limiter

import "time"

// Defaults of a window.
const (
	DefaultLeast  = 1
	DefaultMost   = 16
	windowSamples = 16  // samples between two changes
	growBelow     = 1.2 // grow while the mean service time is below this many times the least
	shrinkAbove   = 1.5 // shrink when it is above this many times
	shrinkTo      = 0.8
	forget        = 2048 // means until a higher one is believed
)

// Window bounds how many requests a proxy has at an upstream at a time. The
// upstream's slots are shared with all other proxies, whose number of requests
// nobody knows, so the bound follows what the service time tells: waiting inside
// the upstream shows as a mean above the least mean seen. It grows by one while
// the mean stays near the least and all of it is in use, and shrinks by a fifth
// when it doesn't.
//
// Without it, what has been sent waits in the upstream in the order of arrival:
// deadlines and classes no longer count, and what is sent can't be refused.
//
// The zero Window is ready for use. Least equal to Most gives a fixed bound.
type Window struct {
	Min   int // smallest bound
	Max   int // greatest bound
	Fixed bool

	limit float64
	means [classCount]leastMean
	count int
	over  float64 // sum of sample / least mean
	full  int     // samples taken while all of the window was in use
}

// leastMean follows the least mean service time. It rises again only slowly, by
// a small part of each mean above it: an upstream that got slower for good is
// believed in the end, and a long overload is not taken for the normal state.
// A minimum over the last half minute, say, would forget the quiet times during
// a long overload; the window would then grow until it bounds nothing.
type leastMean struct {
	least float64
	sum   float64
	count int
}

// Limit returns the current bound.
func (w *Window) Limit() int {
	if w.Fixed {
		return w.most()
	}
	return max(int(w.limit), w.least())
}

func (w *Window) least() int {
	if w.Min == 0 {
		return DefaultLeast
	}
	return w.Min
}

func (w *Window) most() int {
	if w.Max == 0 {
		return DefaultMost
	}
	return w.Max
}

// Observe takes the service time of a request that was answered, and whether
// all of the window was in use when it ended.
func (w *Window) Observe(c Class, took time.Duration, full bool) {
	least := w.means[c].add(float64(took))
	if w.Fixed || least == 0 {
		return
	}
	w.count++
	w.over += float64(took) / least
	if full {
		w.full++
	}
	if w.count < windowSamples {
		return
	}
	ratio := w.over / float64(w.count)
	busy := w.full > w.count/2
	w.count, w.over, w.full = 0, 0, 0
	w.adjust(ratio, busy)
}

func (w *Window) adjust(ratio float64, busy bool) {
	w.limit = max(w.limit, float64(w.least()))
	switch {
	case ratio > shrinkAbove:
		w.limit = max(w.limit*shrinkTo, float64(w.least()))
	case ratio < growBelow && busy:
		w.limit = min(w.limit+1, float64(w.most()))
	}
}

// add takes a sample and returns the least mean, zero before there is one.
func (l *leastMean) add(took float64) float64 {
	l.sum += took
	l.count++
	if l.count < windowSamples {
		return l.least
	}
	mean := l.sum / windowSamples
	l.sum, l.count = 0, 0
	if l.least == 0 || mean < l.least {
		l.least = mean
	} else {
		l.least += (mean - l.least) / forget
	}
	return l.least
}
