package conductor

import (
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/tracker"
)

// Verb is the kind of a caller's statement.
type Verb uint8

// The verbs.
const (
	Unknown Verb = iota
	Read
	Write
	Execute
	Begin
	BeginReadOnly
	Commit
	Rollback
	Set
	Prepare
	Deallocate
)

// IsSetup reports whether statements of this kind only set up the session.
func (v Verb) IsSetup() bool { return v == Set || v == Prepare || v == Deallocate }

// Statement is one statement of a caller.
type Statement struct {
	// ID identifies the request; it is passed to upstreams unchanged.
	ID   string
	Verb Verb
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of a session value or prepared statement.
	Name string
	// Value is the value of Set, the shape of Prepare, the arguments of Execute.
	Value string
	// Writes is true, for Prepare, if the statement changes data.
	Writes bool
}

// Reply is the reply to the caller.
type Reply struct {
	Rows []string
	// Signature is the upstream's proof that it ran the statement; "-" when none was needed.
	Signature string
	Code      carrier.Code
	Text      string
	State     carrier.State
	// Mark is the position of the upstream's log; zero when unknown.
	Mark tracker.Mark
}
