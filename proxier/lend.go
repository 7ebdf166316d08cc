package proxier

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/delegator"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/meter"
)

const (
	// loanInterval is the time between two checks of the loans.
	loanInterval = 50 * time.Millisecond
	// substitutesInUse is the number of groups for which another process stands in for this
	// gateway, and loansRefused counts the processes that refused to.
	substitutesInUse = "basildale_substitutes"
	loansRefused     = "basildale_loans_refused"
	// readsHedged counts the reads that were offered to a second gateway.
	readsHedged = "basildale_reads_offered_twice"
	// divisionLoans counts the loans between gateways of a group by what became of them, and
	// connectionsLent is the number of connections of a group that are lent to others.
	divisionLoans   = "basildale_division_loans_total"
	connectionsLent = "basildale_connections_lent"
)

// buildLoans creates the loans of this process.
func (p *Proxier) buildLoans() {
	p.loans = &forwarder.Loans{
		Name: p.Settings.Name, Start: p.incarnation, Gateways: p.carrier.Gateways, Local: p.carrier.Group,
		Enabled: p.lendsConnections, Leaving: p.leaving.Load, Peers: p.loanPeers, Send: p.forwardToPeer,
		CountRefused: func() { p.incrementCounter(loansRefused, 1) }, Now: bootClock, Log: p.Log,
	}
	p.loans.Divides, p.loans.Division = p.dividesByDemand, p.divisionPeers
	p.loans.CountSpare = func(outcome string) {
		p.incrementCounter(meter.Name(divisionLoans, meter.Label{Name: "outcome", Value: outcome}), 1)
	}
	p.loans.SetLent = func(group string, n int) {
		metrics.GetOrRegisterGauge(meter.Name(connectionsLent, meter.Label{Name: "group", Value: group}), p.registry).Update(int64(n))
	}
	p.forward.Loans, p.forward.Substitutes, p.forward.HedgesReads = p.loans, p.lendsConnections, p.lendsConnections
	p.forward.CountHedged = func() { p.incrementCounter(readsHedged, 1) }
	p.meter.Gauge(p.loans.InUse, substitutesInUse)
}

// lendsConnections reports whether gateways that do not reach a leader lend their connections.
func (p *Proxier) lendsConnections() bool { return p.loadChoices().Gateways == loader.Reach }

// dividesByDemand reports whether gateways of a group lend connections to each other.
func (p *Proxier) dividesByDemand() bool { return p.loadChoices().Division == loader.Demand }

// divisionPeers returns the other gateways that divide the connections of a group with this
// process, and a hash of all of them; false where this process is none of them.
func (p *Proxier) divisionPeers(group string) ([]delegator.Peer, uint64, bool) {
	assigned := p.assignedGateways.Load()
	if assigned == nil || !slices.Contains((*assigned)[group], p.Settings.Name) {
		return nil, 0, false
	}
	names := slices.Sorted(slices.Values((*assigned)[group]))
	var others []delegator.Peer
	for _, peer := range p.gossip.ReachablePeers(names) {
		if peer.Name != p.Settings.Name && !peer.Leaving && peer.GatewayAddr.IsValid() {
			others = append(others, delegator.Peer{Name: peer.Name, Address: peer.GatewayAddr})
		}
	}
	return others, xxhash.Sum64String(strings.Join(names, " ")), true
}

// runLoans lets time pass for the loans.
func (p *Proxier) runLoans(ctx context.Context) {
	ticker := time.NewTicker(loanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.loans.Tick()
		}
	}
}

// loanPeers returns the live processes that are no gateways of a group, in the order in which
// this process asks them to stand in for it. The order differs between gateways, so that they
// do not all ask the same process.
func (p *Proxier) loanPeers(group string) []delegator.Peer {
	assigned := p.assignedGateways.Load()
	if assigned == nil || (*assigned)[group] == nil {
		return nil // all processes have connections of their own
	}
	return orderLoanPeers(group, p.Settings.Name, (*assigned)[group], p.gossip.LivePeers())
}

func orderLoanPeers(group, self string, gateways []string, live []gossiper.Peer) []delegator.Peer {
	var out []delegator.Peer
	for _, peer := range live {
		if peer.Leaving || !peer.GatewayAddr.IsValid() || peer.Groups[group].IsGateway || slices.Contains(gateways, peer.Name) {
			continue
		}
		out = append(out, delegator.Peer{Name: peer.Name, Address: peer.GatewayAddr})
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(group + " " + self + " " + name) }
	slices.SortFunc(out, func(a, b delegator.Peer) int { return cmp.Compare(weight(b.Name), weight(a.Name)) })
	return out
}

// mayHaveLent reports whether an earlier start of this process may have loans that have not
// ended. Until then it uses only the connections that a lender never lends.
func (p *Proxier) mayHaveLent() bool {
	return (p.lendsConnections() || p.dividesByDemand()) && bootClock().Sub(p.startedAt) < delegator.StartupDelay
}
