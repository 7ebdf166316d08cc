package proxier

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
)

// proxiesKind is the kind of the objects by which processes find one another.
const proxiesKind = "proxies"

// entry is the value of such an object.
type entry struct {
	Zone  string         `json:"zone"`
	Peers netip.AddrPort `json:"peers"`
	Start int64          `json:"start"`
}

// enroll writes where this process is, and learns where others are. It is done
// once: later ones are heard of by gossip.
func (p *Proxier) enroll(ctx context.Context) {
	f := follower{log: p.Log}
	for ctx.Err() == nil {
		err := p.register(ctx)
		if err == nil {
			err = p.learn(ctx)
		}
		if err == nil || ctx.Err() != nil {
			return
		}
		p.Log.Info("proxier: not enrolled yet", zap.Error(err))
		f.pause(ctx)
	}
}

// register writes this process's entry, over that of an earlier run.
func (p *Proxier) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := entry{Zone: p.Settings.Zone, Peers: p.gossip.Bound(), Start: p.start}
	_, err := p.store.Put(ctx, proxiesKind, p.Settings.Name, 0, value)
	var conflict *keeper.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	var there entry
	if json.Unmarshal(conflict.Current.Value, &there) == nil && there.Peers == value.Peers {
		return nil // an earlier run at the same place; peers hear of this one
	}
	_, err = p.store.Put(ctx, proxiesKind, p.Settings.Name, conflict.Current.Version, value)
	return err
}

// learn reads where the others are.
func (p *Proxier) learn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	all, err := p.store.All(ctx, proxiesKind)
	if err != nil {
		return err
	}
	for _, o := range all {
		var e entry
		if err := json.Unmarshal(o.Value, &e); err != nil {
			p.Log.Error("proxier: entry of a proxy can't be read", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		if o.Name != p.Settings.Name {
			p.gossip.Learn(o.Name, e.Zone, e.Peers)
		}
	}
	p.Log.Info("proxier: enrolled", zap.Int("proxies", len(all)))
	return nil
}
