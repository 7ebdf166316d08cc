package proxier

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/gossiper"
)

// proxiesKind is the kind of the objects by which processes find one another.
const proxiesKind = "proxies"

// entry is the value of such an object.
type entry struct {
	Zone  string         `json:"zone"`
	Peers netip.AddrPort `json:"peers"`
	// Carries is the address for statements.
	Carries netip.AddrPort `json:"carries"`
	Start   int64          `json:"start"`
	// Millicores is its processor in thousandths of a core.
	Millicores uint16 `json:"millicores"`
}

// serves reports whether an entry says what another does, but for the run.
func (e entry) serves(o entry) bool {
	e.Start = o.Start
	return e == o
}

// enroll learns where other processes are, and writes where this one is. It is
// done once, and again for what a restored store has lost: later processes are heard of
// by gossip.
func (p *Proxier) enroll(ctx context.Context) {
	f := follower{log: p.Log, back: &p.back}
	for ctx.Err() == nil {
		err := p.join(ctx)
		if err == nil {
			p.keepEnrolled(ctx)
			return
		}
		if ctx.Err() != nil {
			return
		}
		p.Log.Info("proxier: not enrolled yet", zap.Error(err))
		f.pause(ctx)
	}
}

// join learns first: a process that starts again at its place finds its own entry
// and needs nothing else of the store. One that is new writes its entry and learns
// once more when those that start together with it have written theirs: what it learned
// before lacks those that came later.
func (p *Proxier) join(ctx context.Context) error {
	there, err := p.learn(ctx)
	if err != nil {
		return err
	}
	if there {
		p.settled.Store(true)
		return nil
	}
	if _, err := p.register(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(gossiper.JoinWindow):
	case <-ctx.Done():
		return ctx.Err()
	}
	if _, err = p.learn(ctx); err != nil {
		return err
	}
	p.settled.Store(true)
	return nil
}

// register writes this process's entry, over that of an earlier run, and reports whether
// it wasn't there yet.
func (p *Proxier) register(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := p.entry()
	_, err := p.store.Put(ctx, proxiesKind, p.Settings.Name, 0, value)
	var conflict *keeper.ConflictError
	if !errors.As(err, &conflict) {
		return err == nil, err
	}
	if held, err := readEntry(conflict.Current); err == nil && held.serves(value) {
		return false, nil
	}
	_, err = p.store.Put(ctx, proxiesKind, p.Settings.Name, conflict.Current.Version, value)
	return err == nil, err
}

// entry returns this process's entry.
func (p *Proxier) entry() entry {
	return entry{Zone: p.Settings.Zone, Peers: p.gossip.LocalAddr(), Carries: p.carryAt, Start: p.start, Millicores: p.millicores()}
}

// readEntry reads the value of an object.
func readEntry(o keeper.Object) (entry, error) {
	var e entry
	err := json.Unmarshal(o.Value, &e)
	return e, errors.Wrap(err, "proxier: entry of a proxy")
}

// learn reads where the others are, and reports whether this process's own entry is
// there as it should be.
func (p *Proxier) learn(ctx context.Context) (there bool, err error) {
	all, err := hedged(ctx, func(ctx context.Context) ([]keeper.Object, error) { return p.store.All(ctx, proxiesKind) })
	if err != nil {
		return false, err
	}
	for _, o := range all {
		e, err := readEntry(o)
		if err != nil {
			p.Log.Error("proxier: entry of a proxy can't be read", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		if o.Name == p.Settings.Name {
			there = e.serves(p.entry())
			continue
		}
		p.gossip.AddListed(gossiper.State{Name: o.Name, Zone: e.Zone, GossipAddr: e.Peers, GatewayAddr: e.Carries, Millicores: e.Millicores, Start: e.Start})
	}
	p.back.send()
	p.introduce()
	p.gossip.NotifyPeers()
	p.Log.Info("proxier: peers learned", zap.Int("proxies", len(all)), zap.Bool("enrolled", there))
	return there, nil
}

// introduce has the connections divided at once by a list of the fleet that has come.
func (p *Proxier) introduce() {
	p.learned.Store(true)
	select {
	case p.introduced <- struct{}{}:
	default: // the word is on its way
	}
}

// clear takes the entry of a process that is gone for good out of the store. The
// first in the order does it. Without it the list grows with each machine that was
// ever replaced, and each process that starts reckons with all of them.
func (p *Proxier) clear(name string) {
	if p.checkRank(proxiesKind) > 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		o, err := p.store.Get(ctx, proxiesKind, name)
		if err == nil {
			err = p.store.Delete(ctx, proxiesKind, name, o.Version) // unless it was written anew
		}
		if err != nil {
			p.Log.Info("proxier: entry of a proxy that is gone stays", zap.String("name", name), zap.Error(err))
			return
		}
		p.Log.Info("proxier: entry of a proxy that is gone taken out", zap.String("name", name))
	}()
}
