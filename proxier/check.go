package proxier

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/platform/translator"
	"basildale.example/basildale/versioner"
)

// Intervals at which some process of the fleet lists each kind of object in full. A watch may
// receive nothing for seconds while changes are made, and only then the answer that the history
// is gone; until then processes route by a configuration that was replaced 5 s ago. One process
// lists the objects and gossip spreads what it finds. This bounds the delay to the intervals
// below at the cost of one call each, whatever the size of the fleet.
const (
	// configCheckInterval leaves half of the 3 s in which a configuration must be in force
	// everywhere for a reader that fails and for propagation to the peers.
	configCheckInterval = 1100 * time.Millisecond
	// upstreamsCheckInterval is for leaving upstreams, which must get no new work after 7 s.
	upstreamsCheckInterval = 2200 * time.Millisecond
	// checkRankDelay is the extra delay per rank, so that one process reads and the others
	// learn the result from it.
	checkRankDelay = 300 * time.Millisecond
	// checkGossipDelay is added for all but the first rank: the time of a check takes two
	// gossip rounds to spread through a large fleet. A change that a watch misses while the
	// first rank is dead is still seen after 2.1 s of the 3 s available.
	checkGossipDelay = 700 * time.Millisecond
	// peerDiscoveryTimeout is how long a process that has just started, and has no list of its
	// peers, waits for updates from them before it watches. During that time a process that
	// has the list ranks itself among all peers on it, even those it has received nothing from.
	// Without either, each of 68 processes that start together ranks itself first, and each
	// change is delivered and paid for 68 times.
	peerDiscoveryTimeout = 1500 * time.Millisecond
	// checkPollInterval is the time between two tests of whether an overdue check is this
	// process's to make.
	checkPollInterval = 100 * time.Millisecond
)

// neverRead is the age of a kind that no process is known to have read.
const neverRead = time.Hour

// kinds lists the kinds that are read in full, in the order in which their ages are sent to
// peers. Their names would take a seventh of a datagram.
func kinds() []string { return []string{translator.Configuration, translator.Upstreams} }

// readTimes records when any process of the fleet last read each kind in full.
type readTimes struct {
	mu    sync.Mutex
	times map[string]time.Time
}

func (r *readTimes) record(kind string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordLocked(kind, at)
}

func (r *readTimes) recordLocked(kind string, at time.Time) {
	if r.times == nil {
		r.times = map[string]time.Time{}
	}
	if r.times[kind].Before(at) {
		r.times[kind] = at
	}
}

// merge records the reads that a peer reports, as ages in the order of kinds.
func (r *readTimes) merge(ages []time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, kind := range kinds() {
		if i < len(ages) && ages[i] < neverRead {
			r.recordLocked(kind, now.Add(-ages[i]))
		}
	}
}

// ages returns how long ago each kind was read, to be sent to peers. It includes what other
// peers reported: in a large fleet a process seldom receives the reader's own state, and would
// otherwise read the store itself.
func (r *readTimes) ages(now time.Time) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []time.Duration
	for _, kind := range kinds() {
		out = append(out, min(now.Sub(r.times[kind]), neverRead))
	}
	return out
}

func (r *readTimes) lastRead(kind string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[kind]
}

// runChecks reads a kind in full whenever no process of the fleet has done so for checkDelay.
func (p *Proxier) runChecks(ctx context.Context, w *storeWatcher, interval time.Duration) {
	lastAttempt := bootClock() // the process lists everything at start
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := bootClock()
		last := p.lastFullRead(w.kind)
		// Before this time no process's check is due, however the ranks change.
		if remaining := laterOf(last, lastAttempt).Add(interval).Sub(now); remaining > 0 {
			timer.Reset(remaining)
			continue
		}
		timer.Reset(checkPollInterval)
		if now.Sub(last) < p.checkDelay(w.kind, interval) {
			continue
		}
		lastAttempt = now
		_ = w.listAll(ctx) // errors are logged; the next check is due as after a success
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkDelay returns how long after the fleet's last check this process makes the next one.
func (p *Proxier) checkDelay(kind string, interval time.Duration) time.Duration {
	rank := p.readerRank(kind)
	if rank == 0 {
		return interval
	}
	return interval + checkGossipDelay + time.Duration(rank)*checkRankDelay
}

// minWatchers is how many processes of the fleet watch each kind. Each change is sent to each
// watch, and each response costs money. The other processes learn of the change by gossip at
// once, and fetch it from the sender.
const minWatchers = 2

// missedChecksThreshold is the number of missed checks after which the processes responsible
// for them are assumed to have failed.
const missedChecksThreshold = 3

// lastFullRead returns when some process last read a kind in full, or when this process started
// if that is later: after a loss of power everywhere nobody knows of any read, and all checks
// would be due at the same moment.
func (p *Proxier) lastFullRead(kind string) time.Time {
	return laterOf(p.fullReads.lastRead(kind), p.startedAt)
}

// shouldWatch reports whether this process is to watch a kind.
func (p *Proxier) shouldWatch(kind string, interval time.Duration) bool {
	if p.isStarting() && !p.peersKnown.Load() {
		return false
	}
	return p.readerRank(kind) < watcherCount(bootClock().Sub(p.lastFullRead(kind)), interval)
}

// watcherCount returns how many of the first ranks are to watch a kind that was last read in
// full some time ago. From missedChecksThreshold on, the number doubles with each missed
// check, which limits the load on a store that comes back. When all processes began to watch
// at once after the third missed check, a store that had been away for 4 s got full list
// requests from every process of a large fleet, and sent each later change to all of them.
func watcherCount(age, interval time.Duration) int {
	missed := min(int(age/interval), 32) - missedChecksThreshold // 32 doublings exceed any fleet
	if missed < 0 {
		return minWatchers
	}
	return minWatchers << (missed + 1)
}

// Times for which a process that starts leaves a list of several pages to its peers. Some of
// them read it and pass it on, compressed. When all processes of a fleet that starts read the
// whole list, those calls are most of its calls to the store, and the store's link is busy for
// seconds.
const (
	// deliveryTimeout is how long the readers and three or four steps from peer to peer may
	// take before other processes read the list too.
	deliveryTimeout = time.Second
	// maxDeliveryRankDelay is the extra delay per rank, so that the others do not all read at
	// the same moment, and maxDeliverySpread bounds that of the last rank: a process that
	// none of its peers reaches must have the list before it acts on what it knows.
	maxDeliveryRankDelay = 20 * time.Millisecond
	maxDeliverySpread    = peersUnknownTimeout / 2
	// deliveryPollInterval is the time between two checks for a delivery, and
	// peersPollInterval between two for the list of peers.
	deliveryPollInterval = 25 * time.Millisecond
	peersPollInterval    = 5 * time.Millisecond
)

// awaitTurn waits until this process is to make its first list of a kind, and reports false if
// peers have delivered the kind meanwhile. It waits for the list of its peers, unless that takes
// longer than a call: all processes of a fleet that lost power would otherwise read everything
// at the same moment. In a fleet of more processes than a page lists, most then leave it to the
// readers.
func (p *Proxier) awaitTurn(ctx context.Context, kind string, delivered func() bool) bool {
	for bootClock().Sub(p.startedAt) < callTimeout && !p.peersKnown.Load() {
		if !sleep(ctx, peersPollInterval) {
			return true
		}
	}
	if p.fleetSize() < keeper.PageItems {
		return true
	}
	return !p.awaitDelivery(ctx, kind, delivered)
}

// awaitUpstreams waits for peers to deliver the upstreams up to a version, and reports whether
// they did.
func (p *Proxier) awaitUpstreams(ctx context.Context, version versioner.Version) bool {
	return p.awaitDelivery(ctx, translator.Upstreams, func() bool {
		complete, _ := p.cache.completeVersion()
		return !complete.Less(version)
	})
}

// awaitDelivery waits for peers to deliver a kind, unless this process is one of those that
// read it, and reports whether they did.
func (p *Proxier) awaitDelivery(ctx context.Context, kind string, delivered func() bool) bool {
	began := bootClock()
	for {
		if delivered() {
			return true
		}
		if p.knowsPeers() && bootClock().Sub(began) >= deliveryDelay(p.readerRank(kind), p.fleetSize()) {
			return false
		}
		if !sleep(ctx, deliveryPollInterval) {
			return false
		}
	}
}

// deliveryDelay returns how long a process of a rank waits for its peers in a fleet of a size.
func deliveryDelay(rank, fleet int) time.Duration {
	if rank < minWatchers {
		return 0
	}
	return deliveryTimeout + time.Duration(rank)*min(maxDeliveryRankDelay, maxDeliverySpread/time.Duration(fleet))
}

// readerRank returns this process's rank among those that read a kind. It is at most
// rankMaxAge old: it is needed several times a second, and computed from all names.
func (p *Proxier) readerRank(kind string) int {
	return p.ranks.get(kind, bootClock(), p.isStarting(), func() int { return p.computeRank(kind) })
}

func (p *Proxier) computeRank(kind string) int {
	ownHash := xxhash.Sum64String(kind + " " + p.Settings.Name)
	rank := 0
	for _, name := range p.rankedPeers() {
		if xxhash.Sum64String(kind+" "+name) > ownHash {
			rank++
		}
	}
	return rank
}

// rankMaxAge is how long a rank is used: a gossip round, which brings the changes on which it
// depends.
const rankMaxAge = gossiper.RoundInterval

// rankCache holds the ranks of this process. Its zero value is empty; it is safe for concurrent
// use.
type rankCache struct {
	mu    sync.Mutex
	ranks map[rankKey]cachedRank
}

// rankKey is a kind, and whether the rank is among the peers of a process that is starting.
type rankKey struct {
	kind     string
	starting bool
}

type cachedRank struct {
	rank       int
	validUntil time.Time
}

func (c *rankCache) get(kind string, now time.Time, starting bool, compute func() int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := rankKey{kind, starting}
	if r, known := c.ranks[key]; known && now.Before(r.validUntil) {
		return r.rank
	}
	if c.ranks == nil {
		c.ranks = map[rankKey]cachedRank{}
	}
	rank := compute()
	c.ranks[key] = cachedRank{rank, now.Add(rankMaxAge)}
	return rank
}

// rankedPeers returns the names of the peers among which this process is ranked.
func (p *Proxier) rankedPeers() []string {
	var names []string
	if !p.isStarting() {
		return p.gossip.ReachableNames()
	}
	for _, m := range p.gossip.Fleet() {
		names = append(names, m.Name)
	}
	return names
}

// isStarting reports whether this process started so recently that peers may not have sent it
// updates yet.
func (p *Proxier) isStarting() bool { return bootClock().Sub(p.startedAt) < peerDiscoveryTimeout }
