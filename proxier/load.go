package proxier

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/platform/translator"
)

const (
	// spreadWorkspaces is the number of workspaces that this process divides over the gateways
	// of a group, and spreadStatements counts the statements that therefore went to another
	// gateway than the first in their workspace's order.
	spreadWorkspaces = "basildale_spread_workspaces"
	spreadStatements = "basildale_spread_statements"
	// openedForCallers and openedAhead count connections to upstreams by whether a caller
	// waited for them.
	openedForCallers = "basildale_connections_opened_for_callers"
	openedAhead      = "basildale_connections_opened_ahead"
)

// countOpening counts a connection that was opened.
func (p *Proxier) countOpening(ahead bool) {
	if ahead {
		p.incrementCounter(openedAhead, 1)
		return
	}
	p.incrementCounter(openedForCallers, 1)
}

// setLoad puts the choices under load of the settings in force. What they leave open is
// decided by the rules of the platform.
func (p *Proxier) setLoad(s *loader.Settings) {
	next := s.Load.Or(translator.Load(s.Rules))
	previous := p.load.Swap(&next)
	if previous == nil {
		return
	}
	if changes := changedChoices(previous, &next); len(changes) > 0 {
		p.Log.Info("proxier: choices under load changed", zap.Strings("changes", changes))
	}
}

// maxLoggedChanges bounds the changes that one line names.
const maxLoggedChanges = 32

// changedChoices returns the choices and weights that differ, each with its old and new value.
func changedChoices(before, now *loader.Choices) []string {
	var out []string
	for _, c := range []struct {
		name                  string
		before, now, standard loader.Choice
	}{
		{"admission", before.Admission, now.Admission, loader.Plain},
		{"quota", before.Quota, now.Quota, loader.Plain},
		{"gateways", before.Gateways, now.Gateways, loader.Fixed},
		{"placement", before.Placement, now.Placement, loader.Fixed},
		{"connections", before.Connections, now.Connections, loader.Plain},
		{"division", before.Division, now.Division, loader.Equal},
	} {
		if was, is := cmp.Or(c.before, c.standard), cmp.Or(c.now, c.standard); was != is {
			out = append(out, fmt.Sprintf("%s: %s to %s", c.name, was, is))
		}
	}
	names := maps.Clone(now.Weights)
	if names == nil {
		names = map[string]float64{}
	}
	maps.Copy(names, before.Weights)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if was, is := before.Weight(name), now.Weight(name); was != is {
			out = append(out, fmt.Sprintf("weight of %s: %g to %g", name, was, is))
		}
	}
	if more := len(out) - maxLoggedChanges; more > 0 {
		out = append(out[:maxLoggedChanges], fmt.Sprintf("%d more", more))
	}
	return out
}

// loadChoices returns the choices in force.
func (p *Proxier) loadChoices() loader.Choices {
	if l := p.load.Load(); l != nil {
		return *l
	}
	return loader.Choices{}
}

// features returns the features of package carrier that are in force.
func (p *Proxier) features() carrier.Features {
	l := p.loadChoices()
	return carrier.Features{
		FairAdmission:     l.Admission == loader.Fair,
		ExpectedPlacement: l.Placement == loader.Expected,
		AdaptivePlacement: l.Placement == loader.Adaptive,
		FairConnections:   l.Connections == loader.Fair,
		ShortRetries:      l.Gateways == loader.Reach,
		Weight:            l.Weight,
	}
}

// setPeerLoads records what a peer has at the upstreams of its groups.
func (p *Proxier) setPeerLoads(s *gossiper.State) {
	now := bootClock()
	for name, group := range s.Groups {
		if group.IsGateway {
			p.carrier.SetPeerLoads(s.Name, name, group.Upstreams, now)
		}
	}
}
