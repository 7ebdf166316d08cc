package proxier

import (
	"reflect"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/platform/translator"
)

// setLoad puts the choices under load of the settings in force. What they leave open is
// decided by the rules of the platform.
func (p *Proxier) setLoad(s *loader.Settings) {
	next := s.Load.Or(translator.Load(s.Rules))
	previous := p.load.Swap(&next)
	if previous != nil && !reflect.DeepEqual(*previous, next) {
		p.Log.Info("proxier: choices under load changed", zap.Any("before", *previous), zap.Any("now", next))
	}
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
