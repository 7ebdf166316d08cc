package delegator

import "time"

// Situation is what a borrower knows of itself and the group when it handles an event.
type Situation struct {
	// Refusal is why the process takes no loans, for instance because the feature is off;
	// empty if it does.
	Refusal string
	// Gateway is true if the process has a share of the group's connections.
	Gateway bool
	// Reached is whether the leader answers, and Held how many connections to it this process
	// has, including those being opened. Busy is how many of them are in use.
	Reached bool
	Held    int
	Busy    int
}

// Lent and Returned are messages of a lender. Both are answered with one Respond, at once or
// after the Check that Handle returns.
type (
	// Lent is the receipt of a Lend.
	Lent struct{ Lend Lend }
	// Returned is the receipt of a Return.
	Returned struct{ Return Return }
)

// Checked is the outcome of a Check.
type Checked struct {
	Lender string
	Seq    uint64
	Leads  bool
}

// Passed is the passing of time. It should be handled about 20 times a second while there is
// a loan.
type Passed struct{}

// unreachedLimit is how long a borrower may not reach the leader before it ends its loan.
const unreachedLimit = 250 * time.Millisecond

// Borrower takes loans of one group's connections, one at a time. It is not safe for
// concurrent use.
type Borrower struct {
	// Start identifies this start of the process; no other start of it has the same.
	Start int64

	held *held
	receipts
}

// held is the loan that a borrower has.
type held struct {
	lend      Lend
	until     time.Time
	reached   bool      // the check has found the leader
	lostSince time.Time // since when the leader does not answer
	// closeBy is when the loan ends after a recall; zero without one.
	closeBy time.Time
	// cause is why the connections are being closed; empty while they are not.
	cause string
}

// IsIdle reports whether there is no loan.
func (b *Borrower) IsIdle() bool { return b.held == nil }

// Handle handles an event, one of Lent, Returned, Checked and Passed, and returns what to do.
// A loan whose time is over is closed before anything else.
func (b *Borrower) Handle(event any, s Situation, now time.Time) []Command {
	out := b.update(nil, s, now)
	switch e := event.(type) {
	case Lent:
		return b.lent(out, e.Lend, s, now)
	case Returned:
		return b.returned(out, e.Return, s, now)
	case Checked:
		return b.checked(out, e, s, now)
	default:
		return out
	}
}

// update ends a loan whose time is over, or that is of no use any more.
func (b *Borrower) update(out []Command, s Situation, now time.Time) []Command {
	b.forget(now)
	h := b.held
	if h == nil {
		return out
	}
	if s.Reached || !h.reached {
		h.lostSince = time.Time{}
	} else if h.lostSince.IsZero() {
		h.lostSince = now
	}
	if h.closeBy.IsZero() && s.Refusal != "" {
		out = b.drain(out, now)
	}
	switch {
	case h.cause != "":
	case !now.Before(h.until):
		return b.close(out, "expired", s, now)
	case s.Gateway:
		return b.close(out, "this process has become a gateway", s, now)
	case !h.lostSince.IsZero() && now.Sub(h.lostSince) >= unreachedLimit:
		return b.close(out, "leader lost", s, now)
	case !h.closeBy.IsZero() && (!now.Before(h.closeBy) || s.Busy == 0):
		return b.close(out, "returned", s, now)
	case h.reached && h.closeBy.IsZero() && !now.Before(h.until.Add(-DrainTime)):
		return append(out, h.hold(false))
	}
	return b.finish(out, s, now)
}

func (h *held) hold(serving bool) Hold {
	return Hold{Upstream: h.lend.Upstream, Count: h.lend.Count, Until: h.until, Serving: serving}
}

// drain takes no new statements, and closes when those that run have ended.
func (b *Borrower) drain(out []Command, now time.Time) []Command {
	b.held.closeBy = now.Add(ReturnTime)
	return append(out, b.held.hold(false))
}

// close closes the connections of the loan.
func (b *Borrower) close(out []Command, cause string, s Situation, now time.Time) []Command {
	b.held.cause = cause
	out = append(out, Close{Upstream: b.held.lend.Upstream})
	return b.finish(out, s, now)
}

// finish forgets a loan when its connections are closed.
func (b *Borrower) finish(out []Command, s Situation, now time.Time) []Command {
	h := b.held
	if h.cause == "" || s.Held > 0 {
		return out
	}
	b.held = nil
	b.markEnded(h.lend.Lender, h.lend.Seq, now)
	kind := Left
	if !h.reached {
		kind = Declined
	}
	return append(out, Unlimit{Upstream: h.lend.Upstream},
		Report{Kind: kind, Peer: h.lend.Lender, Upstream: h.lend.Upstream, Count: h.lend.Count, Cause: h.cause})
}

func (b *Borrower) isHeld(lender string, seq uint64) bool {
	return b.held != nil && b.held.lend.Lender == lender && b.held.lend.Seq == seq
}

func (b *Borrower) lent(out []Command, l Lend, s Situation, now time.Time) []Command {
	if b.isHeld(l.Lender, l.Seq) {
		return b.renew(out, l, now)
	}
	switch {
	case b.hasEnded(l.Lender, l.Seq):
		return b.refuse(out, b.Start, l.Lender, l.Seq, "ended", now)
	case s.Refusal != "":
		return b.refuse(out, b.Start, l.Lender, l.Seq, s.Refusal, now)
	case s.Gateway:
		return b.refuse(out, b.Start, l.Lender, l.Seq, "a gateway itself", now)
	case b.held != nil:
		return b.refuse(out, b.Start, l.Lender, l.Seq, "has another loan", now)
	case l.Count < 1:
		return b.refuse(out, b.Start, l.Lender, l.Seq, "nothing lent", now)
	}
	end, ok := until(l, b.Start, now)
	if !ok {
		return append(out, Respond{Reply{Token: token(b.Start, now)}})
	}
	b.held = &held{lend: l, until: end}
	return append(out, b.held.hold(false), Check{Upstream: l.Upstream, Lender: l.Lender, Seq: l.Seq})
}

// renew handles a Lend of the loan that this process has.
func (b *Borrower) renew(out []Command, l Lend, now time.Time) []Command {
	h := b.held
	switch {
	case h.cause != "":
		return append(out, refusal(b.Start, h.cause, false)) // still closing
	case !h.closeBy.IsZero():
		return append(out, refusal(b.Start, "being returned", false))
	case !h.reached:
		return append(out, Respond{Reply{Token: token(b.Start, now)}}) // the check is running
	}
	end, ok := until(l, b.Start, now)
	if !ok {
		return append(out, Respond{Reply{Token: token(b.Start, now)}})
	}
	if end.After(h.until) {
		h.until = end
	}
	h.lend.Count = max(h.lend.Count, l.Count)
	return append(out, h.hold(true), Respond{Reply{Token: token(b.Start, now), Granted: true}})
}

func (b *Borrower) returned(out []Command, r Return, s Situation, now time.Time) []Command {
	if !b.isHeld(r.Lender, r.Seq) {
		return b.refuse(out, b.Start, r.Lender, r.Seq, "ended", now)
	}
	if b.held.closeBy.IsZero() && b.held.cause == "" {
		out = b.drain(out, now)
		if s.Busy == 0 {
			out = b.close(out, "returned", s, now)
		}
	}
	if b.held == nil {
		return append(out, refusal(b.Start, "returned", true))
	}
	return append(out, refusal(b.Start, "being returned", false))
}

func (b *Borrower) checked(out []Command, c Checked, s Situation, now time.Time) []Command {
	if !b.isHeld(c.Lender, c.Seq) {
		return b.refuse(out, b.Start, c.Lender, c.Seq, "ended", now)
	}
	h := b.held
	switch {
	case h.cause == "" && h.closeBy.IsZero() && c.Leads:
		h.reached = true
		return append(out, h.hold(true), Respond{Reply{Token: token(b.Start, now), Granted: true}},
			Report{Kind: Received, Peer: c.Lender, Upstream: h.lend.Upstream, Count: h.lend.Count})
	case h.cause == "":
		out = b.close(out, "doesn't reach the leader", s, now)
	}
	return append(out, refusal(b.Start, "doesn't reach the leader", b.held == nil))
}

// Upstream returns the upstream of the loan; empty without one.
func (b *Borrower) Upstream() string {
	if b.held == nil {
		return ""
	}
	return b.held.lend.Upstream
}
