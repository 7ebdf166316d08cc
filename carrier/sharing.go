package carrier

import (
	"time"

	"basildale.example/basildale/pooler"
)

// sharing returns how an upstream's connections are divided among workspaces.
func (g *Group) sharing(u *upstream) *pooler.Sharing {
	return &pooler.Sharing{
		On:          func() bool { return g.registry.features().FairConnections },
		Now:         g.registry.Now,
		After:       func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		OpeningTime: u.opener.expectedTime,
	}
}
