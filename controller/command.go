package controller

import (
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// Command is one of the structs of this file.
type Command interface{ command() }

// Member is a command of the membership.
type Member struct{ Command membership.Command }

// Configure is a command of the relay of configurations.
type Configure struct{ Command configurator.Command }

// Promote is a command of a group's promoter.
type Promote struct {
	Group   string
	Command promoter.Command
}

// Ask asks an upstream for its state now. The answer is [Stated] or [Failed].
type Ask struct {
	Group    string
	Upstream netip.AddrPort
	Reason   string
}

// Publish gives traffic a new view of a group.
type Publish struct{ Group *Published }

// Reconfigure gives traffic another configuration.
type Reconfigure struct{ Configuration *Reconfigured }

func (Member) command()      {}
func (Configure) command()   {}
func (Promote) command()     {}
func (Ask) command()         {}
func (Publish) command()     {}
func (Reconfigure) command() {}

// Group is a database group as it is configured.
type Group struct {
	Name      string
	Upstreams []Upstream
}

func (g Group) addresses() []netip.AddrPort {
	list := make([]netip.AddrPort, len(g.Upstreams))
	for i, u := range g.Upstreams {
		list[i] = u.Address
	}
	return list
}

func (g Group) equal(o Group) bool {
	return g.Name == o.Name && slices.Equal(g.Upstreams, o.Upstreams)
}

// Published is what traffic knows of a group. It never changes.
type Published struct {
	Group
	// Snapshot is the tracker's view; its indexes are those of Upstreams.
	Snapshot *tracker.Snapshot
	// Primary and Term are the promoter's view, which may be ahead of the
	// snapshot by one question.
	Primary netip.AddrPort
	Term    tracker.Term
	// Hold asks to hold new writes until then; zero: no.
	Hold time.Time
	// Leaving says of each upstream whether the platform takes it away.
	Leaving []bool
	// Leads says that this proxy is the one to replace the primary.
	Leads bool
	// Leader names the recorded leader; empty: none is known.
	Leader string
}

// Index returns the place of an upstream among those of the group, or
// tracker.None.
func (p *Published) Index(a netip.AddrPort) int {
	for i, u := range p.Upstreams {
		if u.Address == a {
			return i
		}
	}
	return tracker.None
}

// Reconfigured is the configuration that traffic goes by. It never changes.
type Reconfigured struct {
	// Config is nil in a process without a platform.
	Config *configurator.Config
	Groups []Group
}
