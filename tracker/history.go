package tracker

import (
	"slices"
	"time"
)

// span is a stretch of time over which the primary's log ended at mark: it did
// at some instant not before first, and still did at one not before last.
type span struct {
	mark  Mark
	first time.Time
	last  time.Time
}

// history is the end of the primary's log over time, oldest first, of bounded
// length. Marks and times both rise along it.
type history struct {
	spans []span
}

// add takes in that the log ended at m at some instant not before sent. Samples
// that come out of order are left out: an older one adds nothing that matters.
func (h *history) add(m Mark, sent time.Time, limit int) {
	if n := len(h.spans); n > 0 {
		end := &h.spans[n-1]
		if sent.Before(end.last) || m.Less(end.mark) {
			return
		}
		if m == end.mark {
			end.last = sent
			return
		}
	}
	if len(h.spans) >= limit {
		n := copy(h.spans, h.spans[len(h.spans)-limit+1:])
		h.spans = h.spans[:n]
	}
	h.spans = append(h.spans, span{mark: m, first: sent, last: sent})
}

// after returns the index of the first span past m.
func after(spans []span, m Mark) int {
	i, _ := slices.BinarySearchFunc(spans, m, func(s span, m Mark) int {
		if m.Less(s.mark) {
			return 1
		}
		return -1
	})
	return i
}

// fresh returns the latest instant, not after confirmed, before which everything
// committed is in a log that ends at m. The zero time means that none is known.
func fresh(spans []span, m Mark, confirmed time.Time) time.Time {
	for i := after(spans, m) - 1; i >= 0; i-- {
		s := spans[i]
		if confirmed.Before(s.first) {
			continue
		}
		if confirmed.Before(s.last) {
			return confirmed
		}
		return s.last
	}
	return time.Time{}
}

// passed returns about when the primary's log passed m, and whether that can be
// told. Between two samples the log is taken to grow evenly.
func passed(spans []span, m Mark) (time.Time, bool) {
	i := after(spans, m)
	if i > 0 && spans[i-1].mark == m {
		return spans[i-1].first, true
	}
	if i == 0 || i == len(spans) {
		return time.Time{}, false
	}
	a, b := spans[i-1], spans[i]
	if a.mark.Term != b.mark.Term {
		return b.first, true
	}
	part := float64(m.Pos-a.mark.Pos) / float64(b.mark.Pos-a.mark.Pos)
	return a.last.Add(time.Duration(part * float64(b.first.Sub(a.last)))), true
}
