package cataloger

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/versioner"
)

// Freshness says what a route's reads must see.
type Freshness uint8

// The kinds of freshness.
const (
	Latest           Freshness = iota // everything that was acknowledged before the read
	BoundedStaleness                  // everything older than the route's greatest age
	ReadYourWrites                    // as Bounded, and all writes of the same session
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
	// Public says that callers need no key.
	Public bool `json:"public,omitempty"`
}

// GroupSettings is what the configuration says of a database group.
type GroupSettings struct {
	Name string `json:"name"`
	// MaxConnections is the greatest number that one upstream takes from all proxies
	// together.
	MaxConnections int `json:"connections"`
	// SyncReplicas is on how many replicas a commit is before it is acknowledged.
	SyncReplicas int `json:"confirms"`
}

// Config is the configuration of the fleet at one version.
type Config struct {
	Version uint64          `json:"version"`
	Routes  []Route         `json:"routes"`
	Groups  []GroupSettings `json:"groups"`
	// IdleTransactionTimeout is how long a transaction may be left idle by its caller.
	IdleTransactionTimeout time.Duration `json:"rest"`
	// KeysRequired says that callers of routes that aren't public need the key of a workspace.
	KeysRequired bool        `json:"keyed,omitempty"`
	Workspaces   []Workspace `json:"workspaces,omitempty"`
}

// Upstream is one upstream as the store lists it.
type Upstream struct {
	ID string
	// Version is the store's at the last change of the entry.
	Version versioner.Version
	Group   string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Born is when it started; zero where it doesn't say. An upstream that starts
	// again under its ID holds nothing of before.
	Born    time.Time
	Leaving bool
	// Leads is what the upstream last said of itself.
	Leads bool
}

// View is what traffic reads: the configuration in force, by database.
type View struct {
	Config Config
	routes map[string]Route
	groups map[string]GroupSettings
	keys   map[Fingerprint]string // names of workspaces
	quotas map[string]*Quota      // by workspace
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
//
// What is known of the upstreams is what the store held at one version, up to which
// it is complete, and perhaps some later changes. Of two catalogs whose digests
// differ the one that is complete up to the later version knows something that the
// other lacks. Nothing else tells them apart: a removal leaves no entry that is
// newer. With the latest version of an entry in its place, a process that had taken
// in a newer entry first never heard of a removal before it, and took a leader that
// was gone for well.
//
// A store that is restored has lost the latest entries, and whoever wrote them writes
// them again, if it lives. So what the first list of a new era lacks is carried over
// until Expire: dropped at once, an upstream that works would get no statements.
type Catalog struct {
	config    Config
	upstreams map[string]Upstream
	// removed holds the version at which an upstream was taken out after the
	// version that the rest is complete up to, so that an older event can't bring it
	// back.
	removed  map[string]versioner.Version
	complete versioner.Version
	digest   uint64
}

// CompleteVersion returns the version up to which every change of the entries is known.
func (c *Catalog) CompleteVersion() versioner.Version { return c.complete }

// Digest returns a hash of all entries; catalogs with the same entries have the same.
func (c *Catalog) Digest() uint64 { return c.digest }

// NeedsUpdate reports whether a catalog with the given digest, complete up to the given
// version, knows of upstreams what this one doesn't.
func (c *Catalog) NeedsUpdate(complete versioner.Version, digest uint64) bool {
	return c.complete.Less(complete) && (digest != c.digest || complete.Era != c.complete.Era)
}

// Configure takes in a configuration and reports whether it is newer than the
// one in force. An older one changes nothing: a list from a lagging reader, a
// peer that was cut off or a store that was restored would else bring removed routes
// back.
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
		keys:   map[Fingerprint]string{},
		quotas: make(map[string]*Quota, len(c.config.Workspaces)),
	}
	for _, r := range c.config.Routes {
		v.routes[r.Database] = r
	}
	for _, g := range c.config.Groups {
		v.groups[g.Name] = g
	}
	for _, w := range c.config.Workspaces {
		v.quotas[w.Name] = w.Quota
		for _, key := range w.Keys {
			v.keys[key] = w.Name
		}
	}
	return v
}

// Put takes in a changed entry and reports whether it is newer than the known. One
// that isn't known, from before the version that the catalog is complete up to, was
// removed since.
func (c *Catalog) Put(u Upstream) bool {
	old, known := c.upstreams[u.ID]
	if known && !old.Version.Less(u.Version) {
		return false
	}
	if !known && (!c.complete.Less(u.Version) || !c.removed[u.ID].Less(u.Version)) {
		return false
	}
	if known && old.Version.Era < u.Version.Era {
		u = u.restored(old)
	}
	c.put(u)
	return true
}

// restored returns an entry of a store that was restored, with what is known to be later
// than the copy: that the upstream has started again since, and that it is leaving. It
// will say so again.
func (u Upstream) restored(known Upstream) Upstream {
	if u.Born.Before(known.Born) {
		known.Version = u.Version
		return known
	}
	if u.Born.Equal(known.Born) && known.Leaving {
		u.Leaving = true
	}
	return u
}

func (c *Catalog) put(u Upstream) {
	if c.upstreams == nil {
		c.upstreams = map[string]Upstream{}
	}
	if old, known := c.upstreams[u.ID]; known {
		c.digest ^= old.hash()
	}
	c.upstreams[u.ID] = u
	c.digest ^= u.hash()
}

// hash is the entry's part of the digest.
func (u *Upstream) hash() uint64 {
	h := xxhash.NewWithSeed(u.Version.Revision)
	_, _ = h.WriteString(u.ID) // neither ever fails, by its contract
	_, _ = h.Write(binary.AppendUvarint(nil, u.Version.Era))
	return h.Sum64()
}

// Remove takes in that an entry was removed, at a version or, as a watch states it,
// at some time after the entry's last change.
func (c *Catalog) Remove(id string, version versioner.Version) bool {
	old, known := c.upstreams[id]
	if known && version.Less(old.Version) {
		return false
	}
	if c.removed == nil {
		c.removed = map[string]versioner.Version{}
	}
	c.removed[id] = c.removed[id].Max(version)
	if !known {
		return false
	}
	delete(c.upstreams, id)
	c.digest ^= old.hash()
	return true
}

// Advance takes in that every change up to a version is known: a watch has told of
// all of them, or a list.
func (c *Catalog) Advance(version versioner.Version) {
	if !c.complete.Less(version) {
		return
	}
	c.complete = version
	maps.DeleteFunc(c.removed, func(_ string, at versioner.Version) bool { return !version.Less(at) })
}

// Replace takes in a whole list as of a version: what isn't in it and was not
// changed later is gone, or carried over from an earlier era.
func (c *Catalog) Replace(list []Upstream, version versioner.Version) bool {
	return c.Merge(Changes{Upstreams: list, CompleteVersion: version})
}

// Changes is what one catalog tells another. It travels between peers as JSON.
type Changes struct {
	// Upstreams are the entries that have changed since the version that was asked
	// for, and Kept the ids of those that haven't.
	Upstreams []Upstream `json:"upstreams"`
	Unchanged []string   `json:"kept,omitempty"`
	// CompleteVersion is the version up to which this is everything.
	CompleteVersion versioner.Version `json:"complete"`
}

// ChangesSince returns what a catalog that is complete up to a version may lack. Told as a
// whole, what processes that start together tell each other of 24 upstreams and 66
// routes was two fifths of all bytes between availability zones in their first half
// minute.
func (c *Catalog) ChangesSince(version versioner.Version) Changes {
	out := Changes{CompleteVersion: c.complete}
	for _, u := range c.Upstreams() {
		carried := u.Version.Era < c.complete.Era
		switch {
		case carried && version.Era == c.complete.Era:
			// Whoever has listed this era knows better what became of it.
		case version.Less(u.Version):
			out.Upstreams = append(out.Upstreams, u)
		default:
			out.Unchanged = append(out.Unchanged, u.ID)
		}
	}
	return out
}

// Merge takes in changes since a version that this catalog was complete up to when it
// asked, and reports whether they are news.
func (c *Catalog) Merge(ch Changes) bool {
	if ch.CompleteVersion.Less(c.complete) {
		return false
	}
	changed := false
	present := make(map[string]bool, len(ch.Upstreams)+len(ch.Unchanged))
	for _, id := range ch.Unchanged {
		present[id] = true
	}
	for _, u := range ch.Upstreams {
		present[u.ID] = true
		changed = c.Put(u) || changed
	}
	for id, u := range c.upstreams {
		if !present[id] && u.Version.Era == ch.CompleteVersion.Era && !ch.CompleteVersion.Less(u.Version) {
			changed = c.Remove(id, ch.CompleteVersion) || changed
		}
	}
	c.Advance(ch.CompleteVersion)
	return changed
}

// FromEarlierEra returns the ids of the upstreams that were listed in an earlier era and not yet
// in the present one, in their order.
func (c *Catalog) FromEarlierEra() []string {
	var out []string
	for _, u := range c.Upstreams() {
		if u.Version.Era < c.complete.Era {
			out = append(out, u.ID)
		}
	}
	return out
}

// Expire drops the upstreams that are carried over into an era, and returns their ids.
// It changes nothing once a later era is known.
func (c *Catalog) Expire(era uint64) []string {
	if c.complete.Era != era {
		return nil
	}
	gone := c.FromEarlierEra()
	for _, id := range gone {
		c.Remove(id, c.complete)
	}
	return gone
}

// Upstreams returns all entries in the order of their IDs.
func (c *Catalog) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(c.upstreams))
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		out = append(out, c.upstreams[id])
	}
	return out
}
