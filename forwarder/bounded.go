package forwarder

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/spreader"
)

const (
	// loadInterval is the time between two inquiries about the loads of a group's gateways,
	// which gossip theirs as often.
	loadInterval = 500 * time.Millisecond
	// minRelayedShare is the even share of statements below which an answer states no loads:
	// half of that from which a gateway can be full.
	minRelayedShare = 0.5 / spreader.FullFactor
	// maxRelayed bounds the gateways that an answer states, and minRelayedUse is the part of a
	// gateway's service time from which it states a workspace.
	maxRelayed    = 32
	minRelayedUse = 0.1
)

// gatewayLoad is the load of a gateway as an answer states it.
type gatewayLoad struct {
	Name       string         `json:"name"`
	Statements int            `json:"load"`
	Busy       int            `json:"busy,omitempty"` // milliseconds of the last second
	Uses       map[uint32]int `json:"uses,omitempty"`
	Age        time.Duration  `json:"age,omitempty"`
}

// bounds holds what this process knows of the loads of gateways. Its zero value is ready for
// use. It is safe for concurrent use.
type bounds struct {
	mu     sync.Mutex
	groups map[string]*groupBounds
}

// groupBounds is what this process knows of the gateways of one group.
type groupBounds struct {
	spreader.Group
	readAt  time.Time // when the reports of gossip were last read
	askedAt time.Time // when a gateway was last asked
}

// of returns the state of a group. The caller must hold b.mu.
func (b *bounds) of(group string) *groupBounds {
	if b.groups == nil {
		b.groups = map[string]*groupBounds{}
	}
	if b.groups[group] == nil {
		b.groups[group] = &groupBounds{}
	}
	return b.groups[group]
}

// boundsLoad reports whether a workspace that is too large for one gateway is divided.
func (f *Forwarder) boundsLoad() bool { return f.BoundsLoad != nil && f.BoundsLoad() }

// SpreadWorkspaces returns the number of workspaces that are divided over gateways, each counted
// once for each of its groups.
func (f *Forwarder) SpreadWorkspaces() int64 {
	if !f.boundsLoad() {
		return 0
	}
	f.bounds.mu.Lock()
	defer f.bounds.mu.Unlock()
	n := 0
	for _, b := range f.bounds.groups {
		n += b.Spreads(f.Now())
	}
	return int64(n)
}

// preferredGateway returns the gateway that a workspace's next statement goes to because of the
// gateways' loads, or "" where affinity decides.
func (f *Forwarder) preferredGateway(g *carrier.Group, workspace string) string {
	if workspace == "" || !f.boundsLoad() {
		return ""
	}
	now := f.Now()
	id := carrier.WorkspaceID(workspace)
	f.readLoads(g, now)
	f.bounds.mu.Lock()
	may := f.bounds.of(g.Name()).MayChoose(id, now)
	f.bounds.mu.Unlock()
	if !may {
		return ""
	}
	order := f.affinityOrder(g, workspace, now)
	f.bounds.mu.Lock()
	name, change := f.bounds.of(g.Name()).Choose(id, order, now)
	f.bounds.mu.Unlock()
	switch change {
	case spreader.Spread:
		f.Log.Info("forwarder: workspace spread over gateways", zap.String("group", g.Name()), zap.String("workspace", workspace), zap.Strings("gateways", order))
	case spreader.Adjusted:
		f.Log.Debug("forwarder: workspace spread anew", zap.String("group", g.Name()), zap.String("workspace", workspace), zap.Strings("gateways", order))
	case spreader.Returned:
		f.Log.Info("forwarder: workspace back at one gateway", zap.String("group", g.Name()), zap.String("workspace", workspace), zap.String("gateway", name))
	case spreader.Unchanged:
	}
	if len(order) == 0 || name == order[0] {
		return ""
	}
	if f.CountSpread != nil {
		f.CountSpread()
	}
	return name
}

// affinityOrder returns the gateways of a group that reach its leader, this process among them
// if it is one, in a workspace's order.
func (f *Forwarder) affinityOrder(g *carrier.Group, workspace string, now time.Time) []string {
	var names []string
	for _, p := range f.Gateways(g.Name()) {
		if p.Address.IsValid() && !f.isSkipped(p, now) && f.leaderFault(g.Name(), p, now).IsLeaderReachable() {
			names = append(names, p.Name)
		}
	}
	if g.IsGateway() && (f.LeaderFault == nil || f.LeaderFault(g.Name()).IsLeaderReachable()) {
		names = append(names, f.Name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(affinity(g.Name(), workspace, b), affinity(g.Name(), workspace, a))
	})
	return names
}

// readLoads records what gossip says of a group's gateways.
func (f *Forwarder) readLoads(g *carrier.Group, now time.Time) {
	f.bounds.mu.Lock()
	defer f.bounds.mu.Unlock()
	b := f.bounds.of(g.Name())
	if !b.readAt.IsZero() && now.Sub(b.readAt) < loadInterval {
		return
	}
	b.readAt = now
	for _, l := range g.GatewayLoads(now) {
		b.Report(cmp.Or(l.Gateway, f.Name), newLoad(l.Statements, l.Busy, l.Uses), now.Add(-l.Age))
	}
}

// asksForLoads reports whether a request to a gateway asks for the loads of all. Only
// processes that are no gateways ask: they receive the reports of gateways by chance.
func (f *Forwarder) asksForLoads(g *carrier.Group, workspace string) bool {
	if workspace == "" || !f.boundsLoad() || g.IsGateway() {
		return false
	}
	now := f.Now()
	f.bounds.mu.Lock()
	defer f.bounds.mu.Unlock()
	b := f.bounds.of(g.Name())
	if !b.askedAt.IsZero() && now.Sub(b.askedAt) < loadInterval {
		return false
	}
	b.askedAt = now
	return true
}

// statedLoads returns the loads of a group's gateways for an answer; none while they are so low
// that no gateway can be full. Workspaces that use little are left out.
func (f *Forwarder) statedLoads(group string) []gatewayLoad {
	g, ok := f.Local(group)
	if !ok || !f.boundsLoad() {
		return nil
	}
	loads := g.GatewayLoads(f.Now())
	loads = loads[:min(len(loads), maxRelayed)]
	sum := 0
	for _, l := range loads {
		sum += l.Statements
	}
	if float64(sum) < minRelayedShare*float64(len(loads)) {
		return nil
	}
	out := make([]gatewayLoad, 0, len(loads))
	for _, l := range loads {
		for id, n := range l.Uses {
			if float64(n) < minRelayedUse*float64(l.Busy) {
				delete(l.Uses, id)
			}
		}
		out = append(out, gatewayLoad{Name: cmp.Or(l.Gateway, f.Name), Statements: l.Statements, Busy: l.Busy, Uses: l.Uses, Age: l.Age})
	}
	return out
}

// recordLoads records the loads that an answer states. Those that cannot be right are dropped.
func (f *Forwarder) recordLoads(group string, loads []gatewayLoad) {
	if len(loads) == 0 || len(loads) > maxRelayed || !f.boundsLoad() {
		return
	}
	now := f.Now()
	f.bounds.mu.Lock()
	defer f.bounds.mu.Unlock()
	b := f.bounds.of(group)
	for _, l := range loads {
		if l.Name == "" || l.Statements < 0 || l.Age < 0 || l.Age >= spreader.ReportTTL {
			continue
		}
		for id, n := range l.Uses {
			if n < 0 || n > l.Busy {
				delete(l.Uses, id)
			}
		}
		b.Report(l.Name, newLoad(l.Statements, l.Busy, l.Uses), now.Add(-l.Age))
	}
}

// newLoad returns a load as package spreader has it.
func newLoad(statements, busy int, uses map[uint32]int) spreader.Load {
	l := spreader.Load{Statements: float64(statements), Busy: float64(busy) / 1000, Uses: make(map[uint32]float64, len(uses))}
	for id, n := range uses {
		l.Uses[id] = float64(n) / 1000
	}
	return l
}

// trackForwarded counts a request among those that this process has at a gateway. The returned
// function must be called when it has ended.
func (f *Forwarder) trackForwarded(p Candidate, r *request) (end func()) {
	if r.Workspace == "" || p.isSubstitute || !f.boundsLoad() {
		return func() {}
	}
	f.bounds.mu.Lock()
	defer f.bounds.mu.Unlock()
	f.bounds.of(r.Group).Begin(p.Name, f.Now())
	return func() {
		f.bounds.mu.Lock()
		defer f.bounds.mu.Unlock()
		f.bounds.of(r.Group).End(p.Name)
	}
}
