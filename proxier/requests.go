package proxier

import (
	"basildale.example/basildale/conductor"
	"basildale.example/basildale/meter"
)

// recordRequest counts and times a request.
func (p *Proxier) recordRequest(o conductor.Outcome) {
	route, a := &o.Route, &o.Answer
	class := route.Freshness.String()
	p.meter.Series(route.Group, class).Observe(meter.Timing{Wait: a.Waited, Upstream: a.Ran, Total: o.Took})
	p.meter.Outcome(route.Group, class, a.Code.String())
}
