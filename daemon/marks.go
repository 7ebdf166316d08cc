package daemon

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/enroller"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/marker"
)

const (
	// markWithin bounds a message about marks. One that is late is of no use.
	markWithin = 200 * time.Millisecond
	// rosterKind is the platform's kind of the rosters, one for each workspace.
	rosterKind = "roster"
	// rosterWait is how long one look at the roster waits for a change.
	rosterWait = 10 * time.Second
	// putWithin bounds a change of the roster.
	putWithin = 3 * time.Second
)

func (d *Daemon) selfRun() marker.Run {
	return marker.Run{Address: d.Peers(), Start: d.Seed}
}

// marks makes what finds sessions' marks.
func (d *Daemon) marks() *finder.Finder {
	return &finder.Finder{
		Settings: marker.Settings{Self: d.selfRun().Name(), Seed: d.Seed, Lease: d.Lease},
		Send:     d.sendMark,
		Ask:      func(group string, answer finder.Answer) { d.dispatcher.Ask(group, answer) },
	}
}

func (d *Daemon) sendMark(to string, payload json.RawMessage) {
	addr, ok := runAddress(to)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), markWithin)
		defer cancel()
		if _, err := d.peers.Marks(ctx, addr, messenger.Marks{Payload: payload}); err != nil {
			d.Log.Debug("daemon: message about marks lost", zap.String("peer", to), zap.Error(err))
		}
	}()
}

// runAddress returns the address in the name of a run.
func runAddress(name string) (netip.AddrPort, bool) {
	text, start, ok := strings.Cut(name, "#")
	if !ok {
		return netip.AddrPort{}, false
	}
	if _, err := strconv.ParseUint(start, 10, 64); err != nil {
		return netip.AddrPort{}, false
	}
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil
}

// marked takes a message about marks from a peer. The marker knows the peers by
// the names of their runs, so an earlier run's message can't pass for a later's.
func (d *Daemon) marked(_ context.Context, from messenger.Peer, m messenger.Marks) (messenger.Empty, error) {
	run := marker.Run{Address: from.Addr, Start: from.Start}
	return messenger.Empty{}, d.finder.Receive(run.Name(), m.Payload)
}

// enrol keeps this run on the roster until ctx ends. A process without a platform
// is alone.
func (d *Daemon) enrol(ctx context.Context) {
	if d.platform == nil {
		d.finder.View(1, []string{d.selfRun().Name()})
		return
	}
	e := &enroller.Enroller{
		Self:   d.selfRun(),
		Watch:  d.watchRoster,
		Put:    d.putRoster,
		Listed: d.listed,
		View:   d.finder.View,
		Struck: func() {
			d.Log.Error("daemon: struck off the roster; writes of named sessions are refused until the process is started again")
		},
	}
	e.Run(ctx)
	leave, cancel := context.WithTimeout(context.Background(), putWithin)
	defer cancel()
	if err := e.Leave(leave); err != nil {
		d.Log.Warn("daemon: not taken off the roster; the others will do it when the platform no longer lists this instance", zap.Error(err))
	}
}

func (d *Daemon) watchRoster(ctx context.Context, after uint64) (marker.Roster, uint64, error) {
	name := d.Settings.Workspace
	if after > 0 {
		ctx, cancel := context.WithTimeout(ctx, rosterWait+putWithin)
		defer cancel()
		page, err := d.platform.Watch(ctx, rosterKind, after, rosterWait)
		if err != nil {
			return marker.Roster{}, 0, errors.Wrap(err, "daemon: roster")
		}
		for _, o := range page.Items {
			if o.Name == name && !o.Deleted {
				return rosterOf(o)
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, putWithin)
	defer cancel()
	o, err := d.platform.Get(ctx, rosterKind, name)
	if errors.Is(err, keeper.ErrMissing) {
		return marker.Roster{}, 0, nil
	}
	if err != nil {
		return marker.Roster{}, 0, errors.Wrap(err, "daemon: roster")
	}
	return rosterOf(o)
}

func rosterOf(o keeper.Object) (marker.Roster, uint64, error) {
	var r marker.Roster
	err := o.Decode(&r)
	return r, o.Version, errors.Wrap(err, "daemon: roster")
}

func (d *Daemon) putRoster(ctx context.Context, r marker.Roster, match uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, putWithin)
	defer cancel()
	o, err := d.platform.Put(ctx, rosterKind, d.Settings.Workspace, match, r)
	return o.Version, errors.Wrap(err, "daemon: roster")
}

// listed returns the proxies in the platform's list as the controller last had
// it.
func (d *Daemon) listed() (list []netip.AddrPort, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), putWithin)
	defer cancel()
	err := d.coordinator.Ask(ctx, func(c *controller.Controller) { list, known = c.Listed() })
	return list, known && err == nil
}
