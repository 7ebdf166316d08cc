package fetcher

import (
	"net/netip"
	"time"
)

// Source is where to get a newer version: a peer's address for HTTP.
type Source struct {
	Peer netip.AddrPort
}

// Outcome says how asking a source ended.
type Outcome uint8

// The outcomes.
const (
	Told   Outcome = iota // it answered, and what it told has been taken in
	Failed                // no whole answer came in time
)

// Fetcher is the state of getting one thing. Its zero value holds nothing and has heard
// of nothing.
type Fetcher struct {
	held   uint64 // the version that this process has
	offer  netip.AddrPort
	asking bool
}

// Hold takes in the version that this process has.
func (f *Fetcher) Hold(version uint64) {
	f.held = max(f.held, version)
}

// Hear takes in that a peer has a version.
func (f *Fetcher) Hear(peer netip.AddrPort, version uint64, _ time.Time) {
	if version > f.held && !f.asking {
		f.offer = peer
	}
}

// Next returns whom to ask now, if anybody.
func (f *Fetcher) Next(time.Time) (Source, bool) {
	if !f.offer.IsValid() || f.asking {
		return Source{}, false
	}
	s := Source{Peer: f.offer}
	f.offer = netip.AddrPort{}
	f.asking = true
	return s, true
}

// Done takes in how asking a source ended.
func (f *Fetcher) Done(Source, Outcome, time.Time) {
	f.asking = false
}
