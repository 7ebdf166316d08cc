package leaver

import "time"

// Event is an input of a Process.
type Event interface{ event() }

// Cause says who requested the stop.
type Cause string

// The causes of a stop.
const (
	Signal   Cause = "signal"   // SIGTERM
	Drain    Cause = "drain"    // an operator's command
	Platform Cause = "platform" // the platform's list has this instance as leaving
)

// Begin starts the stop. Groups are those that this process leads. A second Begin with
// the cause Signal ends the process at once.
type Begin struct {
	Cause  Cause
	Groups []string
}

// Announced is the outcome of AnnouncePlatform.
type Announced struct{ OK bool }

// Listed is this process's state in the platform's list, as just read.
type Listed struct{ Live bool }

// HandedOver is the outcome of HandOver. If OK is false, it is tried again.
type HandedOver struct {
	Group string
	To    string
	OK    bool
}

// Session identifies a session that cannot be ended now.
type Session struct {
	ID          string
	Tenant      string
	Transaction bool // it waits for its caller inside a transaction
}

// SessionCounts is the answer to the CountSessions command with the same number.
type SessionCounts struct {
	Number   int
	Idle     int // sessions between two requests
	Busy     []Session
	Ended    int // sessions ended between two requests since Begin
	Finished int // requests finished since Begin
}

// SharesReturned is the outcome of ReturnShares.
type SharesReturned struct{ OK bool }

// Tick says that time has passed.
type Tick struct{}

func (Begin) event()          {}
func (Announced) event()      {}
func (Listed) event()         {}
func (HandedOver) event()     {}
func (SessionCounts) event()  {}
func (SharesReturned) event() {}
func (Tick) event()           {}

// Command is something that the owner of a Process has to do.
type Command interface{ command() }

// AnnouncePeers notifies the peers that this process leaves. They no longer give it
// leadership or shares. It has no outcome.
type AnnouncePeers struct{}

// AnnouncePlatform notifies the platform, by an object or its API for instances, that
// this instance leaves. Its outcome is Announced.
type AnnouncePlatform struct{}

// HandOver hands the leadership of a group to the next deputy. Its outcome is
// HandedOver.
type HandOver struct{ Group string }

// CountSessions requests SessionCounts that are taken after the command.
type CountSessions struct{ Number int }

// CloseListener stops accepting new callers.
type CloseListener struct{}

// RejectNew rejects work that begins from now on. Transactions may still be committed.
type RejectNew struct{}

// AnswerRest answers the requests in flight without waiting for their results, and ends all
// sessions, by a time.
type AnswerRest struct{ By time.Time }

// EndIdle ends up to Limit sessions that are between two requests. A session that
// receives a request in the meantime answers it first.
type EndIdle struct{ Limit int }

// ReturnShares returns the connection shares. Its outcome is SharesReturned.
type ReturnShares struct{}

// Exit ends the process with Code.
type Exit struct {
	Code    int
	Summary Summary
}

func (AnnouncePeers) command()    {}
func (AnnouncePlatform) command() {}
func (HandOver) command()         {}
func (CountSessions) command()    {}
func (CloseListener) command()    {}
func (RejectNew) command()        {}
func (AnswerRest) command()       {}
func (EndIdle) command()          {}
func (ReturnShares) command()     {}
func (Exit) command()             {}

// Summary reports how a stop went.
type Summary struct {
	Cause                    Cause
	Began                    time.Time
	Ended                    time.Time
	Reason                   Reason
	SessionsEnded            int       // between two requests
	RequestsFinished         int       // during the stop
	GroupsHandedOver         []string  // each with its new leader
	GroupsNotHandedOver      []string  // no process took them over; their leases expire
	Interrupted              []Session // ended within a request or transaction
	IdleEnded                int       // idle sessions that were ended all at once at the end
	PlatformNotNotified      bool      // the platform could not be notified
	ConnectionSharesReturned bool
}

// Reason says what ended the process.
type Reason string

// The reasons for the end of a stop.
const (
	Done         Reason = "all work done"
	Deadline     Reason = "deadline"
	SecondSignal Reason = "second signal"
)
