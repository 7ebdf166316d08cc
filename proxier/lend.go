package proxier

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/delegator"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
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
)

// buildLoans creates the loans of this process.
func (p *Proxier) buildLoans() {
	p.loans = &forwarder.Loans{
		Name: p.Settings.Name, Start: p.incarnation, Gateways: p.carrier.Gateways, Local: p.carrier.Group,
		Enabled: p.lendsConnections, Leaving: p.leaving.Load, Peers: p.loanPeers, Send: p.forwardToPeer,
		CountRefused: func() { p.incrementCounter(loansRefused, 1) }, Now: bootClock, Log: p.Log,
	}
	p.forward.Loans, p.forward.Substitutes, p.forward.HedgesReads = p.loans, p.lendsConnections, p.lendsConnections
	p.forward.CountHedged = func() { p.incrementCounter(readsHedged, 1) }
	p.meter.Gauge(p.loans.InUse, substitutesInUse)
}

// lendsConnections reports whether gateways that do not reach a leader lend their connections.
func (p *Proxier) lendsConnections() bool { return p.loadChoices().Gateways == loader.Reach }

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
	return p.lendsConnections() && bootClock().Sub(p.startedAt) < delegator.StartupDelay
}
