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

// errBusy means that a peer refused a request because it is sending to others.
var errBusy = errors.New("proxier: peer is busy")

// syncer fetches newer versions of one kind of the store's data from peers.
type syncer struct {
	// currentVersion returns the version that this process has.
	currentVersion func() versioner.Version
	// fetchFromPeer fetches and applies a peer's version, and readStore the store's. Both log
	// their errors.
	fetchFromPeer func(ctx context.Context, peer netip.AddrPort) error
	readStore     func(ctx context.Context) error
	wake          chan struct{}

	mu      sync.Mutex
	fetcher fetcher.Fetcher
}

// addOffer records that a peer has a newer version.
func (s *syncer) addOffer(peer netip.AddrPort, version versioner.Version) {
	s.mu.Lock()
	s.fetcher.SetHeld(s.currentVersion())
	s.fetcher.AddOffer(peer, version, bootClock())
	s.mu.Unlock()
	s.wakeUp()
}

// wakeUp makes run check at once for the next source.
func (s *syncer) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// run fetches until the context ends. The timer runs only while a newer version is known: it
// is for sources that failed or were busy.
func (s *syncer) run(ctx context.Context) {
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		for source, ok := s.nextSource(); ok; source, ok = s.nextSource() {
			requests.Go(func() { s.fetch(ctx, source) })
		}
		if s.isBehind() {
			timer.Reset(maintenanceInterval)
		}
	}
}

func (s *syncer) isBehind() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetcher.IsBehind()
}

func (s *syncer) nextSource() (fetcher.Source, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetcher.SetHeld(s.currentVersion())
	return s.fetcher.Next(bootClock())
}

func (s *syncer) fetch(ctx context.Context, source fetcher.Source) {
	outcome := s.fetchOutcome(ctx, source)
	s.mu.Lock()
	s.fetcher.SetHeld(s.currentVersion())
	s.fetcher.Done(source, outcome, bootClock())
	s.mu.Unlock()
	s.wakeUp()
}

// fetchOutcome fetches from a source and returns the outcome.
func (s *syncer) fetchOutcome(ctx context.Context, source fetcher.Source) fetcher.Outcome {
	var err error
	if source.IsStore() {
		err = s.readStore(ctx)
	} else {
		err = s.fetchFromPeer(ctx, source.Peer)
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
