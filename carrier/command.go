package carrier

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Verb is the kind of a command.
type Verb uint8

// The verbs. Those from Status on are sent by the proxy itself and concern the upstream as
// a whole.
const (
	Read Verb = iota + 1
	Write
	Execute
	Begin
	BeginRead
	Commit
	Rollback
	Set
	Prepare
	Reset
	Status
	Suspend
	Resume
	Demote
)

// Command is one statement for an upstream.
type Command struct {
	// ID is the id of the caller's request; empty for the proxy's own statements.
	ID   string
	Verb Verb
	// Since is a position that the upstream's log must contain, or it refuses the command;
	// zero sets no condition.
	Since tracker.Mark
	// Text is the statement as the caller wrote it, for Read, Write and Commit.
	Text string
	// Name is the name of a session value or of a prepared statement.
	Name string
	// Value is a session value, the shape of a prepared statement, or the arguments of an
	// execution.
	Value string
	// Writes is true for a prepared statement that changes data.
	Writes bool
	// Term is the term of Suspend and Demote.
	Term tracker.Term
}

// State is the transaction state of a connection.
type State uint8

// The states.
const (
	Idle                State = iota // no transaction
	InTransaction                    // in a transaction
	InFailedTransaction              // in a transaction that has failed
)

// Code is the outcome of a statement.
type Code uint8

// The codes. Busy to Overloaded guarantee that nothing of the caller's attempt is kept; the
// others guarantee nothing.
const (
	OK Code = iota
	Busy
	Aborted
	Lagging
	ReadOnly
	Misdirected
	Overloaded
	Failed
	Timeout
	InDoubt
	NoStatement
	NoDatabase
	Forbidden
	TooLarge
	Malformed
	// Unavailable never reaches a caller: this process cannot run the statement now, and
	// answers so because another process may.
	Unavailable
)

// GuaranteesNoEffect reports whether the code guarantees that nothing of the attempt is
// kept.
func (c Code) GuaranteesNoEffect() bool { return c >= Busy && c <= Overloaded }

// String returns the code as one short word.
func (c Code) String() string {
	names := [...]string{"ok", "busy", "aborted", "behind", "read-only", "misdirected", "overloaded", "failed", "timeout", "in doubt", "no statement", "no database", "forbidden", "too large", "malformed", "unplaced"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Answer is the outcome of one command.
type Answer struct {
	Rows []string
	// Signature proves that an upstream ran the statement; "-" for statements that are not
	// run.
	Signature string
	Code      Code
	// Text explains a code other than OK to a person.
	Text  string
	State State
	// Mark is the end of the upstream's log; zero when unknown.
	Mark tracker.Mark
	// Waited is how long the statement waited for an upstream and a connection, Ran how
	// long the upstream took; both are zero where nothing ran.
	Waited time.Duration
	Ran    time.Duration
	// Upstream is the id of the upstream that answered, and Connection the number of the
	// connection to it among those of the gateway, for the log; zero where none was used.
	Upstream   string
	Connection uint64 `json:",omitempty"`
	// Led reports whether that upstream led the group, as far as the process that used it
	// knew.
	Led bool
	// Queued is how long the statement waited in an upstream's admission queue, and Place
	// how many statements of the same workspace were ahead of it when it was refused there.
	Queued time.Duration `json:",omitempty"`
	Place  int           `json:",omitempty"`
	// Gateway is the name of the process that ran or refused a forwarded statement; empty
	// for statements that were not forwarded.
	Gateway string `json:",omitempty"`
	// Report is the answer to Status, Suspend, Resume and Demote.
	Report Report
	// Doubtful is set by a Link on an error, or on the answer to a Begin, that may be a repeat
	// of an earlier one. It shows nothing about the command or the upstream. Those who use
	// the link decide by it; it does not travel between processes.
	Doubtful bool `json:"-"`
}

// Report is the state that an upstream reports in answer to Status, Suspend, Resume and
// Demote.
type Report struct {
	Leads bool
	Term  tracker.Term
	// Received is the end of the upstream's log, including what it has not applied yet.
	Received tracker.Mark
	// Held is the term for which its replication is suspended; zero while it receives.
	Held tracker.Term
}

// Link is one connection to an upstream. All methods but Abort and Close must be called by
// one goroutine at a time.
type Link interface {
	// Exchange sends all commands in one write and returns their answers in order. After an
	// error other than ErrTooLong the link cannot be used again; sent reports whether any
	// byte may have reached the upstream. Once a report was requested and not refused, the
	// link fails with ErrReported at the next request: the earlier report could be taken for
	// the later one.
	Exchange(deadline time.Time, commands ...Command) (answers []Answer, sent bool, err error)
	// Abort makes a running Exchange fail at once.
	Abort()
	// Alive reports, without blocking, whether the link can still be used.
	Alive() bool
	// InitialMark is the position that the upstream stated when the link was opened.
	InitialMark() tracker.Mark
	Close() error
}
