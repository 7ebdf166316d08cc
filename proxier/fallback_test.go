package proxier

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/platform/faker"
)

// silentFleet is a set of processes that claim to have the newest configuration and to have
// just read it from the store, but never answer a request for it.
type silentFleet struct {
	version  atomic.Uint64
	requests atomic.Int64
}

// newSilentFleet starts n such processes and lists them in the platform's store.
func newSilentFleet(t *testing.T, platform *faker.Platform, n int) *silentFleet {
	t.Helper()
	is := is.New(t)
	m := &silentFleet{}
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		m.requests.Add(1)
		select {
		case <-r.Context().Done():
		case <-ended:
		}
	}))
	t.Cleanup(func() {
		close(ended)
		server.Close()
	})
	operators := server.Listener.Addr().(*net.TCPAddr).AddrPort()
	for i := range n {
		name := fmt.Sprint("mute-", i)
		g := &gossiper.Gossiper{Address: netip.MustParseAddrPort("127.0.0.1:0"), Now: bootClock, Log: zap.NewNop()}
		self := gossiper.State{Name: name, Zone: "zone-0", Start: 1, OperatorsAddr: operators, StoreReadAges: make([]time.Duration, len(kinds()))}
		g.Self = func() gossiper.State {
			s := self
			s.GossipAddr, s.GatewayAddr, s.Configuration = g.LocalAddr(), g.LocalAddr(), m.version.Load()
			return s
		}
		is.NoErr(g.Start())
		t.Cleanup(g.Stop)
		platform.Write(proxiesKind, name, proxyEntry{Zone: self.Zone, GossipAddr: g.LocalAddr(), GatewayAddr: g.LocalAddr(), Start: self.Start})
	}
	return m
}

// Guards against a process that keeps serving an old configuration because peers have the new
// one and do not deliver it.
func TestConfigurationIsReadFromStoreWhenNoPeerDelivers(t *testing.T) {
	const maxRequests = 8 // each takes a second to time out
	is := is.New(t)
	f := &fleet{t: t, platform: &faker.Platform{}}
	is.NoErr(f.platform.Start())
	t.Cleanup(f.platform.Stop)
	var err error
	f.group, err = f.platform.AddGroup("billet", "zone-0", "zone-1", "zone-2")
	is.NoErr(err)
	f.platform.Route("seats", "billet", "primary", 0)
	silent := newSilentFleet(t, f.platform, 40)
	silent.version.Store(1)
	p := f.start(0)
	f.waitFor("ready", p.isReady)
	f.waitFor("others read the store", func() bool { return !p.shouldWatch("config", configCheckInterval) })
	f.platform.Route("extra", "billet", "primary", 0)
	silent.version.Store(2)
	hasRoute := func() bool { _, ok := p.View().Route("extra"); return ok }
	f.waitFor("the route", func() bool { return hasRoute() || silent.requests.Load() > maxRequests })
	is.True(hasRoute())
}
