package proxier

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/platform/translator"
)

// How often some process of the fleet reads each kind as a whole. A watch can
// hear nothing for seconds while changes are made, and only then be told that the
// history is gone: one sees processes that route by a configuration that was
// replaced 5 s ago. A list that one process reads, and what it finds relayed by
// gossip, bounds that by the times here, for one call each, whatever the size of
// the fleet.
const (
	// configCheck leaves half of the 3 s in which a configuration must be in force
	// everywhere for a reader that fails and for the way to the peers.
	configCheck = 1100 * time.Millisecond
	// upstreamsCheck is for upstreams that leave, which must get nothing new after
	// 7 s.
	upstreamsCheck = 2200 * time.Millisecond
	// checkRank holds back each next process in the order of the kind, so that
	// one reads and the others hear of it.
	checkRank = 300 * time.Millisecond
	// checkGrace is added for all but the first: word of a check takes two rounds of
	// gossip through a large fleet. A change that a watch doesn't hear of, while the
	// first has died, is still seen after 2.1 s of the 3 s that it has.
	checkGrace = 700 * time.Millisecond
	// hearing is how long a process that has just started, and that the store hasn't
	// told of its peers, waits for word from them before it watches. Until then its
	// peers are those that the store lists, whether they were heard or not. Without
	// either each of 68 that start together takes itself for the first in the order,
	// and each change is answered and paid for 68 times.
	hearing = 1500 * time.Millisecond
	// checkTick is the time between two looks whether a check is due.
	checkTick = 100 * time.Millisecond
)

// unread stands for the age of a kind that nobody is known to have read.
const unread = time.Hour

// kinds lists the kinds that are read as a whole, in the order in which peers are told
// when that was: their names would be a seventh of a datagram.
func kinds() []string { return []string{translator.Configuration, translator.Upstreams} }

// checks knows when each kind was last read as a whole by any process of the fleet.
type checks struct {
	mu    sync.Mutex
	fleet map[string]time.Time
}

func (c *checks) done(kind string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(kind, at)
}

func (c *checks) note(kind string, at time.Time) {
	if c.fleet == nil {
		c.fleet = map[string]time.Time{}
	}
	if c.fleet[kind].Before(at) {
		c.fleet[kind] = at
	}
}

// hear takes in when a peer read, as ages in the order of the kinds.
func (c *checks) hear(ages []time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, kind := range kinds() {
		if i < len(ages) && ages[i] < unread {
			c.note(kind, now.Add(-ages[i]))
		}
	}
}

// ages returns how long ago each kind was read, to be told to peers. What was heard
// is told on: a process of a large fleet seldom hears the reader itself, and would
// read for itself meanwhile.
func (c *checks) ages(now time.Time) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []time.Duration
	for _, kind := range kinds() {
		out = append(out, min(now.Sub(c.fleet[kind]), unread))
	}
	return out
}

func (c *checks) last(kind string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet[kind]
}

// check reads a kind as a whole when nobody else has for a while.
func (p *Proxier) check(ctx context.Context, f *follower, every time.Duration) {
	tried := bootClock() // the process lists everything as it starts
	timer := time.NewTimer(every)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := bootClock()
		last := p.checks.last(f.kind)
		// Nobody's check is due before then, however the order changes.
		if left := later(last, tried).Add(every).Sub(now); left > 0 {
			timer.Reset(left)
			continue
		}
		timer.Reset(checkTick)
		if now.Sub(last) < p.checkDue(f.kind, every) {
			continue
		}
		tried = now
		_ = f.reread(ctx) // logged; the next check is due as after one that went well
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkDue returns how long after the last check this process makes one.
func (p *Proxier) checkDue(kind string, every time.Duration) time.Duration {
	rank := p.checkRank(kind)
	if rank == 0 {
		return every
	}
	return every + checkGrace + time.Duration(rank)*checkRank
}

// watchers is how many processes of the fleet watch each kind. Each change answers
// each watch, and each answer is paid for; the others hear of it by gossip, at
// once, and ask who told them.
const watchers = 2

// missedChecks is the number of checks after which something is amiss with those who
// should have made them.
const missedChecks = 3

// watches reports whether this process is to watch a kind.
func (p *Proxier) watches(kind string, every time.Duration) bool {
	if p.fresh() && !p.learned.Load() {
		return false
	}
	return p.checkRank(kind) < reading(bootClock().Sub(p.checks.last(kind)), every)
}

// reading returns how many of the first in the order are to watch a kind that was last
// read as a whole some time ago: twice as many with each check that is missed. It answers
// the load of a store that comes back: with all processes watching at once after the
// third, one that was away for four seconds was asked for everything by each of a large
// fleet, and each change from then on was answered to each.
func reading(age, every time.Duration) int {
	missed := min(int(age/every), 32) - missedChecks // 32: more than the doublings that reach any fleet
	if missed < 0 {
		return watchers
	}
	return watchers << (missed + 1)
}

// checkRank returns this process's place in the order of those that read a kind.
func (p *Proxier) checkRank(kind string) int {
	own := xxhash.Sum64String(kind + " " + p.Settings.Name)
	rank := 0
	for _, name := range p.order() {
		if xxhash.Sum64String(kind+" "+name) > own {
			rank++
		}
	}
	return rank
}

// order returns the peers among which this process has its place.
func (p *Proxier) order() []string {
	var names []string
	if !p.fresh() {
		return p.gossip.ReachableNames()
	}
	for _, m := range p.gossip.Fleet() {
		names = append(names, m.Name)
	}
	return names
}

// fresh reports whether this process hasn't had the time to hear of its peers.
func (p *Proxier) fresh() bool { return bootClock().Sub(p.began) < hearing }
