package cataloger

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/versioner"
)

// versionAt returns a version of a store that was never restored.
func versionAt(revision uint64) versioner.Version { return versioner.Version{Revision: revision} }

// Guards against a removed route that is served again: a list from a lagging reader, or
// a peer that was partitioned, delivers an older configuration after a newer one is in
// force.
func TestConfigurationIsNeverReplacedByOlder(t *testing.T) {
	is := is.New(t)
	var c Catalog
	is.True(c.Configure(Config{Version: 7, Routes: []Route{{Database: "seats", Group: "billet"}}}))
	is.True(c.Configure(Config{Version: 9}))
	is.True(!c.Configure(Config{Version: 7, Routes: []Route{{Database: "seats"}}}))
	is.True(!c.Configure(Config{Version: 9, Routes: []Route{{Database: "seats"}}}))
	_, ok := c.View().Route("seats")
	is.True(!ok)
}

// Guards against work for an upstream that was removed: an older list or event that
// still has it arrives after the removal.
func TestRemovedUpstreamStaysRemoved(t *testing.T) {
	is := is.New(t)
	var c Catalog
	is.True(c.Put(Upstream{ID: "a", Version: versionAt(5)}))
	is.True(c.Put(Upstream{ID: "b", Version: versionAt(6)}))
	is.True(c.Remove("a", versionAt(8)))
	is.True(!c.Put(Upstream{ID: "a", Version: versionAt(5)}))
	is.True(!c.Replace([]Upstream{{ID: "a", Version: versionAt(5)}, {ID: "b", Version: versionAt(6)}}, versionAt(7)))
	is.Equal(len(c.Upstreams()), 1)
	is.True(c.Put(Upstream{ID: "a", Version: versionAt(9)})) // it has returned
}

// Guards against dropping an upstream that has just joined: an event delivers its entry
// while an older list, which does not have it, is being read.
func TestListKeepsNewerEntries(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(Upstream{ID: "old", Version: versionAt(3)})
	c.Put(Upstream{ID: "new", Version: versionAt(12)})
	is.True(c.Replace(nil, versionAt(10)))
	is.Equal(c.Upstreams(), []Upstream{{ID: "new", Version: versionAt(12)}})
	is.Equal(c.CompleteVersion(), versionAt(10))
	is.True(!c.Put(Upstream{ID: "old", Version: versionAt(3)})) // from before the list
	is.True(!c.Replace(nil, versionAt(9)))                      // an older list changes nothing
}

// Guards against a removal that does not reach a process that syncs from peers, which
// would take a leader that no longer exists for a live one, so that no replica is
// promoted. Two processes watch and get the removal with the revision of the entry's
// last change; the third requests updates only from peers that have something newer, so
// the removal has to count as newer.
func TestRemovalIsSynced(t *testing.T) {
	is := is.New(t)
	var watcher, other Catalog
	list := []Upstream{{ID: "a", Version: versionAt(1)}, {ID: "b", Version: versionAt(2)}}
	watcher.Replace(list, versionAt(3))
	other.Replace(list, versionAt(3))
	is.True(!other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(watcher.Remove("a", versionAt(1)))
	watcher.Advance(versionAt(5))
	is.True(other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(!watcher.NeedsUpdate(other.CompleteVersion(), other.Digest()))
	is.True(other.Replace(watcher.Upstreams(), watcher.CompleteVersion()))
	is.Equal(len(other.Upstreams()), 1)
	is.True(!other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest())) // no second request
	is.True(!watcher.Remove("a", versionAt(1)))
	is.Equal(watcher.Digest(), other.Digest())
}

// Guards against a lease holder that keeps two removed upstreams for good: one whose
// replication it cannot suspend, so that no replica is promoted. A leader and a replica
// crash and lose their entries, and the replica returns under another ID. A peer that
// has received the new entry but not the removals gets the first request. If catalogs were
// compared by the highest revision of an entry, that revision would be the same from
// then on.
func TestRemovalBeforeNewerEntryIsSynced(t *testing.T) {
	is := is.New(t)
	var watcher, holder Catalog
	list := []Upstream{{ID: "leader", Version: versionAt(1)}, {ID: "deaf", Version: versionAt(2)}, {ID: "old", Version: versionAt(3)}}
	watcher.Replace(list, versionAt(4))
	holder.Replace(list, versionAt(4))
	watcher.Remove("old", versionAt(3))
	watcher.Remove("leader", versionAt(1))
	back := Upstream{ID: "new", Version: versionAt(13)}
	is.True(watcher.Put(back))
	is.True(holder.Put(back))
	watcher.Advance(versionAt(13))
	is.True(holder.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(holder.Replace(watcher.Upstreams(), watcher.CompleteVersion()))
	is.Equal(holder.Upstreams(), []Upstream{{ID: "deaf", Version: versionAt(2)}, back})
	is.Equal(holder.Digest(), watcher.Digest())
}

// Guards against processes that request updates from their peers every 2 s: one reads the
// whole list again, unchanged but at a higher revision, and the revision alone must not
// count as a change.
func TestUnchangedListNeedsNoUpdate(t *testing.T) {
	is := is.New(t)
	var reader, other Catalog
	list := []Upstream{{ID: "a", Version: versionAt(1)}}
	reader.Replace(list, versionAt(3))
	other.Replace(list, versionAt(3))
	is.True(!reader.Replace(list, versionAt(90)))
	is.True(!other.NeedsUpdate(reader.CompleteVersion(), reader.Digest()))
}

// Guards against a process that lacks an upstream, or keeps a removed one, for good
// because the changes it gets are incomplete. From time to time it requests
// from a peer the changes since it was last complete; entries are added, changed,
// removed and added again in the meantime.
func TestMergingChangesMakesCatalogsEqual(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		var watcher, other Catalog
		entries := map[string]uint64{}
		for revision := uint64(1); revision < 60; revision++ {
			id := string('a' + rune(rng.IntN(6)))
			last, exists := entries[id]
			switch {
			case exists && rng.IntN(3) == 0:
				watcher.Remove(id, versionAt(last))
				delete(entries, id)
			default:
				watcher.Put(Upstream{ID: id, Version: versionAt(revision)})
				entries[id] = revision
			}
			watcher.Advance(versionAt(revision))
			if rng.IntN(4) > 0 || !other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()) {
				continue
			}
			other.Merge(watcher.ChangesSince(other.CompleteVersion(), other.Digest()))
			is.Equal(other.Upstreams(), watcher.Upstreams())
			is.Equal(other.Digest(), watcher.Digest())
		}
	}
}

// Checks that of an unchanged entry only the ID is sent.
func TestChangesSinceOmitsUnchangedEntries(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: versionAt(3)}, {ID: "b", Version: versionAt(8)}}, versionAt(9))
	is.Equal(c.ChangesSince(versionAt(5), 1), Changes{Upstreams: []Upstream{{ID: "b", Version: versionAt(8)}}, Unchanged: []string{"a"}, CompleteVersion: versionAt(9)})
	is.Equal(len(c.ChangesSince(versionAt(0), 0).Unchanged), 0)
}
