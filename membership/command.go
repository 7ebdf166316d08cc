package membership

import (
	"net/netip"
	"time"
)

// Command is something that the owner of a View has to do.
type Command interface{ command() }

// SendPing asks for a ping to the process at To. Its answer is an Acked, its
// failure a Failed.
type SendPing struct {
	To       netip.AddrPort
	Nonce    uint64
	Deadline time.Time
	From     Member
	Digest   uint64
	Updates  []Member
}

// SendProbe asks for a request to the process at To that it ping Target. Its
// answer is a Relayed, its failure a Failed.
type SendProbe struct {
	To       netip.AddrPort
	Nonce    uint64
	Deadline time.Time
	From     Member
	Target   Member
}

// SendSync asks for a request to the process at To for one bucket of its view.
// Its answer is a Synced, its failure a Failed.
type SendSync struct {
	To       netip.AddrPort
	Nonce    uint64
	Deadline time.Time
	Bucket   int
	Buckets  int
	Digest   uint64
}

// SendAnnounce asks for an announcement to the process at To. It needs no
// answer.
type SendAnnounce struct {
	To   netip.AddrPort
	From Member
}

// AnswerPing answers the Pinged of the same ticket.
type AnswerPing struct {
	Ticket  uint64
	From    Member
	Digest  uint64
	Updates []Member
}

// AnswerProbe answers the Asked of the same ticket.
type AnswerProbe struct {
	Ticket uint64
	OK     bool
	Target Member
}

// AnswerSync answers the SyncAsked of the same ticket. Busy means that the asking
// side is to be refused, so that it turns to another process.
type AnswerSync struct {
	Ticket  uint64
	Busy    bool
	Members []Member
}

// Changed reports a change in what is believed of a member.
type Changed struct {
	Member Member
	Reason Reason
}

// Reason says why a member's state changed.
type Reason string

// The reasons of a Changed.
const (
	Joined      Reason = "joined"                    // first heard of
	Restarted   Reason = "restarted"                 // a new process at a known address
	Returned    Reason = "returned"                  // alive after it was believed dead
	Silent      Reason = "silent"                    // suspected: didn't answer us or others
	Accused     Reason = "accused"                   // suspected by another process
	Heard       Reason = "heard"                     // no longer suspected
	Expired     Reason = "silent until the deadline" // declared dead by this process
	Reported    Reason = "reported dead"             // declared dead by another process
	Stopping    Reason = "stopping"                  // announced that it stops
	Stopped     Reason = "stopped"                   // announced that it has ended
	Contradicts Reason = "contradicts"               // this process raised its own incarnation
)

func (SendPing) command()     {}
func (SendProbe) command()    {}
func (SendSync) command()     {}
func (SendAnnounce) command() {}
func (AnswerPing) command()   {}
func (AnswerProbe) command()  {}
func (AnswerSync) command()   {}
func (Changed) command()      {}
