package confirmer

import (
	"net/netip"
	"time"

	"basildale.example/basildale/tracker"
)

// Wrote reports a write that the primary answered and that waits. ID is the
// caller's; 0 is a sample that nobody waits for.
type Wrote struct {
	ID uint64
	// Term is the term the primary answered in, Mark where the write is.
	Term     tracker.Term
	Mark     tracker.Mark
	Deadline time.Time
}

// Change reports another primary, term or list of replicas.
type Change struct {
	Term     tracker.Term
	Replicas []netip.AddrPort
}

// Polled is the answer to a [Poll], or any state of a replica that the proxy came
// by (Solicited false).
type Polled struct {
	Upstream  netip.AddrPort
	State     tracker.State
	Solicited bool
}

// Kind tells commands apart.
type Kind uint8

// The kinds of commands.
const (
	// Poll asks Upstream for its state as soon as it is at or past Mark, at the
	// latest at Until. The answer is [Polled], or [Group.PollFailed].
	Poll Kind = iota + 1
	// Ack lets the answer of write ID go out.
	Ack
	// Unknown gives write ID the outcome unknown, at once.
	Unknown
	// Sample asks for an entry without effect in the primary's log (a settled
	// throwaway ID); its mark comes back by [Group.Wrote] with ID 0.
	Sample
)

// Reason says why a command or verdict was given.
type Reason uint8

// The reasons.
const (
	// Confirmed: a replica holds the write at its term.
	Confirmed Reason = iota + 1
	// Late: the deadline passed without a confirmation.
	Late
	// Replaced: the write's term is not the group's any more.
	Replaced
	// Waiting: writes wait for this mark.
	Waiting
	// Lagging: the replicas have lately taken longer than there is time.
	Lagging
	// Silent: no replica answers.
	Silent
	// Learning: the replica's state isn't known yet.
	Learning
)

// String returns a short sentence.
func (r Reason) String() string {
	switch r {
	case Confirmed:
		return "a replica holds it at its term"
	case Late:
		return "not confirmed before the deadline"
	case Replaced:
		return "the primary of its term was replaced"
	case Waiting:
		return "writes wait for this mark"
	case Lagging:
		return "replicas lag more than there is time"
	case Silent:
		return "no replica answers"
	case Learning:
		return "the replica's state isn't known"
	default:
		return "none"
	}
}

// Command is one order of the state machine; which fields count is said at its
// [Kind]. One flat struct, so that the path of a write allocates nothing.
type Command struct {
	Kind     Kind
	Reason   Reason
	ID       uint64
	Upstream netip.AddrPort
	Mark     tracker.Mark
	Until    time.Time
}

// Verdict says whether a write may run. If not, Retry is when to come back.
type Verdict struct {
	Admitted bool
	Reason   Reason
	Retry    time.Time
}

// Confirms reports whether a replica's state proves that a write at mark, found in
// the primary's log in term, can't be lost any more. The replica must be at that
// term and must hold an entry of it: then its log is a part of that primary's and
// wins against every log that ends in an earlier term.
func Confirms(s tracker.State, term tracker.Term, mark tracker.Mark) bool {
	return s.Role == tracker.Replica && s.Term == term && s.Mark.Term == term && !s.Mark.Less(mark)
}
