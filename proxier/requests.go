package proxier

import (
	"strings"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/conductor"
	"basildale.example/basildale/meter"
)

// recordRequest counts and times a request.
func (p *Proxier) recordRequest(o conductor.Outcome) {
	route, a := &o.Route, &o.Answer
	class := route.Freshness.String()
	p.meter.Series(route.Group, class).Observe(meter.Timing{Wait: a.Waited, Upstream: a.Ran, Total: o.Took})
	p.meter.Outcome(route.Group, class, a.Code.String())
	if a.Gateway != "" && a.Gateway != p.Settings.Name {
		p.forwards.Count(route.Group, a.Gateway)
	}
	if o.Job.Workspace != "" {
		outcome, cause := outcomeOf(&o)
		p.workspaces.Record(meter.Request{Workspace: o.Job.Workspace, Outcome: outcome, Cause: cause, Queued: a.Queued})
	}
}

// outcomeOf returns how a request ended, as it is counted by workspace, and the cause of a
// refusal.
func outcomeOf(o *conductor.Outcome) (outcome, cause string) {
	switch {
	case o.Answer.Code == carrier.OK && o.Took <= o.Route.Objective:
		return meter.InTime, ""
	case o.Answer.Code == carrier.OK:
		return meter.Late, ""
	case o.Answer.Code == carrier.InDoubt:
		return meter.InDoubt, ""
	default:
		return meter.Refused, refusalCause(&o.Answer)
	}
}

// refusalCause returns the kind of cause that the text of a refusal states. The texts have
// times in them, and there must be few causes.
func refusalCause(a *carrier.Answer) string {
	if a.Code == carrier.Busy {
		for _, c := range []struct{ text, cause string }{
			{"quota", "quota"},
			{"overloaded", "queue"},
			{"no proxy", "no gateway"},
			{"leader", "leader"},
			{"connection", "connection"},
		} {
			if strings.Contains(a.Text, c.text) {
				return c.cause
			}
		}
	}
	return a.Code.String()
}
