package forwarder

import (
	"time"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// action is what a request asks a peer to do.
type action uint8

const (
	runOne action = iota + 1
	startTx
	doTx
	commitTx
	rollbackTx
	commitEmpty
	takeSample
	cancelOne
	lend
	returnLoan
	lendSpare
	returnSpare
)

// request asks a peer to run something. Times are sent as durations, since the clocks of
// two processes cannot be compared.
type request struct {
	Action action
	Group  string
	// Stream identifies a transaction, or a statement that may be canceled, among those of
	// the sender.
	Stream   uint64
	ReadOnly bool

	Request   string
	Workspace string
	// Rank is the priority plus one; zero in requests of processes that do not state it.
	Rank         int
	Freshness    cataloger.Freshness
	MaxStaleness time.Duration
	LastWrite    tracker.Mark
	Writes       bool
	// Age is how long ago the operation arrived, Left the time left until its deadline.
	Age  time.Duration
	Left time.Duration
	// Objective is the time left until the operation's objective; negative after it.
	Objective time.Duration
	Values    []carrier.Value
	Prepared  *carrier.Prepared
	Command   carrier.Command
	// Lend and Return are the messages of loans, to substitutes or between gateways.
	Lend   *delegator.Lend
	Return *delegator.Return
	// Loads asks for the loads of the group's gateways.
	Loads bool
}

// response is the answer to a request.
type response struct {
	Answer carrier.Answer
	// Refused means that nothing was tried: the peer cannot run statements of the group now.
	Refused bool
	// LeaderFault is the fault of the group's leader as the peer sees it.
	LeaderFault gossiper.LeaderFault
	// Substitute is the process that reaches the leader for the peer, which does not.
	Substitute *substitute
	// Loan is the reply to a message about a loan.
	Loan *delegator.Reply
	// Loads are the loads of the group's gateways, if the request asks for them.
	Loads []gatewayLoad
}

// newRequest returns the request for a job.
func newRequest(a action, group string, j *carrier.Job, cmd carrier.Command, now time.Time) request {
	return request{
		Action: a, Group: group, Request: j.Request, Workspace: j.Workspace, Rank: j.Priority + 1, Freshness: j.Freshness, MaxStaleness: j.MaxStaleness, LastWrite: j.LastWrite, Writes: j.Writes,
		Age: now.Sub(j.Arrived), Left: time.Until(j.Deadline), Objective: j.ObjectiveAt.Sub(now), Values: j.Values, Prepared: j.Prepared, Command: cmd,
	}
}

// priority returns the priority of a request. A request that states none counts as the least
// urgent, so that it never delays one that does.
func (r *request) priority() int {
	if r.Rank == 0 {
		return carrier.MaxPriority
	}
	return carrier.ClampPriority(r.Rank - 1)
}

// job returns the job of a request. The time in transit is not subtracted: the operation
// counts as younger than it is, which requires fresher data, never older.
func (r *request) job(now time.Time) *carrier.Job {
	return &carrier.Job{
		Request: r.Request, Workspace: r.Workspace, Priority: r.priority(), Freshness: r.Freshness, MaxStaleness: r.MaxStaleness, LastWrite: r.LastWrite, Writes: r.Writes,
		Arrived: now.Add(-r.Age), ObjectiveAt: now.Add(r.Objective), Deadline: time.Now().Add(r.Left), Values: r.Values, Prepared: r.Prepared,
	}
}
