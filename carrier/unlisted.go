package carrier

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

const (
	// unlistedTimeout is how long an upstream that answers is used after the store has
	// stopped listing it: long enough for a planned change of leader, 1.1 to 1.5 s, and
	// less than the few seconds after which an upstream that is leaving gets nothing new.
	unlistedTimeout = 3 * time.Second
	// recentAnswerWindow is how recent an answer must be to show that an upstream is alive.
	// One that crashed loses its entry some 3 s after it stopped answering.
	recentAnswerWindow = time.Second
)

// keepUnlisted reports whether an upstream that is no longer listed is kept as one that is
// leaving. An upstream that leaves announces it first, and one that crashed does not
// answer. One that did neither is partitioned from the store, which drops its entry while
// the upstream still works. When such a leader was dropped at once, its group had no leader
// for 2 s, until it was listed again. Kept as leaving, it is replaced as planned and leads
// until then. The caller must hold g.mu.
func (g *Group) keepUnlisted(u *upstream, list []cataloger.Upstream) bool {
	now := g.registry.Now()
	if !u.unlistedSince.IsZero() {
		return now.Sub(u.unlistedSince) < unlistedTimeout && !isReplaced(u, list)
	}
	if u.entry.Leaving || u.ejected || now.Sub(u.answeredAt) > recentAnswerWindow || isReplaced(u, list) {
		return false
	}
	u.unlistedSince, u.entry.Leaving = now, true
	g.log().Warn("carrier: unlisted upstream still answers; kept as leaving", zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Duration("since answer", now.Sub(u.answeredAt)), zap.Bool("leads", u == g.leader))
	return true
}

// isReplaced reports whether another upstream, or a later start of the same one, is listed
// at the upstream's address or under its id.
func isReplaced(u *upstream, list []cataloger.Upstream) bool {
	for _, listed := range list {
		if listed.Address == u.entry.Address || listed.ID == u.id {
			return true
		}
	}
	return false
}

// dropExpired drops upstreams that the store has not listed for too long, or that have
// stopped answering since. The caller must hold g.mu.
func (g *Group) dropExpired(now time.Time) {
	if !slices.ContainsFunc(g.upstreams, func(u *upstream) bool { return !u.unlistedSince.IsZero() }) {
		return
	}
	kept := make([]*upstream, 0, len(g.upstreams))
	for _, u := range g.upstreams {
		if !u.unlistedSince.IsZero() && (u.ejected || now.Sub(u.unlistedSince) >= unlistedTimeout) {
			g.drop(u)
			continue
		}
		kept = append(kept, u)
	}
	if len(kept) < len(g.upstreams) {
		g.upstreams = kept
		g.notifyWaiters()
	}
}
