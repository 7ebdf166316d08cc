package carrier

import (
	"time"

	"basildale.example/basildale/tracker"
)

// Verb is what a command asks of an upstream.
type Verb uint8

// The verbs. Those from Status on are the proxy's own and concern the upstream
// as a whole.
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
	// ID is that of the caller's request; empty for the proxy's own statements.
	ID   string
	Verb Verb
	// Since is a point that the upstream's log must contain, or it refuses; zero
	// asks for nothing.
	Since tracker.Mark
	// Text is the statement as its caller wrote it, for Read, Write and Commit.
	Text string
	// Name is that of a session value, or of a prepared statement.
	Name string
	// Value is a session value, the shape of a prepared statement, or the
	// arguments of an execution.
	Value string
	// Writes says of a prepared statement that it changes data.
	Writes bool
	// Term is that of Suspend and Demote.
	Term tracker.Term
}

// State is the transaction state of a connection.
type State uint8

// The states.
const (
	Idle   State = iota // no transaction
	Open                // in a transaction
	Broken              // in a transaction that has failed
)

// Code says how a statement ended when it didn't succeed.
type Code uint8

// The codes. Busy to Overloaded promise that nothing of the caller's attempt is
// kept; the others promise nothing.
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
	// Unavailable never reaches a caller: this process can't carry the statement now,
	// and says so because another one may.
	Unavailable
)

// GuaranteesNoEffect reports whether the code says that nothing is kept.
func (c Code) GuaranteesNoEffect() bool { return c >= Busy && c <= Overloaded }

// String returns the code as one short word.
func (c Code) String() string {
	names := [...]string{"ok", "busy", "aborted", "behind", "read-only", "misdirected", "overloaded", "failed", "timeout", "in doubt", "no statement", "no database", "forbidden", "too large", "malformed", "unplaced"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}

// Answer is what became of one command.
type Answer struct {
	Rows []string
	// Signature proves that an upstream ran the statement; "-" for those that
	// need no run.
	Signature string
	Code      Code
	// Text explains a code that isn't OK, for its reader.
	Text  string
	State State
	// Mark is how far the upstream's log had come; zero when unknown.
	Mark tracker.Mark
	// Waited is how long the statement waited for an upstream and a connection, Ran
	// how long the upstream took; both are zero where nothing ran.
	Waited time.Duration
	Ran    time.Duration
	// Upstream is the id of the one that answered, for the log.
	Upstream string
	// Led says that it led the group, as far as the process that asked it knew.
	Led bool
	// Report is the answer to Status, Suspend, Resume and Demote.
	Report Report
}

// Report is what an upstream says of itself, in answer to Status, Suspend, Resume
// and Demote.
type Report struct {
	Leads bool
	Term  tracker.Term
	// Received is the end of its log, also of what it hasn't applied yet.
	Received tracker.Mark
	// Held is the term for which it has stopped receiving; zero when it receives.
	Held tracker.Term
}

// Link is one connection to an upstream. It is used by one goroutine at a time,
// but for Abort.
type Link interface {
	// Exchange sends all commands in one write and returns their answers in
	// order. After an error the link can't be used again; sent tells whether any
	// byte may have reached the upstream.
	Exchange(deadline time.Time, commands ...Command) (answers []Answer, sent bool, err error)
	// Abort makes a running Exchange fail now.
	Abort()
	// Alive reports whether the link can still be used, without waiting.
	Alive() bool
	// InitialMark is the mark that the upstream stated when the link was opened.
	InitialMark() tracker.Mark
	Close() error
}
