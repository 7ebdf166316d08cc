package leaver

import "time"

// ServeFor is how long a process that stops serves as before. Its load balancer checks it each
// second and stops sending callers after two failed checks.
const ServeFor = 2300 * time.Millisecond

const (
	// Fractions of the time that the stop has: serveFraction bounds ServeFor, rejectFraction is
	// when new work is rejected, and finishFraction when the requests in flight have to be
	// answered.
	serveFraction  = 0.46
	rejectFraction = 0.69
	finishFraction = 0.92
	// idleBatch is the number of idle sessions that one step ends, so that their callers do not
	// reconnect elsewhere all at once.
	idleBatch = 4
)

// ShutdownStepInterval is the time between two calls of Shutdown.Next.
const ShutdownStepInterval = 25 * time.Millisecond

// Shutdown decides the steps of a stop in which nothing is handed over and the load balancer
// finds out by itself. It is not safe for concurrent use.
type Shutdown struct {
	// ServeUntil is until when callers are accepted and served as before.
	ServeUntil time.Time
	// RejectFrom is from when callers are no longer accepted and work that begins is rejected:
	// it might not be finished. As long as the load balancer has no other process it goes on
	// sending callers, and without this there would always be a request in flight at the
	// deadline.
	RejectFrom time.Time
	// Deadline is when the process ends, whatever is left.
	Deadline time.Time

	listenerClosed bool
	rejects        bool
}

// NewShutdown returns the shutdown of a process that has some time from now on before it is
// killed.
func NewShutdown(now time.Time, timeout time.Duration) Shutdown {
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(timeout)) }
	return Shutdown{
		ServeUntil: now.Add(min(ServeFor, fraction(serveFraction))),
		RejectFrom: now.Add(fraction(rejectFraction)),
		Deadline:   now.Add(fraction(finishFraction)),
	}
}

// Load is what a process has left to finish.
type Load struct {
	Sessions int
	// Forwarded is the number of statements and transactions that run for peers.
	Forwarded int
}

// Next returns the commands to carry out now. The last one is Exit.
func (s *Shutdown) Next(now time.Time, left Load) []Command {
	switch {
	case now.Before(s.ServeUntil):
		return nil
	case !now.Before(s.Deadline):
		return []Command{Exit{Code: 1, Summary: Summary{Reason: Deadline}}}
	case !now.Before(s.RejectFrom) && !s.rejects:
		s.rejects, s.listenerClosed = true, true
		return []Command{CloseListener{}, RejectNew{}}
	case left != Load{}:
		return []Command{EndIdle{Limit: idleBatch}}
	case !s.listenerClosed:
		// The load is counted again: a caller may have connected right before.
		s.listenerClosed = true
		return []Command{CloseListener{}}
	default:
		return []Command{Exit{Summary: Summary{Reason: Done}}}
	}
}
