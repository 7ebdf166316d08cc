package cataloger

import (
	"testing"

	"github.com/matryer/is"
)

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
	is.True(c.Put(Upstream{ID: "a", Revision: 5}))
	is.True(c.Put(Upstream{ID: "b", Revision: 6}))
	is.True(c.Remove("a", 8))
	is.True(!c.Put(Upstream{ID: "a", Revision: 5}))
	is.True(!c.Replace([]Upstream{{ID: "a", Revision: 5}, {ID: "b", Revision: 6}}, 7))
	is.Equal(len(c.Upstreams()), 1)
	is.True(c.Put(Upstream{ID: "a", Revision: 9})) // it has come back
}

// Symptom: an upstream that has just joined is dropped. Sequence: a list is read,
// an event brings a newer entry, then the list is taken in. Cause: what isn't in
// the list is taken for gone.
func TestListDropsOnlyWhatItKnowsOf(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(Upstream{ID: "old", Revision: 3})
	c.Put(Upstream{ID: "new", Revision: 12})
	is.True(c.Replace(nil, 10))
	is.Equal(c.Upstreams(), []Upstream{{ID: "new", Revision: 12}})
	is.Equal(c.Complete(), uint64(10))
	is.Equal(c.Changed(), uint64(12))
	is.True(!c.Replace(nil, 9)) // an older list changes nothing
}

// Symptom: one of three processes takes a leader for well that is gone, and nobody is
// promoted. Sequence: an upstream's entry is removed; two processes watch and hear of
// it, with the revision of the entry's last change; the third asks peers that know of
// something newer. Cause: the removal raises nothing.
func TestARemovalIsNews(t *testing.T) {
	is := is.New(t)
	var watcher, other Catalog
	list := []Upstream{{ID: "a", Revision: 1}, {ID: "b", Revision: 2}}
	watcher.Replace(list, 3)
	other.Replace(list, 3)
	is.True(watcher.Remove("a", 1))
	is.True(watcher.Changed() > other.Changed())
	is.True(other.Replace(watcher.Upstreams(), watcher.Complete()))
	is.Equal(len(other.Upstreams()), 1)
	other.Raise(watcher.Changed())
	is.Equal(other.Changed(), watcher.Changed()) // it isn't asked for again
	is.True(!watcher.Remove("a", 1))
	is.Equal(watcher.Changed(), other.Changed())
}
