package fetcher

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/versioner"
)

const (
	// peerTimeout is how long a version may be missing before the store is read, plus up to
	// 50% jitter. Peers deliver within it unless their links are saturated.
	peerTimeout = time.Second
	// storeReadInterval is the time between two reads of the store, plus up to 50% jitter.
	storeReadInterval = 2 * time.Second
	// failedPeerDelay is how long a peer that failed is skipped, and busyPeerDelay one that is
	// busy; both plus up to 50% jitter.
	failedPeerDelay = 2 * time.Second
	busyPeerDelay   = 200 * time.Millisecond
	// maxOffers bounds how many offers are kept, one per peer.
	maxOffers = 16
)

// Source is where to get a newer version: a peer's HTTP address, or the store.
type Source struct {
	Peer netip.AddrPort // zero for the store
}

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return !s.Peer.IsValid() }

// Outcome is the result of a request to a source.
type Outcome uint8

// The outcomes.
const (
	Delivered Outcome = iota // it answered, and the answer has been applied
	Busy                     // it refused at once because it is sending to others
	Failed                   // no complete answer arrived in time
)

// Fetcher is the state of fetching one piece of data. Its zero value holds no version and has
// no offers.
type Fetcher struct {
	// Rand picks peers and jitter; nil means the runtime's source.
	Rand *rand.Rand

	held        versioner.Version // version that this process has
	newest      versioner.Version // newest version offered by a peer
	newestAt    time.Time         // when newest was first offered
	storeReadAt time.Time         // when to read the store next, if a version is missing then
	offers      []offer           // in the order in which the peers were added

	isFetching     bool // a request to a peer is in flight
	isReadingStore bool
	requested      versioner.Version // version offered by the peer of the last request
}

// offer is a peer that has a newer version.
type offer struct {
	peer      netip.AddrPort
	version   versioner.Version
	notBefore time.Time // no request before then
}

// SetHeld records the version that this process has.
func (f *Fetcher) SetHeld(version versioner.Version) {
	if !f.held.Less(version) {
		return
	}
	f.held = version
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return !version.Less(o.version) })
	if f.IsBehind() {
		f.storeReadAt = f.newestAt.Add(f.jitter(peerTimeout))
	}
}

// AddOffer records that a peer has a version.
func (f *Fetcher) AddOffer(peer netip.AddrPort, version versioner.Version, now time.Time) {
	if !f.held.Less(version) {
		return
	}
	if !f.IsBehind() {
		f.storeReadAt = now.Add(f.jitter(peerTimeout))
	}
	if f.newest.Less(version) {
		f.newest, f.newestAt = version, now
	}
	f.putOffer(offer{peer: peer, version: version})
}

// Next returns the source to fetch from now, if there is one. One peer request and one read of
// the store may be in flight at a time.
func (f *Fetcher) Next(now time.Time) (Source, bool) {
	if !f.IsBehind() {
		return Source{}, false
	}
	if !f.isReadingStore && !now.Before(f.storeReadAt) {
		f.isReadingStore = true
		return Source{}, true
	}
	if f.isFetching {
		return Source{}, false
	}
	o, ok := f.pickOffer(now)
	if !ok {
		return Source{}, false
	}
	f.isFetching = true
	f.requested = o.version
	return Source{Peer: o.peer}, true
}

// Done records the outcome of a request to a source.
func (f *Fetcher) Done(s Source, outcome Outcome, now time.Time) {
	if s.IsStore() {
		f.isReadingStore = false
		f.storeReadAt = now.Add(f.jitter(storeReadInterval))
		return
	}
	f.isFetching = false
	i := slices.IndexFunc(f.offers, func(o offer) bool { return o.peer == s.Peer })
	if i < 0 {
		return
	}
	switch outcome {
	case Delivered:
		if f.offers[i].version == f.requested { // it did not deliver the version that it offered
			f.offers = slices.Delete(f.offers, i, i+1)
		}
	case Busy:
		f.offers[i].notBefore = now.Add(f.jitter(busyPeerDelay))
	case Failed:
		f.offers[i].notBefore = now.Add(f.jitter(failedPeerDelay))
	}
}

// IsBehind reports whether a peer has offered a newer version than this process has.
func (f *Fetcher) IsBehind() bool { return f.held.Less(f.newest) }

// putOffer stores an offer. A peer has one offer, with the newest version that it reported.
func (f *Fetcher) putOffer(o offer) {
	for i := range f.offers {
		if f.offers[i].peer == o.peer {
			f.offers[i].version = f.offers[i].version.Max(o.version)
			return
		}
	}
	if len(f.offers) >= maxOffers {
		f.offers = slices.Delete(f.offers, 0, 1)
	}
	f.offers = append(f.offers, o)
}

// pickOffer picks a random peer among those that have the newest version and may be requested.
func (f *Fetcher) pickOffer(now time.Time) (offer, bool) {
	var best []offer
	for _, o := range f.offers {
		switch {
		case now.Before(o.notBefore):
		case len(best) == 0 || best[0].version.Less(o.version):
			best = []offer{o}
		case o.version == best[0].version:
			best = append(best, o)
		}
	}
	if len(best) == 0 {
		return offer{}, false
	}
	return best[f.intN(len(best))], true
}

// jitter returns d plus a random part of up to 50%.
func (f *Fetcher) jitter(d time.Duration) time.Duration {
	return d + time.Duration(f.intN(int(d/2)))
}

func (f *Fetcher) intN(n int) int {
	if f.Rand != nil {
		return f.Rand.IntN(n)
	}
	return rand.IntN(n)
}
