package server

import "net/netip"

// Callers returns how many callers' connections there are, those in their
// startup included.
func (s *Server) Callers() int {
	s.once.Do(s.prepare)
	return s.relay.Sessions()
}

// Running returns how many connections to upstreams are in use.
func (s *Server) Running() int {
	s.pools.mu.RLock()
	defer s.pools.mu.RUnlock()
	busy := 0
	for _, one := range s.pools.all {
		stats := one.Stats()
		busy += stats.Open - stats.Idle
	}
	return busy
}

// Connections returns how many connections to an upstream are open and how many
// this proxy may open.
func (s *Server) Connections(group string, address netip.AddrPort) (open, share int) {
	one := s.pools.get(group, address)
	if one == nil {
		return 0, 0
	}
	stats := one.Stats()
	return stats.Open, stats.Limit
}
