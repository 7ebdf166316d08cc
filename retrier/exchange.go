package retrier

// Match says whom an answer belongs to.
type Match uint8

// The matches. Only a Whole answer goes to a caller.
const (
	Whole   Match = iota
	Overdue       // its request was given up before
	Crossed       // it was asked for by nobody on this connection
	Doubled       // its request has been answered before
)

// String returns the match in lower case.
func (m Match) String() string {
	switch m {
	case Whole:
		return "whole"
	case Overdue:
		return "late"
	case Doubled:
		return "doubled"
	default:
		return "crossed"
	}
}

// Exchange follows the requests of one connection, one at a time, and sorts the
// answers that arrive on it. Each request has an ID that is never used again.
//
// A PostgreSQL answer carries no ID of its request. If a connection were used
// again after its caller stopped waiting, the late answer would be read as the
// answer to the next request: that caller would see another one's rows. So the
// first give-up, and the first answer that doesn't fit, break the exchange.
// The zero Exchange is ready for use.
type Exchange struct {
	last    uint64 // ID of the last request sent
	pending bool   // it is waiting for its answer
	gaveUp  bool   // its caller stopped waiting
	broken  bool
}

// Send opens the next request and returns its ID. It returns zero, and nothing
// may be sent, while a request is pending or once the exchange is broken.
func (e *Exchange) Send() uint64 {
	if e.pending || e.broken {
		return 0
	}
	e.last++
	e.pending = true
	return e.last
}

// GiveUp ends the wait for request id. Its answer will be Overdue.
func (e *Exchange) GiveUp(id uint64) {
	if !e.pending || id != e.last {
		return
	}
	e.pending = false
	e.gaveUp = true
	e.broken = true
}

// Answer takes the end of an answer to request id.
func (e *Exchange) Answer(id uint64) Match {
	if e.pending && id == e.last && !e.broken {
		e.pending = false
		return Whole
	}
	e.broken = true
	switch {
	case id == 0 || id > e.last:
		return Crossed
	case id == e.last && e.gaveUp:
		return Overdue
	case id == e.last && e.pending:
		return Crossed
	default:
		return Doubled
	}
}

// Usable reports whether another request may be sent on the connection, now or
// after the pending one.
func (e *Exchange) Usable() bool { return !e.broken }
