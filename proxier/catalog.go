package proxier

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/platform/translator"
	"basildale.example/basildale/versioner"
)

// configPollInterval is the time between two checks for the first configuration.
const configPollInterval = 10 * time.Millisecond

// maxInvalidEntries bounds how many invalid entries are remembered as logged. Further ones are
// only counted in the log.
const maxInvalidEntries = 1024

// stateCache is what this process knows of the store's configuration and upstreams, from the
// store itself and from peers, published for request handling. It is safe for concurrent use.
type stateCache struct {
	carrier   *carrier.Registry
	fleetSize func() int
	// onChange, when set, is called when there is something new to send to peers.
	onChange func()
	log      *zap.Logger

	mu      sync.Mutex
	catalog cataloger.Catalog
	invalid map[string]versioner.Version // by name, the version at which an invalid entry was logged
	// furtherInvalid counts the invalid entries of a list or change that are not remembered.
	furtherInvalid int
	invalidLimit   rate.Sometimes    // limits the log lines that count them
	invalidConfig  versioner.Version // at which an invalid configuration was last logged
	view           atomic.Pointer[cataloger.View]
	restore        restoreState
}

// current returns the configuration in force.
func (s *stateCache) current() *cataloger.View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return &cataloger.View{}
}

// awaitConfig returns the configuration in force, waiting up to d for the first one. Callers
// connect as soon as the process listens; without the wait they would be refused because there
// is no configuration yet.
func (s *stateCache) awaitConfig(d time.Duration) *cataloger.View {
	for end := time.Now().Add(d); s.view.Load() == nil && time.Now().Before(end); {
		time.Sleep(configPollInterval)
	}
	return s.current()
}

// setConfig puts a configuration in force if it is newer than the current one.
func (s *stateCache) setConfig(c cataloger.Config, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.current()
	if !s.catalog.Configure(c) {
		return
	}
	s.view.Store(s.catalog.View())
	s.carrier.DivideConnections(s.fleetSize(), c.Groups)
	s.republish(before, c.Groups)
	s.log.Info("proxier: configuration in force", zap.Uint64("version", c.Version), zap.Int("routes", len(c.Routes)),
		zap.Int("groups", len(c.Groups)), zap.String("source", source))
}

func (s *stateCache) notifyChanged() {
	if s.onChange != nil {
		s.onChange()
	}
}

// applyConfigObject applies a changed configuration object.
func (s *stateCache) applyConfigObject(o keeper.Object) {
	if o.Name != translator.InForce || o.Deleted {
		return
	}
	c, err := parseConfig(o)
	if err != nil {
		if !s.isNewInvalidConfig(o.At()) {
			return
		}
		s.log.Error("proxier: configuration object can't be parsed", zap.Uint64("version", o.Version), zap.Error(err))
		return
	}
	s.setConfig(c, "store")
}

// isNewInvalidConfig reports whether an invalid configuration is to be logged: it is read with
// each list, about once a second, but logged once per version.
func (s *stateCache) isNewInvalidConfig(at versioner.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.invalidConfig.Less(at) {
		return false
	}
	s.invalidConfig = at
	return true
}

func parseConfig(o keeper.Object) (cataloger.Config, error) {
	if o.Unread != nil {
		return cataloger.Config{}, o.Unread
	}
	return translator.ParseConfig(o.Value)
}

// applyConfigObjects applies configuration objects from a list or a watch.
func (s *stateCache) applyConfigObjects(list []keeper.Object, _ versioner.Version) {
	for _, o := range list {
		s.applyConfigObject(o)
	}
}

// applyUpstreamChanges applies changed upstream entries: all that changed up to a version.
func (s *stateCache) applyUpstreamChanges(list []keeper.Object, version versioner.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, o := range list {
		changed = s.applyUpstreamEntry(o) || changed
	}
	s.logFurtherInvalid()
	s.catalog.Advance(version)
	s.publish(changed)
	s.updateRestore()
}

// applyUpstreamEntry applies one changed upstream entry. The caller holds the lock.
func (s *stateCache) applyUpstreamEntry(o keeper.Object) bool {
	if o.Deleted {
		return s.catalog.Remove(o.Name, o.At())
	}
	u, ok := s.parseUpstream(o)
	if !ok {
		return s.catalog.Remove(o.Name, o.At())
	}
	return s.catalog.Put(u)
}

// parseUpstream returns the upstream that an entry describes, and whether the entry is valid.
// An invalid entry is logged once instead of with each list, so that a writer that corrupts
// one entry does not fill the log. The caller holds the lock.
func (s *stateCache) parseUpstream(o keeper.Object) (cataloger.Upstream, bool) {
	u, err := translator.ParseUpstream(o)
	if err == nil {
		delete(s.invalid, o.Name)
		return u, true
	}
	if at, logged := s.invalid[o.Name]; logged && !at.Less(o.At()) {
		return u, false
	}
	if s.invalid == nil {
		s.invalid = map[string]versioner.Version{}
	}
	if _, known := s.invalid[o.Name]; !known && len(s.invalid) >= maxInvalidEntries {
		s.furtherInvalid++
		return u, false
	}
	s.invalid[o.Name] = o.At()
	s.log.Error("proxier: upstream entry is invalid", zap.String("upstream", o.Name), zap.Stringer("version", o.At()), zap.Error(err))
	return u, false
}

// logFurtherInvalid logs how many entries of a list or change are invalid beyond those that are
// logged one by one. The caller holds the lock.
func (s *stateCache) logFurtherInvalid() {
	if s.furtherInvalid == 0 {
		return
	}
	s.invalidLimit.Do(func() {
		s.log.Error("proxier: further upstream entries are invalid", zap.Int("count", s.furtherInvalid))
	})
	s.furtherInvalid = 0
}

// forgetInvalid forgets the invalid entries that a whole list no longer has. The caller holds
// the lock.
func (s *stateCache) forgetInvalid(list []keeper.Object) {
	if len(s.invalid) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, o := range list {
		listed[o.Name] = true
	}
	maps.DeleteFunc(s.invalid, func(name string, _ versioner.Version) bool { return !listed[name] })
}

// publish passes the upstreams of the groups on in which some have changed. The caller holds
// the lock.
func (s *stateCache) publish(changed bool) {
	if !changed {
		return
	}
	for _, group := range s.catalog.TakeChanged() {
		if s.isUsable(group) {
			s.carrier.SetGroupUpstreams(group, s.catalog.UpstreamsOf(group))
		}
	}
	s.notifyChanged()
}

// republish passes the upstreams on after a change of the configuration, if it names other
// groups than before. The caller holds the lock.
func (s *stateCache) republish(before *cataloger.View, groups []cataloger.GroupSettings) {
	isKnown := func(g cataloger.GroupSettings) bool { _, known := before.Group(g.Name); return known }
	if len(groups) != len(before.Config.Groups) || slices.ContainsFunc(groups, func(g cataloger.GroupSettings) bool { return !isKnown(g) }) {
		s.catalog.TakeChanged()
		s.carrier.SetUpstreams(s.usableUpstreams())
	}
	s.notifyChanged()
}

// usableUpstreams returns the upstreams of the usable groups.
func (s *stateCache) usableUpstreams() []cataloger.Upstream {
	return slices.DeleteFunc(s.catalog.Upstreams(), func(u cataloger.Upstream) bool { return !s.isUsable(u.Group) })
}

// isUsable reports whether the configuration names a group, or there is no configuration yet.
// No statements go to any other group, and without this filter a writer that invents groups
// would make this process connect to any address it names.
func (s *stateCache) isUsable(group string) bool {
	view := s.current()
	_, named := view.Group(group)
	return named || view.Config.Version == 0
}

// replaceUpstreams applies the list of all upstream entries as of a version.
func (s *stateCache) replaceUpstreams(list []keeper.Object, version versioner.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetInvalid(list)
	all := make([]cataloger.Upstream, 0, len(list))
	for _, o := range list {
		if u, ok := s.parseUpstream(o); ok {
			all = append(all, u)
		}
	}
	s.logFurtherInvalid()
	s.publish(s.catalog.Replace(all, version))
	s.updateRestore()
}

// peerUpdate is what a peer receives about upstreams and processes.
type peerUpdate struct {
	Entries cataloger.Changes `json:"entries"`
	// Fleet is the list of the fleet; empty if the peer has the same list.
	Fleet []gossiper.Member `json:"fleet,omitempty"`
	// FleetKnown is true if the sender knows the whole fleet.
	FleetKnown bool `json:"settled,omitempty"`
}

// largeUpdate is the number of entries from which an update is compressed. A compressor takes
// more memory than a small update is worth.
const largeUpdate = 100

func (u *peerUpdate) isLarge() bool {
	return len(u.Entries.Upstreams)+len(u.Entries.Unchanged)+len(u.Fleet) >= largeUpdate
}

// completeVersion returns the version up to which all entries are known, and their digest.
func (s *stateCache) completeVersion() (complete versioner.Version, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.CompleteVersion(), s.catalog.Digest()
}

// needsUpdate reports whether a peer with this version and digest has entries that this
// process lacks.
func (s *stateCache) needsUpdate(complete versioner.Version, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.NeedsUpdate(complete, digest)
}

// changesSince returns the changes that a peer lacks that has all entries up to a version, with
// their digest.
func (s *stateCache) changesSince(complete versioner.Version, digest uint64) cataloger.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catalog.ChangesSince(complete, digest)
}

// merge applies the changes that a peer sent. They are ignored unless they are at least as
// complete as what this process knows.
func (s *stateCache) merge(changes cataloger.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.catalog.Merge(changes))
	s.updateRestore()
}

// isServable reports whether the process can serve callers: a configuration is in force and
// each of its groups has an upstream.
func (s *stateCache) isServable() bool {
	c := s.current().Config
	if c.Version == 0 {
		return false
	}
	for _, g := range c.Groups {
		if group, ok := s.carrier.Group(g.Name); !ok || !group.HasUpstreams() {
			return false
		}
	}
	return true
}
