package upstream

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/tracker"
)

// Group is one database group. Upstreams[0] starts as the primary, the others
// follow it.
type Group struct {
	Upstreams []*Upstream
}

// NewGroup starts the upstreams of a group, each on a free loopback port. Close
// ends them.
func NewGroup(o Options) (*Group, error) {
	if o.Term == (tracker.Term{}) {
		o.Term = tracker.Term{Epoch: 1, Seq: 1}
	}
	g := &Group{}
	for range max(o.Size, 1) {
		u, err := newUpstream(o, g.at)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.Upstreams = append(g.Upstreams, u)
	}
	first := g.Upstreams[0]
	for i, u := range g.Upstreams {
		u.store.term = o.Term
		u.store.role = tracker.Replica
		u.store.primary = first.addr
		if i == 0 {
			u.store.role, u.store.primary = tracker.Primary, netip.AddrPort{}
		}
	}
	err := first.setup(o.Setup)
	for _, u := range g.Upstreams {
		if u != first {
			u.store.extend(first.store.log)
		}
		u.start()
	}
	if err != nil {
		g.Close()
		return nil, errors.Wrap(err, "upstream: setup")
	}
	return g, nil
}

// Close ends all upstreams and waits for their goroutines.
func (g *Group) Close() {
	for _, u := range g.Upstreams {
		u.close()
	}
}

// Addrs returns the addresses of the upstreams in their order.
func (g *Group) Addrs() []netip.AddrPort {
	list := make([]netip.AddrPort, len(g.Upstreams))
	for i, u := range g.Upstreams {
		list[i] = u.addr
	}
	return list
}

// Primary returns the upstream that is primary at the highest term, nil if none
// is.
func (g *Group) Primary() *Upstream {
	var best *Upstream
	for _, u := range g.Upstreams {
		if u.State().Role != tracker.Primary {
			continue
		}
		if best == nil || best.State().Term.Less(u.State().Term) {
			best = u
		}
	}
	return best
}

func (g *Group) at(addr netip.AddrPort) *Upstream {
	for _, u := range g.Upstreams {
		if u.addr == addr {
			return u
		}
	}
	return nil
}

// setup runs a query on the tables without a connection, as one transaction.
func (u *Upstream) setup(sql string) error {
	list, err := parse(sql)
	if err != nil {
		return err
	}
	t := newTx()
	c := call{store: u.store, tx: t}
	for _, st := range list {
		if _, err := c.data(st); err != nil {
			return err
		}
	}
	if !t.wrote() {
		return nil
	}
	_, err = u.store.commit(t, nil, "")
	return err
}
