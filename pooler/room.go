package pooler

import "slices"

// Permit lets the first waiter open a connection within the limit and reports whether
// there was one that could. A permit that no caller needs any more is lost.
func (p *Pool[C]) Permit() bool {
	p.mu.Lock()
	p.pendingPermits--
	var actions deferred[C]
	permitted := p.admitNext(&actions)
	p.mu.Unlock()
	p.perform(actions)
	return permitted
}

// admitNext lets the next waiter open a connection, and reports whether there is one that
// can.
func (p *Pool[C]) admitNext(actions *deferred[C]) bool {
	i, victim := 0, 0 // the connection that has been idle longest
	if p.sharing() {
		i, victim = p.nextToOpen()
	}
	if i < 0 || i >= len(p.waiters) || !p.makeRoom(actions, victim) {
		return false
	}
	w := p.removeWaiter(i)
	p.recordOpening(w.owner)
	actions.toDial = append(actions.toDial, w)
	return true
}

// recordOpening records that a connection of an owner is being opened.
func (p *Pool[C]) recordOpening(owner string) {
	a := p.account(owner)
	a.open++
	a.opening++
}

// makeRoom reserves a place for one more connection and reports whether there is one.
// At the limit it takes the place of the idle connection at index victim.
func (p *Pool[C]) makeRoom(actions *deferred[C], victim int) bool {
	switch {
	case p.open < p.Limit:
		p.open++
		return true
	case p.open > p.Limit || len(p.idle) == 0:
		return false
	}
	p.recordClosed(p.idle[victim])
	actions.toClose = append(actions.toClose, p.removeIdle(victim))
	return true
}

// nextWaiter returns the index of the waiter that gets a returned connection, or a
// negative number. Dialing takes the upstream's time, so the first waiter that accepts
// the connection's owner goes before others, but at most maxBypassed times.
func (p *Pool[C]) nextWaiter(owner string) int {
	if p.sharing() {
		return p.nextSharer(owner)
	}
	i := slices.IndexFunc(p.waiters, func(w *waiter[C]) bool { return w.matches(owner) })
	if i > 0 {
		if p.waiters[0].bypassed >= maxBypassed {
			return -1
		}
		p.waiters[0].bypassed++
	}
	return i
}

// releasePlace frees the place of a connection that was in use, and lets waiters dial while
// there is room.
func (p *Pool[C]) releasePlace(owner string) {
	p.mu.Lock()
	p.open--
	a := p.account(owner)
	a.open--
	a.inUse--
	actions := p.admitWaiters()
	p.mu.Unlock()
	p.perform(actions)
}

// admitWaiters lets waiters open connections within the limit, or requests permits for
// them.
func (p *Pool[C]) admitWaiters() (actions deferred[C]) {
	wanted := len(p.waiters)
	if wanted > 0 && p.sharing() {
		p.serveIdle()
		wanted = p.countOpeners()
		actions.recheck = !p.rechecking && len(p.waiters) > 0
		p.rechecking = p.rechecking || actions.recheck
	}
	if p.RequestPermit != nil {
		room := max(0, p.Limit-p.open) + len(p.idle)
		actions.permits = max(0, min(wanted, room)-p.pendingPermits)
		p.pendingPermits += actions.permits
		return actions
	}
	for p.admitNext(&actions) {
	}
	return actions
}

// reservePlace reserves a place if fewer than n connections are open, within the limit.
func (p *Pool[C]) reservePlace(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.open >= min(n, p.Limit) {
		return false
	}
	p.open++
	p.recordOpening("")
	return true
}
