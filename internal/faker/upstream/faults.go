package upstream

import (
	"net/netip"
	"sync"
)

// Cut is a network partition around an upstream.
type Cut struct {
	// Callers tells by the client's address which connections are cut; nil means
	// all. Clients bind to 127.0.0.0/8 addresses of their own to be told apart.
	Callers func(netip.Addr) bool
	// Silent loses what is sent in place of refusing it: connections stay, new
	// ones hang, nothing is answered until Restore.
	Silent bool
	// Replicas cuts the replication too, in both directions.
	Replicas bool
	// Open leaves the callers alone, so that only the replication is cut.
	Open bool
}

type faultState struct {
	cut     *Cut
	frozen  bool
	crashed bool
	factor  float64
	lose    int
}

type faults struct {
	mu      sync.Mutex
	state   faultState
	changed chan struct{}
}

func (f *faults) init() { f.changed = make(chan struct{}) }

func (f *faults) set(change func(*faultState)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.state)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faults) get() (faultState, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state, f.changed
}

// matches reports whether callers from addr are on the other side of the cut.
func (c *Cut) matches(addr netip.Addr) bool {
	return c != nil && !c.Open && (c.Callers == nil || c.Callers(addr))
}

// Cut starts a partition, in place of an earlier one.
func (u *Upstream) Cut(c Cut) {
	u.faults.set(func(f *faultState) { f.cut = &c })
	if !c.Silent {
		u.drop(c.matches)
	}
	u.poke()
}

// Crash drops all connections with their open transactions and refuses new ones.
// What has committed stays.
func (u *Upstream) Crash() {
	u.faults.set(func(f *faultState) { f.crashed = true })
	u.drop(func(netip.Addr) bool { return true })
	u.poke()
}

// Restore ends Cut and Crash.
func (u *Upstream) Restore() {
	u.faults.set(func(f *faultState) { f.cut, f.crashed = nil, false })
	u.poke()
}

// Freeze stops the process: connections stay, nothing is read, run, answered or
// replicated until Thaw. What was sent in the meantime runs then.
func (u *Upstream) Freeze() {
	u.faults.set(func(f *faultState) { f.frozen = true })
}

// Thaw ends Freeze.
func (u *Upstream) Thaw() {
	u.faults.set(func(f *faultState) { f.frozen = false })
	u.poke()
}

// Slow multiplies the service time and the network delay; 1 ends it.
func (u *Upstream) Slow(factor float64) {
	u.faults.set(func(f *faultState) { f.factor = factor })
}

// LoseAnswers drops the connection in place of the answer to each of the next n
// transactions that wrote. They have committed.
func (u *Upstream) LoseAnswers(n int) {
	u.faults.set(func(f *faultState) { f.lose = n })
}

// losing takes one of the answers to lose.
func (u *Upstream) losing() bool {
	u.faults.mu.Lock()
	defer u.faults.mu.Unlock()
	if u.faults.state.lose == 0 {
		return false
	}
	u.faults.state.lose--
	return true
}

// linked reports whether entries can come from src.
func (u *Upstream) linked(src *Upstream) bool {
	return u.reachable() && src.reachable()
}

func (u *Upstream) reachable() bool {
	f, _ := u.faults.get()
	return !f.frozen && !f.crashed && (f.cut == nil || !f.cut.Replicas)
}

// pass waits while the upstream is frozen or silently cut off from addr; false
// when the connection is refused.
func (u *Upstream) pass(addr netip.Addr, gone <-chan struct{}) bool {
	for {
		f, changed := u.faults.get()
		cut := f.cut.matches(addr)
		switch {
		case f.crashed || cut && !f.cut.Silent:
			return false
		case !f.frozen && !cut:
			return true
		}
		select {
		case <-changed:
		case <-gone:
			return false
		}
	}
}
