package carrier

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Member is an upstream whose log may hold the only confirmed copy of a commit.
type Member struct {
	ID      string         `json:"id"`
	Address netip.AddrPort `json:"address"`
	// Born is when it started; zero where it does not state it.
	Born time.Time `json:"born,omitzero"`
}

// Roster is what a change of leader must know of a group to lose no acknowledged commit. The
// lease holder keeps it in the store: a process that has just started knows only the listed
// upstreams, and a commit may be confirmed only by one that is no longer listed.
type Roster struct {
	// Members are the listed upstreams, and those that are no longer listed and whose logs
	// are not accounted for. They are ordered by id.
	Members []Member `json:"members,omitempty"`
	// MinReceived is the position that the log of a new leader must reach; zero sets no
	// bound.
	MinReceived tracker.Mark `json:"mark,omitzero"`
	// Accounted are upstreams that MinReceived covers. Another process may still count them
	// as members.
	Accounted []string `json:"accounted,omitempty"`
}

// maxAccounted is how many upstreams of those accounted for last a roster names.
const maxAccounted = 16

// Equal reports whether two rosters are the same.
func (r Roster) Equal(o Roster) bool {
	return r.MinReceived == o.MinReceived && slices.Equal(r.Accounted, o.Accounted) && slices.EqualFunc(r.Members, o.Members, func(a, b Member) bool {
		return a.ID == b.ID && a.Address == b.Address && a.Born.Equal(b.Born)
	})
}

// Merge returns a roster with the members of both and the later bound. Of a member in both,
// the entry of r is taken.
func (r Roster) Merge(o Roster) Roster {
	out := Roster{Members: slices.Clone(r.Members), MinReceived: laterMark(r.MinReceived, o.MinReceived)}
	for _, m := range o.Members {
		if !slices.ContainsFunc(r.Members, func(have Member) bool { return have.ID == m.ID }) {
			out.Members = append(out.Members, m)
		}
	}
	out.Accounted = slices.Clone(r.Accounted)
	for _, id := range o.Accounted {
		if !slices.Contains(out.Accounted, id) {
			out.Accounted = append(out.Accounted, id)
		}
	}
	out.Members = slices.DeleteFunc(out.Members, func(m Member) bool { return slices.Contains(out.Accounted, m.ID) })
	out.sort()
	return out
}

func (r Roster) sort() {
	slices.SortFunc(r.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}

// Roster returns the group's roster as this process knows it.
func (g *Group) Roster() Roster {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out Roster
	g.resolveExpired(g.registry.Now())
	out.MinReceived = g.minReceived
	for _, u := range g.upstreams {
		m := memberOf(u.entry)
		if u.minReceived == unreachableMark() {
			m.Born = u.lostLogOf // another process must find the restart too
		} else {
			out.MinReceived = laterMark(out.MinReceived, u.minReceived)
		}
		out.Members = append(out.Members, m)
	}
	for _, a := range g.absent {
		out.Members = append(out.Members, memberOf(a.entry))
	}
	out.Accounted = slices.Clone(g.accounted)
	out.sort()
	return out
}

func memberOf(e cataloger.Upstream) Member { return Member{ID: e.ID, Address: e.Address, Born: e.Born} }

// RestoreRoster adds what a roster from the store states and this process does not know: the
// members that are not listed count as absent, and those that have restarted since may have
// lost their logs.
func (g *Group) RestoreRoster(r Roster) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.minReceived = laterMark(g.minReceived, r.MinReceived)
	for _, id := range r.Accounted {
		if g.absent[id] != nil || !slices.ContainsFunc(g.upstreams, func(u *upstream) bool { return u.id == id }) {
			g.setAccounted(id, r.MinReceived)
		}
	}
	for _, m := range r.Members {
		entry := cataloger.Upstream{ID: m.ID, Group: g.name, Address: m.Address, Born: m.Born}
		if i := slices.IndexFunc(g.upstreams, func(u *upstream) bool { return u.id == m.ID }); i >= 0 {
			if u := g.upstreams[i]; isRestart(entry, u.entry) && u.restartedAt.IsZero() && u.minReceived.IsZero() {
				g.recordRestart(u, m.Born)
			}
			continue
		}
		if g.absent[m.ID] != nil || slices.Contains(g.accounted, m.ID) {
			continue
		}
		if g.absent == nil {
			g.absent = map[string]*absentUpstream{}
		}
		g.absent[m.ID] = &absentUpstream{entry: entry, since: g.registry.Now()}
		g.log().Info("carrier: upstream of the recorded roster is not listed", zap.String("group", g.name), zap.String("upstream", m.ID),
			zap.Stringer("address", m.Address))
	}
	g.resolveAbsent()
}
