package confirmer

import (
	"time"
)

// silentAfter is how many polls in a row without an answer make a replica silent.
const silentAfter = 2

// beyond is by how much a wait that is longer than any known one is taken to go
// on: one that has lasted so long is as likely to last as long again.
const beyond = 2

// sample notes how long a confirmation took.
func (g *Group) sample(d time.Duration) {
	g.delays[g.count%samples] = d
	g.count++
}

// Admit says whether a write with this deadline may run: not when every replica is
// silent, nor when the last confirmations took longer, or the oldest waiting write
// has waited longer, than the write has time. A write that ran and can't be
// confirmed ends as unknown; one that is refused is proven not to have run.
func (g *Group) Admit(deadline, now time.Time) Verdict {
	if g.allSilent() {
		return g.refuse(Silent, soonest, now)
	}
	delay := g.delay(now)
	if deadline.IsZero() || now.Add(delay).Before(deadline) {
		return Verdict{Admitted: true}
	}
	return g.refuse(Lagging, delay, now)
}

func (g *Group) refuse(why Reason, delay time.Duration, now time.Time) Verdict {
	g.refused = true
	return Verdict{Reason: why, Retry: now.Add(min(max(delay, soonest), latest))}
}

// delay returns how long a confirmation must be expected to take.
func (g *Group) delay(now time.Time) time.Duration {
	var d time.Duration
	for _, s := range g.delays[:min(g.count, samples)] {
		d = max(d, s)
	}
	if oldest := g.waiting.oldest(); !oldest.IsZero() && now.Sub(oldest) > d {
		d = beyond * now.Sub(oldest)
	}
	return d
}

func (g *Group) allSilent() bool {
	for i := range g.replicas {
		if g.replicas[i].failures < silentAfter {
			return false
		}
	}
	return true
}
