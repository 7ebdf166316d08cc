package proxier

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/fetcher"
	"basildale.example/basildale/versioner"
)

// errBusy says that a peer refused to tell because it is sending to others.
var errBusy = errors.New("proxier: peer is busy")

// syncer keeps one kind of what the store holds as new as peers have it.
type syncer struct {
	// held returns the version that this process has.
	held func() versioner.Version
	// ask takes in what a peer has, and read what the store has. Both log what went
	// wrong.
	ask  func(ctx context.Context, peer netip.AddrPort) error
	read func(ctx context.Context) error
	wake chan struct{}

	mu      sync.Mutex
	fetcher fetcher.Fetcher
}

// hear takes in that a peer has a newer version.
func (s *syncer) hear(peer netip.AddrPort, version versioner.Version) {
	s.mu.Lock()
	s.fetcher.SetHeld(s.held())
	s.fetcher.AddOffer(peer, version, bootClock())
	s.mu.Unlock()
	s.look()
}

// look has the syncer look whom to ask.
func (s *syncer) look() {
	select {
	case s.wake <- struct{}{}:
	default: // it is about to
	}
}

// run asks until the context ends.
func (s *syncer) run(ctx context.Context) {
	ticker := time.NewTicker(upkeep)
	defer ticker.Stop()
	var asking sync.WaitGroup
	defer asking.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-ticker.C:
		}
		for source, ok := s.next(); ok; source, ok = s.next() {
			asking.Go(func() { s.obtain(ctx, source) })
		}
	}
}

func (s *syncer) next() (fetcher.Source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetcher.SetHeld(s.held())
	return s.fetcher.Next(bootClock())
}

func (s *syncer) obtain(ctx context.Context, source fetcher.Source) {
	outcome := s.outcome(ctx, source)
	s.mu.Lock()
	s.fetcher.SetHeld(s.held())
	s.fetcher.Done(source, outcome, bootClock())
	s.mu.Unlock()
	s.look()
}

// outcome asks a source and returns how that ended.
func (s *syncer) outcome(ctx context.Context, source fetcher.Source) fetcher.Outcome {
	var err error
	if source.IsStore() {
		err = s.read(ctx)
	} else {
		err = s.ask(ctx, source.Peer)
	}
	switch {
	case err == nil:
		return fetcher.Delivered
	case errors.Is(err, errBusy):
		return fetcher.Busy
	default:
		return fetcher.Failed
	}
}
