package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// TokenBlockSize is how many tokens a holder of the duty takes at a time: one for each order that
// it chooses. A new holder takes the next block, so one can act while the store is away;
// a change of leader uses one or two.
const TokenBlockSize = 1 << 10

// spare is how many tokens of a block copies of orders leave for the choices of an
// attempt: two, and one for each 1.2 s in which earlier orders may be under way.
const spare = 32

// Order asks the platform to make an upstream the leader of its group.
type Order struct {
	Group    string
	Upstream string
	// Token rises with each choice and each holder of the duty, so that the platform
	// refuses late orders of earlier ones.
	Token uint64
}

// Outcome is what the platform answered to an order.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota
	Accepted
	// Rejected: a higher token was used, or the upstream isn't running.
	Rejected
	// NotNow: nothing was done; the order may be repeated.
	NotNow
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "rejected", "not now"}[o]
}

// Upstream is one upstream of the group as the holder sees it.
type Upstream struct {
	ID string
	// StartedAt is when it started; zero where it doesn't say.
	StartedAt time.Time
	Leaving   bool
	// Unlisted says that it isn't listed, and nobody knows what became of its log. It
	// must be halted like the others; it is never chosen as successor.
	Unlisted bool
}

// View is what the holder knows of its group.
type View struct {
	// Leader is the upstream that leads, or led last; empty when unknown.
	Leader string
	// LeaderAnswers says that a leader that answers is known.
	LeaderAnswers bool
	// Dead says that the leader does its work no longer, by this process and its
	// peers: it doesn't answer, or its commits aren't acknowledged.
	Dead bool
	// CommitStalled says that the leader answers, but its commits aren't acknowledged.
	CommitStalled bool
	// ReachedByPeer says that a live peer reaches the leader and finds it well.
	ReachedByPeer bool
	// LeaderDegraded says that the leader answers, but many peers can't reach it or see it
	// fail what they ask.
	LeaderDegraded bool
	// LeaderOverloaded says that the leader is asked for more than it can do while all replicas
	// are too late to help.
	LeaderOverloaded bool
	// Term is the highest term heard of.
	Term      tracker.Term
	Upstreams []Upstream
	// MinReceived is how far the log of a new leader must reach at least; zero sets no
	// bound.
	MinReceived tracker.Mark
	// Partitioned says that there are other processes and none was heard lately: one of them
	// may have taken the duty.
	Partitioned bool
	// Token is the first of the block of this process's duty for the group; zero when it
	// has none.
	Token uint64
}

// Event is something that happened.
type Event interface{ event() }

// Tick hands over a fresh view.
type Tick struct{ View View }

// UpstreamReport is the answer of an upstream to a Halt, Look, Demote or Release.
type UpstreamReport struct {
	ID string
	// RequestedAt is when the question was given.
	RequestedAt time.Time
	OK          bool
	Term        tracker.Term
	// Leads says that the upstream leads.
	Leads bool
	// Received is the end of its log.
	Received tracker.Mark
	// SuspendedTerm is the term for which it has stopped receiving; zero when it receives.
	SuspendedTerm tracker.Term
}

// OrderAnswer is the platform's answer to a Promote.
type OrderAnswer struct {
	Order   Order
	Outcome Outcome
}

func (Tick) event()           {}
func (UpstreamReport) event() {}
func (OrderAnswer) event()    {}

// Command is something to be done.
type Command interface{ command() }

// Suspend tells an upstream to stop receiving until a leader of Term or above is
// promoted.
type Suspend struct {
	ID   string
	Term tracker.Term
}

// Demote takes the lead from an upstream, where it can be reached.
type Demote struct {
	ID   string
	Term tracker.Term
}

// Poll asks an upstream about itself.
type Poll struct{ ID string }

// Resume tells an upstream to receive again.
type Resume struct{ ID string }

// Promote gives an order to the platform.
type Promote struct{ Order Order }

// ReleaseLease gives the duty up so that another process takes it: this one can't reach
// all replicas, and another may.
type ReleaseLease struct{}

// LogStep is a line for the log.
type LogStep struct {
	Step   string
	Target string
	Cause  string
}

func (Suspend) command()      {}
func (Demote) command()       {}
func (Poll) command()         {}
func (Resume) command()       {}
func (Promote) command()      {}
func (ReleaseLease) command() {}
func (LogStep) command()      {}
