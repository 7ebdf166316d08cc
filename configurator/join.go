package configurator

import (
	"net/netip"
	"time"
)

// advanceJoin takes a fresh member to serving. It asks peers for their versions,
// fetches up to the highest, and makes one call to the platform to see that
// nothing newer is there: peers may all be behind, and a process that restarts
// must not serve under an older configuration than it did before. While the
// platform is down the highest version of its peers is the best there is.
func (r *Relay) advanceJoin(now time.Time) {
	if r.phase == asking {
		r.ask(now)
	}
	if r.phase == asking && (len(r.join.answered) == len(r.join.asked) || !now.Before(r.join.by)) {
		r.phase = catching
	}
	if r.phase == catching {
		r.catchUp(now)
	}
	if r.phase == confirming {
		r.startWatch(now, now, "confirm the version of a fresh member")
	}
}

// ask sends the question to some peers, those of the own zone first.
func (r *Relay) ask(now time.Time) {
	if !r.join.by.IsZero() {
		return
	}
	r.join = joinState{
		answered: make(map[netip.AddrPort]bool),
		heard:    make(map[netip.AddrPort]uint64),
		by:       now.Add(joinWithin),
	}
	r.askSome(r.near, joinPeers*3/4)
	r.askSome(r.away, joinPeers-len(r.join.asked))
	if rest := joinPeers - len(r.join.asked); rest > 0 && len(r.near) > joinPeers*3/4 {
		r.askSome(r.near, joinPeers) // there are no others
	}
}

// askSome asks up to n of the peers, from a place that differs from member to
// member and from try to try.
func (r *Relay) askSome(peers []Member, n int) {
	if len(peers) == 0 {
		return
	}
	first := r.pick.next(len(peers))
	for i := range min(n, len(peers)) {
		peer := peers[(first+i)%len(peers)].Address
		r.join.asked = append(r.join.asked, peer)
		r.tell(peer, WantVersion, "fresh member")
	}
}

// catchUp fetches from the peer with the highest version until nobody who was
// heard has a higher one.
func (r *Relay) catchUp(now time.Time) {
	if r.fetch.active {
		return
	}
	best := r.store.Version()
	var peer netip.AddrPort
	for _, p := range r.join.asked {
		if v, ok := r.join.heard[p]; ok && v > best {
			best, peer = v, p
		}
	}
	if best > r.store.Version() {
		r.startFetch(peer, now)
		return
	}
	r.phase = confirming
}

// best returns the highest version that was heard.
func (j *joinState) best() uint64 {
	best := uint64(0)
	for _, v := range j.heard {
		best = max(best, v)
	}
	return best
}

func (r *Relay) serve(reason string) {
	r.phase = serving
	r.join = joinState{}
	r.emit(Joined{Version: r.store.Version(), Reason: reason})
}
