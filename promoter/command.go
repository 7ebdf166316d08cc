package promoter

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// Command is one of the structs of this file. Each has a Reason: a short
// sentence for the record of decisions.
type Command interface{ command() }

// Probe asks for the upstream's state, on a connection that isn't known to be
// stuck. The answer is [Stated], or [Failed] for trouble; no event for silence.
type Probe struct {
	Upstream netip.AddrPort
	Reason   string
}

// Fence orders the upstream to accept Term and refuse all writes. The answer is
// [Stepped], as for [Promote] and [Follow].
type Fence struct {
	Upstream netip.AddrPort
	Term     tracker.Term
	Reason   string
}

// Promote orders the upstream, fenced at Term, to be primary in it.
type Promote struct {
	Upstream netip.AddrPort
	Term     tracker.Term
	Reason   string
}

// Follow orders the upstream to replicate from Primary in Term.
type Follow struct {
	Upstream netip.AddrPort
	Term     tracker.Term
	Primary  netip.AddrPort
	Reason   string
}

// Report sends this proxy's view of the primary to the proxies To.
type Report struct {
	To       []string
	Upstream netip.AddrPort
	Term     tracker.Term
	Suspect  bool
	Claim    tracker.Term
	Reason   string
}

// Announce tells the proxies To, or all if To is nil, who is primary. With Hold
// it asks them to hold new writes until then.
type Announce struct {
	To      []string
	Primary netip.AddrPort
	Term    tracker.Term
	Record  Record
	Version uint64
	Hold    time.Time
	Reason  string
}

// Adopt makes this proxy's traffic use Primary at Term. It ends a [Hold].
type Adopt struct {
	Primary netip.AddrPort
	Term    tracker.Term
	Reason  string
}

// Hold makes this proxy's traffic hold new writes until then, or until the next
// [Adopt].
type Hold struct {
	Until  time.Time
	Reason string
}

// Load reads the group's object. The answer is [Loaded].
type Load struct{ Reason string }

// Save writes the group's object if it still has Version (0: doesn't exist). The
// answer is [Saved].
type Save struct {
	Record  Record
	Version uint64
	Reason  string
}

// Moved ends a [Move]. Outcome is Done if Primary is the one asked for, Rejected
// if the change was given up or another one had to be taken, Lost if it can't be
// told by the deadline.
type Moved struct {
	Outcome Outcome
	Primary netip.AddrPort
	Reason  string
}

func (Probe) command()    {}
func (Fence) command()    {}
func (Promote) command()  {}
func (Follow) command()   {}
func (Report) command()   {}
func (Announce) command() {}
func (Adopt) command()    {}
func (Hold) command()     {}
func (Load) command()     {}
func (Save) command()     {}
func (Moved) command()    {}
