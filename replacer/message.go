package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Block is how many tokens a holder of the duty takes at a time: one for each order that
// it chooses. A new holder takes the next block, so one can act while the store is away;
// a change of leader uses one or two.
const Block = 1 << 10

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

// Member is one upstream of the group as the holder sees it.
type Member struct {
	ID string
	// Born is when it started; zero where it doesn't say.
	Born    time.Time
	Leaving bool
	// Lost says that it isn't listed, and nobody knows what became of its log. It
	// must be halted like the others; it is never chosen as successor.
	Lost bool
}

// View is what the holder knows of its group.
type View struct {
	// Leader is the upstream that leads, or led last; empty when unknown.
	Leader string
	// Leads says that a leader that answers is known.
	Leads bool
	// Dead says that the leader does its work no longer, by this process and its
	// peers: it doesn't answer, or its commits aren't acknowledged.
	Dead bool
	// Stuck says that the leader answers, but its commits aren't acknowledged.
	Stuck bool
	// Reached says that a live peer reaches the leader and finds it well.
	Reached bool
	// Shunned says that the leader answers, but many peers can't reach it or see it
	// fail what they ask.
	Shunned bool
	// Alone says that the leader is asked for more than it can do while all replicas
	// are too late to help.
	Alone bool
	// Term is the highest term heard of.
	Term    tracker.Term
	Members []Member
	// Floor is how far the log of a new leader must reach at least; zero sets no
	// bound.
	Floor tracker.Mark
	// Isolated says that there are other processes and none was heard lately: one of them
	// may have taken the duty.
	Isolated bool
	// Token is the first of the block of this process's duty for the group; zero when it
	// has none.
	Token uint64
}

// Event is something that happened.
type Event interface{ event() }

// Tick hands over a fresh view.
type Tick struct{ View View }

// Reported is the answer of an upstream to a Halt, Look, Demote or Release.
type Reported struct {
	ID string
	// Asked is when the question was given.
	Asked time.Time
	OK    bool
	Term  tracker.Term
	// Leads says that the upstream leads.
	Leads bool
	// Received is the end of its log.
	Received tracker.Mark
	// Held is the term for which it has stopped receiving; zero when it receives.
	Held tracker.Term
}

// Ordered is the platform's answer to a Promote.
type Ordered struct {
	Order   Order
	Outcome Outcome
}

func (Tick) event()     {}
func (Reported) event() {}
func (Ordered) event()  {}

// Command is something to be done.
type Command interface{ command() }

// Halt tells an upstream to stop receiving until a leader of Term or above is
// promoted.
type Halt struct {
	ID   string
	Term tracker.Term
}

// Demote takes the lead from an upstream, where it can be reached.
type Demote struct {
	ID   string
	Term tracker.Term
}

// Look asks an upstream about itself.
type Look struct{ ID string }

// Release tells an upstream to receive again.
type Release struct{ ID string }

// Promote gives an order to the platform.
type Promote struct{ Order Order }

// Resign gives the duty up so that another process takes it: this one can't reach
// all replicas, and another may.
type Resign struct{}

// Explain is a line for the log.
type Explain struct {
	Step   string
	Target string
	Cause  string
}

func (Halt) command()    {}
func (Demote) command()  {}
func (Look) command()    {}
func (Release) command() {}
func (Promote) command() {}
func (Resign) command()  {}
func (Explain) command() {}
