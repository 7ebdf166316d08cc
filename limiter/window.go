package limiter

import "time"

// Defaults of a window.
const (
	DefaultMinWindow = 1
	DefaultMaxWindow = 16
	windowSamples    = 16  // samples per adjustment
	growThreshold    = 1.2 // grow while the mean service time is below this multiple of the minimum mean
	shrinkThreshold  = 1.5 // shrink while it is above this multiple
	shrinkFactor     = 0.8
	minMeanRise      = 2048 // each mean above the minimum raises it by 1/minMeanRise of the difference
)

// Window bounds how many requests a proxy has at an upstream at a time. The upstream's
// slots are shared with all other proxies, and how many requests those have is not
// known, so the bound follows the service time: queueing inside the upstream shows as a
// mean above the lowest mean seen. The bound grows by one while the mean stays near the
// minimum and the whole window is in use, and shrinks by a fifth when the mean is well
// above it.
//
// Without the bound, requests would wait inside the upstream in the order of arrival,
// where deadlines and classes do not count and nothing that was sent can be refused.
//
// The zero Window is ready for use. Min equal to Max gives a fixed bound.
type Window struct {
	Min   int  // lower limit of the bound; zero means DefaultMinWindow
	Max   int  // upper limit of the bound; zero means DefaultMaxWindow
	Fixed bool // keep the bound at Max

	limit     float64
	means     [classCount]minMean
	samples   int
	ratioSum  float64 // sum of sample / minimum mean
	fullCount int     // samples taken while the whole window was in use
}

// minMean tracks the minimum mean service time. It rises only slowly, by a small part
// of the difference to each higher mean: an upstream that has become slower for good is
// accepted in the end, while a long overload is not taken for the normal state. A
// minimum over a sliding time span such as 30 s would forget the time before a long
// overload, and the window would grow until it bounds nothing.
type minMean struct {
	value float64
	sum   float64
	count int
}

// Limit returns the current bound.
func (w *Window) Limit() int {
	if w.Fixed {
		return w.maxLimit()
	}
	return max(int(w.limit), w.minLimit())
}

func (w *Window) minLimit() int {
	if w.Min == 0 {
		return DefaultMinWindow
	}
	return w.Min
}

func (w *Window) maxLimit() int {
	if w.Max == 0 {
		return DefaultMaxWindow
	}
	return w.Max
}

// Observe adds a sample of the service time, and whether the whole window was in use when
// the request ended. The request was answered, or has run for longer than the mean without
// an answer.
func (w *Window) Observe(c Class, elapsed time.Duration, full bool) {
	lowest := w.means[c].add(float64(elapsed))
	if w.Fixed || lowest == 0 {
		return
	}
	w.samples++
	w.ratioSum += float64(elapsed) / lowest
	if full {
		w.fullCount++
	}
	if w.samples < windowSamples {
		return
	}
	ratio := w.ratioSum / float64(w.samples)
	busy := w.fullCount > w.samples/2
	w.samples, w.ratioSum, w.fullCount = 0, 0, 0
	w.adjust(ratio, busy)
}

func (w *Window) adjust(ratio float64, busy bool) {
	w.limit = max(w.limit, float64(w.minLimit()))
	switch {
	case ratio > shrinkThreshold:
		w.limit = max(w.limit*shrinkFactor, float64(w.minLimit()))
	case ratio < growThreshold && busy:
		w.limit = min(w.limit+1, float64(w.maxLimit()))
	}
}

// add adds a sample and returns the minimum mean, zero before there is one.
func (l *minMean) add(elapsed float64) float64 {
	l.sum += elapsed
	l.count++
	if l.count < windowSamples {
		return l.value
	}
	mean := l.sum / windowSamples
	l.sum, l.count = 0, 0
	if l.value == 0 || mean < l.value {
		l.value = mean
	} else {
		l.value += (mean - l.value) / minMeanRise
	}
	return l.value
}
