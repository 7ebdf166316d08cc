package proxier

import (
	"net/netip"
	"sync"

	"basildale.example/basildale/fetcher"
)

// syncer keeps one kind of what the store holds as new as peers have it.
type syncer struct {
	// held returns the version that this process has.
	held func() uint64
	// ask takes in what a peer has.
	ask func(peer netip.AddrPort) error

	mu      sync.Mutex
	fetcher fetcher.Fetcher
}

// hear takes in that a peer has a newer version.
func (s *syncer) hear(peer netip.AddrPort, version uint64) {
	s.mu.Lock()
	s.fetcher.Hold(s.held())
	s.fetcher.Hear(peer, version, bootClock())
	s.mu.Unlock()
	s.step()
}

// step asks whoever is to be asked now.
func (s *syncer) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetcher.Hold(s.held())
	if source, ok := s.fetcher.Next(bootClock()); ok {
		go s.obtain(source)
	}
}

func (s *syncer) obtain(source fetcher.Source) {
	outcome := fetcher.Told
	if err := s.ask(source.Peer); err != nil {
		outcome = fetcher.Failed
	}
	s.mu.Lock()
	s.fetcher.Hold(s.held())
	s.fetcher.Done(source, outcome, bootClock())
	s.mu.Unlock()
	s.step()
}
