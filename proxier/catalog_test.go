package proxier

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/time/rate"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/platform/faker"
	"basildale.example/basildale/versioner"
)

// atRevision returns a version of a store that was never restored.
func atRevision(revision uint64) versioner.Version { return versioner.Version{Revision: revision} }

// newTestCache returns the cache of a process whose configuration names the group huvo, and
// the errors that it logs.
func newTestCache() (*stateCache, *observer.ObservedLogs) {
	core, logs := observer.New(zapcore.ErrorLevel)
	cache := &stateCache{
		carrier: &carrier.Registry{Now: time.Now, Log: zap.NewNop()}, fleetSize: func() int { return 1 }, log: zap.New(core),
	}
	cache.setConfig(cataloger.Config{Version: 1, Groups: []cataloger.GroupSettings{{Name: "huvo", MaxConnections: 9}}}, "test")
	return cache, logs
}

func newObject(name string, version uint64, spec string) keeper.Object {
	return keeper.Object{Name: name, Version: version, Value: json.RawMessage(spec)}
}

func upstreamObject(group, name string, version uint64) keeper.Object {
	address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+version))
	spec, err := json.Marshal(faker.Entry(group, address, "z", false, false))
	if err != nil {
		panic(err) // plain values can always be marshaled
	}
	return newObject(name, version, string(spec))
}

// usableUpstreams lists the upstreams that statements may go to.
func usableUpstreams(cache *stateCache) []string {
	g, _ := cache.carrier.Group("huvo")
	var ids []string
	for _, u := range g.Observe().Upstreams {
		if !u.Unlisted {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// Guards against one invalid entry among 500 that affects the other upstreams, or leaves its
// own upstream in use. The entry is in a list, in a change, or replaces the valid entry of an
// upstream in use. If a change with an invalid entry is ignored, the old entry stays in force.
func TestInvalidEntryLeavesOthers(t *testing.T) {
	is := is.New(t)
	cache, logs := newTestCache()
	var list []keeper.Object
	for i := range 500 {
		list = append(list, upstreamObject("huvo", fmt.Sprintf("i-%03d", i), uint64(i+1)))
	}
	list[250] = newObject("i-250", 251, `{"state":"who knows"}`)
	cache.replaceUpstreams(list, atRevision(500))
	is.Equal(len(usableUpstreams(cache)), 499)

	cache.applyUpstreamChanges([]keeper.Object{newObject("i-007", 501, `"bytes"`), upstreamObject("huvo", "i-250", 502)}, atRevision(502))
	is.Equal(len(usableUpstreams(cache)), 499) // one removed, one added
	is.Equal(usableUpstreams(cache)[7], "i-008")
	is.Equal(logs.Len(), 2)

	list[7], list[250] = newObject("i-007", 501, `"bytes"`), upstreamObject("huvo", "i-250", 502)
	cache.replaceUpstreams(list, atRevision(503))
	cache.replaceUpstreams(list, atRevision(504))
	is.Equal(len(usableUpstreams(cache)), 499)
	is.Equal(logs.Len(), 2) // logged once, not with each list
}

// Guards against a log that fills up when another writer's entries, more than are remembered as
// logged, come with each list.
func TestManyInvalidEntriesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	cache, logs := newTestCache()
	cache.invalidLimit = rate.Sometimes{First: 1}
	var list []keeper.Object
	for i := range 10_000 {
		list = append(list, newObject(fmt.Sprintf("x-%05d", i), uint64(i+1), `"bytes"`))
	}
	list = append(list, upstreamObject("huvo", "i-1", 10_001))
	for n := range uint64(5) {
		cache.replaceUpstreams(list, atRevision(20_000+n))
		is.Equal(usableUpstreams(cache), []string{"i-1"})
	}
	is.Equal(logs.Len(), maxInvalidEntries+1)
	is.True(len(cache.invalid) <= maxInvalidEntries)
	cache.replaceUpstreams(nil, atRevision(30_000))
	is.Equal(len(cache.invalid), 0)
}

// Guards against connections to addresses that belong to no upstream. They come about when
// another writer's entry names a group that is not configured: if a group is created for it,
// the process starts to search for its leader.
func TestUnconfiguredGroupIsIgnored(t *testing.T) {
	is := is.New(t)
	cache, _ := newTestCache()
	cache.replaceUpstreams([]keeper.Object{upstreamObject("huvo", "i-1", 1), upstreamObject("nobody", "i-2", 2)}, atRevision(2))
	is.Equal(usableUpstreams(cache), []string{"i-1"})
	_, known := cache.carrier.Group("nobody")
	is.True(!known)

	// Once the configuration names the group, the entries listed before are used.
	cache.setConfig(cataloger.Config{Version: 2, Groups: []cataloger.GroupSettings{{Name: "huvo"}, {Name: "nobody"}}}, "test")
	g, known := cache.carrier.Group("nobody")
	is.True(known)
	is.Equal(len(g.Observe().Upstreams), 1)
}
