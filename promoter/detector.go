package promoter

import (
	"time"
)

// Numbers of the detector.
const (
	// slowdown is how many times slower than usual an answer may come without
	// being silence.
	slowdown = 6
	// deviations of the latency that count as usual.
	deviations = 4
	// refusals in a row, at least refusedGap apart, make a process gone.
	refusals   = 2
	refusedGap = 20 * time.Millisecond
)

// detector judges one upstream. A slow upstream still answers something: any
// answer clears it, and the silence it is allowed grows with the latency that
// its probes have shown. A refused connection says more than silence: the
// instance is there and the process isn't.
type detector struct {
	// mean and deviation of probe latency, moving averages.
	mean, deviation time.Duration
	heard           time.Time
	// asked is when the first question since then was sent; zero: none is open.
	asked     time.Time
	refused   int
	refusedAt time.Time
}

// answer notes an answer at now to a question of the time sent (zero: unknown).
func (d *detector) answer(sent, now time.Time) {
	d.heard = now
	d.asked = time.Time{}
	d.refused = 0
	if sent.IsZero() {
		return
	}
	latency := max(now.Sub(sent), 0)
	if d.mean == 0 {
		d.mean = latency
		d.deviation = latency / 2
		return
	}
	// Weights 1/8 and 1/4, as TCP's retransmission timer has them.
	d.deviation += ((latency - d.mean).Abs() - d.deviation) / 4
	d.mean += (latency - d.mean) / 8
}

// ask notes a question sent at now.
func (d *detector) ask(now time.Time) {
	if d.asked.IsZero() {
		d.asked = now
	}
}

// refuse notes a refused connection. Several at once count as one, so that one
// burst of connects into a restart isn't taken for a dead process.
func (d *detector) refuse(now time.Time) {
	if d.refused > 0 && now.Sub(d.refusedAt) < refusedGap {
		return
	}
	d.refused++
	d.refusedAt = now
}

// forget drops what is open, after the observer itself stood still.
func (d *detector) forget() {
	d.asked = time.Time{}
	d.refused = 0
}

// timeout returns the silence that is allowed.
func (d *detector) timeout(s *Settings) time.Duration {
	if s.Fixed > 0 {
		return s.Fixed
	}
	usual := d.mean + deviations*d.deviation
	return min(max(slowdown*usual, s.Floor), s.Ceiling)
}

// deadline returns when the present silence becomes suspicion; zero: nothing is
// open.
func (d *detector) deadline(s *Settings) time.Time {
	if d.asked.IsZero() {
		return time.Time{}
	}
	return d.asked.Add(d.timeout(s))
}

// down reports whether the upstream looks dead, and why.
func (d *detector) down(s *Settings, now time.Time) (bool, string) {
	if d.refused >= refusals {
		return true, "connections refused"
	}
	if at := d.deadline(s); !at.IsZero() && !now.Before(at) {
		return true, "silent for " + now.Sub(d.asked).Round(time.Millisecond).String()
	}
	return false, ""
}
