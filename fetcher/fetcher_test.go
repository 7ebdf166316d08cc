package fetcher

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/versioner"
)

func version(revision uint64) versioner.Version { return versioner.Version{Revision: revision} }

func peer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7440)
}

func newFetcher() (*Fetcher, time.Time) {
	return &Fetcher{Rand: rand.New(rand.NewPCG(1, 1))}, time.Unix(1_800_000_000, 0)
}

func TestHeldVersionIsNotRequested(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	f.SetHeld(version(5))
	f.AddOffer(peer(1), version(5), now)
	_, ok := f.Next(now.Add(time.Hour))
	is.True(!ok)
}

func TestOneRequestAtATime(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	f.AddOffer(peer(1), version(2), now)
	f.AddOffer(peer(2), version(2), now)
	s, ok := f.Next(now)
	is.True(ok)
	is.True(!s.IsStore())
	_, ok = f.Next(now)
	is.True(!ok)
	f.SetHeld(version(2))
	f.Done(s, Delivered, now)
	_, ok = f.Next(now.Add(time.Hour))
	is.True(!ok)
}

// Guards against a process that keeps requesting from a peer that cannot deliver while others
// could.
func TestFailedOrBusyPeerIsSkipped(t *testing.T) {
	for _, outcome := range []Outcome{Busy, Failed} {
		is := is.New(t)
		f, now := newFetcher()
		f.AddOffer(peer(1), version(2), now)
		first, ok := f.Next(now)
		is.True(ok)
		f.AddOffer(peer(2), version(2), now)
		f.Done(first, outcome, now)
		f.AddOffer(peer(1), version(2), now) // another report does not end the delay
		second, ok := f.Next(now)
		is.True(ok)
		is.Equal(second, Source{Peer: peer(2)})
		f.Done(second, outcome, now)
		_, ok = f.Next(now)
		is.True(!ok) // both are skipped
		again, ok := f.Next(now.Add(2 * busyPeerDelay))
		is.Equal(ok, outcome == Busy)
		is.True(!again.IsStore() || !ok)
	}
}

// Guards against a request loop on a peer that no longer has the version it offered.
func TestPeerWithNothingNewIsRemoved(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	f.AddOffer(peer(1), version(2), now)
	s, ok := f.Next(now)
	is.True(ok)
	f.Done(s, Delivered, now)
	_, ok = f.Next(now)
	is.True(!ok)
}

// Guards against a process that relies on its peers forever.
func TestStoreIsReadWhenPeersDoNotDeliver(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	began := now
	f.AddOffer(peer(1), version(2), now)
	s, _ := f.Next(now)
	is.True(!s.IsStore())
	var reads []time.Duration
	for now.Sub(began) < 8*time.Second {
		now = now.Add(100 * time.Millisecond)
		f.AddOffer(peer(2), version(2), now) // others keep reporting that they have it
		if s, ok := f.Next(now); ok && s.IsStore() {
			reads = append(reads, now.Sub(began))
			f.Done(s, Failed, now)
		}
	}
	is.True(len(reads) >= 3)
	is.True(reads[0] >= peerTimeout)
	is.True(reads[0] <= 2*peerTimeout)
	for i := 1; i < len(reads); i++ {
		is.True(reads[i]-reads[i-1] >= storeReadInterval)
	}
}

// Guards against a read of the store for each of many versions in quick succession.
func TestProgressDelaysStoreRead(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	for n := uint64(2); n < 40; n++ {
		if n == 2 {
			f.AddOffer(peer(1), version(n), now)
		}
		s, ok := f.Next(now)
		is.True(ok)
		is.True(!s.IsStore())
		f.AddOffer(peer(1), version(n+1), now) // while it sends the previous one
		now = now.Add(300 * time.Millisecond)
		f.SetHeld(version(n))
		f.Done(s, Delivered, now)
	}
}

// Guards against a list of peers that grows with the fleet.
func TestOffersAreBounded(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	for i := range 200 {
		f.AddOffer(peer(i), version(2), now)
	}
	is.Equal(len(f.offers), maxOffers)
	f.SetHeld(version(2))
	is.Equal(len(f.offers), 0)
}

func TestNewestVersionIsRequested(t *testing.T) {
	is := is.New(t)
	f, now := newFetcher()
	f.AddOffer(peer(1), version(3), now)
	f.AddOffer(peer(2), version(2), now)
	s, ok := f.Next(now)
	is.True(ok)
	is.Equal(s, Source{Peer: peer(1)})
}
