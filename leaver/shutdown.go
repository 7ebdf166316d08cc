package leaver

import "time"

const (
	// serveFor is how long a process that stops serves as before. Its load balancer checks it
	// each second and stops sending callers after two failed checks.
	serveFor = 2300 * time.Millisecond
	// Fractions of the time that the stop has: serveFraction bounds serveFor, rejectFraction is
	// when new work is rejected, deadlineFraction until when results are awaited, and endFraction
	// when the last answers have been sent.
	serveFraction    = 0.46
	rejectFraction   = 0.69
	deadlineFraction = 0.92
	endFraction      = 0.97
	// minIdleBatch is the least number of idle sessions that one step may end.
	minIdleBatch = 4
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
	// Deadline is until when the results of requests in flight are awaited, and EndBy when the
	// process ends, whatever is left.
	Deadline, EndBy time.Time

	listenerClosed bool
	rejects        bool
}

// NewShutdown returns the shutdown of a process that has some time from now on before it is
// killed.
func NewShutdown(now time.Time, timeout time.Duration) Shutdown {
	fraction := func(f float64) time.Duration { return time.Duration(f * float64(timeout)) }
	return Shutdown{
		ServeUntil: now.Add(min(serveFor, fraction(serveFraction))),
		RejectFrom: now.Add(fraction(rejectFraction)),
		Deadline:   now.Add(fraction(deadlineFraction)),
		EndBy:      now.Add(fraction(endFraction)),
	}
}

// Load is what a process has left to finish.
type Load struct {
	Sessions int
	// Forwarded is the number of peers' requests that have no answer yet and of transactions that
	// are open for peers.
	Forwarded int
}

// Next returns the commands to carry out now. The last one is Exit.
func (s *Shutdown) Next(now time.Time, left Load) []Command {
	switch {
	case now.Before(s.ServeUntil):
		return nil
	case !now.Before(s.Deadline):
		return []Command{AnswerRest{By: s.EndBy}, Exit{Code: 1, Summary: Summary{Reason: Deadline}}}
	case !now.Before(s.RejectFrom) && !s.rejects:
		s.rejects, s.listenerClosed = true, true
		return []Command{CloseListener{}, RejectNew{}}
	case left != Load{}:
		return []Command{EndIdle{Limit: s.idleBatch(now, left.Sessions)}}
	case !s.listenerClosed:
		// The load is counted again: a caller may have connected right before.
		s.listenerClosed = true
		return []Command{CloseListener{}}
	default:
		return []Command{Exit{Summary: Summary{Reason: Done}}}
	}
}

// idleBatch returns how many idle sessions to end now. They are ended at an even pace, so that
// their callers do not all reconnect elsewhere at once, and all of them by RejectFrom.
func (s *Shutdown) idleBatch(now time.Time, sessions int) int {
	steps := max(int(s.RejectFrom.Sub(now)/ShutdownStepInterval), 1)
	return max(minIdleBatch, (sessions+steps-1)/steps)
}
