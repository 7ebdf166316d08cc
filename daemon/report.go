package daemon

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/meter"
	"basildale.example/basildale/router"
)

var (
	errStarting = errors.New("daemon: starting, no configuration is known yet")
	errLeaving  = errors.New("daemon: leaving")
)

// reporter returns what answers operators.
func (d *Daemon) reporter() *reporter.Reporter {
	d.meter.Gauge(func() int64 { return int64(d.server.Callers()) }, meter.Callers)
	return &reporter.Reporter{
		Registry: d.registry,
		Health:   d.health,
		Ready:    d.ready,
		Status:   d.status,
		Explain:  d.explain,
		Drain:    d.drainNow,
		Force:    d.force,
		Log:      d.Log,
	}
}

// health asks the control goroutine: a process whose control goroutine hangs
// goes on serving from old views, which nobody would notice otherwise.
func (d *Daemon) health(ctx context.Context) error {
	return d.coordinator.Ask(ctx, func(*controller.Controller) {})
}

func (d *Daemon) ready(context.Context) error {
	select {
	case <-d.drained:
		return errLeaving
	default:
	}
	if d.left.Load() {
		return errLeaving
	}
	select {
	case <-d.started:
		return nil
	default:
		return errStarting
	}
}

func (d *Daemon) state(ctx context.Context) string {
	switch err := d.ready(ctx); {
	case err == nil:
		return "ready"
	case errors.Is(err, errLeaving):
		return "leaving"
	default:
		return "starting"
	}
}

func (d *Daemon) status(ctx context.Context) (reporter.Status, error) {
	s := reporter.Status{
		Name: d.Settings.Name, Zone: d.Settings.Zone, Workspace: d.Settings.Workspace,
		At: time.Now(), State: d.state(ctx), Platform: "none",
	}
	if s.State == "ready" {
		s.Callers, s.Running = d.server.Callers(), d.server.Running()
	}
	if d.platform != nil {
		s.Platform = "configured"
	}
	var members []membership.Member
	if err := d.coordinator.Ask(ctx, func(c *controller.Controller) {
		s.Version = c.Version()
		members = c.Members()
	}); err != nil {
		return s, err
	}
	for _, m := range members {
		s.Peers = append(s.Peers, peer(m))
	}
	if r := d.coordinator.Config(); r != nil {
		s.Preset = d.preset(r)
		for _, g := range r.Groups {
			if view := d.coordinator.View(g.Name); view != nil {
				s.Groups = append(s.Groups, d.statusOf(r, view, s.At))
			}
		}
	}
	return s, nil
}

func (d *Daemon) preset(r *controller.Reconfigured) string {
	if r.Config == nil {
		return ""
	}
	if w := r.Config.Workspaces[d.Settings.Workspace]; w != nil {
		return w.Name
	}
	return ""
}

func peer(m membership.Member) reporter.Peer {
	p := reporter.Peer{Name: m.Addr.String(), Zone: m.Zone, Address: m.Addr, State: "live"}
	switch {
	case m.Leaving:
		p.State = "leaving"
	case m.Health != membership.Alive:
		p.State = m.Health.String()
	}
	return p
}

func (d *Daemon) statusOf(r *controller.Reconfigured, v *controller.Published, now time.Time) reporter.Group {
	g := reporter.Group{Name: v.Name, Leader: v.Leader, Term: v.Term.String()}
	for i, u := range v.Upstreams {
		one := reporter.Upstream{Name: d.nameOf(r, v.Name, u.Address), Zone: u.Zone, Address: u.Address}
		seen := v.Snapshot.Upstreams[i]
		one.Role, one.Mark = seen.Role.String(), seen.Mark.String()
		if age, known := v.Snapshot.Age(i, now); known {
			behind := reporter.Seconds(age)
			one.Behind = &behind
		}
		state, _ := d.dispatcher.Breaker(v.Name, u.Address)
		one.Breaker = state.String()
		one.Open, one.Share = d.server.Connections(v.Name, u.Address)
		g.Upstreams = append(g.Upstreams, one)
	}
	return g
}

// nameOf returns the name that the configuration gives an upstream.
func (d *Daemon) nameOf(r *controller.Reconfigured, group string, a netip.AddrPort) string {
	if r.Config != nil {
		if g := r.Config.Groups[group]; g != nil {
			for _, u := range g.Upstreams {
				if u.Address == a {
					return u.Name
				}
			}
		}
	}
	for _, g := range d.Settings.Groups {
		for _, u := range g.Upstreams {
			if g.Name == group && u.Address == a {
				return u.Name
			}
		}
	}
	return a.String()
}

// explain puts together the decisions of the control side and those of the
// router, in the order of their times.
func (d *Daemon) explain(ctx context.Context, q reporter.Query) ([]reporter.Decision, error) {
	subject := q.Group
	for _, s := range []string{q.Upstream, q.Session} {
		if s != "" {
			subject = s
		}
	}
	decided, err := d.coordinator.Explain(ctx, subject, q.Limit)
	if err != nil {
		return nil, err
	}
	list := d.routed(q)
	for _, one := range decided {
		list = append(list, reporter.Decision{
			At: one.At, Part: one.Part, Action: one.Action, Reason: one.Reason,
			Session: one.Session, Group: one.Group, Upstream: one.Upstream, Detail: one.Detail,
		})
	}
	slices.SortStableFunc(list, func(a, b reporter.Decision) int { return a.At.Compare(b.At) })
	if q.Limit > 0 && len(list) > q.Limit {
		list = list[len(list)-q.Limit:]
	}
	return list, nil
}

// routed returns the router's decisions that a query asks for.
func (d *Daemon) routed(q reporter.Query) []reporter.Decision {
	var list []reporter.Decision
	for _, one := range d.recorder.Last(router.Filter{Group: q.Group, Session: q.Session}, q.Limit) {
		to := d.upstreamName(one.Group, one.Decision.Target)
		if q.Upstream != "" && q.Upstream != to {
			continue
		}
		list = append(list, reporter.Decision{
			At: one.At, Part: "router", Action: one.Decision.Action.String(), Reason: one.Decision.Reason.String(),
			Session: one.Session, Group: one.Group, Upstream: to,
		})
	}
	return list
}

// upstreamName returns the address of a group's upstream by its index, or "".
func (d *Daemon) upstreamName(group string, i int) string {
	v := d.coordinator.View(group)
	if v == nil || i < 0 || i >= len(v.Upstreams) {
		return ""
	}
	return v.Upstreams[i].Address.String()
}

func (d *Daemon) drainNow(context.Context) (reporter.Drained, error) {
	if !d.Drain() {
		return reporter.Drained{}, reporter.ErrLeaving
	}
	return reporter.Drained{State: "leaving", Deadline: time.Now().Add(d.Settings.Stop)}, nil
}
