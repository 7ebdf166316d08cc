package controller

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
)

const (
	// relayTick is how often the relay of configurations wants to be told the
	// time.
	relayTick = 200 * time.Millisecond
	// candidates bounds the live proxies that a group's promoter is given: more
	// than it ever records as holders, so that several can be lost at once.
	candidates = 16
)

// Controller holds the control state of one process. Set the exported fields
// before the first event. Its methods belong to one goroutine.
type Controller struct {
	// Self is this process.
	Self membership.Member
	// Workspace narrows the groups to those of one workspace; empty takes all.
	Workspace string
	// Seed makes random choices repeatable.
	Seed uint64
	// Membership and Promotion steer the parts.
	Membership membership.Settings
	Promotion  promoter.Settings
	// Standalone is set where there is no platform.
	Standalone bool
	// Ring keeps the decisions.
	Ring Ring

	started bool
	view    membership.View
	relay   configurator.Relay
	relayAt time.Time
	groups  map[string]*group
	names   []string // of the groups, sorted
	leaving leaver.Upstreams
	adopted bool
	// proxies are those in the platform's list; nil before it was read.
	proxies []netip.AddrPort
	lists   uint64
	out     []Command
	now     time.Time
}

// Handle takes an event at now, which must not fall, and returns what is to be
// done, in order. The slice is valid until the next call.
func (c *Controller) Handle(ev Event, now time.Time) []Command {
	c.out = c.out[:0]
	c.now = now
	if !c.started {
		c.begin()
	}
	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Start:
		if !c.adopted {
			c.configure(ev.Groups, nil)
		}
	case Membership:
		c.member(ev.Event)
	case Configuration:
		c.relayed(ev.Event)
	case Promotion:
		if g := c.groups[ev.Group]; g != nil {
			c.promotion(g, ev.Event)
		}
	case Stated:
		c.stated(ev)
	case Failed:
		c.failed(ev)
	case Listed:
		c.listed(ev)
	case Decided:
		ev.Decision.At = now
		c.Ring.Add(ev.Decision)
	}
	c.publish()
	return c.out
}

// Next returns when Handle wants a Tick at the latest; zero: not before another
// event.
func (c *Controller) Next() time.Time {
	next := c.view.Next()
	if !c.Standalone {
		next = sooner(next, c.relayAt)
	}
	for _, name := range c.names {
		next = sooner(next, c.groups[name].promoter.Next())
	}
	return next
}

// sooner returns the earlier of two times, of which zero is never.
func sooner(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (c *Controller) begin() {
	c.started = true
	c.view = membership.View{Self: c.Self, Settings: c.Membership, Seed: c.Seed}
	c.relay = configurator.Relay{Self: configurator.Member{Address: c.Self.Addr, Zone: c.Self.Zone}}
	c.groups = make(map[string]*group)
	c.relayAt = c.now
	c.member(membership.Tick{})
}

func (c *Controller) tick() {
	if due(c.view.Next(), c.now) {
		c.member(membership.Tick{})
	}
	if !c.Standalone && due(c.relayAt, c.now) {
		c.relayed(configurator.Ticked{})
	}
	for _, name := range c.names {
		if g := c.groups[name]; g != nil && due(g.promoter.Next(), c.now) {
			c.promotion(g, promoter.Tick{})
		}
	}
}

func due(at, now time.Time) bool { return !at.IsZero() && !at.After(now) }

// member hands an event to the membership, and the members to the other parts
// if they have changed.
func (c *Controller) member(ev membership.Event) {
	changed := false
	for _, cmd := range c.view.Handle(ev, c.now) {
		if ch, ok := cmd.(membership.Changed); ok {
			changed = true
			c.note(Decision{
				Part: "membership", Action: ch.Member.Health.String(), Reason: string(ch.Reason),
				Detail: ch.Member.Addr.String() + " in " + ch.Member.Zone,
			})
		}
		c.out = append(c.out, Member{cmd})
	}
	switch ev.(type) {
	case membership.Leave, membership.Listed:
		changed = true
	}
	if changed || len(c.names) > 0 && c.groups[c.names[0]].live == nil {
		c.membersChanged()
	}
}

func (c *Controller) membersChanged() {
	live := c.view.Live()
	members := make([]configurator.Member, 0, len(live))
	for _, m := range live {
		if m.Health != membership.Suspect {
			members = append(members, configurator.Member{Address: m.Addr, Zone: m.Zone})
		}
	}
	c.relayed(configurator.MembersChanged{Members: members})
	for _, name := range c.names {
		c.setLive(c.groups[name])
	}
}

// setLive tells a group's promoter the live proxies in its own order, if they
// are others than before.
func (c *Controller) setLive(g *group) {
	order := c.view.Order("group/"+g.conf.Name, candidates)
	live := make([]promoter.Member, len(order))
	for i, m := range order {
		live[i] = promoter.Member{ID: MemberID(m.Addr, m.Start), Zone: m.Zone}
	}
	if g.live != nil && slices.Equal(live, g.live) {
		return
	}
	g.live = live
	c.promotion(g, promoter.Members{Live: live})
}

// MemberID returns the name of one run of a proxy, "ip:port/start", by which
// promoters know it.
func MemberID(addr netip.AddrPort, start uint64) string {
	return addr.String() + "/" + strconv.FormatUint(start, 36)
}

// MemberAddress returns the address in a name that MemberID made.
func MemberAddress(id string) (netip.AddrPort, bool) {
	text, _, ok := strings.Cut(id, "/")
	if !ok {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil
}

// relayed hands an event to the relay, and takes over what it adopts.
func (c *Controller) relayed(ev configurator.Event) {
	if c.Standalone {
		return
	}
	c.relayAt = c.now.Add(relayTick)
	rebuilt := false
	for _, cmd := range c.relay.Handle(ev, c.now) {
		switch cmd := cmd.(type) {
		case configurator.Adopted:
			rebuilt = true
			c.note(Decision{
				Part: "configurator", Action: "adopt", Reason: cmd.Reason,
				Detail: "version " + strconv.FormatUint(cmd.Version, 10) + ": " + strings.Join(cmd.Names, ", "),
			})
		case configurator.Joined:
			rebuilt = true
			c.note(Decision{Part: "configurator", Action: "join", Reason: cmd.Reason})
		case configurator.Rejected:
			c.note(Decision{Part: "configurator", Action: "reject", Reason: cmd.Reason})
		}
		c.out = append(c.out, Configure{cmd})
	}
	if rebuilt && c.relay.Serving() {
		config := c.relay.Config()
		c.adopted = true
		c.configure(c.groupsOf(config), config)
	}
}

// groupsOf returns the groups of the controller's workspace, by name.
func (c *Controller) groupsOf(config *configurator.Config) []Group {
	var list []Group
	for name, g := range config.Groups {
		if pool := config.Pools[g.Pool]; c.Workspace != "" && pool.Workspace != c.Workspace {
			continue
		}
		one := Group{Name: name}
		for _, u := range g.Upstreams {
			one.Upstreams = append(one.Upstreams, Upstream{Address: u.Address, Zone: u.Zone})
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (c *Controller) listed(ev Listed) {
	c.lists++
	c.proxies = make([]netip.AddrPort, len(ev.Proxies))
	for i, p := range ev.Proxies {
		c.proxies[i] = p.Addr
	}
	c.member(membership.Listed{Instances: ev.Proxies})
	for _, cmd := range c.leaving.Handle(leaver.ListRead{Upstreams: c.upstreamsOf(ev)}, c.now) {
		switch cmd := cmd.(type) {
		case leaver.Withdraw:
			c.note(Decision{
				Part: "controller", Action: "bar", Group: cmd.Group, Upstream: cmd.Addr.String(),
				Reason: "the platform's list says that the upstream is leaving",
			})
		case leaver.Readmit:
			c.note(Decision{
				Part: "controller", Action: "readmit", Group: cmd.Group, Upstream: cmd.Addr.String(),
				Reason: "the platform's lists have had it as live for a while",
			})
		}
	}
	for _, name := range c.names {
		g := c.groups[name]
		g.bar(&c.leaving)
		c.evacuate(g)
	}
}

// upstreamsOf returns the upstreams of a list. One that has left and isn't listed
// any more is in neither half: it must not be taken for live again.
func (c *Controller) upstreamsOf(ev Listed) []leaver.Upstream {
	group := make(map[netip.AddrPort]string)
	for _, name := range c.names {
		for _, u := range c.groups[name].conf.Upstreams {
			group[u.Address] = name
		}
	}
	list := make([]leaver.Upstream, 0, len(ev.Live)+len(ev.Leaving))
	for _, a := range ev.Live {
		list = append(list, leaver.Upstream{Addr: a, Group: group[a]})
	}
	for _, a := range ev.Leaving {
		list = append(list, leaver.Upstream{Addr: a, Group: group[a], Leaving: true})
	}
	return list
}

// note keeps a decision for explanations.
func (c *Controller) note(d Decision) {
	d.At = c.now
	c.Ring.Add(d)
}

// Version returns the version of the configuration held; 0: none.
func (c *Controller) Version() uint64 { return c.relay.Version() }

// Ready reports whether traffic can be taken: groups are known.
func (c *Controller) Ready() bool { return len(c.names) > 0 }

// Listed returns the proxies in the platform's list, and whether it was read.
func (c *Controller) Listed() ([]netip.AddrPort, bool) { return c.proxies, c.proxies != nil }

// Lists returns how often the platform's list was read.
func (c *Controller) Lists() uint64 { return c.lists }

// Members returns what is believed of the fleet.
func (c *Controller) Members() []membership.Member { return c.view.Live() }

// Order returns the first n members in the rendezvous order of a key.
func (c *Controller) Order(key string, n int) []membership.Member { return c.view.Order(key, n) }
