package promoter

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// Ballot is what one upstream has answered to an attempt's fence.
type Ballot struct {
	Upstream netip.AddrPort
	Fenced   bool
	Mark     tracker.Mark
}

// Attempt is one try to replace the primary, at one term. A term gets at most
// one candidate: were another one promoted because the first didn't answer, both
// could be primary in the same term. So a candidate that stays silent costs a
// new attempt at a higher term.
type Attempt struct {
	Term tracker.Term
	// Suspect is the upstream that looks dead, Target the one to prefer; either
	// may be the zero value.
	Suspect netip.AddrPort
	Target  netip.AddrPort
	Ballots []Ballot
	// Candidate is valid once chosen.
	Candidate netip.AddrPort
	retryAt   time.Time
	// settleAt is when a majority that holds the suspect will do; zero until
	// there is a majority.
	settleAt  time.Time
	fenceBy   time.Time
	promoteBy time.Time
	reason    string
}

// Quorum returns how many of n upstreams must be fenced so that each write held
// by two of them is held by one that is fenced, and two quorums share one.
func Quorum(n int) int {
	return max(n/2+1, n-1)
}

// NewAttempt returns an attempt on the upstreams at the term.
func NewAttempt(term tracker.Term, upstreams []netip.AddrPort) *Attempt {
	a := &Attempt{Term: term, Ballots: make([]Ballot, len(upstreams))}
	for i, u := range upstreams {
		a.Ballots[i].Upstream = u
	}
	return a
}

// NoteFence notes an upstream's answer to the fence.
func (a *Attempt) NoteFence(upstream netip.AddrPort, mark tracker.Mark) {
	for i := range a.Ballots {
		if a.Ballots[i].Upstream == upstream {
			a.Ballots[i].Fenced = true
			a.Ballots[i].Mark = mark
		}
	}
}

// count returns how many upstreams are fenced, and how many of them aren't the
// suspect.
func (a *Attempt) count() (all, others int) {
	for _, b := range a.Ballots {
		if !b.Fenced {
			continue
		}
		all++
		if b.Upstream != a.Suspect {
			others++
		}
	}
	return all, others
}

// Choose returns the upstream to promote, or ok false when more answers are
// needed. settled says that the wait for a better majority is over.
//
// Any fenced quorum will do, as long as the furthest of it is taken: the suspect
// may be left out, with its unconfirmed tail, when the others are a quorum
// without it.
func (a *Attempt) Choose(settled bool) (netip.AddrPort, bool) {
	all, others := a.count()
	need := Quorum(len(a.Ballots))
	complete := all == len(a.Ballots)
	switch {
	case len(a.Ballots) == 0 || all < need:
		return netip.AddrPort{}, false
	case a.Target.IsValid():
		if !complete && !settled {
			return netip.AddrPort{}, false
		}
		return a.furthest(a.Target, netip.AddrPort{}), true
	case others >= need:
		return a.furthest(netip.AddrPort{}, a.Suspect), true
	case complete || settled:
		return a.furthest(netip.AddrPort{}, netip.AddrPort{}), true
	default:
		return netip.AddrPort{}, false
	}
}

// furthest returns the fenced upstream with the greatest mark, leaving out one.
// Among equals it takes the preferred one, and a suspect last.
func (a *Attempt) furthest(prefer, without netip.AddrPort) netip.AddrPort {
	var best Ballot
	for _, b := range a.Ballots {
		if !b.Fenced || b.Upstream == without {
			continue
		}
		c := b.Mark.Compare(best.Mark)
		better := b.Upstream == prefer || best.Upstream == a.Suspect
		if !best.Upstream.IsValid() || c > 0 || c == 0 && better {
			best = b
		}
	}
	return best.Upstream
}
