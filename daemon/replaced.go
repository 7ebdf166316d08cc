package daemon

import (
	"basildale.example/basildale/controller"
	"basildale.example/basildale/tracker"
)

// onView returns what takes a new view of a group: the dispatcher, and the
// server when the group has another primary. The control goroutine calls it.
func (d *Daemon) onView() func(*controller.Published) {
	led := make(map[string]tracker.Term)
	return func(p *controller.Published) {
		d.dispatcher.OnView(p)
		last, known := led[p.Name]
		if !p.Primary.IsValid() || !last.Less(p.Term) {
			return
		}
		led[p.Name] = p.Term
		if known {
			d.server.Replaced(p.Name, p.Term, p.Primary)
		}
	}
}
