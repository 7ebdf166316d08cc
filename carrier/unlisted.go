package carrier

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

const (
	// unlistedFor is how long an upstream that answers is used after the store has
	// stopped listing it: time enough for a planned change of leader, 1.1 to 1.5 s, and
	// short of the few seconds after which an upstream that left gets nothing new.
	unlistedFor = 3 * time.Second
	// answering is how recent an answer shows that an upstream lives. One that crashed
	// loses its entry some 3 s after it fell silent.
	answering = time.Second
)

// survives reports whether a member that isn't listed any more goes on as one that
// leaves. Who leaves says so first, and who crashed doesn't answer: one that did neither
// is cut off from the store, which forgets it, and does its work. Dropped at once, a
// leader left its group without one for 2 s, until it was listed again; as one that
// leaves it is replaced as planned and leads until then. The caller has the lock.
func (g *Group) survives(m *member, list []cataloger.Upstream) bool {
	now := g.carrier.Now()
	if !m.unlisted.IsZero() {
		return now.Sub(m.unlisted) < unlistedFor && !succeeded(m, list)
	}
	if m.entry.Leaving || m.barred || now.Sub(m.answered) > answering || succeeded(m, list) {
		return false
	}
	m.unlisted, m.entry.Leaving = now, true
	g.log().Warn("carrier: upstream not listed, and answers", zap.String("group", g.name), zap.String("upstream", m.id),
		zap.Duration("since answer", now.Sub(m.answered)), zap.Bool("leads", m == g.leader))
	return true
}

// succeeded reports whether another upstream, or a later start of the same, is listed
// at a member's address or by its id.
func succeeded(m *member, list []cataloger.Upstream) bool {
	for _, u := range list {
		if u.Address == m.entry.Address || u.ID == m.id {
			return true
		}
	}
	return false
}

// expire drops members that the store hasn't listed for too long, or that have stopped
// answering since. The caller has the lock.
func (g *Group) expire(now time.Time) {
	if !slices.ContainsFunc(g.members, func(m *member) bool { return !m.unlisted.IsZero() }) {
		return
	}
	kept := make([]*member, 0, len(g.members))
	for _, m := range g.members {
		if !m.unlisted.IsZero() && (m.barred || now.Sub(m.unlisted) >= unlistedFor) {
			g.drop(m)
			continue
		}
		kept = append(kept, m)
	}
	if len(kept) < len(g.members) {
		g.members = kept
		g.signal()
	}
}
