package limiter

import (
	"time"

	"golang.org/x/time/rate"
)

// Defaults of a pacer. With nine proxies they allow 45 connections per second in total,
// which take a quarter of an upstream with 5 slots at 30 ms per connection.
const (
	DefaultOpenRate  = 5 // connections per second
	DefaultOpenBurst = 1
)

// Pacer rate-limits the opening of connections to one upstream.
//
// After a failover all proxies open connections to the new leader at the same moment.
// Opening one takes 10 to 30 ms of the upstream's time, so hundreds at once delay the
// statements that the failover was meant to restore: the outage ends, but the service
// time jumps. Pacer gives each connection its own start time, by a token bucket with
// jitter so that proxies do not open in step. The zero Pacer uses the defaults.
type Pacer struct {
	Rate  float64 // connections per second
	Burst int     // connections at once after a pause

	bucket *rate.Limiter
}

// Reserve returns when the next connection may be opened, or false if that is after the
// deadline; then nothing is reserved. The seed determines the jitter, up to one
// interval of the rate.
func (p *Pacer) Reserve(now, deadline time.Time, seed uint64) (time.Time, bool) {
	if p.bucket == nil {
		p.start()
	}
	r := p.bucket.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		wait += jitter(p.Rate, seed)
	}
	at := now.Add(wait)
	if !r.OK() || at.After(deadline) {
		r.CancelAt(now)
		return time.Time{}, false
	}
	return at, true
}

func (p *Pacer) start() {
	if p.Rate == 0 {
		p.Rate = DefaultOpenRate
	}
	if p.Burst == 0 {
		p.Burst = DefaultOpenBurst
	}
	p.bucket = rate.NewLimiter(rate.Limit(p.Rate), p.Burst)
}

// jitter derives a delay below one interval of the rate from the seed.
func jitter(perSecond float64, seed uint64) time.Duration {
	interval := uint64(float64(time.Second) / perSecond)
	seed = (seed ^ (seed >> 31)) * 0x9e3779b97f4a7c15
	return time.Duration((seed >> 16) % max(interval, 1))
}
