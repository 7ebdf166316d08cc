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
	countEvery = 100 * time.Millisecond // between two Counts
	retryAfter = time.Second            // before a failed command is tried again
	returnWait = 2 * time.Second        // for the shares to be given back
)

// Process is the stop of this process. Its zero value is one that serves. It is
// not safe for concurrent use.
type Process struct {
	StopTimeout       time.Duration // from Begin to the end, whatever is left
	MaxListAge        time.Duration // the platform's list may be this old
	BalancerDelay     time.Duration // from the list saying so to the balancer knowing it
	IdleDrainDuration time.Duration // idle sessions are ended over this time

	phase    phase
	deadline time.Time // of the whole stop
	quiet    time.Time // when the listener is closed
	spread   time.Time // when the last idle session should have been ended
	count    time.Time // when the next Count is due
	announce time.Time // when the platform is told again; zero if it knows
	returned time.Time // when the wait for Returned ends
	groups   map[string]time.Time
	load     SessionCounts
	number   int // of the last Count
	proof    int // number of the first Count after the listener was closed
	summary  Summary

	out []Command
}

type phase uint8

const (
	serving   phase = iota
	lagging         // announced, still taking new callers
	draining        // the listener is closed
	returning       // no session is left
	ended
)

// Leaving reports whether the stop has begun.
func (p *Process) Leaving() bool { return p.phase != serving }

// Next returns when Handle wants a Tick, or the zero time.
func (p *Process) Next() time.Time {
	if p.phase == serving || p.phase == ended {
		return time.Time{}
	}
	next := p.deadline
	for _, t := range []time.Time{p.quiet, p.count, p.announce, p.returned} {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	for _, t := range p.groups {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	return next
}

// Handle takes an event at the time now and returns what is to be done.
func (p *Process) Handle(ev Event, now time.Time) []Command {
	p.take(ev, now)
	if p.phase != serving && p.phase != ended {
		p.advance(now)
	}
	out := p.out
	p.out = nil
	return out
}

func (p *Process) take(ev Event, now time.Time) {
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
		if ev.Number > p.load.Number {
			p.load = ev
			p.endIdle(now)
		}
	case SharesReturned:
		p.summary.Shares = ev.OK
		if p.phase == returning {
			p.exit(now, Done)
		}
	}
}

func (p *Process) begin(b Begin, now time.Time) {
	if p.phase != serving {
		// An operator's drain and the platform's list often come together;
		// only a signal after the first one means that nobody wants to wait.
		if b.Cause == Signal && p.phase != ended {
			p.exit(now, SecondSignal)
		}
		return
	}
	p.phase = lagging
	p.deadline = now.Add(cmp.Or(p.StopTimeout, DefaultStopTimeout))
	p.quiet = now.Add(cmp.Or(p.MaxListAge, DefaultMaxListAge))
	p.count, p.announce = now, now
	p.summary = Summary{Cause: b.Cause, Began: now, Unsaid: true}
	p.groups = make(map[string]time.Time, len(b.Groups))
	p.emit(AnnouncePeers{})
	for _, g := range b.Groups {
		p.groups[g] = now
	}
}

func (p *Process) emit(c Command) { p.out = append(p.out, c) }

func (p *Process) announced(ev Announced, now time.Time) {
	if !ev.OK {
		p.announce = now.Add(retryAfter)
		return
	}
	p.announce = time.Time{}
	p.summary.Unsaid = false
}

// listed ends the wait for the list early: nobody who reads it sends new callers.
func (p *Process) listed(ev Listed, now time.Time) {
	if ev.Live || p.phase != lagging {
		return
	}
	p.summary.Unsaid, p.announce = false, time.Time{}
	if settled := now.Add(cmp.Or(p.BalancerDelay, DefaultBalancerDelay)); settled.Before(p.quiet) {
		p.quiet = settled
	}
}

func (p *Process) handedOver(ev HandedOver, now time.Time) {
	if _, ok := p.groups[ev.Group]; !ok {
		return
	}
	if !ev.OK {
		p.groups[ev.Group] = now.Add(retryAfter)
		return
	}
	delete(p.groups, ev.Group)
	p.summary.Groups = append(p.summary.Groups, ev.Group+">"+ev.To)
}

// advance does what is due and moves on to the next phase.
func (p *Process) advance(now time.Time) {
	if !now.Before(p.deadline) {
		p.exit(now, Deadline)
		return
	}
	p.repeat(now)
	switch p.phase {
	case lagging:
		if !now.Before(p.quiet) {
			p.phase, p.quiet = draining, time.Time{}
			p.spread = now.Add(cmp.Or(p.IdleDrainDuration, DefaultIdleDrainDuration))
			p.count, p.proof = now, p.number+1
			p.emit(CloseListener{})
		}
	case draining:
		// Only a count made after the listener was closed proves that nobody
		// is left: a caller may have connected right before.
		if p.load.Number >= p.proof && p.load.Idle == 0 && len(p.load.Busy) == 0 && len(p.groups) == 0 {
			p.phase, p.count = returning, time.Time{}
			p.returned = now.Add(returnWait)
			p.emit(ReturnShares{})
		}
	case returning:
		if !now.Before(p.returned) {
			p.exit(now, Done)
			return
		}
	default:
	}
	if p.phase != returning && !now.Before(p.count) {
		p.count = now.Add(countEvery)
		p.number++
		p.emit(CountSessions{Number: p.number})
	}
}

// repeat sends what the platform or the deputies haven't answered yet.
func (p *Process) repeat(now time.Time) {
	if !p.announce.IsZero() && !now.Before(p.announce) {
		// The next attempt waits for the outcome, or at most this long: an
		// answer that is lost must not keep the platform untold.
		p.announce = now.Add(4 * retryAfter)
		p.emit(AnnouncePlatform{})
	}
	due := make([]string, 0, len(p.groups))
	for g, at := range p.groups {
		if !now.Before(at) {
			due = append(due, g)
		}
	}
	slices.Sort(due)
	for _, g := range due {
		p.groups[g] = now.Add(4 * retryAfter)
		p.emit(HandOver{Group: g})
	}
}

// endIdle ends as many idle sessions as keep the pace at which the last one ends
// when the spread is over.
func (p *Process) endIdle(now time.Time) {
	if p.phase != draining || p.load.Idle == 0 {
		return
	}
	steps := max(int(p.spread.Sub(now)/countEvery), 1)
	p.emit(EndIdle{Limit: (p.load.Idle + steps - 1) / steps})
}

func (p *Process) exit(now time.Time, why Reason) {
	p.phase = ended
	s := &p.summary
	s.Ended, s.Reason = now, why
	s.Finished, s.Sessions = p.load.Finished, p.load.Ended
	code := 0
	if why != Done {
		code = 1
		s.Interrupted, s.Idle = p.load.Busy, p.load.Idle
		for g := range p.groups {
			s.Kept = append(s.Kept, g)
		}
		slices.Sort(s.Kept)
	}
	p.emit(Exit{Code: code, Summary: *s})
}
