package forwarder

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"basildale.example/basildale/carrier"
)

// substitute is a process that stands in for a gateway that does not reach a group's leader.
type substitute struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
}

// candidate returns the substitute of a gateway as a process that a statement can be sent to.
func (s *substitute) candidate(gateway netip.AddrPort) Candidate {
	return Candidate{Name: s.Name, Address: s.Address, isSubstitute: true, standsFor: gateway}
}

// usesSubstitutes reports whether statements may go to substitutes.
func (f *Forwarder) usesSubstitutes() bool {
	return f.Loans != nil && f.Substitutes != nil && f.Substitutes()
}

// ownSubstitute returns this process's substitute for a group, or nil.
func (f *Forwarder) ownSubstitute(group string) *substitute {
	if !f.usesSubstitutes() {
		return nil
	}
	p, ok := f.Loans.Substitute(group)
	if !ok {
		return nil
	}
	return &substitute{p.Name, p.Address}
}

// option is a process that may run a statement that needs the leader.
type option struct {
	target  Candidate
	reaches bool // the leader, as far as is known
	weight  uint64
}

// chooseWithSubstitutes returns the process that a statement that needs the leader is offered
// to: a gateway that reaches the leader, or the substitute of one that does not. A gateway
// that has said in the last reportTTL that it does not reach the leader qualifies only by its
// substitute. One that has said so earlier qualifies if there is no other process: it may have
// a substitute by now, which its answer names.
func (f *Forwarder) chooseWithSubstitutes(c criteria) (Candidate, bool) {
	now := f.Now()
	var best *option
	add := func(gateway string, o option) {
		p := o.target
		if !p.Address.IsValid() || p.Name == f.Name || c.tried[p.Address] || f.isSkipped(p, now) {
			return
		}
		o.weight = f.optionWeight(c, gateway, p)
		if best == nil || o.reaches && !best.reaches || o.reaches == best.reaches && o.weight > best.weight {
			best = &o
		}
	}
	if own := f.ownSubstitute(c.group); own != nil {
		add(f.Name, option{target: own.candidate(netip.AddrPort{}), reaches: true})
	}
	for _, p := range f.Gateways(c.group) {
		r, reported := f.lastReport(c.group, p, now)
		switch {
		case reported && r.substitute != nil:
			add(p.Name, option{target: r.substitute.candidate(p.Address), reaches: true})
		case reported && !r.fault.IsLeaderReachable(): // it has just said that it cannot
		default:
			add(p.Name, option{target: p, reaches: p.LeaderFault.IsLeaderReachable()})
		}
	}
	if best == nil {
		return Candidate{}, false
	}
	return best.target, true
}

// optionWeight orders the processes that may run a statement: for a workspace by the affinity
// of the gateway, also where its substitute runs the statement; otherwise those of this
// process's zone first, at random.
func (f *Forwarder) optionWeight(c criteria, gateway string, p Candidate) uint64 {
	if c.workspace != "" {
		return c.weight(gateway)
	}
	weight := rand.Uint64() >> 1
	if p.Zone == f.Zone {
		weight |= 1 << 63
	}
	return weight
}

// leavesSamples reports whether a sample of a group's leader is better taken by a substitute:
// this process does not reach the leader, and would find that out again in more time than the
// sample may take.
func (f *Forwarder) leavesSamples(group string) bool {
	return f.usesSubstitutes() && f.LeaderFault != nil && !f.LeaderFault(group).IsLeaderReachable()
}

// lastReport returns what a peer has said with an answer in the last reportTTL.
func (f *Forwarder) lastReport(group string, p Candidate, now time.Time) (report, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.reports[reportKey{p.Address, group}]
	return r, ok && now.Before(r.validUntil)
}

// takeRedirect returns the substitute that the last refusal named, if the statement may still
// be offered to it.
func (s *search) takeRedirect() (Candidate, bool) {
	p := s.redirect
	s.redirect = Candidate{}
	if !p.Address.IsValid() || len(s.tried) >= maxOffers || !s.runner.f.usesSubstitutes() {
		return Candidate{}, false
	}
	if p.Name == s.runner.f.Name || s.tried[p.Address] || s.runner.f.isSkipped(p, s.runner.f.Now()) {
		return Candidate{}, false
	}
	return p, true
}

// changed returns a channel that is closed when the group changes, or nil where statements do
// not go to substitutes.
func (s *search) changed() <-chan struct{} {
	if !s.runner.f.usesSubstitutes() {
		return nil
	}
	return s.runner.group.Changed()
}

// awaitsSubstitute reports whether a statement that this process, a gateway, cannot run now
// waits here for a substitute as well as for a leader.
func (s *search) awaitsSubstitute() bool {
	if !s.runner.f.usesSubstitutes() || !s.job.RequiresLeader() {
		return false
	}
	return !s.runner.group.IsUnservable(s.job) || s.hasUnasked()
}

// hasUnasked reports, once for a search, whether there are processes left that the statement
// was not offered to because of maxOffers. A group whose gateways have not all found a
// substitute would otherwise be refused by those that ask the wrong ones first.
func (s *search) hasUnasked() bool {
	if s.askedFurther || len(s.tried) < maxOffers {
		return false
	}
	s.askedFurther = true
	_, found := s.runner.f.choosePeer(s.criteria())
	return found
}

// refuse returns the answer for a statement that no process could run in time.
func (s *search) refuse() carrier.Answer {
	if !s.runner.f.usesSubstitutes() {
		return noGateway()
	}
	delay := carrier.RetryDelay(time.Until(s.job.Deadline))
	return carrier.Answer{Code: carrier.Busy, Text: "no proxy reaches the group; come back in " + delay.String()}
}
