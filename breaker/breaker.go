package breaker

import (
	"time"

	"basildale.example/basildale/retrier"
)

// State is the state of a breaker.
type State uint8

// The states.
const (
	Closed   State = iota // requests go through
	Open                  // requests are refused
	HalfOpen              // one probe is under way
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Open:
		return "open"
	case HalfOpen:
		return "half-open"
	default:
		return "closed"
	}
}

// Forced is a state set by an operator. It holds until it is cleared, whatever
// the requests say.
type Forced uint8

// The forced states.
const (
	NotForced Forced = iota
	ForcedOpen
	ForcedClosed
)

// Reason says why a breaker changed its state, or why it refuses.
type Reason uint8

// The reasons.
const (
	NoReason    Reason = iota
	InARow             // too many failures in a row
	TooMany            // too large a part of the recent requests failed
	Recovering         // its time is over, and a probe goes through
	ProbeOK            // the probe was answered
	ProbeFailed        // the probe failed
	ProbeLost          // nobody reported the probe
	PeerAndOwn         // a failure beside a peer's hint
	ByOperator         // forced, or the force cleared
	reasonCount
)

// ReasonCount is the number of reasons; a counter per reason is an array of it.
const ReasonCount = int(reasonCount)

// String returns the reason as one short phrase.
func (r Reason) String() string {
	names := [reasonCount]string{
		"none", "failures in a row", "failure rate", "recovery time over",
		"probe answered", "probe failed", "probe lost", "failure and a peer's hint", "by an operator",
	}
	if r >= reasonCount {
		return "unknown reason"
	}
	return names[r]
}

// Sample is what the outcome of a request says about its upstream.
type Sample uint8

// The samples.
const (
	Ignored Sample = iota // nothing
	Success
	Failure
)

// Judge sorts an outcome. Only what tells of an upstream that doesn't answer is
// a failure: errors of statements, refusals by term or role, and full limits are
// answers of a healthy one.
func Judge(o retrier.Outcome) Sample {
	if o.Kind == retrier.Done {
		return Success
	}
	switch o.Cause {
	case retrier.Lost, retrier.NeverSent:
		return Failure
	case retrier.Fenced, retrier.ReadOnly, retrier.Refused, retrier.Unconfirmed:
		return Success
	default:
		return Ignored
	}
}

// Defaults of a breaker.
const (
	DefaultInARow   = 5
	DefaultRate     = 0.2
	DefaultSamples  = 20
	DefaultWindow   = time.Second
	DefaultRecovery = 250 * time.Millisecond
	DefaultLongest  = 4 * time.Second
	DefaultProbe    = time.Second
)

// Breaker is the circuit breaker of one upstream at one proxy. Exported fields
// are set before the first use; zero ones take the defaults.
type Breaker struct {
	InARow   int           // failures in a row that open it; negative for never
	Rate     float64       // part of the recent requests whose failure opens it; negative for never
	Samples  int           // least recent requests for Rate to count
	Recovery time.Duration // first time that it stays open
	Longest  time.Duration // longest time that it stays open, after many failed probes

	state   State
	forced  Forced
	reason  Reason
	until   time.Time // while open: when it recovers
	probeBy time.Time // while half-open: when the probe counts as lost
	row     int
	hinted  bool // a peer's hint is counted in row
	opens   int  // in a row, without a success in between
	recent  ring
}

// Change is a change of state.
type Change struct {
	From, To State
	Reason   Reason
	At       time.Time
	Until    time.Time // when To is Open: the time at which it recovers
}

// Verdict says whether a request may be sent.
type Verdict struct {
	OK     bool
	Probe  bool      // it is the one probe; its report must say so
	Reason Reason    // when refused: why the breaker is open
	Back   time.Time // when refused: the time to come back, zero if an operator decides it
}

// State returns the current state and why it is in it.
func (b *Breaker) State() (State, Reason) {
	switch b.forced {
	case ForcedOpen:
		return Open, ByOperator
	case ForcedClosed:
		return Closed, ByOperator
	default:
		return b.state, b.reason
	}
}

// Ready reports whether Allow would let a request through. It changes nothing,
// so that a router may ask for each upstream that it could choose.
func (b *Breaker) Ready(now time.Time) bool {
	switch {
	case b.forced != NotForced:
		return b.forced == ForcedClosed
	case b.state == Open:
		return !now.Before(b.until)
	case b.state == HalfOpen:
		return !now.Before(b.probeBy)
	default:
		return true
	}
}

// Allow decides on one request. A change of state to half-open shows as Probe.
func (b *Breaker) Allow(now time.Time) Verdict {
	switch {
	case b.forced == ForcedClosed:
		return Verdict{OK: true}
	case b.forced == ForcedOpen:
		return Verdict{Reason: ByOperator}
	case b.state == Closed:
		return Verdict{OK: true}
	case b.state == HalfOpen && now.Before(b.probeBy):
		return Verdict{Reason: b.reason, Back: b.probeBy}
	case b.state == Open && now.Before(b.until):
		return Verdict{Reason: b.reason, Back: b.until}
	}
	// The time is over, or a probe was never reported. Without the second rule a
	// probe whose session died would leave the breaker half-open for good.
	b.reason = Recovering
	if b.state == HalfOpen {
		b.reason = ProbeLost
	}
	b.state = HalfOpen
	b.probeBy = now.Add(DefaultProbe)
	return Verdict{OK: true, Probe: true, Reason: b.reason}
}

// Report takes the sample of a request that Allow let through. While the breaker
// is not closed only the probe counts, and under a force nothing does.
func (b *Breaker) Report(now time.Time, probe bool, s Sample) (Change, bool) {
	switch {
	case b.forced != NotForced:
		return Change{}, false
	case b.state == HalfOpen && probe:
		return b.probed(now, s)
	case b.state != Closed || s == Ignored:
		return Change{}, false
	case s == Success:
		b.row = 0
		b.hinted = false
		b.opens = 0
		b.recent.add(now, false)
		return Change{}, false
	}
	b.row++
	b.recent.add(now, true)
	failed, total := b.recent.count(now)
	switch {
	case b.inARow() > 0 && b.row >= b.inARow():
		return b.open(now, b.rowReason()), true
	case b.rate() > 0 && total >= b.samples() && float64(failed) >= b.rate()*float64(total):
		return b.open(now, TooMany), true
	}
	return Change{}, false
}

func (b *Breaker) probed(now time.Time, s Sample) (Change, bool) {
	switch s {
	case Success:
		return b.close(now, ProbeOK), true
	case Failure:
		return b.open(now, ProbeFailed), true
	default: // the probe told nothing: the next request is the probe
		b.probeBy = now
		return Change{}, false
	}
}

// Hint takes the news that a peer's breaker of the same upstream has opened. It
// counts as all but one of the failures in a row, once until the next answer.
// So it never opens a breaker without a failure of its own: the peer may be the
// one that is cut off, and would close the upstream to everybody.
func (b *Breaker) Hint(now time.Time) (Change, bool) {
	if b.forced != NotForced || b.state != Closed || b.hinted || b.inARow() < 0 {
		return Change{}, false
	}
	b.hinted = true
	b.row += b.inARow() - 1
	if b.row < b.inARow() {
		return Change{}, false
	}
	return b.open(now, PeerAndOwn), true
}

func (b *Breaker) rowReason() Reason {
	if b.hinted {
		return PeerAndOwn
	}
	return InARow
}

// Force sets or clears an operator's state. Clearing it starts closed and with
// nothing counted.
func (b *Breaker) Force(now time.Time, f Forced) Change {
	from, _ := b.State()
	b.forced = f
	if f == NotForced {
		b.close(now, ByOperator)
	}
	to, _ := b.State()
	return Change{From: from, To: to, Reason: ByOperator, At: now}
}

// open starts a new time of being open. It is called on a change of state only,
// so that failures of requests sent earlier don't put the recovery off.
func (b *Breaker) open(now time.Time, why Reason) Change {
	from := b.state
	stay := b.recovery()
	for range b.opens {
		if stay >= b.longest() {
			break
		}
		stay *= 2
	}
	b.opens++
	b.state, b.reason = Open, why
	b.until = now.Add(min(stay, b.longest()))
	b.forget()
	return Change{From: from, To: Open, Reason: why, At: now, Until: b.until}
}

func (b *Breaker) close(now time.Time, why Reason) Change {
	from := b.state
	b.state, b.reason = Closed, why
	b.forget()
	return Change{From: from, To: Closed, Reason: why, At: now}
}

func (b *Breaker) forget() {
	b.row = 0
	b.hinted = false
	b.recent = ring{}
}

func (b *Breaker) inARow() int {
	if b.InARow == 0 {
		return DefaultInARow
	}
	return b.InARow
}

func (b *Breaker) rate() float64 {
	if b.Rate == 0 {
		return DefaultRate
	}
	return b.Rate
}

func (b *Breaker) samples() int {
	if b.Samples == 0 {
		return DefaultSamples
	}
	return b.Samples
}

func (b *Breaker) recovery() time.Duration {
	if b.Recovery == 0 {
		return DefaultRecovery
	}
	return b.Recovery
}

func (b *Breaker) longest() time.Duration {
	if b.Longest == 0 {
		return DefaultLongest
	}
	return b.Longest
}
