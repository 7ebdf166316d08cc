package carrier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"basildale.example/basildale/gossiper"
)

// GatewayLoad is what a gateway has at the upstreams of a group.
type GatewayLoad struct {
	// Gateway is its name; empty for this process.
	Gateway string
	// Statements is the number of statements that run and wait there.
	Statements int
	// Busy is the service time there in the last second, in milliseconds, and Uses how much of
	// it is of a workspace, by the hash of its name, for those that use most.
	Busy int
	Uses map[uint32]int
	// Age is how long ago the load was reported.
	Age time.Duration
}

// WorkspaceID returns the hash of a workspace's name that gateways exchange.
func WorkspaceID(name string) uint32 { return workspaceID(name) }

// GatewayLoads returns what this process, if it reports its load, and its peers have lately had
// at the group's upstreams.
func (g *Group) GatewayLoads(now time.Time) []GatewayLoad {
	var out []GatewayLoad
	if own := g.Loads(now); len(own) > 0 && g.IsGateway() {
		out = append(out, newGatewayLoad("", own, 0))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, peer := range slices.Sorted(maps.Keys(g.peerLoads)) {
		l := g.peerLoads[peer]
		if age := now.Sub(l.receivedAt); age < peerLoadTTL {
			out = append(out, newGatewayLoad(peer, l.upstreams, age))
		}
	}
	return out
}

// newGatewayLoad sums up a report.
func newGatewayLoad(gateway string, upstreams []gossiper.UpstreamLoad, age time.Duration) GatewayLoad {
	out := GatewayLoad{Gateway: gateway, Uses: map[uint32]int{}, Age: age}
	for i := range upstreams {
		l := &upstreams[i]
		out.Statements += min(l.Running, maxQueueLength) + min(l.Waiting, maxQueueLength)
		out.Busy += int(milliseconds(l.Rest).Milliseconds())
		for _, w := range l.Used {
			busy := int(milliseconds(w.Busy).Milliseconds())
			out.Busy += busy
			out.Uses[w.ID] += busy
		}
	}
	return out
}

// addUsage adds to a report what the workspaces use, where admission keeps no account of that.
// The caller must hold the group's lock.
func (u *upstream) addUsage(l *gossiper.UpstreamLoad, now time.Time) {
	type use struct {
		id   uint32
		busy int
	}
	var uses []use
	for workspace, a := range u.usage.accounts {
		busy := int(a.lastSecond(now).Milliseconds())
		switch {
		case busy == 0:
		case workspace == "":
			l.Rest += busy
		default:
			uses = append(uses, use{workspaceID(workspace), busy})
		}
	}
	l.Rest += int(u.usage.other.lastSecond(now).Milliseconds())
	slices.SortFunc(uses, func(a, b use) int { return cmp.Or(cmp.Compare(b.busy, a.busy), cmp.Compare(a.id, b.id)) })
	for i, w := range uses {
		if i < maxReportedUses {
			l.Used = append(l.Used, gossiper.WorkspaceUse{ID: w.id, Busy: w.busy})
			continue
		}
		l.Rest += w.busy
		l.Others++
	}
}

// lastSecond returns the use in the last second. Of the second before the present one it counts
// the part that is not over.
func (a *usageAccount) lastSecond(now time.Time) time.Duration {
	a.advance(now)
	previous := a.spent[(a.second+usageSeconds-1)%usageSeconds]
	left := time.Second - time.Duration(now.Nanosecond())
	return a.spent[a.second%usageSeconds] + time.Duration(float64(previous)*left.Seconds())
}
