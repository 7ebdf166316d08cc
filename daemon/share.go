package daemon

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/sharer"
)

const (
	// sharesKind is the platform's kind of the groups' shares.
	sharesKind = "shares"
	// proposers bounds how many proxies of a group's order may change its members.
	proposers = 8
	// sharesWithin bounds the wait for a share at the start, and the farewell.
	sharesWithin = 3 * time.Second
)

// share returns how many of an upstream's connections a process uses for callers
// that has no platform, and so is alone: all but the one for control.
func (d *Daemon) share(group string) int {
	least := 0
	for _, g := range d.Settings.Groups {
		for _, u := range g.Upstreams {
			if g.Name == group && (least == 0 || u.Connections < least) {
				least = u.Connections
			}
		}
	}
	return max(1, cmp.Or(least, limiter.DefaultLimits().Connections)-1)
}

// opening returns how many connections to each upstream of a group are opened a
// second.
func opening(r *controller.Reconfigured, group string) float64 {
	if r.Config != nil {
		if l, ok := r.Config.GroupLimits(group); ok {
			return l.OpenRate
		}
	}
	return limiter.DefaultLimits().OpenRate
}

// sharing makes what divides the connections; nil without a platform.
func (d *Daemon) sharing() *sharer.Sharer {
	if d.platform == nil {
		return nil
	}
	return &sharer.Sharer{
		Self:   memberOf(d.Peers(), d.Seed),
		Watch:  d.watchShares,
		Put:    d.putShares,
		Groups: d.sharedGroups,
		Fleet:  d.sharers,
		Rank:   d.shareRank,
		Send:   d.sendShare,
		Open:   d.server.Open,
		Set:    d.server.Share,
		Log:    d.Log,
	}
}

// runShares divides the connections until ctx ends.
func (d *Daemon) runShares(ctx context.Context) {
	if d.sharer != nil {
		d.sharer.Run(ctx)
	}
}

// leaveShares tells the others that no connection for data is open any more.
func (d *Daemon) leaveShares() {
	if d.sharer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), sharesWithin)
	defer cancel()
	d.sharer.Leave(ctx)
}

// awaitShares waits for a share of each group. Callers that came earlier would
// wait for a connection, or be refused.
func (d *Daemon) awaitShares(ctx context.Context) {
	if d.sharer == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sharesWithin)
	defer cancel()
	ticker := time.NewTicker(rosterLook)
	defer ticker.Stop()
	for !d.sharer.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.Log.Warn("daemon: no settled share of the connections yet; callers wait for one")
			return
		}
	}
}

func memberOf(a netip.AddrPort, start uint64) limiter.Member {
	return limiter.Member{Name: a.String(), Start: int64(start)}
}

func (d *Daemon) watchShares(ctx context.Context, after uint64) ([]sharer.Object, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, rosterWait+putWithin)
	defer cancel()
	page, err := d.platform.Watch(ctx, sharesKind, after, rosterWait)
	if err != nil {
		return nil, after, errors.Wrap(err, "daemon: shares")
	}
	var list []sharer.Object
	for _, o := range page.Items {
		one := sharer.Object{Group: o.Name, Version: o.Version, Deleted: o.Deleted}
		if !o.Deleted {
			if err := o.Decode(&one.Record); err != nil {
				// The views in use hold, and the next change of them replaces this version.
				d.Log.Error("daemon: shares not understood", zap.String("group", o.Name), zap.Uint64("version", o.Version), zap.Error(err))
				one.Record = limiter.Record{}
			}
		}
		list = append(list, one)
	}
	return list, page.Version, nil
}

func (d *Daemon) putShares(ctx context.Context, group string, r limiter.Record, match uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, putWithin)
	defer cancel()
	o, err := d.platform.Put(ctx, sharesKind, group, match, r)
	return o.Version, errors.Wrap(err, "daemon: shares")
}

// sharedGroups returns the groups with their limits under the preset in force.
func (d *Daemon) sharedGroups() []sharer.Group {
	r := d.coordinator.Config()
	if r == nil || r.Config == nil {
		return nil
	}
	list := make([]sharer.Group, 0, len(r.Groups))
	for _, g := range r.Groups {
		if l, ok := r.Config.GroupLimits(g.Name); ok {
			list = append(list, sharer.Group{Name: g.Name, Connections: l.Connections, Reserved: l.Reserved})
		}
	}
	return list
}

// askShares reads the controller. When it has no time, the sharer goes on with
// what holds.
func (d *Daemon) askShares(f func(c *controller.Controller)) {
	ctx, cancel := context.WithTimeout(context.Background(), sharesWithin)
	defer cancel()
	if err := d.coordinator.Ask(ctx, f); err != nil {
		d.Log.Debug("daemon: members not known for the shares", zap.Error(err))
	}
}

func (d *Daemon) sharers() (f sharer.Fleet) {
	d.askShares(func(c *controller.Controller) {
		listed, _ := c.Listed()
		for _, a := range listed {
			f.Listed = append(f.Listed, a.String())
		}
		f.Reads = c.Lists()
		for _, m := range c.Members() {
			f.Live = append(f.Live, memberOf(m.Addr, m.Start))
		}
	})
	return f
}

func (d *Daemon) shareRank(group string) (rank int) {
	rank = -1
	d.askShares(func(c *controller.Controller) {
		rank = slices.IndexFunc(c.Order("shares/"+group, proposers), func(m membership.Member) bool {
			return m.Addr == d.Peers()
		})
	})
	return rank
}

func (d *Daemon) sendShare(ctx context.Context, to limiter.Member, m sharer.Message) error {
	addr, err := netip.ParseAddrPort(to.Name)
	if err != nil {
		return errors.Wrap(err, "daemon: member")
	}
	req := messenger.ShareRequest{Gone: m.Gone}
	for _, s := range m.Seen {
		req.Seen = append(req.Seen, messenger.ShareSeen{Group: s.Group, Seq: s.Seq})
	}
	_, err = d.peers.Share(ctx, addr, req)
	return err
}

func (d *Daemon) heardShare(_ context.Context, from messenger.Peer, req messenger.ShareRequest) (messenger.Empty, error) {
	m := sharer.Message{Gone: req.Gone}
	for _, s := range req.Seen {
		m.Seen = append(m.Seen, sharer.Seen{Group: s.Group, Seq: s.Seq})
	}
	d.sharer.Hear(memberOf(from.Addr, from.Start), m)
	return messenger.Empty{}, nil
}
