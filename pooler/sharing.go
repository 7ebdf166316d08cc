package pooler

import (
	"math"
	"time"
)

// Sharing divides the connections of a pool among their owners by expected demand. While it
// is off the pool decides by age alone, and only the numbers of connections are kept.
//
// A caller whose owner has no connection goes first. An owner that used the pool in the last
// 2 s keeps one connection, as long as there are enough for all such owners. Of the connections
// that may be closed, the one that is expected to save the fewest openings is, for an owner
// that has one already only if another one saves it more.
type Sharing struct {
	// On reports whether connections are divided by demand. It and OpeningTime are called
	// with the pool's lock held.
	On func() bool
	// Now is the clock.
	Now func() time.Time
	// After calls a function later, from another goroutine.
	After func(d time.Duration, f func())
	// OpeningTime returns the expected time to open a connection.
	OpeningTime func() time.Duration
}

// maxWaitFactor is how many times the time of an opening a caller waits for a connection of
// its owner that was expected to come back earlier.
const maxWaitFactor = 2

// sharing reports whether connections are divided by demand.
func (p *Pool[C]) sharing() bool { return p.Sharing != nil && p.Sharing.On() }

// account returns the account of an owner, or one that is not kept where there is no Sharing.
// Only the numbers of connections are recorded while sharing is off.
func (p *Pool[C]) account(owner string) *account {
	if p.Sharing == nil {
		return &account{}
	}
	return p.demand.of(owner, p.Sharing.Now())
}

// recordUse records a request for a connection of an owner.
func (p *Pool[C]) recordUse(r request) {
	if !r.any && p.sharing() {
		now := p.Sharing.Now()
		p.demand.of(r.owner, now).use(now)
	}
}

func (p *Pool[C]) ownerOf(c C) string {
	if p.Owner == nil {
		return ""
	}
	return p.Owner(c)
}

// recordClosed records that connections that were idle are closed.
func (p *Pool[C]) recordClosed(list ...idleConn[C]) {
	for _, entry := range list {
		p.account(entry.owner).open--
	}
}

// lacksConn reports whether a caller waits for the first connection of its owner.
func (p *Pool[C]) lacksConn(w *waiter[C]) bool {
	if w.any {
		return p.open == 0
	}
	a := p.demand.accounts[w.owner]
	return a == nil || a.open == 0
}

// countLacking returns how many owners wait for their first connection.
func (p *Pool[C]) countLacking() int {
	owners := map[string]bool{}
	for _, w := range p.waiters {
		if p.lacksConn(w) {
			owners[w.owner] = true
		}
	}
	return len(owners)
}

// nextToOpen returns the index of the waiter that opens a connection next, and that of the
// idle connection that is closed for it; victim is negative where there is a free place, and
// the waiter where none should open one.
func (p *Pool[C]) nextToOpen() (i, victim int) {
	for _, first := range []bool{true, false} {
		ahead := map[string]int{} // waiters of the same owner
		for i, w := range p.waiters {
			if p.lacksConn(w) != first {
				continue
			}
			victim, ok := p.findPlace(w, first)
			if ok && (first || p.shouldOpen(w, ahead[w.owner], victim)) {
				return i, victim
			}
			ahead[w.owner]++
		}
	}
	return -1, -1
}

// findPlace returns the idle connection to close for a waiter's, negative where there is room
// without, and whether there is a place at all. first is true for the first connection of an
// owner.
func (p *Pool[C]) findPlace(w *waiter[C], first bool) (victim int, ok bool) {
	switch {
	case p.open < p.Limit:
		return -1, true
	case p.open > p.Limit:
		return -1, false
	}
	now := p.Sharing.Now()
	enough := p.demand.recent(now) <= p.Limit
	// Another connection will come back, but one in a transaction may take long.
	late := first && now.Sub(w.since) >= maxWaitFactor*p.Sharing.OpeningTime()
	gain := math.Inf(1)
	if !first && !w.any {
		a := p.account(w.owner)
		gain = a.value(a.open + 1)
	}
	victim = -1
	var victimValue float64
	var victimGuaranteed bool
	for i, entry := range p.idle { // of equal ones the first, which was idle longest
		a := p.account(entry.owner)
		guaranteed, value := a.isGuaranteed(enough, now), a.value(a.open)
		if guaranteed && !late || !first && value >= gain {
			continue
		}
		if victim < 0 || !guaranteed && victimGuaranteed || guaranteed == victimGuaranteed && value < victimValue {
			victim, victimValue, victimGuaranteed = i, value, guaranteed
		}
	}
	return victim, victim >= 0
}

// shouldOpen reports whether a waiter whose owner has connections in use, or being opened,
// does better to open another one than to wait for one of them. Closing a connection that
// was used lately counts as one more opening, because its owner will need it again.
func (p *Pool[C]) shouldOpen(w *waiter[C], ahead, victim int) bool {
	now := p.Sharing.Now()
	opening := p.Sharing.OpeningTime()
	if w.any || now.Sub(w.since) >= maxWaitFactor*opening {
		return true
	}
	a := p.account(w.owner)
	wait := a.holdTime() * time.Duration(ahead+1) / time.Duration(max(a.inUse+a.opening, 1))
	if a.inUse == 0 {
		wait += opening
	}
	cost := opening
	if victim >= 0 && p.account(p.idle[victim].owner).isRecent(now) {
		cost += opening
	}
	return wait > cost
}

// countOpeners returns how many waiters should open a connection now.
func (p *Pool[C]) countOpeners() int {
	n := p.countLacking()
	ahead := map[string]int{}
	for _, w := range p.waiters {
		if p.lacksConn(w) {
			continue
		}
		if victim, ok := p.findPlace(w, false); ok && p.shouldOpen(w, ahead[w.owner], victim) {
			n++
		} else {
			ahead[w.owner]++
		}
	}
	return n
}

// isReserved reports whether the idle connections are needed by owners without any, and the
// owner of a request has other ones.
func (p *Pool[C]) isReserved(r request) bool {
	if len(p.waiters) == 0 || r.any || !p.sharing() || p.open < p.Limit || p.account(r.owner).open <= 1 {
		return false
	}
	return p.countLacking() >= p.countSpare()
}

// countSpare returns how many idle connections may be closed at once.
func (p *Pool[C]) countSpare() int {
	now := p.Sharing.Now()
	enough := p.demand.recent(now) <= p.Limit
	n := 0
	for _, entry := range p.idle {
		if !p.account(entry.owner).isGuaranteed(enough, now) {
			n++
		}
	}
	return n
}

// serveIdle gives idle connections to waiters of their owners, except those that owners
// without a connection need.
func (p *Pool[C]) serveIdle() {
	for i := 0; i < len(p.waiters); {
		if r := p.waiters[i].request; p.findIdle(r) < 0 || p.isReserved(r) {
			i++
			continue
		}
		c, _ := p.popIdle(p.waiters[i].request)
		p.removeWaiter(i).granted <- grant[C]{conn: c, established: true}
	}
}

// nextSharer is nextWaiter while connections are divided by demand: a connection that its
// owner has beside another one makes room for an owner without any, where no idle one does.
func (p *Pool[C]) nextSharer(owner string) int {
	if p.open >= p.Limit && p.account(owner).open > 1 && p.countLacking() > p.countSpare() {
		return -1
	}
	var passed *waiter[C]
	for i, w := range p.waiters {
		switch {
		case !w.matches(owner):
			if passed == nil && p.lacksConn(w) {
				passed = w
			}
			continue
		case passed == nil:
			return i
		case passed.bypassed >= maxBypassed:
			return -1
		}
		passed.bypassed++
		return i
	}
	return -1
}

// reconsider lets waiters open connections that have waited longer than expected.
func (p *Pool[C]) reconsider() {
	p.mu.Lock()
	p.rechecking = false
	actions := p.admitWaiters()
	p.mu.Unlock()
	p.perform(actions)
}
