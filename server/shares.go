package server

import "net/netip"

// old is a pool that was stopped while connections of it were in use.
type old struct {
	place
	pool *pool
}

// Share bounds the connections to each upstream of a group. Idle ones above the
// bound are closed at once, those in use when they come back. Connections that
// were made with a former configuration count too.
func (s *Server) Share(group string, allowed func(netip.AddrPort) int) {
	s.once.Do(s.prepare)
	s.pools.share(group, allowed)
}

// Open counts the open connections to each upstream of a group: those in use,
// idle and being opened, and those to former upstreams that are still in use.
func (s *Server) Open(group string) map[netip.AddrPort]int {
	s.once.Do(s.prepare)
	return s.pools.count(group)
}

// bound is a pool's new limit.
type bound struct {
	pool  *pool
	limit int
}

func (p *pools) share(group string, allowed func(netip.AddrPort) int) {
	// Closing a connection writes to it, so it is done without the lock.
	for _, b := range p.bounds(group, allowed) {
		b.pool.SetLimit(b.limit)
	}
}

func (p *pools) bounds(group string, allowed func(netip.AddrPort) int) (list []bound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget()
	for at, one := range p.all {
		if at.group != group {
			continue
		}
		if n := max(0, allowed(at.address)-p.remain(at)); n != one.Stats().Limit {
			list = append(list, bound{one, n})
		}
	}
	return list
}

func (p *pools) count(group string) map[netip.AddrPort]int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	open := make(map[netip.AddrPort]int)
	for at, one := range p.all {
		if at.group == group {
			open[at.address] += one.Stats().Open
		}
	}
	for _, o := range p.old {
		if o.group == group {
			open[o.address] += o.pool.Stats().Open
		}
	}
	return open
}

// remain counts the connections of stopped pools to a place.
func (p *pools) remain(at place) (n int) {
	for _, o := range p.old {
		if o.place == at {
			n += o.pool.Stats().Open
		}
	}
	return n
}

// forget drops stopped pools that have no connections any more.
func (p *pools) forget() {
	kept := p.old[:0]
	for _, o := range p.old {
		if o.pool.Stats().Open > 0 {
			kept = append(kept, o)
		}
	}
	clear(p.old[len(kept):])
	p.old = kept
}
