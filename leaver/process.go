package leaver

import (
	"cmp"
	"slices"
	"time"
)

// The defaults of Process.
const (
	DefaultStopTimeout       = 60 * time.Second
	DefaultMaxListAge        = 10 * time.Second
	DefaultBalancerDelay     = 2 * time.Second
	DefaultIdleDrainDuration = 5 * time.Second
)

const (
	countInterval       = 100 * time.Millisecond // between two CountSessions commands
	retryDelay          = time.Second            // before a failed command is repeated
	returnSharesTimeout = 2 * time.Second        // bounds the wait for the return of the shares
)

// Process is the state machine of the graceful stop of this process. Its zero value is
// a process that serves. It is not safe for concurrent use.
type Process struct {
	StopTimeout       time.Duration // from Begin to the forced end
	MaxListAge        time.Duration // how old the platform's list may be
	BalancerDelay     time.Duration // until the load balancer has read a change of the list
	IdleDrainDuration time.Duration // time over which idle sessions are ended

	phase          phase
	deadline       time.Time            // of the whole stop
	closeAt        time.Time            // when the listener is closed
	drainBy        time.Time            // when the last idle session should have been ended
	nextCount      time.Time            // when the next CountSessions is due
	announceAt     time.Time            // when the platform is notified again; zero once it knows
	returnDeadline time.Time            // when the wait for SharesReturned ends
	handOvers      map[string]time.Time // when each group is handed over again
	counts         SessionCounts        // the newest received
	countNumber    int                  // of the last CountSessions
	minCountNumber int                  // number of the first CountSessions after the listener was closed
	summary        Summary

	out []Command
}

type phase uint8

const (
	serving         phase = iota
	announcing            // announced, still accepting new callers
	draining              // the listener is closed
	returningShares       // no session is left
	ended
)

// Leaving reports whether the stop has begun.
func (p *Process) Leaving() bool { return p.phase != serving }

// Next returns when Handle needs a Tick, or the zero time.
func (p *Process) Next() time.Time {
	if p.phase == serving || p.phase == ended {
		return time.Time{}
	}
	next := p.deadline
	for _, t := range []time.Time{p.closeAt, p.nextCount, p.announceAt, p.returnDeadline} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	for _, t := range p.handOvers {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// Handle takes an event at the time now and returns the commands to carry out.
func (p *Process) Handle(ev Event, now time.Time) []Command {
	p.apply(ev, now)
	if p.phase != serving && p.phase != ended {
		p.advance(now)
	}
	out := p.out
	p.out = nil
	return out
}

func (p *Process) apply(ev Event, now time.Time) {
	if b, ok := ev.(Begin); ok {
		p.begin(b, now)
		return
	}
	if p.phase == serving || p.phase == ended {
		return
	}
	switch ev := ev.(type) {
	case Announced:
		p.announced(ev, now)
	case Listed:
		p.listed(ev, now)
	case HandedOver:
		p.handedOver(ev, now)
	case SessionCounts:
		if ev.Number > p.counts.Number {
			p.counts = ev
			p.endIdle(now)
		}
	case SharesReturned:
		p.summary.ConnectionSharesReturned = ev.OK
		if p.phase == returningShares {
			p.exit(now, Done)
		}
	}
}

func (p *Process) begin(b Begin, now time.Time) {
	if p.phase != serving {
		// An operator's drain and the platform's list often come together.
		// Only a signal after the first cause means to stop without waiting.
		if b.Cause == Signal && p.phase != ended {
			p.exit(now, SecondSignal)
		}
		return
	}
	p.phase = announcing
	p.deadline = now.Add(cmp.Or(p.StopTimeout, DefaultStopTimeout))
	p.closeAt = now.Add(cmp.Or(p.MaxListAge, DefaultMaxListAge))
	p.nextCount, p.announceAt = now, now
	p.summary = Summary{Cause: b.Cause, Began: now, PlatformNotNotified: true}
	p.handOvers = make(map[string]time.Time, len(b.Groups))
	p.emit(AnnouncePeers{})
	for _, g := range b.Groups {
		p.handOvers[g] = now
	}
}

func (p *Process) emit(c Command) { p.out = append(p.out, c) }

func (p *Process) announced(ev Announced, now time.Time) {
	if !ev.OK {
		p.announceAt = now.Add(retryDelay)
		return
	}
	p.announceAt = time.Time{}
	p.summary.PlatformNotNotified = false
}

// listed ends the wait for the list early: once the list has this process as leaving,
// whoever reads it sends no new callers.
func (p *Process) listed(ev Listed, now time.Time) {
	if ev.Live || p.phase != announcing {
		return
	}
	p.summary.PlatformNotNotified, p.announceAt = false, time.Time{}
	if closeBy := now.Add(cmp.Or(p.BalancerDelay, DefaultBalancerDelay)); closeBy.Before(p.closeAt) {
		p.closeAt = closeBy
	}
}

func (p *Process) handedOver(ev HandedOver, now time.Time) {
	if _, ok := p.handOvers[ev.Group]; !ok {
		return
	}
	if !ev.OK {
		p.handOvers[ev.Group] = now.Add(retryDelay)
		return
	}
	delete(p.handOvers, ev.Group)
	p.summary.GroupsHandedOver = append(p.summary.GroupsHandedOver, ev.Group+">"+ev.To)
}

// advance does what is due and enters the next phase when its condition holds.
func (p *Process) advance(now time.Time) {
	if !now.Before(p.deadline) {
		p.exit(now, Deadline)
		return
	}
	p.resend(now)
	switch p.phase {
	case announcing:
		if !now.Before(p.closeAt) {
			p.phase, p.closeAt = draining, time.Time{}
			p.drainBy = now.Add(cmp.Or(p.IdleDrainDuration, DefaultIdleDrainDuration))
			p.nextCount, p.minCountNumber = now, p.countNumber+1
			p.emit(CloseListener{})
		}
	case draining:
		// Only a count taken after the listener was closed proves that no session
		// is left: a caller may have connected right before.
		if p.counts.Number >= p.minCountNumber && p.counts.Idle == 0 && len(p.counts.Busy) == 0 && len(p.handOvers) == 0 {
			p.phase, p.nextCount = returningShares, time.Time{}
			p.returnDeadline = now.Add(returnSharesTimeout)
			p.emit(ReturnShares{})
		}
	case returningShares:
		if !now.Before(p.returnDeadline) {
			p.exit(now, Done)
			return
		}
	default:
	}
	if p.phase != returningShares && !now.Before(p.nextCount) {
		p.nextCount = now.Add(countInterval)
		p.countNumber++
		p.emit(CountSessions{Number: p.countNumber})
	}
}

// resend repeats the commands that the platform or the deputies have not answered yet.
func (p *Process) resend(now time.Time) {
	if !p.announceAt.IsZero() && !now.Before(p.announceAt) {
		// The next attempt waits for the outcome, but not longer than this: a
		// lost answer must not leave the platform without the announcement.
		p.announceAt = now.Add(4 * retryDelay)
		p.emit(AnnouncePlatform{})
	}
	due := make([]string, 0, len(p.handOvers))
	for g, at := range p.handOvers {
		if !now.Before(at) {
			due = append(due, g)
		}
	}
	slices.Sort(due)
	for _, g := range due {
		p.handOvers[g] = now.Add(4 * retryDelay)
		p.emit(HandOver{Group: g})
	}
}

// endIdle ends as many idle sessions as needed for the last one to end by drainBy.
func (p *Process) endIdle(now time.Time) {
	if p.phase != draining || p.counts.Idle == 0 {
		return
	}
	steps := max(int(p.drainBy.Sub(now)/countInterval), 1)
	p.emit(EndIdle{Limit: (p.counts.Idle + steps - 1) / steps})
}

func (p *Process) exit(now time.Time, reason Reason) {
	p.phase = ended
	s := &p.summary
	s.Ended, s.Reason = now, reason
	s.RequestsFinished, s.SessionsEnded = p.counts.Finished, p.counts.Ended
	code := 0
	if reason != Done {
		code = 1
		s.Interrupted, s.IdleEnded = p.counts.Busy, p.counts.Idle
		for g := range p.handOvers {
			s.GroupsNotHandedOver = append(s.GroupsNotHandedOver, g)
		}
		slices.Sort(s.GroupsNotHandedOver)
	}
	p.emit(Exit{Code: code, Summary: *s})
}
