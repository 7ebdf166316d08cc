package configurator

import (
	"net/netip"
	"time"
)

// digestState is about the comparison of versions with peers.
type digestState struct {
	at     time.Time // of the next one
	hot    time.Time // until then they are frequent
	count  uint64
	asked  netip.AddrPort               // who has not answered the last one yet
	silent map[netip.AddrPort]time.Time // who did not answer in time, and until when it is spared
}

// hurry makes comparisons frequent for a while, the next one at once: there is
// news about, and a slow comparison would be all that reaches those whose push
// was lost.
func (r *Relay) hurry(now time.Time) {
	r.digest.hot = now.Add(hotFor)
	r.digest.at = time.Time{}
}

// compare tells one peer the own version once a second, and more often when in a
// hurry. Watchers compare with other zones every second time, which brings news
// into a zone that is cut off from the platform; the others more seldom.
func (r *Relay) compare(now time.Time) {
	if now.Before(r.digest.at) {
		return
	}
	every := uint64(awayEvery)
	if r.tree.isRoot() {
		every = rootAway
	}
	r.digest.count++
	first, second := r.near, r.away
	if r.digest.count%every == 0 {
		first, second = r.away, r.near
	}
	r.noteSilence(now)
	peer, ok := r.answering(first, now)
	if !ok {
		peer, ok = r.answering(second, now)
	}
	if !ok {
		clear(r.digest.silent) // nobody answers: spare nobody
		return
	}
	r.digest.at = now.Add(digestEvery)
	if now.Before(r.digest.hot) {
		r.digest.at = now.Add(hotEvery)
	}
	r.digest.asked = peer
	r.tell(peer, WantVersion, "compare versions")
}

// noteSilence marks the peer that has not answered the last comparison. A zone
// whose watchers have died and are still listed would otherwise lose most of its
// comparisons to them.
func (r *Relay) noteSilence(now time.Time) {
	if !r.digest.asked.IsValid() {
		return
	}
	if r.digest.silent == nil {
		r.digest.silent = make(map[netip.AddrPort]time.Time)
	}
	r.digest.silent[r.digest.asked] = now.Add(silentFor)
	r.digest.asked = netip.AddrPort{}
}

// answering picks one of the peers that has not been silent lately.
func (r *Relay) answering(peers []Member, now time.Time) (peer netip.AddrPort, ok bool) {
	if len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	first := r.pick.next(len(peers))
	for i := range peers {
		peer := peers[(first+i)%len(peers)].Address
		until, silent := r.digest.silent[peer]
		if silent && now.Before(until) {
			continue
		}
		delete(r.digest.silent, peer)
		return peer, true
	}
	return netip.AddrPort{}, false
}
