package proxier

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
)

// newTestProxier returns the i-th of n proxies in three zones, which knows all others.
func newTestProxier(i, n int) *Proxier {
	p := &Proxier{startedAt: bootClock(), Settings: loader.Settings{Name: fmt.Sprint("p", i), Zone: fmt.Sprint("z", i%3)}, gossip: &gossiper.Gossiper{Now: bootClock}}
	p.peersKnown.Store(true)
	p.fleetKnown.Store(true)
	for j := range n {
		if j != i {
			p.gossip.AddListed(gossiper.State{Name: fmt.Sprint("p", j), Zone: fmt.Sprint("z", j%3)})
		}
	}
	return p
}

// Guards against shares that add up to more connections than there are, so that upstreams
// refuse some, and against shares that are all zero, so that some proxies have no connections
// and no gateway.
func TestSharesStayWithinLimit(t *testing.T) {
	for _, test := range []struct{ proxies, most, gateways int }{
		{9, 30, 9},   // three each
		{9, 56, 9},   // six each
		{68, 162, 6}, // 21 each
		{74, 49, 6},  // eight each
		{300, 49, 6},
		{20, 10, 1},
	} {
		t.Run(fmt.Sprintf("%d proxies, %d connections", test.proxies, test.most), func(t *testing.T) {
			is := is.New(t)
			total, gateways := 0, 0
			zones := map[string]int{}
			for i := range test.proxies {
				p := newTestProxier(i, test.proxies)
				n := p.shares(map[string]int{"billet": test.most}, test.proxies)["billet"]
				total += n
				if n > 0 {
					gateways++
					zones[p.Settings.Zone]++
				}
			}
			is.True(total <= test.most)
			is.Equal(gateways, test.gateways)
			if gateways >= 3 {
				is.True(zones["z0"] > 0)
				is.True(zones["z1"] > 0)
				is.True(zones["z2"] > 0) // each zone has some
			}
		})
	}
}

// Guards against a process that is partitioned from all others and refuses everything for most
// groups although it reaches their upstreams. With few gateways per group a partition can
// leave it without any, and then it has no connections of its own and no peer to forward to.
func TestIsolatedProcessHasOwnConnections(t *testing.T) {
	is := is.New(t)
	gateways, isolated := 0, 0
	for i := range 68 {
		p := newTestProxier(i, 68)
		p.forward = &forwarder.Forwarder{}
		p.usage.record("billet", bootClock())
		before := p.shares(map[string]int{"billet": 162}, 68)["billet"]
		p.startedAt = bootClock().Add(-2 * isolationMinUptime) // long enough to have received the state of others, but none arrives
		after := p.shares(map[string]int{"billet": 162}, 68)["billet"]
		if before > 0 {
			gateways++
			is.Equal(after, before)
			continue
		}
		isolated++
		is.Equal(after, isolatedShare)
	}
	is.Equal(gateways, 6)
	is.Equal(isolated, 62)
}

// Guards against a process of a large fleet that is partitioned from the others and takes a
// connection to every upstream of every group: it has statements for few of them.
func TestIsolatedProcessConnectsOnlyWhereItHasStatements(t *testing.T) {
	for _, n := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			limits := map[string]int{}
			for i := range n {
				limits[fmt.Sprint("g", i)] = 265
			}
			p := newTestProxier(0, n)
			p.forward = &forwarder.Forwarder{}
			p.startedAt = bootClock().Add(-2 * isolationMinUptime)
			used := []string{"g1", "g2", "g3"}
			for _, group := range used {
				p.usage.record(group, bootClock())
			}
			isolated := 0
			for _, share := range p.shares(limits, n) {
				if share == isolatedShare {
					isolated++
				}
			}
			is.True(isolated <= len(used))
			is.Equal(p.isolatedGroups(), used)
		})
	}
}

// A group counts as in use for a while after its last statement.
func TestGroupUsageExpires(t *testing.T) {
	is := is.New(t)
	var u groupUsage
	now := bootClock()
	is.True(u.record("a", now))
	is.True(!u.record("a", now.Add(usageWindow/2)))
	is.Equal(u.recent(now.Add(usageWindow)), []string{"a"})
	is.Equal(len(u.recent(now.Add(2*usageWindow))), 0)
	is.True(u.record("a", now.Add(2*usageWindow)))
}

// Guards against processes that take so many connections when all start at once that upstreams
// have none left for most processes. A process that has its configuration but no list of the
// fleet yet, or one that lacks those that start with it, would take itself for most of the
// fleet, or for a gateway of every group. Even one connection each is too much where there are
// more processes than an upstream takes connections.
func TestProcessWithoutFleetTakesNoConnections(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 100, 1000, 2000} {
		limits := map[string]int{"billet": 49}
		p := newTestProxier(0, 2) // of n, it has learned of two so far
		p.fleetKnown.Store(false)
		is.Equal(n*p.shares(limits, 2)["billet"], 0)
		p.peersKnown.Store(false)
		is.Equal(n*p.shares(limits, 2)["billet"], 0)
		p.startedAt = bootClock().Add(-peersUnknownTimeout / 2)
		is.Equal(n*p.shares(limits, 2)["billet"], 0)
	}
	p := newTestProxier(0, 2)
	p.fleetKnown.Store(false)
	p.startedAt = bootClock().Add(-2 * peersUnknownTimeout)
	is.Equal(p.shares(map[string]int{"billet": 49}, 2)["billet"], 24) // by then it has received the state of all that are alive
}

// Guards against statements that wait for the next check of the division after a power loss
// everywhere: a process has no connections until it has received the list of the fleet, and
// half a second more without a signal.
func TestConnectionsAreDividedWhenFleetIsKnown(t *testing.T) {
	is := is.New(t)
	p := newTestProxier(0, 2)
	p.divisionDue = make(chan struct{}, 1)
	p.Log = zap.NewNop()
	p.carrier = &carrier.Registry{Now: bootClock, Log: p.Log, ConnectionShares: p.shares}
	p.cache = &stateCache{carrier: p.carrier, fleetSize: p.fleetSize, log: p.Log}
	p.peersKnown.Store(false)
	p.fleetKnown.Store(false)
	p.cache.setConfig(cataloger.Config{Version: 1, Groups: []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}}}, "test")
	p.cache.replaceUpstreams(nil, atRevision(1))
	p.carrier.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g"}})
	g, _ := p.carrier.Group("g")
	is.True(!g.IsGateway()) // it does not know its peers
	p.peersKnown.Store(true)
	p.setFleetKnown()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for len(p.divisionDue) > 0 { // select picks one of the two at random
			p.runMaintenance(ctx)
		}
	})
	is.True(g.IsGateway())
}

// Guards against refused or late statements in the first seconds of a large fleet. A process
// that is no gateway of a group has received the state of one of its gateways, or of none, so it
// must not depend on their own reports to know which they are.
func TestGatewaysAreKnownBeforeTheyReport(t *testing.T) {
	is := is.New(t)
	const fleet = 195
	names := func(p *Proxier) []string {
		out := []string{}
		for _, c := range p.gateways("billet") {
			is.True(!c.IsFaultKnown)
			out = append(out, c.Name)
		}
		slices.Sort(out)
		return out
	}
	var gateways []string
	for i := range fleet {
		p := newTestProxier(i, fleet)
		isGateway := p.shares(map[string]int{"billet": 117}, fleet)["billet"] > 0
		known := names(p)
		if isGateway {
			known = append(known, p.Settings.Name)
			slices.Sort(known)
		}
		if gateways == nil {
			gateways = known
		}
		is.Equal(known, gateways) // all know the same six
	}
	is.Equal(len(gateways), 6)
}
