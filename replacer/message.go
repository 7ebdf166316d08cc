package replacer

import (
	"time"

	"basildale.example/basildale/tracker"
)

// TokenBlockSize is how many fencing tokens a lease holder claims at a time: one for each copy
// of an order that it sends. With a block a holder can act while the store is unavailable; a
// new holder claims a higher block. A change of leader uses one or two tokens.
const TokenBlockSize = 1 << 10

// reservedTokens is how many tokens of a block retries of orders must leave for the new orders
// of an attempt: two, and one for each 1.2 s in which earlier orders may still be in flight.
const reservedTokens = 32

// Order requests that the platform make an upstream the leader of its group.
type Order struct {
	Group    string
	Upstream string
	// Token rises with each copy of an order and each lease holder, so that the platform
	// rejects delayed orders, also those of earlier holders.
	Token uint64
}

// Outcome is the platform's answer to an order.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota
	Accepted
	// Rejected: a higher token was used, or the upstream isn't running.
	Rejected
	// Retryable: nothing was done; the order may be repeated.
	Retryable
)

// String returns the outcome in lower case.
func (o Outcome) String() string {
	return [...]string{"no answer", "accepted", "rejected", "not now"}[o]
}

// Upstream is one upstream of the group as the lease holder sees it.
type Upstream struct {
	ID string
	// StartedAt is when it started; zero when it does not report that.
	StartedAt time.Time
	Leaving   bool
	// ClaimsToLead says that it leads according to its own report.
	ClaimsToLead bool
	// Unlisted says that it is not in the store's list and the state of its log is unknown. It
	// must be suspended like the others; a planned change never chooses it as successor.
	Unlisted bool
}

// View is what the lease holder knows of its group.
type View struct {
	// Leader is the upstream that leads, or led last; empty when unknown.
	Leader string
	// LeaderAnswers says that a leader is known and answers.
	LeaderAnswers bool
	// Dead says that, according to this process and its peers, the leader does not work: it
	// does not answer, or its commits are not acknowledged.
	Dead bool
	// CommitStalled says that the leader answers, but its commits are not acknowledged.
	CommitStalled bool
	// ReachedByPeer says that a live peer reaches the leader and sees no fault that makes it
	// unusable.
	ReachedByPeer bool
	// LeaderDegraded says that the leader answers, but many peers cannot reach it or see their
	// requests fail there.
	LeaderDegraded bool
	// LeaderOverloaded says that the leader has more work than it can do while all replicas
	// lag too far behind to help.
	LeaderOverloaded bool
	// Term is the highest term seen.
	Term      tracker.Term
	Upstreams []Upstream
	// MinReceived is how far the log of a new leader must reach; zero sets no bound.
	MinReceived tracker.Mark
	// Partitioned says that there are other processes and none was seen recently: one of them
	// may have claimed the lease.
	Partitioned bool
	// Token is the first token of this process's block for the group; zero when it does not
	// hold the lease.
	Token uint64
}

// Event is an input of a Replacer.
type Event interface{ event() }

// Tick passes the current view.
type Tick struct{ View View }

// UpstreamReport is the answer of an upstream to a Suspend, Poll, Demote or Resume.
type UpstreamReport struct {
	ID string
	// RequestedAt is when the command was sent.
	RequestedAt time.Time
	OK          bool
	Term        tracker.Term
	// Leads says that the upstream is the leader.
	Leads bool
	// Received is the position at which its log ends.
	Received tracker.Mark
	// SuspendedTerm is the term for which its replication is suspended; zero when it is not.
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

// Command is an action that the caller of Handle must execute.
type Command interface{ command() }

// Suspend requests that an upstream suspend replication until a leader of Term or above is
// promoted.
type Suspend struct {
	ID   string
	Term tracker.Term
}

// Demote requests that an upstream stop being the leader, if it can be reached.
type Demote struct {
	ID   string
	Term tracker.Term
}

// Poll requests the status of an upstream.
type Poll struct{ ID string }

// Resume requests that an upstream resume replication.
type Resume struct{ ID string }

// Promote sends an order to the platform.
type Promote struct{ Order Order }

// ReleaseLease releases the lease so that another process claims it: this process cannot reach
// all replicas, and another one may; or it has used up its tokens.
type ReleaseLease struct{}

// LogStep is a line for the log. The auditor matches some of the steps, so their texts stay.
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
