package forwarder

import (
	"net/netip"
	"time"

	"basildale.example/basildale/gossiper"
)

// Candidate is a peer that is a gateway of a group.
type Candidate struct {
	Name     string
	Zone     string
	Address  netip.AddrPort // for statements
	LastSeen time.Time
	// LeaderFault is the fault of the group's leader that the peer last reported, if
	// IsFaultKnown.
	LeaderFault  gossiper.LeaderFault
	IsFaultKnown bool

	// isSubstitute is true if it is no gateway but stands in for the one at standsFor; that is
	// not set where it stands in for this process.
	isSubstitute bool
	standsFor    netip.AddrPort
}

const (
	// reportTTL is how long a fault that a peer reported with an answer is used. Without
	// it each statement would query all gateways again while a leader is replaced. With a
	// longer one a statement that waits for the next leader would skip a peer that has
	// found it.
	reportTTL = 200 * time.Millisecond
	// maxReports bounds the number of reports that are kept, in a fleet of any size.
	maxReports = 1024
)

// reportKey identifies the peer and group of a report.
type reportKey struct {
	peer  netip.AddrPort
	group string
}

// report is a fault that a peer reported, and until when it is used.
type report struct {
	fault      gossiper.LeaderFault
	substitute *substitute // that the peer named; nil if it named none
	validUntil time.Time
}

// addReport records the fault and the substitute that a peer reported with an answer. A process that is not
// a gateway of the group learns of faults this way.
func (f *Forwarder) addReport(group string, p Candidate, resp *response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := reportKey{p.Address, group}
	if resp.LeaderFault == gossiper.NoFault && resp.Substitute == nil {
		delete(f.reports, key)
		return
	}
	if f.reports == nil || len(f.reports) >= maxReports {
		f.reports = map[reportKey]report{}
	}
	f.reports[key] = report{resp.LeaderFault, resp.Substitute, f.Now().Add(reportTTL)}
}

// confirmSubstitute extends the report of the gateway that named a substitute, which has just
// run a statement.
func (f *Forwarder) confirmSubstitute(group string, p Candidate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := reportKey{p.standsFor, group}
	if r, ok := f.reports[key]; ok && r.substitute != nil && r.substitute.Address == p.Address {
		r.validUntil = f.Now().Add(reportTTL)
		f.reports[key] = r
	}
}

// reportedFault returns the fault of a group's leader that a peer reported lately, with
// an answer or by gossip, and whether it reported any state.
func (f *Forwarder) reportedFault(group string, p Candidate, now time.Time) (gossiper.LeaderFault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.reports[reportKey{p.Address, group}]; ok && now.Before(r.validUntil) {
		return r.fault, true
	}
	return p.LeaderFault, p.IsFaultKnown
}

// leaderFault returns the fault of a group's leader as seen by a peer, as far as is known.
func (f *Forwarder) leaderFault(group string, p Candidate, now time.Time) gossiper.LeaderFault {
	fault, _ := f.reportedFault(group, p, now)
	return fault
}
