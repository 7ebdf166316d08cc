package fetcher

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/versioner"
)

const (
	// patience is how long a version may be lacking before the store is read, up to half
	// as long again. Peers deliver within it unless their links are full.
	patience = time.Second
	// storeEvery is the time between two reads of the store, up to half as long again.
	storeEvery = 2 * time.Second
	// failedFor is how long a peer that failed isn't asked again, and busyFor one that is
	// busy.
	failedFor = 2 * time.Second
	busyFor   = 200 * time.Millisecond
	// mostOffers bounds how many peers are remembered.
	mostOffers = 16
)

// Source is where to get a newer version: a peer's address for HTTP, or the store.
type Source struct {
	Peer netip.AddrPort // not valid for the store
}

// IsStore reports whether the source is the store.
func (s Source) IsStore() bool { return !s.Peer.IsValid() }

// Outcome says how asking a source ended.
type Outcome uint8

// The outcomes.
const (
	Delivered Outcome = iota // it answered, and what it told has been taken in
	Busy                     // it refused at once: it is sending to others
	Failed                   // no whole answer came in time
)

// Fetcher is the state of getting one thing. Its zero value holds nothing and has heard
// of nothing.
type Fetcher struct {
	// Rand draws among peers and times; nil means the runtime's source.
	Rand *rand.Rand

	held   versioner.Version // that this process has
	newest versioner.Version // that was heard of
	heard  time.Time         // when that was first heard of
	due    time.Time         // when the store is read; set while something is lacking
	offers []offer           // the latest last

	askingPeer  bool
	askingStore bool
	asked       versioner.Version // that the peer said it has
}

// offer is a peer that has a newer version.
type offer struct {
	peer    netip.AddrPort
	version versioner.Version
	after   time.Time // it isn't asked before
}

// SetHeld takes in the version that this process has.
func (f *Fetcher) SetHeld(version versioner.Version) {
	if !f.held.Less(version) {
		return
	}
	f.held = version
	f.offers = slices.DeleteFunc(f.offers, func(o offer) bool { return !version.Less(o.version) })
	if f.lacks() {
		f.due = f.heard.Add(f.vary(patience))
	}
}

// AddOffer takes in that a peer has a version.
func (f *Fetcher) AddOffer(peer netip.AddrPort, version versioner.Version, now time.Time) {
	if !f.held.Less(version) {
		return
	}
	if !f.lacks() {
		f.due = now.Add(f.vary(patience))
	}
	if f.newest.Less(version) {
		f.newest, f.heard = version, now
	}
	f.put(offer{peer: peer, version: version})
}

// Next returns whom to ask now, if anybody. One peer and the store may be asked at a
// time.
func (f *Fetcher) Next(now time.Time) (Source, bool) {
	if !f.lacks() {
		return Source{}, false
	}
	if !f.askingStore && !now.Before(f.due) {
		f.askingStore = true
		return Source{}, true
	}
	if f.askingPeer {
		return Source{}, false
	}
	o, ok := f.choose(now)
	if !ok {
		return Source{}, false
	}
	f.askingPeer = true
	f.asked = o.version
	return Source{Peer: o.peer}, true
}

// Done takes in how asking a source ended.
func (f *Fetcher) Done(s Source, outcome Outcome, now time.Time) {
	if s.IsStore() {
		f.askingStore = false
		f.due = now.Add(f.vary(storeEvery))
		return
	}
	f.askingPeer = false
	i := slices.IndexFunc(f.offers, func(o offer) bool { return o.peer == s.Peer })
	if i < 0 {
		return
	}
	switch outcome {
	case Delivered:
		if f.offers[i].version == f.asked { // it no longer has what it said
			f.offers = slices.Delete(f.offers, i, i+1)
		}
	case Busy:
		f.offers[i].after = now.Add(f.vary(busyFor))
	case Failed:
		f.offers[i].after = now.Add(f.vary(failedFor))
	}
}

func (f *Fetcher) lacks() bool { return f.held.Less(f.newest) }

// put remembers an offer, in place of an earlier one of the same peer.
func (f *Fetcher) put(o offer) {
	for i := range f.offers {
		if f.offers[i].peer == o.peer {
			f.offers[i].version = f.offers[i].version.Max(o.version)
			return
		}
	}
	if len(f.offers) >= mostOffers {
		f.offers = slices.Delete(f.offers, 0, 1)
	}
	f.offers = append(f.offers, o)
}

// choose draws one of the peers that have the newest version and may be asked.
func (f *Fetcher) choose(now time.Time) (offer, bool) {
	var best []offer
	for _, o := range f.offers {
		switch {
		case now.Before(o.after):
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

// vary returns a span between d and half as long again.
func (f *Fetcher) vary(d time.Duration) time.Duration {
	return d + time.Duration(f.intN(int(d/2)))
}

func (f *Fetcher) intN(n int) int {
	if f.Rand != nil {
		return f.Rand.IntN(n)
	}
	return rand.IntN(n)
}
