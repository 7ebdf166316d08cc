package demonstrator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/configurator"
	"basildale.example/basildale/relayer"
)

// The presets of a demonstration and the caller that it declares.
const (
	ordinary   = "ordinary"
	peak       = "peak"
	pool       = "tickets"
	callerName = "family"
	password   = "example"
)

// configure writes what the deployment's operators have accepted to the
// platform.
func (s *stage) configure(ctx context.Context) error {
	verifier, err := relayer.NewVerifier(password)
	if err != nil {
		return err
	}
	list := []configurator.Entry{
		entry(configurator.KindPreset, s.Name+"-"+ordinary, &configurator.Preset{Workspace: s.Name, Classes: classes(0)}),
		entry(configurator.KindPreset, s.Name+"-"+peak, &configurator.Preset{Workspace: s.Name, Classes: classes(peakAge)}),
		entry(configurator.KindActive, s.Name, &configurator.Active{Preset: s.Name + "-" + ordinary}),
		entry(configurator.KindWorkspace, s.Name, &configurator.Workspace{Zones: s.Zones}),
		entry(configurator.KindPool, pool, &configurator.Pool{Workspace: s.Name}),
		entry(configurator.KindCaller, callerName, &configurator.Caller{Workspace: s.Name, Class: "booking", Verifier: verifier.String()}),
	}
	for i := range s.Groups {
		list = append(list, s.group(i))
	}
	for i := range list {
		if _, err := s.put(ctx, &list[i], 0); err != nil {
			return err
		}
	}
	return nil
}

// peakAge is how old the data of a read may be while the peak preset is in
// force: replicas take more of the reads then.
const peakAge = 2 * time.Second

func classes(age time.Duration) map[string]configurator.Class {
	const (
		bookingWeight   = 2
		bookingDeadline = 2 * time.Second
		lookupDeadline  = time.Second
	)
	return map[string]configurator.Class{
		"booking": {Weight: bookingWeight, Deadline: configurator.Duration(bookingDeadline), Age: configurator.Duration(age)},
		"lookup":  {Weight: 1, Deadline: configurator.Duration(lookupDeadline), Age: configurator.Duration(age)},
	}
}

func (s *stage) group(i int) configurator.Entry {
	g := s.Groups[i]
	spec := &configurator.Group{
		Pool:        pool,
		Databases:   []string{g.Name},
		Slots:       g.Upstreams[0].Slots,
		Connections: g.Upstreams[0].Connections,
	}
	for j, u := range g.Upstreams {
		spec.Upstreams = append(spec.Upstreams, configurator.Upstream{Name: u.Name, Address: s.groups[i].Addrs()[j], Zone: u.Zone})
	}
	return entry(configurator.KindGroup, g.Name, spec)
}

func entry(kind configurator.Kind, name string, spec configurator.Spec) configurator.Entry {
	return configurator.Entry{
		ID:   configurator.ID{Kind: kind, Name: name},
		Meta: configurator.Meta{Writer: "demonstration"},
		Spec: spec,
	}
}

// put writes one object over the version that it has and returns the new one.
func (s *stage) put(ctx context.Context, e *configurator.Entry, over uint64) (uint64, error) {
	value, err := e.Encode()
	if err != nil {
		return 0, err
	}
	o, err := s.keeper.Put(ctx, configurator.StoreKind, e.ID.String(), over, value)
	return o.Version, errors.Wrapf(err, "demonstrator: %s", e.ID)
}

// activate puts a preset in force, as an operator would.
func (s *stage) activate(ctx context.Context, preset string) (uint64, error) {
	e := entry(configurator.KindActive, s.Name, &configurator.Active{Preset: s.Name + "-" + preset})
	now, err := s.keeper.Get(ctx, configurator.StoreKind, e.ID.String())
	if err != nil {
		return 0, errors.Wrapf(err, "demonstrator: %s", e.ID)
	}
	return s.put(ctx, &e, now.Version)
}
