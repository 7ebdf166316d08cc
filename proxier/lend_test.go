package proxier

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/meter"
)

// Guards against a process that was killed while its connections were lent, and that uses
// its whole share after a restart although the loan has not ended. With the setting's default
// the shares after a start are as before.
func TestShareIsSmallAfterStartWhileLoansMayExist(t *testing.T) {
	is := is.New(t)
	gateway := func(choice loader.Choice, age time.Duration) int {
		for i := range 80 {
			p := newTestProxier(i, 80)
			p.load.Store(&loader.Choices{Gateways: choice, Division: choice})
			p.startedAt = p.startedAt.Add(-age)
			if n := p.shares(map[string]int{"billet": 52}, 80)["billet"]; n > 0 {
				return n
			}
		}
		return 0
	}
	whole := gateway(loader.Fixed, 0)
	is.True(whole > delegator.Kept)
	is.Equal(gateway("", 0), whole)
	is.Equal(gateway(loader.Reach, 0), delegator.Kept)
	is.Equal(gateway(loader.Reach, delegator.StartupDelay), whole)
	is.Equal(gateway(loader.Demand, 0), delegator.Kept)
	is.Equal(gateway(loader.Demand, delegator.StartupDelay), whole)
}

// Guards against a gateway that keeps the small shares of its start: a change of the configuration
// computed them after the inputs of the division had last been looked at.
func TestShareOfAStartIsNotKept(t *testing.T) {
	is := is.New(t)
	groups := []cataloger.GroupSettings{{Name: "billet", MaxConnections: 56}}
	for i := range 80 {
		p := newTestProxier(i, 80)
		p.Log, p.cache = zap.NewNop(), &stateCache{}
		p.cache.view.Store(&cataloger.View{Config: cataloger.Config{Groups: groups}})
		p.carrier = &carrier.Registry{ConnectionShares: p.shares, Now: bootClock, Log: zap.NewNop()}
		p.load.Store(&loader.Choices{Gateways: loader.Fixed})
		share := func() int {
			g, _ := p.carrier.Group("billet")
			return g.DivisionState("", false).Share
		}
		p.divideConnections()
		if share() == 0 {
			continue // no gateway
		}
		p.load.Store(&loader.Choices{Gateways: loader.Reach})
		p.carrier.DivideConnections(80, groups) // as a configuration does
		is.Equal(share(), delegator.Kept)
		p.startedAt = p.startedAt.Add(-delegator.StartupDelay)
		p.divideConnections()
		is.True(share() > delegator.Kept)
		return
	}
	t.Error("no gateway among the processes")
}

// Guards against gateways that all ask the same process first, which takes one loan of a
// group, and against loans to gateways and to processes that are leaving.
func TestGatewaysAskProcessesInOrdersOfTheirOwn(t *testing.T) {
	is := is.New(t)
	var live []gossiper.Peer
	for i := range 20 {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7440)
		live = append(live, gossiper.Peer{State: gossiper.State{Name: fmt.Sprint("p", i), GatewayAddr: addr}})
	}
	live[18].Leaving = true
	live[19].Groups = map[string]gossiper.GroupState{"g": {IsGateway: true}}
	gateways := []string{"p0", "p1", "p2", "p3", "p4", "p5"}
	first := map[string]bool{}
	for _, self := range gateways {
		order := orderLoanPeers("g", self, gateways, live)
		is.Equal(len(order), 12)
		is.Equal(order, orderLoanPeers("g", self, gateways, live))
		first[order[0].Name] = true
		is.True(!slices.ContainsFunc(order, func(p delegator.Peer) bool {
			return slices.Contains(gateways, p.Name) || p.Name == "p18" || p.Name == "p19"
		}))
	}
	is.True(len(first) > 2)
}

// Guards against parts that do not fit together in a real process: four processes before a
// group with connections for one gateway, which is cut off from all upstreams.
func TestSubstituteOfRealProcess(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	f.group.Limit(0, 12)
	isGateway := func(m *runningProxy) bool { g, ok := m.carrier.Group("billet"); return ok && g.IsGateway() }
	gateways := func() []*runningProxy {
		return slices.DeleteFunc(slices.Clone(f.proxies), func(m *runningProxy) bool { return !isGateway(m) })
	}
	f.waitFor("one gateway", func() bool { return len(gateways()) == 1 })
	gateway := gateways()[0]
	other := f.proxies[slices.IndexFunc(f.proxies, func(m *runningProxy) bool { return m != gateway })]
	settings := gateway.Settings
	for _, m := range f.proxies {
		settings.Load.Gateways = loader.Reach
		m.Reload(settings)
	}
	c, own := f.dial(other, "seats"), f.dial(gateway, "seats")
	f.waitFor("served by the gateway", func() bool { return c.ask("WRITE seat anna").code == "" })
	cut := func(isCut bool) {
		for _, u := range append(f.group.Replicas(), f.group.Leader()) {
			u.Cut(gateway.Settings.Name, isCut)
		}
	}
	leader := f.group.Leader()
	cut(true)
	began := time.Now()
	f.waitFor("served through a substitute", func() bool { return c.ask("READ seat").code == "" })
	t.Logf("first statement after %v", time.Since(began))
	f.waitFor("served for the gateway's own caller", func() bool { return own.ask("READ seat").code == "" })
	is.Equal(c.ask("WRITE seat bo").code, "")
	is.Equal(gateway.loans.InUse(), int64(1))
	is.Equal(len(gateways()), 1) // the substitute is no gateway
	is.Equal(f.group.Leader(), leader)
	cut(false)
	f.waitFor("loan ended", func() bool { return gateway.loans.InUse() == 0 })
	f.waitFor("served by the gateway again", func() bool { return c.ask("WRITE seat eva").code == "" && isGateway(gateway) })
	is.Equal(c.askRow("READ seat"), "eva")
}

// Guards against parts that do not fit together in a real process: two gateways, one of which
// has callers for more connections than its share.
func TestDivisionOfRealProcesses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7)
	f.group.Limit(0, 20)
	isGateway := func(m *runningProxy) bool {
		g, ok := m.carrier.Group("billet")
		return ok && g.IsGateway() && m.assignedGateways.Load() != nil && len((*m.assignedGateways.Load())["billet"]) == 2
	}
	var gateways []*runningProxy
	f.waitFor("two gateways", func() bool {
		gateways = slices.DeleteFunc(slices.Clone(f.proxies), func(m *runningProxy) bool { return !isGateway(m) })
		return len(gateways) == 2
	})
	for _, m := range f.proxies {
		settings := m.Settings
		settings.Load.Division = loader.Demand
		m.Reload(settings)
	}
	lent := func(m *runningProxy) int64 {
		gauge, ok := m.registry.Get(meter.Name(connectionsLent, meter.Label{Name: "group", Value: "billet"})).(metrics.Gauge)
		if !ok {
			return 0
		}
		return gauge.Value()
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 14 {
		c := f.dial(gateways[0], "seats")
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.ask("BEGIN")
					c.ask("READ seat") // takes a connection until the end
					time.Sleep(100 * time.Millisecond)
					c.ask("ROLLBACK")
				}
			}
		})
	}
	f.waitFor("connections lent", func() bool { return lent(gateways[1]) > 0 })
	f.waitFor("connections used", func() bool {
		g, _ := gateways[0].carrier.Group("billet")
		return g.LeaderContact().Open > g.LeaderContact().Share
	})
	is.Equal(lent(gateways[0]), int64(0))
	close(stop)
	callers.Wait()
	f.waitFor("connections back", func() bool { return lent(gateways[1]) == 0 })
}
