package proxier

import (
	"time"

	"go.uber.org/zap"
)

// The steps of a graceful stop, measured from its start. The load balancer checks each second
// and stops sending callers after two failed checks.
const (
	// drainDelay is how long callers are accepted and served as before: until the load
	// balancer has seen two failed checks, and a little more.
	drainDelay = 2300 * time.Millisecond
	// endIdleInterval and endIdleBatch spread the end of idle sessions over time, so that
	// their callers do not reconnect elsewhere all at once.
	endIdleInterval = 25 * time.Millisecond
	endIdleBatch    = 4
	// stopTimeoutFraction is the fraction of the stop timeout after which the process ends,
	// whatever is in flight.
	stopTimeoutFraction = 0.92
)

// stop ends the process gracefully. The process is not ready from then on, but serves while the
// load balancer still sends callers. Then it ends sessions between two requests, and exits when
// none is left and no forwarded transaction is open, or when stopTimeoutFraction of the
// timeout has passed.
func (p *Proxier) stop() {
	began := time.Now()
	limit := time.Duration(stopTimeoutFraction * float64(p.stopTimeout.Load()))
	p.leaving.Store(true)
	p.Log.Info("proxier: graceful stop started", zap.Int("sessions", p.receiver.Count()), zap.Duration("limit", limit))
	time.Sleep(min(drainDelay, limit/2))
	ended := 0
	for time.Since(began) < limit {
		ended += p.receiver.EndIdle(endIdleBatch)
		if p.receiver.Count() == 0 && p.forward.OpenTransactions() == 0 {
			break
		}
		time.Sleep(endIdleInterval)
	}
	remaining, opened := p.receiver.Count(), p.receiver.Opened()
	reason := "no session left"
	if time.Since(began) >= limit {
		reason = "limit"
	}
	p.receiver.Stop()
	p.gossip.Stop()
	p.messenger.Close()
	p.carrier.Stop()
	for _, s := range p.servers {
		_ = s.Close() // the process ends; nothing in flight on these servers matters any more
	}
	p.Log.Info("proxier: stopped", zap.String("reason", reason), zap.Int("ended", ended), zap.Int("cut", remaining),
		zap.Int64("requests", p.receiver.Interrupted()), zap.Int("late", p.receiver.Opened()-opened), zap.Duration("took", time.Since(began)))
}
