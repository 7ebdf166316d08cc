package proxier

import (
	"time"

	"go.uber.org/zap"
)

// The steps of a graceful stop, counted from its begin. The balancer asks each
// second and stops sending callers after two refusals.
const (
	// served is how long callers are taken and served as before: until the
	// balancer has had its two refusals, and a little more.
	servedFor = 2300 * time.Millisecond
	// endEvery and endAtOnce spread the end of idle sessions, so that their
	// callers don't connect to the others in one moment.
	endEvery  = 25 * time.Millisecond
	endAtOnce = 4
	// leaveBy is the part of the time allowed after which the process ends,
	// whatever is under way.
	leaveBy = 0.92
)

// stop ends the process gracefully: it is unready at once, serves on while the
// balancer still sends callers, then ends sessions between two requests, and
// leaves when none is left or the time is over.
func (p *Proxier) stop() {
	began := time.Now()
	limit := time.Duration(leaveBy * float64(p.limit.Load()))
	p.leaving.Store(true)
	p.Log.Info("proxier: stopping", zap.Int("sessions", p.receiver.Count()), zap.Duration("limit", limit))
	time.Sleep(min(servedFor, limit/2))
	ended := 0
	for time.Since(began) < limit {
		ended += p.receiver.EndIdle(endAtOnce)
		if p.receiver.Count() == 0 && p.forward.OpenTransactions() == 0 {
			break
		}
		time.Sleep(endEvery)
	}
	left := p.receiver.Count()
	p.receiver.Stop()
	p.gossip.Stop()
	p.peers.Close()
	p.carrier.Stop()
	for _, s := range p.servers {
		_ = s.Close() // the process ends; what is under way there is lost to nobody
	}
	p.Log.Info("proxier: stopped", zap.Int("ended", ended), zap.Int("cut", left), zap.Duration("took", time.Since(began)))
}
