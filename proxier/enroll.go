package proxier

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/gossiper"
)

// proxiesKind is the kind of the store objects by which processes find one another.
const proxiesKind = "proxies"

// proxyEntry is the value of an object of proxiesKind.
type proxyEntry struct {
	Zone       string         `json:"zone"`
	GossipAddr netip.AddrPort `json:"peers"`
	// GatewayAddr is the address for forwarded statements.
	GatewayAddr netip.AddrPort `json:"carries"`
	Start       int64          `json:"start"`
	// Millicores is the process's CPU capacity in thousandths of a core.
	Millicores uint16 `json:"millicores"`
}

// equalIgnoringStart reports whether two entries are equal except for the start time.
func (e proxyEntry) equalIgnoringStart(o proxyEntry) bool {
	e.Start = o.Start
	return e == o
}

// enroll loads the addresses of the other processes from the store and writes this process's
// own entry. It does so once, and again for entries that a restored store has lost; processes
// that start later become known by gossip.
func (p *Proxier) enroll(ctx context.Context) {
	w := storeWatcher{log: p.Log, storeBack: &p.storeBack}
	for ctx.Err() == nil {
		err := p.tryEnroll(ctx)
		if err == nil {
			p.maintainEntry(ctx)
			return
		}
		if ctx.Err() != nil {
			return
		}
		p.Log.Info("proxier: enrollment failed, will retry", zap.Error(err))
		w.backOff(ctx)
	}
}

// tryEnroll makes one attempt to enroll. It reads the first page of the list: a process that
// restarts unchanged finds its own entry there, or learns from the refusal to write it that it
// is listed. A new process writes its entry, and reads the list again once those that start
// together with it have written theirs. The whole list is read by few processes; the others get
// it from a peer that knows the fleet.
//
// Once a peer has delivered the list, only the own entry is checked: after a loss of power
// everywhere, processes that went on reading lists would keep the store's link full for those
// that still need them.
func (p *Proxier) tryEnroll(ctx context.Context) error {
	if p.fleetKnown.Load() {
		_, err := p.writeEntry(ctx)
		return err
	}
	page, err := p.firstPage(ctx)
	if err != nil {
		return err
	}
	isNew := false
	if !p.addPeers(page.Items) {
		if isNew, err = p.writeEntry(ctx); err != nil {
			return err
		}
	}
	if isNew && !sleep(ctx, gossiper.JoinWindow) {
		return ctx.Err()
	}
	if !isNew && !page.More || p.awaitDelivery(ctx, proxiesKind, p.fleetKnown.Load) {
		p.setFleetKnown()
		return nil
	}
	after := ""
	if !isNew && len(page.Items) > 0 {
		after = page.Items[len(page.Items)-1].Name
	}
	rest, err := hedged(ctx, func(ctx context.Context) ([]keeper.Object, error) { return p.store.AllAfter(ctx, proxiesKind, after) })
	if err != nil {
		return err
	}
	p.addPeers(rest)
	p.setFleetKnown()
	return nil
}

// firstPage reads the first page of the list of processes.
func (p *Proxier) firstPage(ctx context.Context) (keeper.Page, error) {
	return hedged(ctx, func(ctx context.Context) (keeper.Page, error) {
		return p.store.List(ctx, proxiesKind, "", keeper.PageItems)
	})
}

// setFleetKnown records that this process knows the whole fleet, has the connections divided,
// and notifies peers that may still lack the list.
func (p *Proxier) setFleetKnown() {
	if p.fleetKnown.Swap(true) {
		return
	}
	p.requestDivision()
	p.gossip.NotifySuccessors()
}

// writeEntry writes this process's entry, replacing that of an earlier incarnation, and
// reports whether it had to be written.
func (p *Proxier) writeEntry(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := p.ownEntry()
	_, err := p.store.Put(ctx, proxiesKind, p.Settings.Name, 0, value)
	var conflict *keeper.ConflictError
	if !errors.As(err, &conflict) {
		return err == nil, err
	}
	if current, err := parseEntry(conflict.Current); err == nil && current.equalIgnoringStart(value) {
		return false, nil
	}
	_, err = p.store.Put(ctx, proxiesKind, p.Settings.Name, conflict.Current.Version, value)
	return err == nil, err
}

// ownEntry returns this process's entry.
func (p *Proxier) ownEntry() proxyEntry {
	return proxyEntry{Zone: p.Settings.Zone, GossipAddr: p.gossip.LocalAddr(), GatewayAddr: p.gatewayAddr, Start: p.incarnation, Millicores: p.millicores()}
}

// parseEntry parses the value of an object of proxiesKind. One without an address is another
// writer's: a process that it added would be counted in the fleet and could not be reached.
func parseEntry(o keeper.Object) (proxyEntry, error) {
	var e proxyEntry
	if err := o.Decode(&e); err != nil {
		return proxyEntry{}, errors.Wrap(err, "proxier: parse the entry of a proxy")
	}
	if e.GossipAddr.Port() == 0 {
		return proxyEntry{}, errors.New("proxier: entry of a proxy has no address")
	}
	return e, nil
}

// addPeers adds the processes that the store lists, and reports whether this process's own
// entry is among them and correct.
func (p *Proxier) addPeers(objects []keeper.Object) (isListed bool) {
	for _, o := range objects {
		e, err := parseEntry(o)
		if err != nil {
			p.Log.Error("proxier: entry of a proxy can't be parsed", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		if o.Name == p.Settings.Name {
			isListed = e.equalIgnoringStart(p.ownEntry())
			continue
		}
		p.gossip.AddListed(gossiper.State{Name: o.Name, Zone: e.Zone, GossipAddr: e.GossipAddr, GatewayAddr: e.GatewayAddr, Millicores: e.Millicores, Start: e.Start})
	}
	p.storeBack.notify()
	p.peersKnown.Store(true)
	p.gossip.NotifyPeers()
	p.Log.Info("proxier: peers loaded from the store", zap.Int("proxies", len(objects)), zap.Bool("enrolled", isListed))
	return isListed
}

// deleteEntry deletes the store entry of a process that is gone for good. Only the process of
// rank 0 does so. If nobody did, the list would grow with each machine that was ever replaced,
// and each process that starts would take them all into account.
func (p *Proxier) deleteEntry(name string) {
	if p.readerRank(proxiesKind) > 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		o, err := p.store.Get(ctx, proxiesKind, name)
		if err == nil {
			err = p.store.Delete(ctx, proxiesKind, name, o.Version) // fails if it was written again
		}
		if err != nil {
			p.Log.Info("proxier: entry of a dead proxy not deleted", zap.String("name", name), zap.Error(err))
			return
		}
		p.Log.Info("proxier: entry of a dead proxy deleted", zap.String("name", name))
	}()
}
