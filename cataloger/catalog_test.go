package cataloger

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/versioner"
)

// at returns a version of a store that was never restored.
func at(revision uint64) versioner.Version { return versioner.Version{Revision: revision} }

// Symptom: a route that was removed serves again. Sequence: a newer configuration
// is in force, then a list from a lagging reader, or a peer that was cut off,
// brings an older one. Cause: what comes last wins.
func TestConfigurationNeverStepsBack(t *testing.T) {
	is := is.New(t)
	var c Catalog
	is.True(c.Configure(Config{Version: 7, Routes: []Route{{Database: "seats", Group: "billet"}}}))
	is.True(c.Configure(Config{Version: 9}))
	is.True(!c.Configure(Config{Version: 7, Routes: []Route{{Database: "seats"}}}))
	is.True(!c.Configure(Config{Version: 9, Routes: []Route{{Database: "seats"}}}))
	_, ok := c.View().Route("seats")
	is.True(!ok)
}

// Symptom: an upstream that is gone gets work. Sequence: it is removed, then an
// older list or event names it. Cause: nobody remembers the removal.
func TestRemovedUpstreamStaysRemoved(t *testing.T) {
	is := is.New(t)
	var c Catalog
	is.True(c.Put(Upstream{ID: "a", Version: at(5)}))
	is.True(c.Put(Upstream{ID: "b", Version: at(6)}))
	is.True(c.Remove("a", at(8)))
	is.True(!c.Put(Upstream{ID: "a", Version: at(5)}))
	is.True(!c.Replace([]Upstream{{ID: "a", Version: at(5)}, {ID: "b", Version: at(6)}}, at(7)))
	is.Equal(len(c.Upstreams()), 1)
	is.True(c.Put(Upstream{ID: "a", Version: at(9)})) // it has come back
}

// Symptom: an upstream that has just joined is dropped. Sequence: a list is read,
// an event brings a newer entry, then the list is taken in. Cause: what isn't in
// the list is taken for gone.
func TestListDropsOnlyWhatItKnowsOf(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(Upstream{ID: "old", Version: at(3)})
	c.Put(Upstream{ID: "new", Version: at(12)})
	is.True(c.Replace(nil, at(10)))
	is.Equal(c.Upstreams(), []Upstream{{ID: "new", Version: at(12)}})
	is.Equal(c.CompleteVersion(), at(10))
	is.True(!c.Put(Upstream{ID: "old", Version: at(3)})) // from before the list
	is.True(!c.Replace(nil, at(9)))                      // an older list changes nothing
}

// Symptom: one of three processes takes a leader for well that is gone, and nobody is
// promoted. Sequence: an upstream's entry is removed; two processes watch and hear of
// it, with the revision of the entry's last change; the third asks peers that know of
// something newer. Cause: the removal raises nothing.
func TestARemovalIsNews(t *testing.T) {
	is := is.New(t)
	var watcher, other Catalog
	list := []Upstream{{ID: "a", Version: at(1)}, {ID: "b", Version: at(2)}}
	watcher.Replace(list, at(3))
	other.Replace(list, at(3))
	is.True(!other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(watcher.Remove("a", at(1)))
	watcher.Advance(at(5))
	is.True(other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(!watcher.NeedsUpdate(other.CompleteVersion(), other.Digest()))
	is.True(other.Replace(watcher.Upstreams(), watcher.CompleteVersion()))
	is.Equal(len(other.Upstreams()), 1)
	is.True(!other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest())) // it isn't asked for again
	is.True(!watcher.Remove("a", at(1)))
	is.Equal(watcher.Digest(), other.Digest())
}

// Symptom: the holder of a duty takes two upstreams for well that are gone, for good:
// one it can't halt, and nobody is promoted. Sequence: a leader and a replica crash and
// lose their entries, the replica is back under another id; a peer that had heard of
// the entry, and not of the removals, is asked first. Cause: what is known is told
// apart by the highest revision of an entry, and that is the same from then on.
func TestARemovalBeforeANewerEntryIsNews(t *testing.T) {
	is := is.New(t)
	var watcher, holder Catalog
	list := []Upstream{{ID: "leader", Version: at(1)}, {ID: "deaf", Version: at(2)}, {ID: "old", Version: at(3)}}
	watcher.Replace(list, at(4))
	holder.Replace(list, at(4))
	watcher.Remove("old", at(3))
	watcher.Remove("leader", at(1))
	back := Upstream{ID: "new", Version: at(13)}
	is.True(watcher.Put(back))
	is.True(holder.Put(back))
	watcher.Advance(at(13))
	is.True(holder.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()))
	is.True(holder.Replace(watcher.Upstreams(), watcher.CompleteVersion()))
	is.Equal(holder.Upstreams(), []Upstream{{ID: "deaf", Version: at(2)}, back})
	is.Equal(holder.Digest(), watcher.Digest())
}

// Symptom: every process asks its peers each 2 s for what it has. Sequence: one reads
// the whole list again, which hasn't changed; its revision is higher. Cause: the
// revision alone counts as news.
func TestALongerCompleteListIsNoNews(t *testing.T) {
	is := is.New(t)
	var reader, other Catalog
	list := []Upstream{{ID: "a", Version: at(1)}}
	reader.Replace(list, at(3))
	other.Replace(list, at(3))
	is.True(!reader.Replace(list, at(90)))
	is.True(!other.NeedsUpdate(reader.CompleteVersion(), reader.Digest()))
}

// Symptom: a process lacks an upstream, or has one that is gone, for good. Sequence: it
// asks a peer now and then for what has changed since it last knew everything; entries
// come, change, go and come back meanwhile. Cause: what is told isn't all that it lacks.
func TestChangesMakeTwoCatalogsTheSame(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	for range 200 {
		var watcher, other Catalog
		held := map[string]uint64{}
		for revision := uint64(1); revision < 60; revision++ {
			id := string('a' + rune(rng.IntN(6)))
			last, there := held[id]
			switch {
			case there && rng.IntN(3) == 0:
				watcher.Remove(id, at(last))
				delete(held, id)
			default:
				watcher.Put(Upstream{ID: id, Version: at(revision)})
				held[id] = revision
			}
			watcher.Advance(at(revision))
			if rng.IntN(4) > 0 || !other.NeedsUpdate(watcher.CompleteVersion(), watcher.Digest()) {
				continue
			}
			other.Merge(watcher.ChangesSince(other.CompleteVersion()))
			is.Equal(other.Upstreams(), watcher.Upstreams())
			is.Equal(other.Digest(), watcher.Digest())
		}
	}
}

// What has not changed is told by its id alone.
func TestOnlyChangesAreTold(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Replace([]Upstream{{ID: "a", Version: at(3)}, {ID: "b", Version: at(8)}}, at(9))
	is.Equal(c.ChangesSince(at(5)), Changes{Upstreams: []Upstream{{ID: "b", Version: at(8)}}, Unchanged: []string{"a"}, CompleteVersion: at(9)})
	is.Equal(len(c.ChangesSince(at(0)).Unchanged), 0)
}
