package retrier

import "time"

// Defaults of a policy.
const (
	DefaultAttempts = 3
	DefaultSettles  = 8
)

// Statement is what matters of a statement for repeating it.
type Statement struct {
	Read       bool // it changes nothing, so it may run any number of times
	Repeatable bool // its caller says that running it twice equals running it once
	Booking    bool // its class, which weighs two lookups
	Bound      bool // it belongs to a transaction, and so to one connection
	Named      bool // its attempts carry a request ID, so it can be settled
}

// Request is one caller's request over all its attempts. The exported fields
// are set before the first attempt; the zero value of the others is right.
type Request struct {
	Statement Statement
	Latest    time.Time // last moment at which an attempt may start and be in time; zero for none
	Deadline  time.Time // after it the caller has no use for an answer; zero for none
	Seed      uint64    // different for each request, for jitter

	sends   int  // attempts decided on after the first
	settles int  // settling steps asked for the attempt in doubt
	doubt   bool // an attempt may have run
	ran     bool // settled as done, its answer lost
	fresh   bool // the last request ID is spent
}

// Action is what the traffic side does next.
type Action uint8

// The actions.
const (
	Finish Action = iota // tell the caller the outcome now
	Send                 // send the request again
	Settle               // ask the primary what became of the last request ID
)

// Reason says why an action was chosen.
type Reason uint8

// The reasons of decisions.
const (
	Answered    Reason = iota // the attempt has an answer
	RetryRead                 // a read may run again
	RetryNotRun               // the attempt is proven not run
	RetryAnswer               // a repeatable statement ran, and its answer is wanted
	InDoubt                   // the attempt may have run
	Unnamed                   // in doubt, and there is no ID to settle it by
	Unsettled                 // in doubt, and settling did not tell in time
	Denied                    // not allowed, now or later
	BoundTx                   // statements of a transaction are not sent again
	Exhausted                 // no attempts left
	NoTime                    // no attempt can be in time
	OverBudget                // the group's retry budget is used up
	reasonCount
)

// ReasonCount is the number of reasons; a counter per reason is an array of it.
const ReasonCount = int(reasonCount)

// String returns the reason as one short phrase.
func (r Reason) String() string {
	names := [reasonCount]string{
		"answered", "read again", "not run, again", "done, answer again", "in doubt", "no request id",
		"not settled in time", "not allowed", "bound to its transaction", "attempts used up",
		"no time left", "over the retry budget",
	}
	if r >= reasonCount {
		return "unknown reason"
	}
	return names[r]
}

// Decision is the next step of a request.
type Decision struct {
	Action  Action
	Reason  Reason
	At      time.Time // when to send or settle
	Avoid   bool      // send it to another upstream than the last one
	Fresh   bool      // send it under a new request ID
	Outcome Outcome   // what the caller is told, when the action is Finish
	Last    Cause     // the cause that the last attempt ended with
}

// Settlement is the answer of a settling step.
type Settlement uint8

// The answers. SettledDone may only be passed after a replica has confirmed the
// mark that the settling step returned; until then the request is in doubt.
const (
	SettleFailed Settlement = iota // no answer, or not from a primary
	SettledDone
	SettledNotRun
)

// Policy holds the bounds of retrying. Zero fields take the defaults.
type Policy struct {
	Attempts int // attempts of one request, the first included
	Settles  int // settling steps of one attempt in doubt
	Pause    Pause
}

// Decide takes the outcome of an attempt and returns the next step.
func (p Policy) Decide(r *Request, b *Budget, o Outcome, now time.Time) Decision {
	switch o.Kind {
	case Done:
		return Decision{Action: Finish, Reason: Answered, Outcome: o, Last: o.Cause}
	case NotRun:
		return p.again(r, b, o, RetryNotRun, now)
	default:
		r.doubt = true
	}
	if r.Statement.Read {
		return p.again(r, b, o, RetryRead, now)
	}
	r.settles = 0
	return p.settle(r, o, now)
}

// Settled takes the answer of a settling step and returns the next step.
func (p Policy) Settled(r *Request, b *Budget, s Settlement, now time.Time) Decision {
	switch s {
	case SettledDone:
		r.doubt = false
		r.ran = true
		if r.Statement.Repeatable {
			return p.again(r, b, Outcome{Kind: Done, Cause: Settled}, RetryAnswer, now)
		}
		return Decision{Action: Finish, Reason: Answered, Outcome: Outcome{Kind: Done, Cause: Settled}, Last: Lost}
	case SettledNotRun:
		r.doubt = false
		r.fresh = true
		return p.again(r, b, Outcome{Kind: NotRun, Cause: Settled}, RetryNotRun, now)
	default:
		return p.settle(r, Outcome{Kind: Unknown, Cause: Lost}, now)
	}
}

// patience is how many expected service times an attempt gets at least.
const patience = 3

// Until returns when an attempt that starts now is to be taken for lost, given
// the service time expected at its upstream. A read has half of the time to its
// deadline, so that it can run once more elsewhere; a write has all of it.
//
// Less than some service times would be harmful: at an overloaded upstream each
// attempt would be given up shortly before its answer, the upstream would do the
// work for nothing, and the retry would add to it.
func Until(st Statement, now, deadline time.Time, service time.Duration) time.Time {
	left := deadline.Sub(now)
	if !st.Read || st.Bound || left <= 0 {
		return deadline
	}
	return now.Add(min(left, max(left/2, patience*service)))
}

// again sends the request once more, or gives it up.
func (p Policy) again(r *Request, b *Budget, o Outcome, why Reason, now time.Time) Decision {
	at := now.Add(p.wait(r))
	if o.Back.After(at) {
		at = o.Back
	}
	switch {
	case o.Cause == Forbidden:
		return r.giveUp(o, Denied, time.Time{})
	case o.Cause == Frozen:
		return r.giveUp(o, Denied, at)
	case o.Cause == Late:
		return r.giveUp(o, NoTime, at)
	case r.Statement.Bound:
		return r.giveUp(o, BoundTx, at)
	case r.sends+1 >= p.attempts():
		return r.giveUp(o, Exhausted, at)
	case !r.Latest.IsZero() && at.After(r.Latest):
		return r.giveUp(o, NoTime, at)
	case !b.Take(now):
		return r.giveUp(o, OverBudget, at)
	}
	r.sends++
	fresh := r.fresh || r.ran
	r.fresh = false
	avoid := o.Cause != Settled && o.Cause != Stopping
	return Decision{Action: Send, Reason: why, At: at, Avoid: avoid, Fresh: fresh, Last: o.Cause}
}

// wait returns the pause before the next attempt. The first retry of a read has
// none: it goes to another upstream, and the budget bounds how many do.
func (p Policy) wait(r *Request) time.Duration {
	if r.Statement.Read && r.sends == 0 {
		return 0
	}
	return p.Pause.After(r.sends, r.Seed)
}

// settle asks for a settling step, or ends in doubt. The first step goes at
// once; the later ones leave time for a new primary.
func (p Policy) settle(r *Request, o Outcome, now time.Time) Decision {
	if !r.Statement.Named {
		return r.giveUp(o, Unnamed, time.Time{})
	}
	at := now
	if r.settles > 0 {
		at = now.Add(p.Pause.After(r.settles-1, r.Seed))
	}
	if r.settles >= p.mostSettles() || (!r.Deadline.IsZero() && at.After(r.Deadline)) {
		return r.giveUp(o, Unsettled, time.Time{})
	}
	r.settles++
	return Decision{Action: Settle, Reason: InDoubt, At: at, Last: o.Cause}
}

// giveUp ends the request with what is known of all its attempts, not only of
// the last: a read that was lost once and then refused is unknown.
func (r *Request) giveUp(o Outcome, why Reason, back time.Time) Decision {
	end := Outcome{Kind: NotRun, Cause: o.Cause, Back: back}
	switch {
	case r.ran:
		end = Outcome{Kind: Done, Cause: Settled}
	case r.doubt:
		end = Outcome{Kind: Unknown, Cause: Lost}
		if o.Kind == Unknown {
			end.Cause = o.Cause
		}
	case why == NoTime:
		end.Cause = Late
	}
	return Decision{Action: Finish, Reason: why, Outcome: end, Last: o.Cause}
}

func (p Policy) attempts() int {
	if p.Attempts == 0 {
		return DefaultAttempts
	}
	return p.Attempts
}

func (p Policy) mostSettles() int {
	if p.Settles == 0 {
		return DefaultSettles
	}
	return p.Settles
}
