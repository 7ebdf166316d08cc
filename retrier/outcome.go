package retrier

import (
	"strconv"
	"time"
)

// Kind says what is known of a request.
type Kind uint8

// The kinds of an outcome. The zero Kind is Unknown, so an outcome that nobody
// filled in claims nothing.
const (
	Unknown Kind = iota
	NotRun
	Done
)

// String returns the kind in lower case.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}

// Cause is the reason code of an outcome, for logs, counters and explanations.
type Cause uint8

// The causes of outcomes.
const (
	NoCause     Cause = iota
	Refused           // the upstream refused it before it ran, as with too many connections
	Busy              // the queue of the upstream is full
	Late              // it can't be in time for its deadline
	Fenced            // the upstream is not primary at the term of the write
	ReadOnly          // a replica was asked to write
	NeverSent         // no byte of it was written
	Aborted           // its transaction can't commit: no COMMIT was sent and the connection is closed
	Open              // the breaker of the upstream is open
	Stopping          // the proxy or upstream stops and takes no new work
	Lost              // sent, and the connection broke or its time was over
	Unconfirmed       // it ran, but no replica confirmed its mark
	Settled           // settling told
	Forbidden         // not allowed or not supported here
	Frozen            // the preset in force refuses writes
	causeCount
)

// CauseCount is the number of causes; a counter per cause is an array of it.
const CauseCount = int(causeCount)

// String returns the cause as one short phrase.
func (c Cause) String() string {
	names := [causeCount]string{
		"none", "refused", "busy", "late", "fenced", "read only", "never sent", "aborted",
		"breaker open", "stopping", "lost", "unconfirmed", "settled", "forbidden", "frozen",
	}
	if c >= causeCount {
		return "cause " + strconv.Itoa(int(c))
	}
	return names[c]
}

// The SQLSTATEs of outcomes. StateNone stands for an answer that the caller has
// already got from the upstream.
const (
	StateNone      = ""
	StateUnknown   = "08007"
	StateComeBack  = "BD100"
	StateLate      = "BD101"
	StateForbidden = "BD102"
)

// Outcome is what is known of a request after an attempt, and why. Back is the
// time before which it is not worth coming back; zero when nobody said one.
type Outcome struct {
	Kind  Kind
	Cause Cause
	Back  time.Time
}

// SQLState returns the code that the caller is told.
func (o Outcome) SQLState() string {
	switch {
	case o.Kind == Done:
		return StateNone
	case o.Kind == Unknown:
		return StateUnknown
	case o.Cause == Forbidden:
		return StateForbidden
	case o.Cause == Late:
		return StateLate
	default:
		return StateComeBack
	}
}

// Hint returns the hint for the caller, "retry after N ms" with N rounded up,
// or an empty string when there is none to give.
func (o Outcome) Hint(now time.Time) string {
	if o.Kind != NotRun || o.Cause == Forbidden || o.Back.IsZero() {
		return ""
	}
	wait := max(o.Back.Sub(now), 0)
	ms := (wait + time.Millisecond - 1) / time.Millisecond
	return "retry after " + strconv.FormatInt(int64(ms), 10) + " ms"
}

// FromSQLState sorts an error of an upstream: ok is false when the error is the
// statement's own answer and goes to the caller as it is.
//
// Only codes that an upstream raises before a statement runs count as not run.
// A termination by the upstream's operator (57P01) can come at any moment, so
// it is Unknown.
func FromSQLState(code string) (o Outcome, ok bool) {
	switch code {
	case "BD002":
		return Outcome{Kind: NotRun, Cause: Fenced}, true
	case "25006":
		return Outcome{Kind: NotRun, Cause: ReadOnly}, true
	case "53300", "57P03":
		return Outcome{Kind: NotRun, Cause: Refused}, true
	case "57P01", "57P02", "08007", "BD003":
		// BD003: the write has not run, but its request ID was settled by somebody,
		// perhaps as done by an earlier attempt.
		return Outcome{Kind: Unknown, Cause: Lost}, true
	default:
		return Outcome{}, false
	}
}
