package controller

import (
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// group is the control state of one database group.
type group struct {
	conf     Group
	promoter promoter.Group
	tracker  tracker.Group
	live     []promoter.Member
	leaving  []bool
	stated   []time.Time // when each upstream last told its state
	hold     time.Time
	moving   time.Time // until when a planned change that was asked for may take
	dirty    bool      // something that traffic reads has changed
}

func (c *Controller) newGroup(conf Group) *group {
	g := &group{
		conf:     conf,
		promoter: promoter.Group{Name: conf.Name, Self: MemberID(c.Self.Addr, c.Self.Start), Zone: c.Self.Zone, Settings: c.Promotion},
		dirty:    true,
	}
	g.track(c.Self.Zone)
	g.bar(&c.leaving)
	return g
}

// track starts the tracker anew for the configured upstreams. Their states are
// asked for at the next sample; until then reads go nowhere on a guess.
func (g *group) track(zone string) {
	local := make([]bool, len(g.conf.Upstreams))
	for i, u := range g.conf.Upstreams {
		local[i] = u.Zone == zone
	}
	g.tracker = tracker.Group{Local: local}
	g.stated = make([]time.Time, len(local))
}

// bar marks the upstreams that are leaving.
func (g *group) bar(leaving *leaver.Upstreams) {
	next := make([]bool, len(g.conf.Upstreams))
	for i, u := range g.conf.Upstreams {
		next[i] = leaving.Withdrawn(u.Address)
	}
	if !slices.Equal(next, g.leaving) {
		g.leaving = next
		g.dirty = true
	}
}

// moveWithin bounds a planned change away from a primary that is leaving. Writes
// are held meanwhile.
const moveWithin = time.Second

// statedWithin is how long ago a replica may have told its state to be moved to: one
// sample that is missed isn't enough, they come each 0.5 to 1 s. The log of one that is
// dark stays the longest while writes are held for it, so that they were held for a second
// again and again, and the primary that leaves stayed.
const statedWithin = 2500 * time.Millisecond

// evacuate asks for a planned change if the group's primary is leaving. Reads
// are kept away from an upstream by the router, writes only by this: without it
// they would go there until it is switched off, and the group would be without a
// primary then.
func (c *Controller) evacuate(g *group) {
	primary, _ := g.promoter.Primary()
	i := g.index(primary)
	if i < 0 || !g.leaving[i] || !g.promoter.Leads() || c.now.Before(g.moving) {
		return
	}
	target := g.successor(c.now)
	if target < 0 {
		return // all are leaving
	}
	g.moving = c.now.Add(moveWithin)
	c.promotion(g, promoter.Move{Target: g.conf.Upstreams[target].Address, Deadline: g.moving})
}

// successor returns the replica with the longest log that answers and isn't leaving, -1
// if there is none.
func (g *group) successor(now time.Time) int {
	best := -1
	seen := g.tracker.Snapshot().Upstreams
	for i, u := range seen {
		if g.leaving[i] || u.Role != tracker.Replica || now.Sub(g.stated[i]) > statedWithin {
			continue
		}
		if best < 0 || seen[best].Mark.Less(u.Mark) {
			best = i
		}
	}
	return best
}

func (g *group) index(a netip.AddrPort) int {
	return slices.IndexFunc(g.conf.Upstreams, func(u Upstream) bool { return u.Address == a })
}

// configure makes, changes and removes groups so that they are those of the
// list, and tells traffic.
func (c *Controller) configure(list []Group, config *configurator.Config) {
	wanted := make(map[string]bool, len(list))
	for _, conf := range list {
		wanted[conf.Name] = true
		c.setGroup(conf)
	}
	for name := range c.groups {
		if !wanted[name] {
			delete(c.groups, name)
		}
	}
	c.names = c.names[:0]
	for name := range wanted {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
	c.out = append(c.out, Reconfigure{&Reconfigured{Config: config, Groups: list}})
}

func (c *Controller) setGroup(conf Group) {
	g := c.groups[conf.Name]
	switch {
	case g == nil:
		g = c.newGroup(conf)
		c.groups[conf.Name] = g
		c.promotion(g, promoter.Upstreams{List: conf.addresses()})
		c.setLive(g)
	case !g.conf.equal(conf):
		g.conf = conf
		g.track(c.Self.Zone)
		g.bar(&c.leaving)
		g.dirty = true
		c.promotion(g, promoter.Upstreams{List: conf.addresses()})
	default:
		return
	}
	for _, u := range conf.Upstreams {
		c.ask(g, u.Address, "the group's configuration is new")
	}
}

// ask asks an upstream for its state ahead of the next sample.
func (c *Controller) ask(g *group, a netip.AddrPort, reason string) {
	c.out = append(c.out, Ask{Group: g.conf.Name, Upstream: a, Reason: reason})
}

// promotion hands an event to a group's promoter and passes its commands on.
func (c *Controller) promotion(g *group, ev promoter.Event) {
	for _, cmd := range g.promoter.Handle(ev, c.now) {
		c.explain(g, cmd)
		switch cmd := cmd.(type) {
		case promoter.Adopt:
			g.hold = time.Time{}
			g.dirty = true
			c.ask(g, cmd.Primary, "it is the primary at term "+cmd.Term.String())
		case promoter.Hold:
			g.hold = cmd.Until
			g.dirty = true
		default:
			c.out = append(c.out, Promote{Group: g.conf.Name, Command: cmd})
		}
	}
}

func (c *Controller) stated(ev Stated) {
	g := c.groups[ev.Group]
	if g == nil {
		return
	}
	i := g.index(ev.Upstream)
	if i < 0 {
		return
	}
	g.stated[i] = c.now
	g.tracker.Observe(tracker.Sample{Upstream: i, State: ev.State, Sent: ev.Sent, Received: ev.Received})
	g.dirty = true
	c.promotion(g, promoter.Stated{Upstream: ev.Upstream, State: ev.State, Following: ev.Following, Sent: ev.Sent})
}

func (c *Controller) failed(ev Failed) {
	g := c.groups[ev.Group]
	if g == nil {
		return
	}
	i := g.index(ev.Upstream)
	if i < 0 {
		return
	}
	if ev.Trouble == promoter.Refused || ev.Trouble == promoter.Broken {
		g.tracker.Lost(i)
		g.dirty = true
	}
	c.promotion(g, promoter.Failed{Upstream: ev.Upstream, Trouble: ev.Trouble})
}

// publish gives traffic the groups that have changed.
func (c *Controller) publish() {
	for _, name := range c.names {
		g := c.groups[name]
		if !g.dirty {
			continue
		}
		g.dirty = false
		primary, term := g.promoter.Primary()
		record, _ := g.promoter.Record()
		c.out = append(c.out, Publish{&Published{
			Group:    g.conf,
			Snapshot: g.tracker.Snapshot(),
			Primary:  primary,
			Term:     term,
			Hold:     g.hold,
			Leaving:  g.leaving,
			Leads:    g.promoter.Leads(),
			Leader:   record.Leader,
		}})
	}
}

// explain keeps the promoter's decisions; the probes that every second brings
// are left out.
func (c *Controller) explain(g *group, cmd promoter.Command) {
	d := Decision{Part: "promoter", Group: g.conf.Name}
	switch cmd := cmd.(type) {
	case promoter.Fence:
		d.Action, d.Reason, d.Upstream, d.Detail = "fence", cmd.Reason, cmd.Upstream.String(), "term "+cmd.Term.String()
	case promoter.Promote:
		d.Action, d.Reason, d.Upstream, d.Detail = "promote", cmd.Reason, cmd.Upstream.String(), "term "+cmd.Term.String()
	case promoter.Follow:
		d.Action, d.Reason, d.Upstream = "follow", cmd.Reason, cmd.Upstream.String()
		d.Detail = "primary " + cmd.Primary.String() + " at term " + cmd.Term.String()
	case promoter.Adopt:
		d.Action, d.Reason, d.Upstream, d.Detail = "adopt", cmd.Reason, cmd.Primary.String(), "term "+cmd.Term.String()
	case promoter.Hold:
		d.Action, d.Reason = "hold", cmd.Reason
	case promoter.Report:
		d.Action, d.Reason, d.Upstream = "report", cmd.Reason, cmd.Upstream.String()
	case promoter.Save:
		d.Action, d.Reason, d.Detail = "save", cmd.Reason, "leader "+cmd.Record.Leader
	case promoter.Moved:
		d.Action, d.Reason, d.Detail = "move", cmd.Reason, cmd.Outcome.String()
	default:
		return
	}
	c.note(d)
}
