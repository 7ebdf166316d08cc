package placer

import "time"

// Parameters of measured round trips.
const (
	// keptRoundTrips is how many measurements are kept for each upstream.
	keptRoundTrips = 5
	// minRoundTrips is how many are needed before they show that an upstream is far: a
	// single one may contain a lost packet, whose retransmission takes a second.
	minRoundTrips = 2
	// farRoundTrip is the round trip from which a wrong choice costs callers more than the
	// spread of service times, and nearRoundTrip the one below which it no longer does. The
	// difference is more than the jitter of the smallest of some measurements.
	farRoundTrip  = 5 * time.Millisecond
	nearRoundTrip = 4 * time.Millisecond
)

// RoundTrip keeps the last measured round trips to an upstream. The smallest counts: delays
// by jitter, lost packets and a busy machine only add to it.
type RoundTrip struct {
	last [keptRoundTrips]time.Duration
	n    int
}

// Record adds a measurement; one that is not positive is dropped.
func (r *RoundTrip) Record(d time.Duration) {
	if d <= 0 {
		return
	}
	r.last[r.n%keptRoundTrips] = d
	r.n++
}

// Bound takes how long an exchange took, which is no less than a round trip: measurements that
// are longer contain a delay of this process or of the network. It reports whether there were
// any. Connections are opened rarely, so without it a delay could count for hours.
func (r *RoundTrip) Bound(d time.Duration) bool {
	least, n := r.Min()
	if n == 0 || d <= 0 || d >= least {
		return false
	}
	for i := range n {
		r.last[i] = d
	}
	return true
}

// Min returns the smallest of the last measurements, and how many of them there are.
func (r *RoundTrip) Min() (time.Duration, int) {
	n := min(r.n, keptRoundTrips)
	if n == 0 {
		return 0, 0
	}
	least := r.last[0]
	for _, d := range r.last[1:n] {
		least = min(least, d)
	}
	return least, n
}

// Distance says whether other availability zones are far, with a hysteresis. Its zero value
// is near.
type Distance struct{ far bool }

// IsFar reports whether other zones are far, by the last update.
func (d *Distance) IsFar() bool { return d.far }

// Update takes the round trips to the upstreams of other zones and reports whether one of
// them is far.
func (d *Distance) Update(others []RoundTrip) bool {
	threshold := farRoundTrip
	if d.far {
		threshold = nearRoundTrip
	}
	known, far := false, false
	for i := range others {
		least, n := others[i].Min()
		if n < minRoundTrips {
			continue
		}
		known = true
		far = far || least >= threshold
	}
	if known {
		d.far = far
	}
	return d.far
}
