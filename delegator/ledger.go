package delegator

import (
	"slices"
	"time"
)

// ledger is a lender's account of its loans, of either kind.
type ledger struct {
	seq     uint64
	loans   []*loan
	refused map[string]time.Time // when a process last refused
}

// loan is one loan until its connections count as the lender's own again.
type loan struct {
	seq      uint64
	peer     Peer
	upstream string
	// count is the largest number of connections granted so far, and expiresAt when they stop
	// counting as lent; both are zero before the first grant.
	count     int
	expiresAt time.Time
	start     int64     // of the borrower, as in the token of the last grant
	sentAt    time.Time // of the message whose reply is awaited; zero if none is
	granting  bool      // that message was a grant
	renewAt   time.Time
	// lostAt is when a loan that is not renewed counts as lost.
	lostAt   time.Time
	accepted bool
	silent   bool // the last message was not answered
	ended    bool // it is only waited for the connections
	recalled bool

	// The fields below are of loans between gateways: wanted is how many connections are to be
	// granted, welcome is set when the borrower has answered the first offer, ready when the
	// lender does not hold what is to be granted, and acceptedAt is when the loan began.
	wanted     int
	welcome    bool
	ready      bool
	acceptedAt time.Time
}

func (c *loan) report(kind ReportKind, cause string) Report {
	return Report{Kind: kind, Peer: c.peer.Name, Upstream: c.upstream, Count: max(c.count, c.wanted), Cause: cause}
}

// recall ends a loan.
func (c *loan) recall() { c.ended, c.recalled, c.sentAt = true, true, time.Time{} }

// grant returns the message that grants a loan of c.count connections.
func (c *loan) grant(o origin, t Token, now time.Time) Send {
	c.sentAt, c.granting = now, true
	c.expiresAt, c.start = now.Add(Duration+Margin), t.Start
	return Send{To: c.peer, Seq: c.seq, Lend: o.lend(c, t), Timeout: grantTimeout, Spare: o.spare}
}

// origin is what the messages of a lender state of it.
type origin struct {
	self  string
	spare bool
}

func (o origin) lend(c *loan, echo Token) *Lend {
	return &Lend{Lender: o.self, Seq: c.seq, Upstream: c.upstream, Count: max(1, c.count, c.wanted), Duration: Duration, Echo: echo}
}

func (o origin) giveBack(c *loan) *Return {
	r := &Return{Lender: o.self, Seq: c.seq}
	if o.spare {
		r.Upstream = c.upstream
	}
	return r
}

// lent returns how many connections count as lent.
func (l *ledger) lent() int {
	n := 0
	for _, c := range l.loans {
		n += c.count
	}
	return n
}

func (l *ledger) expire(out []Command, now time.Time) []Command {
	l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool {
		if c.expiresAt.IsZero() || now.Before(c.expiresAt) {
			return false
		}
		out = append(out, c.report(Ended, "expired"))
		return true
	})
	return out
}

// recallAll ends all loans.
func (l *ledger) recallAll(out []Command, cause string) []Command {
	for _, c := range l.loans {
		if !c.ended {
			c.recall()
			out = append(out, c.report(Recalled, cause))
		}
		c.recalled = true
	}
	l.dropUngranted()
	return out
}

// dropUngranted drops ended loans of which nothing was granted.
func (l *ledger) dropUngranted() {
	l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool { return c.ended && c.expiresAt.IsZero() })
}

func (l *ledger) resendReturns(out []Command, o origin, now time.Time) []Command {
	for _, c := range l.loans {
		if c.recalled && (c.sentAt.IsZero() || now.Sub(c.sentAt) >= returnInterval) {
			c.sentAt = now
			out = append(out, Send{To: c.peer, Seq: c.seq, Return: o.giveBack(c), Timeout: askTimeout, Spare: o.spare})
		}
	}
	return out
}

// maintain renews a loan, and gives up one that is not answered.
func (l *ledger) maintain(out []Command, c *loan, o origin, now time.Time) []Command {
	timeout := askTimeout
	if c.granting {
		timeout = grantTimeout
	}
	unanswered := !c.sentAt.IsZero() && now.Sub(c.sentAt) >= timeout
	switch {
	case unanswered && (!c.accepted || !now.Before(c.lostAt)):
		return l.giveUp(out, c, "no answer", now)
	case unanswered, c.sentAt.IsZero() && !now.Before(c.renewAt):
		return append(out, l.sendAsk(c, o, now))
	default:
		return out
	}
}

// giveUp ends a loan that the borrower does not confirm.
func (l *ledger) giveUp(out []Command, c *loan, cause string, now time.Time) []Command {
	if !c.accepted {
		l.recordRefusal(c.peer, now)
		out = append(out, c.report(Refused, cause))
	} else {
		out = append(out, c.report(Recalled, cause))
	}
	c.recall()
	l.dropUngranted()
	return out
}

func (l *ledger) recordRefusal(p Peer, now time.Time) {
	if l.refused == nil {
		l.refused = map[string]time.Time{}
	}
	l.refused[p.Name] = now
	for name, at := range l.refused {
		if now.Sub(at) >= refusedTTL {
			delete(l.refused, name)
		}
	}
}

func (l *ledger) sendAsk(c *loan, o origin, now time.Time) Send {
	c.sentAt, c.granting = now, false
	return Send{To: c.peer, Seq: c.seq, Lend: o.lend(c, Token{}), Timeout: askTimeout, Spare: o.spare}
}

// step is what a lender does after a reply.
type step uint8

const (
	nothing   step = iota
	grantNext      // the reply has a token to echo in a grant
	begun          // the loan was accepted
)

// answered handles a reply. A confirmation counts only for the start of the borrower that the
// last grant was made to: one that was sent before a restart says nothing of a loan that was
// granted after it.
func (l *ledger) answered(out []Command, e Answered, now time.Time) ([]Command, *loan, step) {
	i := slices.IndexFunc(l.loans, func(c *loan) bool { return c.seq == e.Seq })
	if i < 0 {
		return out, nil, nothing
	}
	c := l.loans[i]
	c.silent = e.Lost
	switch {
	case e.Lost && !c.ended && !c.accepted:
		return l.giveUp(out, c, "no answer", now), c, nothing
	case e.Lost: // sent again by the next ticks
	case e.Reply.Closed && (c.expiresAt.IsZero() || e.Reply.Token.Start == c.start):
		return l.closed(out, i, e.Reply.Refused, now), c, nothing
	case c.ended:
	case e.Reply.Refused != "":
		return l.giveUp(out, c, e.Reply.Refused, now), c, nothing
	case e.Reply.Granted:
		return l.granted(out, c, now)
	default:
		return out, c, grantNext
	}
	return out, c, nothing
}

// closed handles a borrower's confirmation that it has no connections of a loan.
func (l *ledger) closed(out []Command, i int, cause string, now time.Time) []Command {
	c := l.loans[i]
	if !c.ended && !c.accepted {
		l.recordRefusal(c.peer, now)
		out = append(out, c.report(Refused, cause))
	} else {
		if c.recalled {
			cause = "returned"
		}
		out = append(out, c.report(Ended, cause))
	}
	l.loans = slices.Delete(l.loans, i, i+1)
	return out
}

func (l *ledger) granted(out []Command, c *loan, now time.Time) ([]Command, *loan, step) {
	if !c.granting {
		return out, c, nothing // a late reply to an earlier grant
	}
	c.sentAt = time.Time{}
	c.lostAt = now.Add(Duration - DrainTime)
	c.renewAt = now.Add(RenewInterval)
	if c.accepted {
		return append(out, c.report(Renewed, "")), c, nothing
	}
	c.accepted, c.acceptedAt = true, now
	return append(out, c.report(Accepted, "")), c, begun
}
