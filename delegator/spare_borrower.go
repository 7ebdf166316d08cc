package delegator

import (
	"slices"
	"time"
)

// SpareSituation is what a gateway, as a borrower, knows of one upstream when it handles an
// event.
type SpareSituation struct {
	// Refusal is why the process takes no loans there; empty if it does.
	Refusal string
	Basis   Basis
	// Held is how many connections this process has there, including those being opened, Busy
	// how many are in use, and Waiting how many callers wait.
	Held, Busy, Waiting int
}

// SpareBorrower takes loans of connections to one upstream from other gateways of the group.
// It is not safe for concurrent use.
type SpareBorrower struct {
	// Start identifies this start of the process; no other start of it has the same.
	Start    int64
	Upstream string

	receipts
	loans    []*received
	basis    Basis // of the loans
	own      use
	got      moves
	extended []Extra // as last commanded
}

// received is one loan that a SpareBorrower has.
type received struct {
	lend  Lend
	until time.Time
	// closeBy is when the loan ends after a recall; zero without one.
	closeBy time.Time
	// cause is why its connections are being closed; empty while they are not.
	cause string
	// isLowered is set once a command has limited the connections to what there is without the
	// loan. What is held is counted after that.
	isLowered bool
}

// IsIdle reports whether there is no loan.
func (b *SpareBorrower) IsIdle() bool { return len(b.loans) == 0 }

// Handle handles an event, one of Lent, Returned and Passed, and returns what to do. Loans
// whose time is over are closed before anything else.
func (b *SpareBorrower) Handle(event any, s SpareSituation, now time.Time) []Command {
	out := b.update(nil, s, now)
	var answer []Command
	switch e := event.(type) {
	case Lent:
		answer = b.lent(e.Lend, s, now)
	case Returned:
		answer = b.returned(e.Return, now)
	}
	return append(b.extend(out), answer...) // the reply is sent when the limit is in force
}

// update ends loans whose time is over, or that are recalled, and forgets those that are
// closed.
func (b *SpareBorrower) update(out []Command, s SpareSituation, now time.Time) []Command {
	b.forget(now)
	b.own.add(s.Busy, s.Waiting, now)
	if len(b.loans) == 0 {
		b.basis = s.Basis
	}
	for _, c := range b.loans {
		if c.closeBy.IsZero() && (s.Refusal != "" || s.Basis != b.basis) {
			c.drain(now)
		}
		switch {
		case c.cause != "":
		case !now.Before(c.until):
			c.cause = "expired"
		case !c.closeBy.IsZero() && !now.Before(c.closeBy):
			c.cause = "returned"
		}
	}
	held := s.Held - s.Basis.Share
	for _, c := range b.loans {
		held -= c.lend.Count
	}
	b.loans = slices.DeleteFunc(b.loans, func(c *received) bool {
		if !c.isLowered || c.cause == "" && c.closeBy.IsZero() || held+c.lend.Count > 0 {
			return false
		}
		held += c.lend.Count
		b.markEnded(c.lend.Lender, c.lend.Seq, now)
		cause := c.cause
		if cause == "" {
			cause = "returned"
		}
		out = append(out, Report{Kind: Left, Peer: c.lend.Lender, Upstream: b.Upstream, Count: c.lend.Count, Cause: cause})
		return true
	})
	for _, c := range b.loans {
		c.isLowered = !c.serves(now)
	}
	return out
}

// drain takes no new work on a loan.
func (c *received) drain(now time.Time) {
	if c.closeBy.IsZero() {
		c.closeBy = now.Add(ReturnTime)
	}
}

// serves reports whether new work may use the loan's connections.
func (c *received) serves(now time.Time) bool {
	return c.cause == "" && c.closeBy.IsZero() && now.Before(c.until.Add(-DrainTime))
}

// extend states the loans' connections, unless that is as before.
func (b *SpareBorrower) extend(out []Command) []Command {
	var extras []Extra
	for _, c := range b.loans {
		if c.cause == "" {
			extras = append(extras, Extra{Count: c.lend.Count, Until: c.until, Serving: !c.isLowered})
		}
	}
	if slices.Equal(extras, b.extended) {
		return out
	}
	b.extended = extras
	return append(out, Extend{Upstream: b.Upstream, Extras: slices.Clone(extras)})
}

func (b *SpareBorrower) find(lender string, seq uint64) *received {
	for _, c := range b.loans {
		if c.lend.Lender == lender && c.lend.Seq == seq {
			return c
		}
	}
	return nil
}

// limit returns how many connections this process may have.
func (b *SpareBorrower) limit(share int) int {
	for _, c := range b.loans {
		if !c.isLowered {
			share += c.lend.Count
		}
	}
	return share
}

func (b *SpareBorrower) lent(l Lend, s SpareSituation, now time.Time) []Command {
	if c := b.find(l.Lender, l.Seq); c != nil {
		return b.renew(c, l, now)
	}
	cause := ""
	switch {
	case b.hasEnded(l.Lender, l.Seq):
		cause = "ended"
	case s.Refusal != "":
		cause = s.Refusal
	case s.Basis != b.basis:
		cause = "leader, share or gateways changed"
	case l.Count < 1 || l.Count > maxMoved:
		cause = "not one or two connections"
	case !b.own.lacks(b.limit(s.Basis.Share)):
		cause = "lacks no connections"
	case b.got.left(now) < l.Count:
		cause = "has just received others"
	}
	if cause != "" {
		return b.refuse(nil, b.Start, l.Lender, l.Seq, cause, now)
	}
	end, ok := until(l, b.Start, now)
	if !ok {
		return []Command{Respond{Reply{Token: token(b.Start, now)}}}
	}
	b.got.add(l.Count, now)
	b.loans = append(b.loans, &received{lend: l, until: end})
	return []Command{
		Respond{Reply{Token: token(b.Start, now), Granted: true}},
		Report{Kind: Received, Peer: l.Lender, Upstream: b.Upstream, Count: l.Count},
	}
}

// renew handles a Lend of a loan that this process has.
func (b *SpareBorrower) renew(c *received, l Lend, now time.Time) []Command {
	if c.cause != "" || !c.closeBy.IsZero() {
		return []Command{refusal(b.Start, "being returned", false)}
	}
	end, ok := until(l, b.Start, now)
	if !ok {
		return []Command{Respond{Reply{Token: token(b.Start, now)}}}
	}
	if end.After(c.until) {
		c.until = end
	}
	c.isLowered = !c.serves(now)
	return []Command{Respond{Reply{Token: token(b.Start, now), Granted: true}}}
}

func (b *SpareBorrower) returned(r Return, now time.Time) []Command {
	c := b.find(r.Lender, r.Seq)
	if c == nil {
		return b.refuse(nil, b.Start, r.Lender, r.Seq, "returned", now)
	}
	c.drain(now)
	c.isLowered = true
	return []Command{refusal(b.Start, "being returned", false)}
}
