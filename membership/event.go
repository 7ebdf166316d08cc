package membership

import "net/netip"

// Event is something that happened to a View.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Instance is one entry of the platform's list that is a proxy.
type Instance struct {
	Addr    netip.AddrPort
	Zone    string
	Leaving bool
}

// Listed is the platform's list as it was read now. The View keeps the slice, so
// it must not be changed afterwards.
type Listed struct{ Instances []Instance }

// Pinged is a ping of another process. It is answered by an AnswerPing of the
// same ticket.
type Pinged struct {
	Ticket  uint64
	From    Member
	Digest  uint64
	Updates []Member
}

// Acked is the answer to the SendPing of the same nonce.
type Acked struct {
	Nonce   uint64
	From    Member
	Digest  uint64
	Updates []Member
}

// Failed says that the command of the same nonce will get no answer, for
// instance because nobody listens there.
type Failed struct{ Nonce uint64 }

// Asked is another process's request to ping Target for it. It is answered by an
// AnswerProbe of the same ticket.
type Asked struct {
	Ticket uint64
	From   Member
	Target Member
}

// Relayed is the answer to the SendProbe of the same nonce.
type Relayed struct {
	Nonce  uint64
	OK     bool
	Target Member // what the target said of itself
}

// SyncAsked is another process's request for one bucket of this view. It is
// answered by an AnswerSync of the same ticket.
type SyncAsked struct {
	Ticket  uint64
	Bucket  int
	Buckets int
	Digest  uint64
}

// Synced is the answer to the SendSync of the same nonce.
type Synced struct {
	Nonce   uint64
	Members []Member
}

// Announced is what another process says of itself when it begins to stop and
// when it ends.
type Announced struct{ From Member }

// Leave says that this process begins to stop: it tells the others and goes on.
type Leave struct{}

// Stop says that this process ends now: it tells the others that it is gone.
type Stop struct{}

func (Tick) event()      {}
func (Listed) event()    {}
func (Pinged) event()    {}
func (Acked) event()     {}
func (Failed) event()    {}
func (Asked) event()     {}
func (Relayed) event()   {}
func (SyncAsked) event() {}
func (Synced) event()    {}
func (Announced) event() {}
func (Leave) event()     {}
func (Stop) event()      {}
