package carrier

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
)

// Loads that peers report are bounded and counted for a short time only: wrong ones must
// neither use memory without bound nor distort decisions for long.
func TestReportedLoadsAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return nil }}
	c.SetUpstreams([]cataloger.Upstream{{ID: "u1", Group: "g"}})
	g, _ := c.Group("g")
	wrong := []gossiper.UpstreamLoad{{ID: "unknown", Running: 1}, {ID: "u1", Running: -1}, {ID: "u1", Running: 3, Used: make([]gossiper.WorkspaceUse, 100_000)}}
	for i := range 1000 {
		c.SetPeerLoads(fmt.Sprint("p", i), "g", wrong, now)
	}
	c.SetPeerLoads("p", "no such group", wrong, now)
	seen := func() (peers, running int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.loadsOfPeers(now, "u1", func(l *gossiper.UpstreamLoad) {
			peers++
			running += l.Running
			is.True(len(l.Used) <= maxWorkspaceUses)
		})
		return peers, running
	}
	peers, running := seen()
	is.Equal(peers, maxPeerLoads)
	is.Equal(running, 3*maxPeerLoads)
	c.SetPeerLoads("p0", "g", []gossiper.UpstreamLoad{{ID: "u1", Running: 1}}, now)
	_, running = seen()
	is.Equal(running, 3*maxPeerLoads-2) // the last report counts alone
	now = now.Add(peerLoadTTL)
	peers, _ = seen()
	is.Equal(peers, 0)
	c.SetPeerLoads("new", "g", wrong, now)
	peers, _ = seen()
	is.Equal(peers, 1) // those that no longer count make room
}

// A process sends nothing of its load while no feature needs it.
func TestLoadsAreSentForAFeatureOnly(t *testing.T) {
	is := is.New(t)
	f := Features{}
	c := &Registry{Features: func() Features { return f }, Now: time.Now, Log: zap.NewNop()}
	c.SetUpstreams([]cataloger.Upstream{{ID: "u1", Group: "g"}})
	g, _ := c.Group("g")
	g.activate()
	for _, u := range g.upstreams {
		g.activateUpstream(u)
		u.running[&run{}] = struct{}{}
	}
	is.Equal(len(g.Loads(time.Now())), 0)
	f.FairAdmission = true
	is.Equal(g.Loads(time.Now()), []gossiper.UpstreamLoad{{ID: "u1", Running: 1}})
}

// Guards against a gateway without load that counts as one that does not report, against
// shares of workspaces that cannot be told, and against reports that count for too long.
func TestGatewayLoadsByWorkspace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{
		Features: func() Features { return Features{FairConnections: true} }, Now: func() time.Time { return now }, Log: zap.NewNop(),
		ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 1} },
	}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "u1", Group: "g"}, {ID: "u2", Group: "g"}})
	g, _ := c.Group("g")
	is.Equal(g.Loads(now), []gossiper.UpstreamLoad{{ID: "u1"}})
	u := g.upstreams[0]
	for _, workspace := range []string{"", "w", "w", "x"} {
		u.usage.begin(workspace, now).end(100*time.Millisecond, now)
	}
	now = now.Add(1250 * time.Millisecond) // a quarter of the second is not counted any more
	u.running[&run{}] = struct{}{}
	c.SetPeerLoads("idle", "g", []gossiper.UpstreamLoad{{ID: "u1"}}, now)
	c.SetPeerLoads("busy", "g", []gossiper.UpstreamLoad{{ID: "u2", Running: 3, Waiting: 2, Rest: 10, Used: []gossiper.WorkspaceUse{{ID: 7, Busy: 30}}}}, now)
	c.SetPeerLoads("plain", "g", nil, now)
	w, x := WorkspaceID("w"), WorkspaceID("x")
	is.Equal(g.GatewayLoads(now), []GatewayLoad{
		{Statements: 1, Busy: 300, Uses: map[uint32]int{w: 150, x: 75}},
		{Gateway: "busy", Statements: 5, Busy: 40, Uses: map[uint32]int{7: 30}},
		{Gateway: "idle", Uses: map[uint32]int{}},
	})
	now = now.Add(peerLoadTTL)
	is.Equal(len(g.GatewayLoads(now)), 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Features = func() Features { return Features{FairAdmission: true} }
	g.loadsOfPeers(now.Add(-peerLoadTTL), "u1", func(*gossiper.UpstreamLoad) { t.Error("an idle gateway takes part in admission") })
}
