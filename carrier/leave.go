package carrier

import (
	"time"

	"go.uber.org/zap"
)

// early is how long before the time of an upstream that leaves is over it gets its last
// new work. Word of its leaving comes late, by 60 ms from the store and by a round of
// gossip, 0.5 s, from a peer; what is sent arrives late, by 0.2 s where a packet is lost.
const early = time.Second

// noteLeaving takes in whether a member leaves, and for how much longer it may get new work.
// One that is new here and leaves already has said so at some time before: it gets half
// of the time. The caller has the lock.
//
// A leader that leaves is used until another one leads, and nothing else ends that where
// none can: its last replica is away, or has missed what only the leader has. Callers
// then saw their statements taken by an upstream that was about to end, up to 10 s after
// it had said so. They are refused instead, and told to come back.
func (g *Group) noteLeaving(m *member, left time.Duration) {
	m.ends, m.closing = time.Time{}, false
	if m.entry.Leaving && left > 0 {
		m.ends = g.carrier.Now().Add(left - early)
	}
}

// closed reports whether a member gets no more work. The caller has the lock.
func (m *member) closed(now time.Time) bool { return !m.ends.IsZero() && !now.Before(m.ends) }

func (g *Group) isClosed(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.closed(g.carrier.Now())
}

// noteClosed says once that a member's time is over, and wakes who waits for it. The caller
// has the lock.
func (g *Group) noteClosed(m *member, now time.Time) {
	if m.closing || !m.closed(now) {
		return
	}
	m.closing = true
	g.log().Warn("carrier: upstream gets no more work", zap.String("group", g.name), zap.String("upstream", m.id),
		zap.Bool("leads", m == g.leader), zap.Int("running", len(m.running)))
	g.signal()
}
