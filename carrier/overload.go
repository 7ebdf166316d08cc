package carrier

import "time"

const (
	// recentWindow is how recently a leader must have rejected work, and a replica must
	// have lagged, to count as doing so now. Under overload a gateway sees several of both
	// each second.
	recentWindow = time.Second
)

// leaderOverloaded reports whether the leader rejects work for lack of capacity while every
// replica that answers lags by more than the smallest staleness that any read here allows.
// The caller must hold g.mu.
func (g *Group) leaderOverloaded(now time.Time) bool {
	leader := g.reachableLeaderLocked()
	if leader == nil || now.Sub(leader.rejectedAt) > recentWindow {
		return false
	}
	lagging := 0
	for _, u := range g.upstreams {
		if u == leader || u.ejected || u.entry.Leaving {
			continue
		}
		if u.lag.recent(now) <= g.ages.minAge {
			return false
		}
		lagging++
	}
	return lagging > 0
}
