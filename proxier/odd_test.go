package proxier

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/platform/faker"
	"basildale.example/basildale/versioner"
)

// Guards against one entry whose start can't be encoded and that keeps all upstreams from the
// peers of the process that has read it.
func TestOddEntryLeavesPeerUpdate(t *testing.T) {
	is := is.New(t)
	cache, logs := newTestCache()
	valid := upstreamObject("huvo", "i-1", 1)
	odd := newObject("i-2", 2, strings.Replace(string(valid.Value), "{", `{"born":9223372036854775807,`, 1))
	cache.applyUpstreamChanges([]keeper.Object{valid, odd}, atRevision(2))
	_, err := json.Marshal(peerUpdate{Entries: cache.changesSince(versioner.Version{}, 0)})
	is.NoErr(err)
	is.Equal(usableUpstreams(cache), []string{"i-1"})
	is.Equal(logs.Len(), 1)
}

// Guards against a log that fills up because the list, which is read each second, has a
// configuration that can't be parsed.
func TestOddConfigurationIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	cache, logs := newTestCache()
	for range 5 {
		cache.applyConfigObjects([]keeper.Object{newObject("main", 7, `{"version":1e999}`)}, atRevision(7))
	}
	is.Equal(logs.Len(), 1)
	cache.applyConfigObjects([]keeper.Object{newObject("main", 8, `[]`)}, atRevision(8))
	is.Equal(logs.Len(), 2)
	is.Equal(cache.current().Config.Version, uint64(1))
}

// Guards against an odd entry that is taken for another process of the fleet: it would be
// counted when connections are divided, and has no address to be asked at.
func TestOddProcessIsNoPeer(t *testing.T) {
	is := is.New(t)
	for _, value := range []string{
		`null`, `{}`, `7`, `{"peers":"10.0.0.1:0"}`, `{"peers":"10.0.0.1:65536"}`, `{"peers":""}`,
		`{"peers":"10.0.0.1:1","start":1e999}`, `{"peers":"10.0.0.1:1","millicores":70000}`,
	} {
		_, err := parseEntry(newObject("p-2", 3, value))
		is.True(err != nil) // the entry is invalid
	}
	_, err := parseEntry(newObject("p-2", 3, `{"zone":"z","peers":"10.0.0.1:1","carries":"10.0.0.1:2","start":5}`))
	is.NoErr(err)
}

// Guards against processes that no longer follow the store, or end, because another writer has
// left odd entries among those of the upstreams and of the processes.
func TestFleetFollowsStoreDespiteOddEntries(t *testing.T) {
	f := newFleet(t, 2)
	odd := f.platform.WriteOddUpstreams("billet")
	f.platform.WriteOdd(proxiesKind, "proxy-2", faker.Deep()) // the name of a process that starts later
	f.platform.Route("extra", "billet", "primary", 0)

	address := netip.MustParseAddrPort("127.0.0.1:2")
	for i, id := range []string{"i-later", "i-latest"} {
		f.platform.Write("servers", id, faker.Entry("billet", address, "zone-0", false, true))
		for _, m := range f.proxies {
			f.waitFor(id+" known to "+m.Settings.Name, func() bool { return m.knowsUpstream(id) })
			f.waitFor("the route", func() bool { _, ok := m.View().Route("extra"); return ok })
		}
		if i == 0 {
			m := f.start(2) // reads lists in which the odd entries stand
			f.waitFor("ready", m.isReady)
		}
	}
	f.waitFor("the own entry replaced", func() bool {
		o, err := f.proxies[0].store.Get(t.Context(), proxiesKind, "proxy-2")
		if err != nil {
			return false
		}
		_, err = parseEntry(o)
		return err == nil
	})
	is := is.New(t)
	for _, id := range odd {
		for _, m := range f.proxies {
			is.True(!m.knowsUpstream(id)) // an odd entry names no upstream
		}
	}
}

// knowsUpstream reports whether a process has the entry of an upstream.
func (m *runningProxy) knowsUpstream(id string) bool {
	m.cache.mu.Lock()
	defer m.cache.mu.Unlock()
	return slices.ContainsFunc(m.cache.catalog.Upstreams(), func(u cataloger.Upstream) bool { return u.ID == id })
}
