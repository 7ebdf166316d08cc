package configurator

import (
	"net/netip"
	"time"
)

// Settings of the relay that are the same everywhere.
const (
	DefaultWatchers = 2 // members of an availability zone that watch the platform
	DefaultFanout   = 4 // members to which one member pushes a change

	watchWait    = 30 * time.Second
	watchPace    = 250 * time.Millisecond // between an answer with changes and the next watch
	watchGrace   = 10 * time.Second       // after watchWait a watch counts as failed
	digestEvery  = time.Second            // a member compares its version with a peer's
	hotEvery     = 250 * time.Millisecond // the same for hotFor after a change
	hotFor       = 3 * time.Second
	awayEvery    = 4                      // every how many comparisons leave the zone
	rootAway     = 2                      // the same of a watcher
	silentFor    = 5 * time.Second        // a peer that did not answer is spared
	fetchWithin  = 500 * time.Millisecond // for the answer of a peer that is asked for changes
	joinWithin   = 500 * time.Millisecond // for peers' answers to a fresh member
	joinPeers    = 8                      // peers that a fresh member asks
	pushBytes    = 16 << 10               // a larger change is announced, not pushed
	fetchBytes   = 64 << 10               // of one answer with changes
	firstBackoff = 500 * time.Millisecond // after a failed watch
	lastBackoff  = 5 * time.Second
)

// phase is how far a fresh member has come.
type phase uint8

const (
	asking     phase = iota // peers for their versions
	catching                // up with the highest of them
	confirming              // with the platform that nothing newer is there
	serving
)

// Relay keeps one member's configuration up to date. It is a state machine: its
// owner hands it events and carries out the commands it returns. Set the
// exported fields first.
//
// The few members of each availability zone that come first by rendezvous hash
// watch the platform and push each change along a forest over their zone. Apart
// from that every member compares its version with that of some peer once a
// second, four times a second right after a change, and whoever lacks something
// fetches it. So a push that was lost, a watcher that is dead or cut off, and
// wrong views of who lives cost some time, and nothing else.
type Relay struct {
	Self     Member
	Watchers int // zero means DefaultWatchers
	Fanout   int // zero means DefaultFanout

	store  Store
	set    Set
	tree   tree
	near   []Member // others of the own zone
	away   []Member // those of other zones
	pick   picker
	phase  phase
	watch  watchState
	fetch  fetchState
	join   joinState
	digest digestState
	out    []Command
}

// watchState is the one call to the platform that may be under way.
type watchState struct {
	seq      uint64
	waiting  bool
	by       time.Time // when it counts as failed
	at       time.Time // not before
	failures int
	pages    Delta // of an answer in several pages, so far
}

// fetchState is the one fetch from a peer that may be under way.
type fetchState struct {
	active bool
	peer   netip.AddrPort
	by     time.Time
	pages  Delta // of an answer in several pieces, so far
}

// joinState is what a fresh member has learnt of its peers.
type joinState struct {
	asked    []netip.AddrPort // those of the own zone first
	answered map[netip.AddrPort]bool
	heard    map[netip.AddrPort]uint64 // versions of those that are not fresh
	by       time.Time                 // zero before it has asked
}

// Version returns the version of the configuration held.
func (r *Relay) Version() uint64 { return r.store.Version() }

// Serving reports whether the member holds a configuration fit to serve under.
func (r *Relay) Serving() bool { return r.phase == serving }

// Watching reports whether the member is one of its zone's watchers.
func (r *Relay) Watching() bool { return r.tree.isRoot() }

// Config builds the configuration held, for traffic.
func (r *Relay) Config() *Config { return Build(r.set, r.store.Version()) }

// Handle takes an event and returns what is to be done, in order.
func (r *Relay) Handle(ev Event, now time.Time) []Command {
	r.out = nil
	if r.tree.members == nil {
		r.setMembers(nil)
	}
	switch ev := ev.(type) {
	case MembersChanged:
		r.setMembers(ev.Members)
	case WatchAnswered:
		r.watchAnswered(ev, now)
	case WatchFailed:
		if ev.Seq == r.watch.seq && r.watch.waiting {
			r.watchFailed(now)
		}
	case PeerTold:
		r.peerTold(ev, now)
	case PeerSent:
		r.peerSent(ev, now)
	}
	r.advance(now)
	return r.out
}

func (r *Relay) emit(c Command) { r.out = append(r.out, c) }

func (r *Relay) setMembers(members []Member) {
	watchers, fanout := r.Watchers, r.Fanout
	if watchers == 0 {
		watchers = DefaultWatchers
	}
	if fanout == 0 {
		fanout = DefaultFanout
	}
	r.tree = newTree(r.Self, members, watchers, fanout)
	r.near, r.away = nil, nil
	for _, m := range members {
		switch {
		case m.Address == r.Self.Address:
		case m.Zone == r.Self.Zone:
			r.near = append(r.near, m)
		default:
			r.away = append(r.away, m)
		}
	}
	if r.pick.seed == 0 {
		r.pick.seed = rank(r.Self)
	}
}

// advance does what is due.
func (r *Relay) advance(now time.Time) {
	if r.watch.waiting && !now.Before(r.watch.by) {
		r.watchFailed(now) // the adapter lost it: another must go out
	}
	if r.fetch.active && !now.Before(r.fetch.by) {
		delete(r.join.heard, r.fetch.peer) // it may be dead: go by the others
		r.fetch = fetchState{}
		r.hurry(now)
	}
	if r.phase != serving {
		r.advanceJoin(now)
	}
	if r.phase != serving {
		return
	}
	if r.tree.isRoot() {
		r.startWatch(now, now.Add(watchWait), "watcher of the zone")
	}
	r.compare(now)
}

func (r *Relay) tell(peer netip.AddrPort, want Want, reason string) {
	t := Tell{Version: r.store.Version(), Want: want, Fresh: r.phase != serving}
	r.emit(TellPeer{Peer: peer, Tell: t, Reason: reason})
}

// startWatch calls the platform unless a call is under way or it is too early.
func (r *Relay) startWatch(now, until time.Time, reason string) {
	if r.watch.waiting || now.Before(r.watch.at) {
		return
	}
	if r.watch.pages.To() <= r.store.Version() {
		r.watch.pages = Delta{From: r.store.Version()}
	}
	r.watch.seq++
	r.watch.waiting = true
	r.watch.by = until.Add(watchGrace)
	r.emit(Watch{Seq: r.watch.seq, After: r.watch.pages.To(), Until: until, Reason: reason})
}

// watchAnswered gathers the pages of an answer and takes it when it is whole.
func (r *Relay) watchAnswered(ev WatchAnswered, now time.Time) {
	if ev.Seq != r.watch.seq || !r.watch.waiting || ev.After != r.watch.pages.To() {
		return // it counted as failed, and the same is asked again
	}
	r.watch.waiting = false
	r.watch.failures = 0
	r.watch.pages.Items = append(r.watch.pages.Items, ev.Items...)
	if ev.More {
		return
	}
	d := r.watch.pages
	r.watch.pages = Delta{}
	if len(d.Items) > 0 {
		// An apply of many objects would otherwise cost every watcher a call, and
		// every member a new configuration, for each of them.
		r.watch.at = now.Add(watchPace)
	}
	r.adopt(d, "the platform", now)
	if r.phase == confirming {
		r.serve("the platform has nothing newer")
	}
}

// watchFailed puts off the next call, longer each time and differently at each
// member, so that an outage doesn't end in a wave of calls.
func (r *Relay) watchFailed(now time.Time) {
	r.watch.waiting = false
	wait := min(firstBackoff<<min(r.watch.failures, 8), lastBackoff)
	r.watch.failures++
	jitter := time.Duration(r.pick.next(int(wait)))
	r.watch.at = now.Add(wait/2 + jitter)
	if r.phase != confirming {
		return
	}
	if len(r.join.heard) > 0 && r.join.best() <= r.store.Version() {
		r.serve("the platform is down; no peer that was asked has a higher version")
		return
	}
	r.phase = asking // nobody knows anything yet: ask others
	r.join = joinState{}
}

func (r *Relay) peerTold(ev PeerTold, now time.Time) {
	if ev.Peer == r.digest.asked {
		r.digest.asked = netip.AddrPort{}
	}
	if ev.Tell.Want == WantNothing {
		r.peerAnswered(ev)
	}
	switch ev.Tell.Want {
	case WantVersion:
		r.tell(ev.Peer, WantNothing, "asked for the version")
	case WantChanges:
		d := r.store.Since(ev.Tell.Version, fetchBytes)
		if len(d.Items) > 0 {
			r.emit(SendPeer{Peer: ev.Peer, Delta: d, Reason: "asked for changes"})
		} else {
			r.tell(ev.Peer, WantNothing, "has no changes")
		}
	}
	if r.phase == serving && ev.Tell.Version > r.store.Version() {
		r.startFetch(ev.Peer, now)
	}
}

// peerAnswered notes the version of a peer that was asked for it, or for changes
// that it doesn't have. A fresh peer's version means nothing, and it may have
// been another before it was restarted: going by what was heard then, a joining
// member would ask it for the same changes again and again.
func (r *Relay) peerAnswered(ev PeerTold) {
	if r.fetch.active && ev.Peer == r.fetch.peer && ev.Tell.Version <= r.store.Version() {
		r.fetch = fetchState{}
		delete(r.join.heard, ev.Peer)
	}
	if r.join.answered == nil {
		return
	}
	r.join.answered[ev.Peer] = true
	if ev.Tell.Fresh {
		delete(r.join.heard, ev.Peer)
	} else {
		r.join.heard[ev.Peer] = ev.Tell.Version
	}
}

// startFetch asks a peer for what it has above the own version. One fetch at a
// time: a member that is behind hears of it from many, and the same changes
// would come from each.
func (r *Relay) startFetch(peer netip.AddrPort, now time.Time) {
	if r.fetch.active {
		return
	}
	r.fetch = fetchState{active: true, peer: peer, pages: Delta{From: r.store.Version()}}
	r.fetchOn(now)
}

// fetchOn asks for what follows the pieces that are there.
func (r *Relay) fetchOn(now time.Time) {
	r.fetch.by = now.Add(fetchWithin)
	t := Tell{Version: r.fetch.pages.To(), Want: WantChanges, Fresh: r.phase != serving}
	r.emit(TellPeer{Peer: r.fetch.peer, Tell: t, Reason: "peer is ahead"})
}

// peerSent takes a pushed change or a piece of the answer to a fetch.
func (r *Relay) peerSent(ev PeerSent, now time.Time) {
	d := ev.Delta
	if r.fetch.active && ev.Peer == r.fetch.peer && d.From == r.fetch.pages.To() {
		r.fetched(ev, now)
		return
	}
	if d.Head > r.store.Version() && (d.From > r.store.Version() || !d.whole()) {
		r.startFetch(ev.Peer, now)
		return
	}
	r.adopt(d, "a peer", now)
}

// fetched takes a piece of the answer to a fetch. A peer whose own version has
// fallen was restarted in between: its next piece may lack what the last one
// left to it. Such an answer, and one that brings nothing of use, ends the fetch
// and the trust in what was heard of the peer's version, else it would be asked
// in a loop.
func (r *Relay) fetched(ev PeerSent, now time.Time) {
	pages := Delta{From: r.fetch.pages.From, Head: ev.Delta.Head}
	pages.Items = append(r.fetch.pages.Items, ev.Delta.Items...)
	usable := len(ev.Delta.Items) > 0 && pages.rising() && ev.Delta.Head >= r.fetch.pages.Head
	if usable && !pages.whole() {
		r.fetch.pages = pages
		r.fetchOn(now)
		return
	}
	r.fetch = fetchState{}
	if !usable || !r.adopt(pages, "a peer", now) {
		delete(r.join.heard, ev.Peer)
	}
}

// adopt takes what is new in a delta and pushes it on. It reports whether
// anything was.
func (r *Relay) adopt(d Delta, from string, now time.Time) bool {
	before := r.store.Version()
	taken, err := r.store.Adopt(d)
	if err != nil {
		r.emit(Rejected{Reason: "from " + from + ": " + err.Error()})
		return false
	}
	if len(taken) == 0 {
		return false
	}
	if r.set == nil {
		r.set = make(Set)
	}
	names := make([]string, len(taken))
	for i, o := range taken {
		names[i] = o.Name
		e, err := Decode(o)
		if err != nil {
			// Written by a newer version: it is handed on as it is, and what was
			// in force here before stays in force.
			r.emit(Rejected{Reason: "from " + from + ": " + err.Error()})
			continue
		}
		if e.Spec == nil {
			e.Spec = r.set[e.ID].Spec // a preset that is in force stays in force
		}
		e.Meta = Meta{} // who wrote it is for operators, who read the platform
		r.set[e.ID] = e
	}
	r.emit(Adopted{Version: r.store.Version(), Names: names, Reason: "from " + from})
	if r.phase == serving {
		r.hurry(now)
		r.push(Delta{From: before, Head: r.store.Version(), Items: taken})
	}
	return true
}

// push hands a change to the members below in the forest. A large one is only
// announced, so that those who have it already from elsewhere don't get it
// again.
func (r *Relay) push(d Delta) {
	small := d.size() <= pushBytes
	for _, m := range r.tree.children() {
		if small {
			r.emit(SendPeer{Peer: m.Address, Delta: d, Reason: "new change"})
		} else {
			r.tell(m.Address, WantNothing, "new changes")
		}
	}
}
