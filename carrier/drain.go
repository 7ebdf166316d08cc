package carrier

import (
	"time"

	"go.uber.org/zap"
)

// drainMargin is how long before the end of a leaving upstream's time it gets its last new
// work. The notice that it is leaving arrives late, by 60 ms from the store and by one
// gossip round, 0.5 s, from a peer; work that is sent arrives late, by 0.2 s where a packet
// is lost.
const drainMargin = time.Second

// setDrainTime records whether an upstream is leaving and for how much longer it may
// get new work. An upstream that is already leaving when it is first seen announced that at
// an unknown earlier time, so it gets half of the time. The caller must hold g.mu.
//
// A leaving leader is used until another upstream leads. That may never happen: its last
// replica is unreachable, or lacks what only the leader has. Callers then had their
// statements accepted by an upstream that was about to stop, up to 10 s after it had
// announced it. After drainBy they are refused instead, with a delay after which to
// retry.
func (g *Group) setDrainTime(u *upstream, left time.Duration) {
	u.drainBy, u.drainEndReported = time.Time{}, false
	if u.entry.Leaving && left > 0 {
		u.drainBy = g.registry.Now().Add(left - drainMargin)
	}
}

// drained reports whether the upstream gets no more work. The caller must hold the
// group's lock.
func (u *upstream) drained(now time.Time) bool { return !u.drainBy.IsZero() && !now.Before(u.drainBy) }

func (g *Group) hasDrainEnded(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return u.drained(g.registry.Now())
}

// reportDrainEnded logs, once, that an upstream's time for new work is over, and wakes what
// waits for it. The caller must hold g.mu.
func (g *Group) reportDrainEnded(u *upstream, now time.Time) {
	if u.drainEndReported || !u.drained(now) {
		return
	}
	u.drainEndReported = true
	g.log().Warn("carrier: leaving upstream gets no more work", zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Bool("leads", u == g.leader), zap.Int("running", len(u.running)))
	g.notifyWaiters()
}
