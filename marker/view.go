package marker

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"basildale.example/basildale/tracker"
)

// view is one version of the list of proxies.
type view struct {
	version uint64
	members []string
	hash    *rendezvous.Rendezvous
	// until is when the last promise given in a past view ends.
	until time.Time
}

// home returns the home of a session, or "" in an empty view.
func (v *view) home(k tracker.Key) string {
	if v.hash == nil {
		return ""
	}
	return v.hash.Lookup(k.Tenant + "\x00" + k.Session)
}

// viewed takes a new list of proxies in. The promises given in the one before
// bind on: its homes don't know of the new list yet, and go on answering.
func (m *Marker) viewed(e Viewed) {
	if e.Version <= m.view.version {
		return
	}
	if m.view.version > 0 {
		m.view.until = m.now.Add(m.Settings.grace())
		m.older = append(m.older, m.view)
	}
	members := slices.Sorted(slices.Values(e.Members))
	m.view = view{version: e.Version, members: members, hash: rendezvous.New(members, xxhash.Sum64String)}
	m.peers.due = m.now
	m.home.reset()
	maps.DeleteFunc(m.peers.bound, func(_ string, until time.Time) bool { return until.Before(m.now) })
	clear(m.peers.quiet)
}

// homes returns the proxies that a write has to be put to: the home, and those
// of past views whose promises still bind.
func (m *Marker) homes(k tracker.Key) []string {
	m.older = slices.DeleteFunc(m.older, func(v view) bool { return v.until.Before(m.now) })
	homes := []string{m.view.home(k)}
	for i := range m.older {
		if h := m.older[i].home(k); !slices.Contains(homes, h) {
			homes = append(homes, h)
		}
	}
	return homes
}

// standing reports whether this proxy surely is in the view in force, so that no
// home answers without regard to it.
func (m *Marker) standing(now time.Time) bool {
	if m.view.version == 0 {
		return false
	}
	if len(m.view.members) == 1 && m.view.members[0] == m.Settings.Self {
		return true
	}
	p := &m.peers
	joined := !p.joined.IsZero() && !now.Before(p.joined.Add(m.Settings.grace()))
	return joined && now.Before(p.confirmed.Add(m.Settings.standing()))
}
