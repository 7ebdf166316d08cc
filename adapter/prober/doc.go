// Package prober runs a [membership.View] over a [messenger.Messenger]: one
// goroutine owns the view, gives it the peers' requests and answers as events and
// carries out its commands.
//
// # Usage
//
//	p := &prober.Prober{Self: self, Messenger: m, Changed: logChange}
//	p.Answer(&m.Handler) // before m serves
//	go m.Serve(ln)
//	go p.Run(ctx)
//	p.List(instances) // whenever the platform's list was read
//	leaders := p.Fleet().Order("billet-db-2", 3)
package prober
