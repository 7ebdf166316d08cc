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
