package proxier

import (
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/leaver"
)

// stop ends the process gracefully. The process is not ready from then on, but serves while the
// load balancer still sends callers. Package leaver decides what follows.
func (p *Proxier) stop() {
	began := time.Now()
	shutdown := leaver.NewShutdown(began, time.Duration(p.stopTimeout.Load()))
	p.leaving.Store(true)
	p.Log.Info("proxier: graceful stop started", zap.Int("sessions", p.receiver.Count()), zap.Duration("limit", shutdown.Deadline.Sub(began)))
	time.Sleep(time.Until(shutdown.ServeUntil))
	ended, cut := 0, 0
	var exit *leaver.Exit
	for exit == nil {
		for _, cmd := range shutdown.Next(time.Now(), p.unfinished()) {
			switch cmd := cmd.(type) {
			case leaver.EndIdle:
				ended += p.receiver.EndIdle(cmd.Limit)
			case leaver.CloseListener:
				p.receiver.StopAccepting()
			case leaver.RejectNew:
				p.rejectsNew.Store(true)
			case leaver.AnswerRest:
				cut = p.receiver.Count()
				p.receiver.AnswerRest(cmd.By)
			case leaver.Exit:
				exit = &cmd
			}
		}
		if exit == nil {
			time.Sleep(leaver.ShutdownStepInterval)
		}
	}
	opened := p.receiver.Opened()
	p.receiver.Stop()
	p.gossip.Stop()
	p.messenger.Close()
	p.carrier.Stop()
	for _, s := range p.servers {
		_ = s.Close() // the process ends; nothing in flight on these servers matters any more
	}
	p.Log.Info("proxier: stopped", zap.String("reason", string(exit.Summary.Reason)), zap.Int("ended", ended), zap.Int("cut", cut),
		zap.Int64("requests", p.receiver.Interrupted()), zap.Int("late", p.receiver.Opened()-opened), zap.Duration("took", time.Since(began)))
}

// unfinished returns what the process has left to finish.
func (p *Proxier) unfinished() leaver.Load {
	return leaver.Load{Sessions: p.receiver.Count(), Forwarded: p.messenger.Serving() + p.forward.OpenTransactions()}
}
