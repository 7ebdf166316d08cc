package proxier

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/loader"
	"basildale.example/basildale/platform/faker"
)

// Guards against parts that do not fit together in real processes: six before a group with
// connections for two gateways, of which one has all statements of the only workspace, and a
// setting that is switched on and off while callers write.
func TestWorkspaceSpreadsOverRealGateways(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	f.platform.Allow(faker.Tenant{Name: "encuestas", Rate: 1e6, Burst: 1e6, Keys: []string{"tester"}})
	f.group.Limit(0, 20)
	gateways := func() (n int, other *runningProxy) {
		for _, m := range f.proxies {
			if g, ok := m.carrier.Group("billet"); ok && g.IsGateway() {
				n++
			} else {
				other = m
			}
		}
		return n, other
	}
	f.waitFor("two gateways", func() bool { n, _ := gateways(); return n == 2 })
	_, other := gateways()
	f.waitFor("the workspace", func() bool { return len(other.View().Config.Workspaces) > 0 })
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for range 12 {
		c := f.dial(other, "seats")
		writers.Go(func() { c.writeUntil(stop) })
	}
	for _, choice := range []loader.Choice{loader.Fair, loader.Plain, loader.Fair} {
		for _, m := range f.proxies {
			s := m.Settings
			s.Load.Connections = choice
			m.Reload(s)
		}
		f.waitFor("the setting", func() bool { return other.forward.SpreadWorkspaces() > 0 == (choice == loader.Fair) })
		before := f.group.Stats().Acknowledged
		f.waitFor("writes", func() bool { return f.group.Stats().Acknowledged > before+50 })
	}
	close(stop)
	writers.Wait()
	is.Equal(f.group.Stats().Lost, 0)
	is.Equal(f.group.Stats().Doubled, 0)
}
