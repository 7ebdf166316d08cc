package leaver

import "time"

// Event is something that happened to a Process that stops.
type Event interface{ event() }

// Cause says who wants the process to stop.
type Cause string

// The causes of a stop.
const (
	Signal   Cause = "signal"   // SIGTERM
	Drain    Cause = "drain"    // an operator's command
	Platform Cause = "platform" // the list says that this instance leaves
)

// Begin starts the stop. Groups are those that this process leads. A second
// Begin with the cause Signal ends the process at once.
type Begin struct {
	Cause  Cause
	Groups []string
}

// Announced is the outcome of AnnouncePlatform.
type Announced struct{ OK bool }

// Listed says what the platform's list, as just read, has about this process.
type Listed struct{ Live bool }

// HandedOver is the outcome of HandOver. Without OK it is tried again.
type HandedOver struct {
	Group string
	To    string
	OK    bool
}

// Session names a session that can't be ended now.
type Session struct {
	ID          string
	Tenant      string
	Transaction bool // it waits for its caller inside a transaction
}

// SessionCounts is the answer to the Count of the same number.
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

// AnnouncePeers tells the peers that this process leaves. They give it no new
// leadership and no new shares. It needs no answer.
type AnnouncePeers struct{}

// AnnouncePlatform tells the platform, by an object or its API for instances,
// that this instance leaves. Its outcome is Announced.
type AnnouncePlatform struct{}

// HandOver gives the leadership of a group to the next deputy. Its outcome is
// HandedOver.
type HandOver struct{ Group string }

// CountSessions asks for a Load of what is true after it was asked for.
type CountSessions struct{ Number int }

// CloseListener ends the taking of new callers.
type CloseListener struct{}

// EndIdle ends up to Limit sessions that are between two requests. A session in
// which a request arrives meanwhile answers that first.
type EndIdle struct{ Limit int }

// ReturnShares gives the connection shares back. Its outcome is Returned.
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
func (EndIdle) command()          {}
func (ReturnShares) command()     {}
func (Exit) command()             {}

// Summary tells how a stop went.
type Summary struct {
	Cause       Cause
	Began       time.Time
	Ended       time.Time
	Reason      Reason
	Sessions    int       // ended between two requests
	Finished    int       // requests finished during the stop
	Groups      []string  // handed over
	Kept        []string  // groups that nobody took; their leases run out
	Interrupted []Session // ended within a request or transaction
	Idle        int       // idle sessions that were ended all at once at the end
	Unsaid      bool      // the platform couldn't be told
	Shares      bool      // the shares were given back
}

// Reason says what ended the process.
type Reason string

// The reasons for the end of a stop.
const (
	Done         Reason = "all work done"
	Deadline     Reason = "deadline"
	SecondSignal Reason = "second signal"
)
