package relayer

import (
	"slices"
	"time"

	"basildale.example/basildale/retrier"
)

// The states of a session as others than its worker see it. A session whose
// worker runs is at work, whatever its last state was.
const (
	restStartup uint32 = iota // not logged in
	restBetween               // between two requests
	restWithin                // part of a request has arrived
	restOpen                  // in a transaction whose caller is silent
	restParting               // told that the proxy stops; its caller has yet to close
)

// Busy is a session that can't be ended now.
type Busy struct {
	// Process is the process ID of the session's cancel key.
	Process uint32
	// Tenant is empty before the login.
	Tenant string
	// Transaction says that it rests in an open transaction.
	Transaction bool
}

// Load is what the sessions of a relay do at one moment.
type Load struct {
	// Idle is the number of sessions between two requests or before their login.
	Idle int
	// Busy are the others, by process ID.
	Busy []Busy
	// Ended is the number of sessions that EndIdle or Drain has ended.
	Ended int
	// Finished is the number of requests done since the first call of Load.
	Finished int
}

// Load counts the sessions. A session that has been told to go counts no more.
func (r *Relay) Load() Load {
	r.once.Do(r.prepare)
	r.counting.Store(true)
	var l Load
	for _, s := range r.sessions.list() {
		rest := s.resting.Load()
		working := s.worker.Load() != workerIdle
		switch {
		case rest == restParting:
		case !working && (rest == restBetween || rest == restStartup):
			l.Idle++
		default:
			l.Busy = append(l.Busy, s.busy(!working && rest == restOpen))
		}
	}
	// After the sessions: one that was seen parting is among those ended.
	l.Ended, l.Finished = int(r.ended.Load()), int(r.finished.Load())
	slices.SortFunc(l.Busy, func(a, b Busy) int { return int(a.Process) - int(b.Process) })
	return l
}

// busy names a session. Its account and key are only written before member is.
func (s *Session) busy(transaction bool) Busy {
	if !s.member.Load() {
		return Busy{}
	}
	return Busy{Process: s.key.Process, Tenant: s.account.Tenant, Transaction: transaction}
}

// EndIdle tells up to limit sessions that are between two requests that the
// proxy stops. One in which a request has arrived meanwhile answers that first.
func (r *Relay) EndIdle(limit int) {
	r.once.Do(r.prepare)
	for _, s := range r.sessions.list() {
		if limit <= 0 {
			return
		}
		rest := s.resting.Load()
		if rest == restBetween || rest == restStartup {
			limit--
			s.leave.Store(true)
			s.wake()
		}
	}
}

// LeaveBusy tells the sessions that have a request or a transaction under way
// that the proxy stops: each ends as soon as it is between two requests.
//
// What goes wrong without it: a caller that sends its next request at once is
// hardly ever seen between two, so a stop under load waits for its deadline and
// then cuts such callers.
func (r *Relay) LeaveBusy() {
	r.once.Do(r.prepare)
	for _, s := range r.sessions.list() {
		if rest := s.resting.Load(); rest == restWithin || rest == restOpen {
			s.leave.Store(true)
		}
	}
}

// settle notes in what state the worker leaves the session.
func (s *Session) settle() {
	switch {
	case s.phase == phaseParting:
		s.resting.Store(restParting)
	case s.phase != phaseReady:
		s.resting.Store(restStartup)
	case s.between():
		s.resting.Store(restBetween)
	case s.up != nil && !s.batch && len(s.in.bytes()) == 0:
		s.resting.Store(restOpen)
	default:
		s.resting.Store(restWithin)
	}
}

// partTime bounds how long a caller may take to close its side.
const partTime = time.Second

// part tells a caller between two requests that the proxy stops, and closes this
// side only. A request that the caller sends at this moment is never read as
// one, so "not run" is true of it. Closing both sides would make the kernel
// reset the connection if such a request is on its way, which can destroy the
// message before the caller reads it: the caller would see a lost connection
// and could not tell whether its request ran.
func (s *Session) part() {
	now := time.Now()
	o := retrier.Outcome{Kind: retrier.NotRun, Back: now}
	s.writeFault(&fault{
		severity: "FATAL", code: o.SQLState(), hint: o.Hint(now),
		message: "not run: the proxy stops: connect again, to any proxy",
	})
	if s.flush() != nil {
		s.end(nil)
		return
	}
	s.caller.Flush(now.Add(flushTime))
	s.phase = phaseParting
	s.relay.ended.Add(1)
	s.until = now.Add(partTime)
	s.timer.Reset(partTime)
	if s.caller.CloseWrite() != nil {
		s.end(nil)
	}
}

// parting drops what the caller still sends, until it closes or its time is over.
func (s *Session) parting() (more bool, err error) {
	s.in.drop(len(s.in.bytes()))
	if !time.Now().Before(s.until) {
		s.end(nil)
		return false, nil
	}
	return s.read(0)
}
