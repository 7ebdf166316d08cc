package carrier

import "time"

const (
	// lately is how long ago a leader may have refused work, and a replica shown that it
	// is late, to count as such now: a process that carries has several of both each
	// second where there is too much work.
	lately = time.Second
)

// alone reports whether the leader has more work than it can do, while every replica
// that answers is later than any read here may be old. The caller has the lock.
func (g *Group) alone(now time.Time) bool {
	leader := g.present()
	if leader == nil || now.Sub(leader.turned) > lately {
		return false
	}
	late := 0
	for _, m := range g.members {
		if m == leader || m.barred || m.entry.Leaving {
			continue
		}
		if m.lag.by(now) <= g.ages.least {
			return false
		}
		late++
	}
	return late > 0
}
