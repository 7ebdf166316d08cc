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

// Freshness says which writes a route's reads must see.
type Freshness uint8

// The kinds of freshness.
const (
	Latest           Freshness = iota // every write that was acknowledged before the read
	BoundedStaleness                  // every write older than the route's MaxStaleness
	ReadYourWrites                    // as BoundedStaleness, and all writes of the same session
)

// String returns the freshness in lower case.
func (f Freshness) String() string {
	return [...]string{"latest", "bounded", "own"}[f]
}

// Route says how the statements of one database are served. It is sent between peers as
// JSON.
type Route struct {
	Database     string        `json:"database"`
	Group        string        `json:"group"`
	Freshness    Freshness     `json:"freshness"`
	MaxStaleness time.Duration `json:"maxage"`
	// Timeout bounds one statement, Objective is the target latency of an operation.
	Timeout   time.Duration `json:"timeout"`
	Objective time.Duration `json:"objective"`
	// Priority orders routes: 0 is served first.
	Priority int `json:"priority"`
	// Public routes accept callers without a key.
	Public bool `json:"public,omitempty"`
}

// GroupSettings is the configuration of a database group.
type GroupSettings struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one upstream accepts from all
	// proxies together.
	MaxConnections int `json:"connections"`
	// SyncReplicas is the number of replicas that hold a commit before it is
	// acknowledged.
	SyncReplicas int `json:"confirms"`
}

// Config is the configuration of the fleet at one version.
type Config struct {
	Version uint64          `json:"version"`
	Routes  []Route         `json:"routes"`
	Groups  []GroupSettings `json:"groups"`
	// IdleTransactionTimeout is how long a caller may leave a transaction idle.
	IdleTransactionTimeout time.Duration `json:"rest"`
	// KeysRequired is true if callers need the key of a workspace on routes that are not
	// public.
	KeysRequired bool        `json:"keyed,omitempty"`
	Workspaces   []Workspace `json:"workspaces,omitempty"`
}

// Upstream is the entry of one upstream in the store.
type Upstream struct {
	ID string
	// Version is the store's version at the last change of the entry.
	Version versioner.Version
	Group   string
	Address netip.AddrPort
	Zone    string
	Slots   int
	// Born is when the upstream started, zero if the entry has no such time. An upstream
	// that restarts under the same ID holds nothing from before.
	Born    time.Time
	Leaving bool
	// Leads is true if the upstream's last report is that it is the leader.
	Leads bool
}

// View is what request handling reads: the configuration in force, indexed by database.
type View struct {
	Config Config
	routes map[string]Route
	groups map[string]GroupSettings
	keys   map[Fingerprint]string // to names of workspaces
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

// Catalog is the known configuration and upstreams. Its zero value is empty.
//
// The known upstreams are the content of the store at one version, up to which they are
// complete, and possibly some later changes. If the digests of two catalogs differ, the
// one that is complete up to the later version knows something that the other lacks.
// Entries alone cannot show which one that is, because a removal leaves no newer entry
// behind. If the highest version of an entry were compared, a process that had already
// received a newer entry would never learn of an earlier removal, and would take a
// leader that no longer exists for a live one.
//
// A store that is restored from a copy has lost its latest entries. The upstreams that
// wrote them write them again if they are alive. So an entry that is missing from the
// first list of a new era is kept until Expire: if it were dropped at once, a working
// upstream would get no statements.
type Catalog struct {
	config    Config
	upstreams map[string]Upstream
	// groups holds the sorted IDs of the upstreams of each group, and changed the groups with
	// changes since the last call of TakeChanged.
	groups  map[string][]string
	changed map[string]bool
	// removed holds the version at which an upstream was removed, for removals after
	// completeVersion, so that an older event cannot add it again.
	removed         map[string]versioner.Version
	completeVersion versioner.Version
	digest          uint64
	history         history
}

// CompleteVersion returns the version up to which every change of the entries is known.
func (c *Catalog) CompleteVersion() versioner.Version { return c.completeVersion }

// Digest returns a hash of all entries. Catalogs with the same entries have the same
// digest.
func (c *Catalog) Digest() uint64 { return c.digest }

// NeedsUpdate reports whether a catalog with the given digest, complete up to the given
// version, has changes of upstreams that this one lacks.
func (c *Catalog) NeedsUpdate(complete versioner.Version, digest uint64) bool {
	return c.completeVersion.Less(complete) && (digest != c.digest || complete.Era != c.completeVersion.Era)
}

// Configure applies a configuration and reports whether it is newer than the one in
// force. An older one changes nothing. Otherwise a list from a lagging reader, a peer
// that was partitioned or a store that was restored would bring back removed routes.
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

// Put applies a changed entry and reports whether it did. An entry that is not newer than
// the known one is ignored, and so is an unknown entry that is not newer than both
// CompleteVersion and its own removal, because it has been removed since.
func (c *Catalog) Put(u Upstream) bool {
	old, known := c.upstreams[u.ID]
	if known && !old.Version.Less(u.Version) {
		return false
	}
	if !known && (!c.completeVersion.Less(u.Version) || !c.removed[u.ID].Less(u.Version)) {
		return false
	}
	if known && old.Version.Era < u.Version.Era {
		u = u.withLaterState(old)
	}
	c.put(u)
	return true
}

// withLaterState returns an entry of a restored store, updated with what is known to be
// later than the copy: that the upstream has restarted since, or that it is leaving.
// The upstream will report that again.
func (u Upstream) withLaterState(known Upstream) Upstream {
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
	c.history.add(c.digest, u.ID)
	if old, known := c.upstreams[u.ID]; known {
		c.digest ^= old.hash()
		c.removeFromGroup(old)
	}
	c.upstreams[u.ID] = u
	c.digest ^= u.hash()
	c.addToGroup(u)
}

func (c *Catalog) addToGroup(u Upstream) {
	if c.groups == nil {
		c.groups, c.changed = map[string][]string{}, map[string]bool{}
	}
	ids := c.groups[u.Group]
	i, _ := slices.BinarySearch(ids, u.ID)
	c.groups[u.Group] = slices.Insert(ids, i, u.ID)
	c.changed[u.Group] = true
}

func (c *Catalog) removeFromGroup(u Upstream) {
	ids := c.groups[u.Group]
	if i, found := slices.BinarySearch(ids, u.ID); found {
		c.groups[u.Group] = slices.Delete(ids, i, i+1)
	}
	c.changed[u.Group] = true
}

// TakeChanged returns the groups whose upstreams have changed since the last call.
func (c *Catalog) TakeChanged() []string {
	out := slices.Sorted(maps.Keys(c.changed))
	clear(c.changed)
	return out
}

// UpstreamsOf returns the entries of a group sorted by ID.
func (c *Catalog) UpstreamsOf(group string) []Upstream {
	out := make([]Upstream, 0, len(c.groups[group]))
	for _, id := range c.groups[group] {
		out = append(out, c.upstreams[id])
	}
	return out
}

// hash returns the entry's contribution to the digest.
func (u *Upstream) hash() uint64 {
	h := xxhash.NewWithSeed(u.Version.Revision)
	_, _ = h.WriteString(u.ID) // neither call fails, by contract
	_, _ = h.Write(binary.AppendUvarint(nil, u.Version.Era))
	return h.Sum64()
}

// Remove applies the removal of an entry and reports whether it removed one. The
// version is that of the removal or, since a watch may report less, any version from
// the entry's last change on.
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
	c.history.add(c.digest, id)
	delete(c.upstreams, id)
	c.digest ^= old.hash()
	c.removeFromGroup(old)
	return true
}

// Advance records that every change up to a version is known, from a list or from a
// watch that has delivered all of them.
func (c *Catalog) Advance(version versioner.Version) {
	if !c.completeVersion.Less(version) {
		return
	}
	c.completeVersion = version
	maps.DeleteFunc(c.removed, func(_ string, at versioner.Version) bool { return !version.Less(at) })
}

// Replace applies a whole list as of a version. An entry that is not in the list and
// was not changed later is removed or, if it is from an earlier era, kept.
func (c *Catalog) Replace(list []Upstream, version versioner.Version) bool {
	return c.Merge(Changes{Upstreams: list, CompleteVersion: version})
}

// Changes is the update that one catalog sends to another. It is sent between peers as
// JSON.
type Changes struct {
	// Upstreams are the entries that have changed since the requested version, and
	// Unchanged the IDs of the others.
	Upstreams []Upstream `json:"upstreams"`
	Unchanged []string   `json:"kept,omitempty"`
	// Base, when set, is the digest of the catalog that the changes apply to. They then
	// name only what has changed: Upstreams, and the IDs in Removed.
	Base    uint64   `json:"base,omitempty"`
	Removed []string `json:"removed,omitempty"`
	// CompleteVersion is the version up to which the changes are complete.
	CompleteVersion versioner.Version `json:"complete"`
}

// ChangesSince returns the changes that a catalog lacks which is complete up to a version
// and has a digest. If this catalog has had the same entries, the changes name only what
// has changed since; otherwise they name every entry, those that the other one has by
// their IDs.
func (c *Catalog) ChangesSince(version versioner.Version, digest uint64) Changes {
	if ids, ok := c.history.since(digest); ok && version.Era == c.completeVersion.Era {
		return c.changesOf(ids, digest)
	}
	return c.allChangesSince(version)
}

// changesOf returns the present state of the entries with the given IDs.
func (c *Catalog) changesOf(ids []string, base uint64) Changes {
	out := Changes{CompleteVersion: c.completeVersion, Base: base}
	for _, id := range ids {
		if u, known := c.upstreams[id]; known {
			out.Upstreams = append(out.Upstreams, u)
		} else {
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

func (c *Catalog) allChangesSince(version versioner.Version) Changes {
	out := Changes{CompleteVersion: c.completeVersion}
	for _, u := range c.Upstreams() {
		earlierEra := u.Version.Era < c.completeVersion.Era
		switch {
		case earlierEra && version.Era == c.completeVersion.Era:
			// A catalog that is complete up to this era has newer knowledge of the entry.
		case version.Less(u.Version):
			out.Upstreams = append(out.Upstreams, u)
		default:
			out.Unchanged = append(out.Unchanged, u.ID)
		}
	}
	return out
}

// Merge applies the changes since a version up to which this catalog was complete when
// it requested them, and reports whether they changed anything.
func (c *Catalog) Merge(ch Changes) bool {
	if ch.CompleteVersion.Less(c.completeVersion) {
		return false
	}
	if ch.Base != 0 {
		return c.mergeDifference(ch)
	}
	changed := false
	listed := make(map[string]bool, len(ch.Upstreams)+len(ch.Unchanged))
	for _, id := range ch.Unchanged {
		listed[id] = true
	}
	for _, u := range ch.Upstreams {
		listed[u.ID] = true
		changed = c.Put(u) || changed
	}
	for id, u := range c.upstreams {
		if !listed[id] && u.Version.Era == ch.CompleteVersion.Era && !ch.CompleteVersion.Less(u.Version) {
			changed = c.Remove(id, ch.CompleteVersion) || changed
		}
	}
	c.Advance(ch.CompleteVersion)
	return changed
}

// mergeDifference merges changes that name only what differs from the catalog with their
// base digest. It ignores them if this one has changed since it requested them.
func (c *Catalog) mergeDifference(ch Changes) bool {
	if ch.Base != c.digest || ch.CompleteVersion.Era != c.completeVersion.Era {
		return false
	}
	changed := false
	for _, id := range ch.Removed {
		changed = c.Remove(id, ch.CompleteVersion) || changed
	}
	for _, u := range ch.Upstreams {
		changed = c.Put(u) || changed
	}
	c.Advance(ch.CompleteVersion)
	return changed
}

// FromEarlierEra returns the sorted IDs of the upstreams that were listed in an earlier
// era and not yet in the current one.
func (c *Catalog) FromEarlierEra() []string {
	var out []string
	for id, u := range c.upstreams {
		if u.Version.Era < c.completeVersion.Era {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Expire removes the upstreams that were kept from earlier eras and returns their IDs.
// It changes nothing once a later era is known.
func (c *Catalog) Expire(era uint64) []string {
	if c.completeVersion.Era != era {
		return nil
	}
	expired := c.FromEarlierEra()
	for _, id := range expired {
		c.Remove(id, c.completeVersion)
	}
	return expired
}

// Upstreams returns all entries sorted by ID.
func (c *Catalog) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(c.upstreams))
	for _, id := range slices.Sorted(maps.Keys(c.upstreams)) {
		out = append(out, c.upstreams[id])
	}
	return out
}
