package cataloger

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// Freshness says what a route's reads must see.
type Freshness uint8

// The kinds of freshness.
const (
	Latest  Freshness = iota // everything that was acknowledged before the read
	Bounded                  // everything older than the route's greatest age
	Own                      // as Bounded, and all writes of the same session
)

// String returns the freshness in lower case.
func (f Freshness) String() string {
	return [...]string{"latest", "bounded", "own"}[f]
}

// Route says how the statements of one database are served. It travels between
// peers as JSON.
type Route struct {
	Database  string        `json:"database"`
	Group     string        `json:"group"`
	Freshness Freshness     `json:"freshness"`
	MaxAge    time.Duration `json:"maxage"`
	// Timeout bounds one statement, Objective is what an operation aims at.
	Timeout   time.Duration `json:"timeout"`
	Objective time.Duration `json:"objective"`
	// Priority orders routes: 0 is served first.
	Priority int `json:"priority"`
}

// GroupSettings is what the configuration says of a database group.
type GroupSettings struct {
	Name string `json:"name"`
	// Connections is the greatest number that one upstream takes from all proxies
	// together.
	Connections int `json:"connections"`
	// Confirms is on how many replicas a commit is before it is acknowledged.
	Confirms int `json:"confirms"`
}

// Config is the configuration of the fleet at one version.
type Config struct {
	Version uint64          `json:"version"`
	Routes  []Route         `json:"routes"`
	Groups  []GroupSettings `json:"groups"`
	// Rest is how long a transaction may be left idle by its caller.
	Rest time.Duration `json:"rest"`
}

// Upstream is one upstream as the store lists it.
type Upstream struct {
	ID       string
	Revision uint64
	Group    string
	Address  netip.AddrPort
	Zone     string
	Slots    int
	Leaving  bool
	// Leads is what the upstream last said of itself.
	Leads bool
}

// View is what traffic reads: the configuration in force, by database.
type View struct {
	Config Config
	routes map[string]Route
	groups map[string]GroupSettings
}

// Route returns the route of a database.
func (v *View) Route(database string) (Route, bool) {
	r, ok := v.routes[database]
	return r, ok
}

// Group returns the settings of a group.
func (v *View) Group(name string) (GroupSettings, bool) {
	g, ok := v.groups[name]
	return g, ok
}

// Catalog is the state. Its zero value knows nothing.
type Catalog struct {
	config    Config
	upstreams map[string]Upstream
	// removed holds the revision at which an upstream was taken out, so that an
	// older list can't bring it back.
	removed map[string]uint64
	// complete is the revision up to which every change is known here.
	complete uint64
	// changed is the highest revision of an entry or a removal.
	changed uint64
}

// Complete returns the revision up to which every change of the entries is known.
func (c *Catalog) Complete() uint64 { return c.complete }

// Changed returns the highest revision of an entry or a removal. A catalog that
// has a higher one knows something that the other doesn't.
func (c *Catalog) Changed() uint64 { return c.changed }

// Configure takes in a configuration and reports whether it is newer than the
// one in force. An older one changes nothing: a list from a lagging reader or a
// peer that was cut off would else bring removed routes back.
func (c *Catalog) Configure(config Config) bool {
	if config.Version <= c.config.Version {
		return false
	}
	c.config = config
	return true
}

// View returns the configuration in force, for publication.
func (c *Catalog) View() *View {
	v := &View{
		Config: c.config,
		routes: make(map[string]Route, len(c.config.Routes)),
		groups: make(map[string]GroupSettings, len(c.config.Groups)),
	}
	for _, r := range c.config.Routes {
		v.routes[r.Database] = r
	}
	for _, g := range c.config.Groups {
		v.groups[g.Name] = g
	}
	return v
}

// Put takes in a changed entry and reports whether it is newer than the known.
func (c *Catalog) Put(u Upstream) bool {
	if c.upstreams == nil {
		c.upstreams = map[string]Upstream{}
	}
	if old, ok := c.upstreams[u.ID]; ok && old.Revision >= u.Revision {
		return false
	}
	if c.removed[u.ID] >= u.Revision {
		return false
	}
	c.upstreams[u.ID] = u
	c.changed = max(c.changed, u.Revision)
	return true
}

// Remove takes in that an entry was removed. The revision may be that of its last
// change, which is what a watch states. Without a step of its own such a removal
// raises nothing, and those who don't watch heard of it only with the next change of
// another entry: one sees a process that takes a leader for well that is gone.
func (c *Catalog) Remove(id string, revision uint64) bool {
	before := c.changed
	if !c.drop(id, revision) {
		return false
	}
	c.changed = max(c.changed, before+1)
	return true
}

func (c *Catalog) drop(id string, revision uint64) bool {
	if c.removed == nil {
		c.removed = map[string]uint64{}
	}
	if old, ok := c.upstreams[id]; ok && old.Revision > revision {
		return false
	}
	c.removed[id] = max(c.removed[id], revision)
	c.changed = max(c.changed, revision)
	if _, ok := c.upstreams[id]; !ok {
		return false
	}
	delete(c.upstreams, id)
	return true
}

// Raise takes in that everything up to a revision of an entry or a removal is known:
// a peer that has told all it knows had it.
func (c *Catalog) Raise(changed uint64) { c.changed = max(c.changed, changed) }

// Replace takes in a whole list as of a revision: what isn't in it and was not
// changed later is gone.
func (c *Catalog) Replace(list []Upstream, revision uint64) bool {
	if revision < c.complete {
		return false
	}
	c.complete = revision
	changed := false
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.ID] = true
		changed = c.Put(u) || changed
	}
	for id, u := range c.upstreams {
		if !present[id] && u.Revision <= revision {
			changed = c.drop(id, revision) || changed
		}
	}
	return changed
}

// Upstreams returns all entries in the order of their IDs.
func (c *Catalog) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(c.upstreams))
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		out = append(out, c.upstreams[id])
	}
	return out
}
