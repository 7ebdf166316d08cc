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

// muteFleet is processes that say that they have the newest configuration, have just
// read it, and answer nobody who asks them for it.
type muteFleet struct {
	version atomic.Uint64
	asked   atomic.Int64
}

// newMuteFleet starts n of them, which the platform lists.
func newMuteFleet(t *testing.T, platform *faker.Platform, n int) *muteFleet {
	t.Helper()
	is := is.New(t)
	m := &muteFleet{}
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		m.asked.Add(1)
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
		platform.Write(proxiesKind, name, entry{Zone: self.Zone, Peers: g.LocalAddr(), Carries: g.LocalAddr(), Start: self.Start})
	}
	return m
}

// Guards against a process that goes on serving an old configuration because peers have
// the new one and don't deliver it.
func TestConfigurationIsReadWhenNoPeerDelivers(t *testing.T) {
	const mostAsked = 8 // a second each
	is := is.New(t)
	f := &fleet{t: t, platform: &faker.Platform{}}
	is.NoErr(f.platform.Start())
	t.Cleanup(f.platform.Stop)
	var err error
	f.group, err = f.platform.AddGroup("billet", "zone-0", "zone-1", "zone-2")
	is.NoErr(err)
	f.platform.Route("seats", "billet", "primary", 0)
	mute := newMuteFleet(t, f.platform, 40)
	mute.version.Store(1)
	p := f.start(0)
	f.until("ready", p.ready)
	f.until("others read the store", func() bool { return !p.watches("config", configCheck) })
	f.platform.Route("extra", "billet", "primary", 0)
	mute.version.Store(2)
	served := func() bool { _, ok := p.View().Route("extra"); return ok }
	f.until("the route", func() bool { return served() || mute.asked.Load() > mostAsked })
	is.True(served())
}
