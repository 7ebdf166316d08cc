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
	Action action `json:"action"`
	Group  string `json:"group"`
	// Stream identifies a transaction, or a statement that may be canceled, among those of
	// the sender.
	Stream   uint64 `json:"stream,omitempty"`
	ReadOnly bool   `json:"readonly,omitempty"`

	Request   string `json:"request,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// Rank is the priority plus one; zero in requests of processes that do not state it.
	Rank         int                 `json:"rank,omitempty"`
	Freshness    cataloger.Freshness `json:"freshness,omitempty"`
	MaxStaleness time.Duration       `json:"maxage,omitempty"`
	LastWrite    tracker.Mark        `json:"own,omitzero"`
	Writes       bool                `json:"writes,omitempty"`
	// Age is how long ago the operation arrived, Left the time left until its deadline.
	Age  time.Duration `json:"age,omitempty"`
	Left time.Duration `json:"left,omitempty"`
	// Objective is the time left until the operation's objective; negative after it.
	Objective time.Duration     `json:"aim,omitempty"`
	Values    []carrier.Value   `json:"values,omitempty"`
	Prepared  *carrier.Prepared `json:"prepared,omitempty"`
	Command   carrier.Command   `json:"command,omitzero"`
	// Lend and Return are the messages of loans, to substitutes or between gateways.
	Lend   *delegator.Lend   `json:"lend,omitempty"`
	Return *delegator.Return `json:"return,omitempty"`
	// Loads asks for the loads of the group's gateways.
	Loads bool `json:"loads,omitempty"`
}

// response is the answer to a request.
type response struct {
	Answer carrier.Answer `json:"answer"`
	// Refused means that nothing was tried: the peer cannot run statements of the group now.
	Refused bool `json:"refused,omitempty"`
	// LeaderFault is the fault of the group's leader as the peer sees it.
	LeaderFault gossiper.LeaderFault `json:"trouble,omitempty"`
	// Substitute is the process that reaches the leader for the peer, which does not.
	Substitute *substitute `json:"substitute,omitempty"`
	// Loan is the reply to a message about a loan.
	Loan *delegator.Reply `json:"loan,omitempty"`
	// Loads are the loads of the group's gateways, if the request asks for them.
	Loads []gatewayLoad `json:"loads,omitempty"`
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
