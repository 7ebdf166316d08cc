package promoter_test

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

// epochStart is the virtual time at which every run begins.
var epochStart = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// clock is virtual time with chance.
type clock struct {
	modeler.Clock
	rng *rand.Rand
}

// uniform returns a duration in [0, d).
func (c *clock) uniform(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

type logEntry struct {
	term tracker.Term
	id   int
	at   time.Time
}

// fakeUpstream is one upstream as docs/CONTRACTS.md has it: term, role and log.
type fakeUpstream struct {
	addr    netip.AddrPort
	zone    string
	state   tracker.State
	follows netip.AddrPort
	log     []logEntry
	// lag is how far its replication is behind; dead: the process is gone;
	// silent: so is the instance; slow multiplies its latency.
	lag          time.Duration
	dead, silent bool
	slow         float64
	waiters      []*waiter
}

// waiter is one basildale_wait.
type waiter struct {
	mark tracker.Mark
	done func()
}

func (u *fakeUpstream) refreshMark() {
	u.state.Mark = tracker.Mark{}
	if n := len(u.log); n > 0 {
		u.state.Mark = tracker.Mark{Term: u.log[n-1].term, Pos: tracker.Position(n)}
	}
	kept := u.waiters[:0]
	for _, w := range u.waiters {
		if u.state.Mark.Less(w.mark) {
			kept = append(kept, w)
			continue
		}
		w.done()
	}
	u.waiters = kept
}

func (u *fakeUpstream) fence(t tracker.Term) bool {
	if u.state.Term == t {
		return u.state.Role == tracker.Fenced
	}
	if !u.state.Term.Less(t) {
		return false
	}
	u.state.Term, u.state.Role, u.follows = t, tracker.Fenced, netip.AddrPort{}
	return true
}

func (u *fakeUpstream) promote(t tracker.Term) bool {
	if u.state.Term != t || u.state.Role != tracker.Fenced && u.state.Role != tracker.Primary {
		return false
	}
	u.state.Role = tracker.Primary
	return true
}

func (u *fakeUpstream) follow(t tracker.Term, primary netip.AddrPort) bool {
	if t.Less(u.state.Term) || u.state.Term == t && u.state.Role == tracker.Primary {
		return false
	}
	u.state.Term, u.state.Role, u.follows = t, tracker.Replica, primary
	return true
}

// pull drops what the primary doesn't have and copies what is older than the lag.
func (u *fakeUpstream) pull(p *fakeUpstream, now time.Time) {
	if u.state.Role != tracker.Replica || u.follows != p.addr ||
		p.state.Role != tracker.Primary || p.state.Term != u.state.Term {
		return
	}
	same := 0
	if n := len(u.log); n > 0 && n <= len(p.log) && p.log[n-1] == u.log[n-1] {
		// The last entry is the same, so those before it are.
		same = n
	}
	for same < len(u.log) && same < len(p.log) &&
		u.log[same].id == p.log[same].id && u.log[same].term == p.log[same].term {
		same++
	}
	u.log = u.log[:same]
	for _, e := range p.log[same:] {
		if e.at.After(now.Add(-u.lag)) {
			break
		}
		u.log = append(u.log, e)
	}
	u.refreshMark()
}

// platformMode is how the fake platform behaves.
type platformMode int

const (
	platformUp platformMode = iota
	platformDown
	platformSlow
	// platformLost: writes take effect, but most answers are lost.
	platformLost
)

func (m platformMode) String() string {
	return [...]string{"up", "down", "slow", "answers lost"}[m]
}

// fakePlatform holds the one object of the group.
type fakePlatform struct {
	mode    platformMode
	record  promoter.Record
	version uint64
	calls   int
}

func (p *fakePlatform) save(c promoter.Save) promoter.Saved {
	out := promoter.Saved{Outcome: promoter.Rejected, Nonce: c.Record.Nonce}
	if c.Version == p.version {
		p.version++
		p.record = c.Record
		out.Outcome = promoter.Done
	}
	out.Record, out.Version = p.record, p.version
	return out
}

// delay returns the time of a call, and whether its answer comes at all.
func (p *fakePlatform) delay(c *clock) (time.Duration, bool) {
	p.calls++
	switch p.mode {
	case platformDown:
		return 0, false
	case platformSlow:
		return 500*time.Millisecond + c.uniform(time.Second), true
	case platformLost:
		return 5 * time.Millisecond, c.rng.IntN(10) < 3
	default:
		return 3*time.Millisecond + c.uniform(4*time.Millisecond), true
	}
}
