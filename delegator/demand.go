package delegator

import (
	"math"
	"time"
)

// Rules of loans between gateways.
const (
	// peakWindow is how long a connection must not have been used to be lent.
	peakWindow = 5 * time.Second
	// smoothing is the time constant of the mean demand of a gateway.
	smoothing = 3 * time.Second
	// minLoanAge is how long a loan lasts unless the lender's own callers wait: an opening
	// takes 12 ms of a slot, and a loan pays off when it is used for longer than about
	// twenty of them take.
	minLoanAge = 2 * time.Second
	// maxMoved is how many connections one gateway lends, receives or recalls at one upstream
	// in a moveWindow.
	maxMoved   = 2
	moveWindow = time.Second
	// A gateway lacks connections while callers wait, one or more on average, or from a part
	// of its limit in use. It does without a loan when it uses at most enoughUse of what
	// remains. Half a caller on average is exceeded by single bursts under an even load.
	lackingWaiting = 1.0
	lackingUse     = 0.9
	enoughUse      = 0.7
	// spareRefusedTTL is how long a gateway that refused is not asked again.
	spareRefusedTTL = 2 * time.Second
)

// keptShare returns how many connections of a share a gateway never lends to another: a third,
// and at least Kept.
func keptShare(share int) int { return max(Kept, (share+2)/3) }

// mean is an exponentially smoothed value. It is zero before the first value.
type mean struct {
	value float64
	at    time.Time
}

// add adds what was seen now, for the time since the last value.
func (m *mean) add(v float64, now time.Time) {
	if d := now.Sub(m.at); !m.at.IsZero() && d > 0 {
		m.value += (v - m.value) * (1 - math.Exp(-float64(d)/float64(smoothing)))
	}
	m.at = now
}

// use is the smoothed demand of one gateway at an upstream.
type use struct {
	busy, waiting mean
	isWaiting     bool // callers waited when last seen
}

func (u *use) add(busy, waiting int, now time.Time) {
	u.isWaiting = waiting > 0
	u.busy.add(float64(busy), now)
	u.waiting.add(float64(waiting), now)
}

// lacks reports whether a gateway lacks connections, of which it may have limit.
func (u *use) lacks(limit int) bool {
	return u.isWaiting && u.waiting.value >= lackingWaiting || u.busy.value >= lackingUse*float64(limit)
}

// hasEnough reports whether a gateway would do with limit connections.
func (u *use) hasEnough(limit int) bool {
	return u.busy.value+u.waiting.value <= enoughUse*float64(limit)
}

// peak is the highest of the values seen in the last peakWindow. The values fall with time.
type peak struct{ seen []sighting }

type sighting struct {
	value int
	at    time.Time
}

func (p *peak) add(v int, now time.Time) {
	for len(p.seen) > 0 && p.seen[len(p.seen)-1].value <= v {
		p.seen = p.seen[:len(p.seen)-1]
	}
	p.seen = append(p.seen, sighting{v, now})
	for now.Sub(p.seen[0].at) >= peakWindow {
		p.seen = p.seen[1:]
	}
}

func (p *peak) value() int {
	if len(p.seen) == 0 {
		return 0
	}
	return p.seen[0].value
}

// moves are the connections moved in the last moveWindow.
type moves struct{ seen []sighting }

func (m *moves) add(n int, now time.Time) { m.seen = append(m.seen, sighting{n, now}) }

// left returns how many connections may be moved now.
func (m *moves) left(now time.Time) int {
	for len(m.seen) > 0 && now.Sub(m.seen[0].at) >= moveWindow {
		m.seen = m.seen[1:]
	}
	n := maxMoved
	for _, s := range m.seen {
		n -= s.value
	}
	return max(0, n)
}
