package promoter

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// Event is one of the structs of this file.
type Event interface{ event() }

// Tick carries only the time. It is due no later than [Group.Next].
type Tick struct{}

// Member is one live proxy.
type Member struct {
	// ID is new for each run of a process.
	ID string
	// Zone is its availability zone.
	Zone string
}

// Members gives the live proxies that aren't leaving, in the group's rendezvous
// order, Self included while it isn't leaving.
type Members struct{ Live []Member }

// Upstreams gives the configured upstreams of the group. An upstream stays in
// the list while it is down: the number that must be fenced is counted over it.
type Upstreams struct{ List []netip.AddrPort }

// Answered reports that the upstream answered something at the time of the
// event: a row, an error of its own, part of a result. Traffic sends it, at most
// once per upstream and some milliseconds.
type Answered struct{ Upstream netip.AddrPort }

// Trouble is what went wrong on a connection.
type Trouble uint8

// The kinds of trouble.
const (
	// Refused: the connection was refused, so the process isn't there.
	Refused Trouble = iota + 1
	// Broken: a connection was closed or reset under a statement.
	Broken
	// Quiet: a statement has had no answer for longer than its caller expected.
	Quiet
	// Stale: the upstream refused a write for its term (BD002).
	Stale
)

// String returns the kind in lower case.
func (t Trouble) String() string {
	switch t {
	case Refused:
		return "refused"
	case Broken:
		return "broken"
	case Quiet:
		return "quiet"
	case Stale:
		return "stale"
	default:
		return "unknown"
	}
}

// Failed reports trouble that traffic or a probe met.
type Failed struct {
	Upstream netip.AddrPort
	Trouble  Trouble
}

// Stated is the answer to a [Probe], or any other state the proxy came by. Sent
// is when the question was sent; zero if that isn't known.
type Stated struct {
	Upstream  netip.AddrPort
	State     tracker.State
	Following netip.AddrPort
	Sent      time.Time
}

// Reported is a [Report] of another proxy.
type Reported struct {
	From     string
	Zone     string
	Upstream netip.AddrPort
	Term     tracker.Term
	Suspect  bool
	// Claim is the term the reporter is replacing the primary at, or zero.
	Claim tracker.Term
}

// Announced is an [Announce] of another proxy.
type Announced struct {
	From    string
	Primary netip.AddrPort
	Term    tracker.Term
	// Record is the group's record as the other proxy knows it at Version;
	// Version is 0 if it knows none.
	Record  Record
	Version uint64
	// Hold asks to hold new writes until then for a planned change; zero: no.
	Hold time.Time
}

// Step is one of the three orders to an upstream.
type Step uint8

// The steps.
const (
	Fencing Step = iota + 1
	Promoting
	Following
)

// String returns the step in lower case.
func (s Step) String() string {
	switch s {
	case Fencing:
		return "fence"
	case Promoting:
		return "promote"
	case Following:
		return "follow"
	default:
		return "none"
	}
}

// Outcome is how an order ended.
type Outcome uint8

// The outcomes of an order to an upstream or of a call to the platform.
const (
	// Done: it has taken effect.
	Done Outcome = iota + 1
	// Rejected: it was refused (BD001, or a version conflict) and changed
	// nothing.
	Rejected
	// Lost: no answer, or the other side is down; it may have taken effect.
	Lost
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case Rejected:
		return "rejected"
	case Lost:
		return "lost"
	default:
		return "none"
	}
}

// Stepped is the answer to a [Fence], [Promote] or [Follow]. State counts when
// the outcome is Done.
type Stepped struct {
	Step     Step
	Upstream netip.AddrPort
	Term     tracker.Term
	Outcome  Outcome
	State    tracker.State
}

// Loaded is the answer to a [Load]. With Outcome Lost nothing was learned. Version 0 with Outcome Done: there is no object.
type Loaded struct {
	Outcome Outcome
	Record  Record
	Version uint64
}

// Recorded is the group's object as a watch or another proxy showed it.
type Recorded struct {
	Record  Record
	Version uint64
}

// Saved is the answer to a [Save]. With Outcome Rejected, Record and Version are
// the object as it is.
type Saved struct {
	Outcome Outcome
	Nonce   string
	Record  Record
	Version uint64
}

// Move asks this proxy, which should be the group's first live holder, for a
// planned change of the primary before the deadline.
type Move struct {
	Target   netip.AddrPort
	Deadline time.Time
}

func (Tick) event()      {}
func (Members) event()   {}
func (Upstreams) event() {}
func (Answered) event()  {}
func (Failed) event()    {}
func (Stated) event()    {}
func (Reported) event()  {}
func (Announced) event() {}
func (Stepped) event()   {}
func (Loaded) event()    {}
func (Recorded) event()  {}
func (Saved) event()     {}
func (Move) event()      {}
