package delegator

import "time"

// Durations of a loan. Lender and borrower count them by their own clocks, which need not
// agree on the time but have to advance at nearly the same rate.
const (
	// Duration is how long a loan lasts after the token of its last grant was issued.
	Duration = 2 * time.Second
	// Margin is how much longer the lender counts connections as lent. It covers the interval
	// at which a borrower checks the time, and a difference of the clocks' rates.
	Margin = 500 * time.Millisecond
	// StartupDelay is how long after its start a process may have loans of an earlier start.
	StartupDelay = Duration + Margin
	// RenewInterval is the time between two renewals.
	RenewInterval = time.Second
	// DrainTime is how long before the end of its loan a borrower that was not renewed takes
	// no new statements.
	DrainTime = 500 * time.Millisecond
	// ReturnTime is how long a borrower may finish statements after a recall.
	ReturnTime = time.Second
	// CheckTimeout is how long a borrower may take to find out whether it reaches the leader.
	CheckTimeout = 250 * time.Millisecond
)

// Kept is how many connections a lender keeps: one to find out whether it reaches the leader,
// and one more because a process uses no others until StartupDelay has passed. With a single
// one, each transaction and each change of the workspace holds up all others.
const Kept = 2

// Token is a moment of a borrower's clock. The zero value is no token.
type Token struct {
	// Start identifies the start of the process that issued the token.
	Start int64 `json:"start,omitempty"`
	// At is that process's clock in nanoseconds.
	At int64 `json:"at,omitempty"`
}

// Lend offers connections to one upstream, or renews the offer. It grants them only if it has
// a valid Echo; otherwise it asks for a token.
type Lend struct {
	// Lender identifies the lender and its start, and Seq the loan among those of the lender;
	// later loans have greater numbers.
	Lender   string        `json:"lender"`
	Seq      uint64        `json:"seq"`
	Upstream string        `json:"upstream"`
	Count    int           `json:"count"`
	Duration time.Duration `json:"duration"`
	Echo     Token         `json:"echo,omitzero"`
}

// Return asks the borrower to end a loan.
type Return struct {
	Lender string `json:"lender"`
	Seq    uint64 `json:"seq"`
	// Upstream is stated for a loan between gateways.
	Upstream string `json:"upstream,omitempty"`
}

// Reply answers a Lend or a Return. A reply that neither grants nor refuses carries a token
// to echo.
type Reply struct {
	Token Token `json:"token,omitzero"`
	// Granted means that the loan is in force and that the borrower reaches the leader.
	Granted bool `json:"granted,omitempty"`
	// Refused is why there is no loan, or no longer; empty otherwise.
	Refused string `json:"refused,omitempty"`
	// Closed means that the borrower holds no connection of this loan and will open none. It
	// holds for the start of the borrower that the token states.
	Closed bool `json:"closed,omitempty"`
}

// Unsupported is the reply that stands for the answer of a process without this package.
func Unsupported() Reply { return Reply{Refused: "not supported", Closed: true} }

// A Command is an instruction of a Lender or Borrower.
type Command interface{ command() }

// Limit sets how many connections this process may have to one upstream, in place of its
// share. Lower limits apply to connections in use when they are returned.
type Limit struct {
	Upstream string
	Count    int
}

// Unlimit ends a Limit or Hold.
type Unlimit struct{ Upstream string }

// Send sends a message, a Lend or a Return, to a peer. The reply, or that there is none, comes
// back as Answered.
type Send struct {
	To      Peer
	Seq     uint64
	Lend    *Lend
	Return  *Return
	Timeout time.Duration
	// Spare is true for a loan between gateways.
	Spare bool
}

// Hold gives this process connections to an upstream until a time by its clock. No connection
// may be used or opened after it, even if no further command arrives.
type Hold struct {
	Upstream string
	Count    int
	Until    time.Time
	// Serving is false while the connections may only be used for a Check, and for what
	// already runs.
	Serving bool
}

// Close closes all connections to an upstream at once and allows no new ones.
type Close struct{ Upstream string }

// Extend adds the connections of loans to this process's share of those to an upstream, in
// place of those of the last Extend. Connections above the share and the loans stated are
// closed at once, also those in use.
type Extend struct {
	Upstream string
	Extras   []Extra
}

// Extra is the connections of one loan. No connection may be used or opened on them after
// Until, by this process's clock, even if no further command arrives. While it is not Serving,
// they are for what already runs.
type Extra struct {
	Count   int
	Until   time.Time
	Serving bool
}

// Check asks an upstream whether it leads; the answer comes back as Checked.
type Check struct {
	Upstream string
	Lender   string
	Seq      uint64
}

// Respond sends the reply to the Lend or Return that is being handled, or, after Checked, to
// the one that caused the check.
type Respond struct{ Reply Reply }

// Report is a change to log or count.
type Report struct {
	Kind     ReportKind
	Peer     string // the other side
	Upstream string
	Count    int
	Cause    string
}

// ReportKind is what a Report is about.
type ReportKind uint8

// The kinds of reports.
const (
	Offered  ReportKind = iota // by the lender: it asks a process
	Accepted                   // by the lender: the process reaches the leader
	Refused                    // by the lender: the process does not, or does not answer
	Renewed                    // by the lender
	Recalled                   // by the lender
	Ended                      // by the lender: the connections are its own again
	Received                   // by the borrower: it reaches the leader and serves
	Declined                   // by the borrower
	Left                       // by the borrower: it has ended the loan
)

func (Limit) command()   {}
func (Unlimit) command() {}
func (Send) command()    {}
func (Hold) command()    {}
func (Close) command()   {}
func (Extend) command()  {}
func (Check) command()   {}
func (Respond) command() {}
func (Report) command()  {}
