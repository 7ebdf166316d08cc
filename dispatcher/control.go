package dispatcher

import "basildale.example/basildale/server"

// Seams returns what a server asks its decisions of.
func (d *Dispatcher) Seams() server.Control {
	d.once.Do(d.prepare)
	return server.Control{
		Login:     d.Login,
		Terms:     d.Terms,
		Route:     d.Route,
		Release:   d.Release,
		Yield:     d.Yield,
		Confirm:   d.Confirm,
		Observe:   d.Observe,
		Unreached: d.Unreached,
		Decide:    d.Decide,
		Settle:    d.Settle,
		Settled:   d.Settled,
	}
}
