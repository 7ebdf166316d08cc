package modeler

import (
	"math/rand/v2"
	"time"
)

// Service times in milliseconds, on average, before the few long ones.
const (
	lookupMillis  = 4
	bookingMillis = 6
	longShare     = 0.03 // of the requests take longTimes as long
	longTimes     = 4
	longMean      = 1 + longShare*(longTimes-1)
)

// Load describes the arrivals of one tenant. Rates are multiples of Capacity,
// the number of slots in all.
type Load struct {
	Tenant   uint16
	Capacity int
	Rate     float64
	Bookings float64 // share of bookings
	Proxies  int
	Busy     float64       // share that the first proxy gets beside its own part
	For      time.Duration // length
	Quiet    time.Duration // at first, with a rate of QuietRate
}

// QuietRate is the rate of the quiet time at the start of a load.
const QuietRate = 0.3

// Arrival is one request, with all that chance decides about it.
type Arrival struct {
	At       time.Time
	Tenant   uint16
	Booking  bool
	Deadline time.Time // a lookup has 50 to 150 ms, a booking 100 to 300 ms
	Proxy    int
	Service  time.Duration
}

// Draw returns the arrivals from start on, in order.
func (l Load) Draw(rng *rand.Rand, start time.Time) []Arrival {
	mean := (lookupMillis*(1-l.Bookings) + bookingMillis*l.Bookings) * longMean
	gap := mean / float64(l.Capacity) / l.Rate
	var as []Arrival
	for at := start; at.Before(start.Add(l.For)); {
		pause := rng.ExpFloat64() * gap
		if at.Before(start.Add(l.Quiet)) {
			pause *= l.Rate / QuietRate
		}
		at = at.Add(millis(pause))
		as = append(as, l.draw(rng, at))
	}
	return as
}

func (l Load) draw(rng *rand.Rand, at time.Time) Arrival {
	a := Arrival{At: at, Tenant: l.Tenant, Proxy: rng.IntN(l.Proxies)}
	if rng.Float64() < l.Busy {
		a.Proxy = 0
	}
	service, patience := float64(lookupMillis), 50+100*rng.Float64()
	if rng.Float64() < l.Bookings {
		a.Booking = true
		service, patience = bookingMillis, 100+200*rng.Float64()
	}
	service *= 0.5 + rng.Float64()
	if rng.Float64() < longShare {
		service *= longTimes
	}
	a.Service = millis(service)
	a.Deadline = at.Add(millis(patience))
	return a
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
