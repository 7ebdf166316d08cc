package promoter

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// ballot is what one upstream has answered to an attempt's fence.
type ballot struct {
	upstream netip.AddrPort
	fenced   bool
	mark     tracker.Mark
}

// attempt is one try to replace the primary, at one term. A term gets at most
// one candidate: were another one promoted because the first didn't answer, both
// could be primary in the same term. So a candidate that stays silent costs a
// new attempt at a higher term.
type attempt struct {
	term    tracker.Term
	suspect netip.AddrPort
	target  netip.AddrPort
	ballots []ballot
	// candidate is valid once chosen.
	candidate netip.AddrPort
	retryAt   time.Time
	// settleAt is when a majority that holds the suspect will do; zero until
	// there is a majority.
	settleAt  time.Time
	promoteBy time.Time
	reason    string
}

// quorum returns how many of n upstreams must be fenced so that each write held
// by two of them is held by one that is fenced, and two quorums share one.
func quorum(n int) int {
	return max(n/2+1, n-1)
}

func newAttempt(term tracker.Term, upstreams []netip.AddrPort) *attempt {
	a := &attempt{term: term, ballots: make([]ballot, len(upstreams))}
	for i, u := range upstreams {
		a.ballots[i].upstream = u
	}
	return a
}

// fenced notes an upstream's answer to the fence.
func (a *attempt) fenced(upstream netip.AddrPort, mark tracker.Mark) {
	for i := range a.ballots {
		if a.ballots[i].upstream == upstream {
			a.ballots[i].fenced = true
			a.ballots[i].mark = mark
		}
	}
}

// count returns how many upstreams are fenced, and how many of them aren't the
// suspect.
func (a *attempt) count() (all, others int) {
	for _, b := range a.ballots {
		if !b.fenced {
			continue
		}
		all++
		if b.upstream != a.suspect {
			others++
		}
	}
	return all, others
}

// choose returns the upstream to promote, or ok false when more answers are
// needed. settled says that the wait for a better majority is over.
//
// Any fenced quorum will do, as long as the furthest of it is taken: the suspect
// may be left out, with its unconfirmed tail, when the others are a quorum
// without it.
func (a *attempt) choose(settled bool) (netip.AddrPort, bool) {
	all, others := a.count()
	need := quorum(len(a.ballots))
	complete := all == len(a.ballots)
	switch {
	case len(a.ballots) == 0 || all < need:
		return netip.AddrPort{}, false
	case a.target.IsValid():
		if !complete && !settled {
			return netip.AddrPort{}, false
		}
		return a.furthest(a.target, netip.AddrPort{}), true
	case others >= need:
		return a.furthest(netip.AddrPort{}, a.suspect), true
	case complete || settled:
		return a.furthest(netip.AddrPort{}, netip.AddrPort{}), true
	default:
		return netip.AddrPort{}, false
	}
}

// furthest returns the fenced upstream with the greatest mark, leaving out one.
// Among equals it takes the preferred one, and a suspect last.
func (a *attempt) furthest(prefer, without netip.AddrPort) netip.AddrPort {
	var best ballot
	for _, b := range a.ballots {
		if !b.fenced || b.upstream == without {
			continue
		}
		c := b.mark.Compare(best.mark)
		better := b.upstream == prefer || best.upstream == a.suspect
		if !best.upstream.IsValid() || c > 0 || c == 0 && better {
			best = b
		}
	}
	return best.upstream
}
