package delegator

import (
	"net/netip"
	"slices"
	"time"
)

// Bounds of offering loans.
const (
	// unreachedThreshold is how long the leader must have been unreached: some lost packets
	// and retransmissions are over by then.
	unreachedThreshold = 250 * time.Millisecond
	// maxAsks is the number of processes that are asked in one askWindow.
	maxAsks   = 4
	askWindow = time.Second
	// askTimeout is how long a process may take to answer, and grantTimeout to answer after
	// its check of the leader.
	askTimeout   = 250 * time.Millisecond
	grantTimeout = CheckTimeout + 150*time.Millisecond
	// returnInterval is the time between two requests to return a loan.
	returnInterval = 200 * time.Millisecond
	// refusedTTL is how long a process that refused is asked only after all others.
	refusedTTL = 10 * time.Second
)

// Peer is a process that can be asked.
type Peer struct {
	Name string
	// Address is where it takes statements of peers.
	Address netip.AddrPort
}

// View is what a gateway sees of a group.
type View struct {
	// Enabled is false while no loans are to be made: the feature is off, or the process is
	// leaving or no gateway of the group.
	Enabled bool
	// Leader is the upstream that leads as far as is known, and Lendable whether it is listed
	// and neither leaving nor replaced.
	Leader   string
	Lendable bool
	// Reached is whether the leader answers; UnreachedSince is when it last did.
	Reached        bool
	UnreachedSince time.Time
	// Share is how many connections this process may have there, and Open how many it has,
	// including those being opened.
	Share int
	Open  int
	// Peers are the live processes that may be asked, in the order in which to ask.
	Peers []Peer
}

// Tick is the passing of time. It should be handled about 20 times a second.
type Tick struct{ View View }

// Answered is the reply to a Send. Lost means that there was none.
type Answered struct {
	Seq   uint64
	Reply Reply
	Lost  bool
}

// Lender makes loans of one group's connections. One Lender must serve a group for the whole
// life of the process, because the numbers of its loans are used once. It is not safe for
// concurrent use.
type Lender struct {
	// Self identifies this process and its start.
	Self string

	seq     uint64
	limited string // the upstream at which the own connections are limited
	limit   int    // of the own connections there
	share   int    // out of which the loans were made
	loans   []*loan
	asks    []time.Time          // when the last processes were asked
	refused map[string]time.Time // when a process last refused
	view    View
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
}

// Substitute returns the process that has connections to the leader on loan, reaches it, and
// has answered the last message.
func (l *Lender) Substitute() (Peer, bool) {
	if c := l.current(); c != nil && c.accepted && !c.silent {
		return c.peer, true
	}
	return Peer{}, false
}

// IsIdle reports whether there is neither a loan nor a limit of own connections.
func (l *Lender) IsIdle() bool { return l.limited == "" && len(l.loans) == 0 }

// Handle handles an event, a Tick or Answered, and returns what to do.
func (l *Lender) Handle(event any, now time.Time) []Command {
	var out []Command
	out = l.expire(out, now)
	switch e := event.(type) {
	case Tick:
		l.view = e.View
		out = l.tick(out, now)
	case Answered:
		out = l.answered(out, e, now)
	}
	return out
}

// current returns the loan that is offered or in force, or nil.
func (l *Lender) current() *loan {
	for _, c := range l.loans {
		if !c.ended {
			return c
		}
	}
	return nil
}

// free returns how many connections can be lent on top of those that are.
func (l *Lender) free() int {
	return l.view.Share - max(Kept, l.view.Open) - l.lent()
}

// lent returns how many connections count as lent.
func (l *Lender) lent() int {
	n := 0
	for _, c := range l.loans {
		n += c.count
	}
	return n
}

func (l *Lender) expire(out []Command, now time.Time) []Command {
	l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool {
		if c.expiresAt.IsZero() || now.Before(c.expiresAt) {
			return false
		}
		out = append(out, c.report(Ended, "expired"))
		return true
	})
	return out
}

func (c *loan) report(kind ReportKind, cause string) Report {
	return Report{Kind: kind, Peer: c.peer.Name, Upstream: c.upstream, Count: c.count, Cause: cause}
}

// stopCause returns why no loan is to be made, or the loans that exist are to be recalled;
// empty if there is no such cause.
func (l *Lender) stopCause() string {
	v := &l.view
	switch {
	case !v.Enabled:
		return "disabled, leaving or no gateway"
	case v.Reached:
		return "leader reached"
	case !v.Lendable || v.Leader == "":
		return "no leader to lend"
	case l.limited != "" && v.Leader != l.limited:
		return "another leader"
	case l.limited != "" && v.Share != l.share:
		return "share changed"
	case v.Share <= Kept:
		return "share too small"
	default:
		return ""
	}
}

func (l *Lender) tick(out []Command, now time.Time) []Command {
	if cause := l.stopCause(); cause != "" {
		return l.stop(out, cause, now)
	}
	if l.limited == "" {
		if now.Sub(l.view.UnreachedSince) < unreachedThreshold {
			return out
		}
		l.limited, l.share = l.view.Leader, l.view.Share
	}
	if l.limit != Kept {
		return l.setLimit(out, Kept) // what is open is counted from the next tick on
	}
	out = l.resendReturns(out, now)
	if c := l.current(); c != nil {
		return l.maintain(out, c, now)
	}
	return l.ask(out, now)
}

// stop ends all loans, raises the limit of the own connections by those that are back, and
// ends it when all are.
func (l *Lender) stop(out []Command, cause string, now time.Time) []Command {
	for _, c := range l.loans {
		if !c.ended {
			c.ended, c.recalled, c.sentAt = true, true, time.Time{}
			out = append(out, c.report(Recalled, cause))
		}
		c.recalled = true
	}
	l.dropUngranted()
	out = l.resendReturns(out, now)
	if len(l.loans) == 0 && l.limited != "" {
		out = append(out, Unlimit{Upstream: l.limited})
		l.limited, l.limit, l.refused = "", 0, nil
	}
	if own := l.view.Share - l.lent(); l.limited != "" && own > l.limit {
		out = l.setLimit(out, own)
	}
	return out
}

func (l *Lender) setLimit(out []Command, n int) []Command {
	l.limit = n
	return append(out, Limit{Upstream: l.limited, Count: n})
}

// dropUngranted drops ended loans of which nothing was granted.
func (l *Lender) dropUngranted() {
	l.loans = slices.DeleteFunc(l.loans, func(c *loan) bool { return c.ended && c.expiresAt.IsZero() })
}

func (l *Lender) resendReturns(out []Command, now time.Time) []Command {
	for _, c := range l.loans {
		if c.recalled && (c.sentAt.IsZero() || now.Sub(c.sentAt) >= returnInterval) {
			c.sentAt = now
			out = append(out, Send{To: c.peer, Seq: c.seq, Return: &Return{Lender: l.Self, Seq: c.seq}, Timeout: askTimeout})
		}
	}
	return out
}

// maintain renews the current loan, and gives up one that is not answered.
func (l *Lender) maintain(out []Command, c *loan, now time.Time) []Command {
	timeout := askTimeout
	if c.granting {
		timeout = grantTimeout
	}
	unanswered := !c.sentAt.IsZero() && now.Sub(c.sentAt) >= timeout
	switch {
	case unanswered && (!c.accepted || !now.Before(c.lostAt)):
		return l.giveUp(out, c, "no answer", now)
	case unanswered, c.sentAt.IsZero() && !now.Before(c.renewAt):
		return append(out, l.sendAsk(c, now))
	default:
		return out
	}
}

// giveUp ends a loan that the borrower does not confirm.
func (l *Lender) giveUp(out []Command, c *loan, cause string, now time.Time) []Command {
	if !c.accepted {
		l.recordRefusal(c.peer, now)
		out = append(out, c.report(Refused, cause))
	} else {
		out = append(out, c.report(Recalled, cause))
	}
	c.ended, c.recalled, c.sentAt = true, true, time.Time{}
	l.dropUngranted()
	return out
}

func (l *Lender) recordRefusal(p Peer, now time.Time) {
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

// ask offers a loan to the next process.
func (l *Lender) ask(out []Command, now time.Time) []Command {
	l.asks = slices.DeleteFunc(l.asks, func(at time.Time) bool { return now.Sub(at) >= askWindow })
	if l.free() < 1 || len(l.asks) >= maxAsks {
		return out
	}
	peer, ok := l.nextPeer()
	if !ok {
		return out
	}
	l.asks = append(l.asks, now)
	l.seq++
	c := &loan{seq: l.seq, peer: peer, upstream: l.limited}
	l.loans = append(l.loans, c)
	return append(out, c.report(Offered, ""), l.sendAsk(c, now))
}

// nextPeer returns the first process that has not refused lately, or the one that refused
// first.
func (l *Lender) nextPeer() (best Peer, ok bool) {
	var refusedAt time.Time
	for _, p := range l.view.Peers {
		at, refused := l.refused[p.Name]
		if !refused {
			return p, true
		}
		if !ok || at.Before(refusedAt) {
			best, refusedAt, ok = p, at, true
		}
	}
	return best, ok
}

func (l *Lender) sendAsk(c *loan, now time.Time) Send {
	c.sentAt, c.granting = now, false
	return Send{To: c.peer, Seq: c.seq, Lend: l.lend(c, Token{}), Timeout: askTimeout}
}

func (l *Lender) lend(c *loan, echo Token) *Lend {
	return &Lend{Lender: l.Self, Seq: c.seq, Upstream: c.upstream, Count: max(1, c.count), Duration: Duration, Echo: echo}
}

// answered handles a reply. A confirmation counts only for the start of the borrower that the
// last grant was made to: one that was sent before a restart says nothing of a loan that was
// granted after it.
func (l *Lender) answered(out []Command, e Answered, now time.Time) []Command {
	i := slices.IndexFunc(l.loans, func(c *loan) bool { return c.seq == e.Seq })
	if i < 0 {
		return out
	}
	c := l.loans[i]
	c.silent = e.Lost
	if e.Lost {
		if !c.ended && !c.accepted {
			return l.giveUp(out, c, "no answer", now)
		}
		return out // sent again by the next ticks
	}
	if e.Reply.Closed && (c.expiresAt.IsZero() || e.Reply.Token.Start == c.start) {
		return l.closed(out, i, e.Reply.Refused, now)
	}
	switch {
	case c.ended:
	case e.Reply.Refused != "":
		return l.giveUp(out, c, e.Reply.Refused, now)
	case e.Reply.Granted:
		return l.granted(out, c, now)
	default:
		return append(out, l.sendGrant(c, e.Reply.Token, now))
	}
	return out
}

// closed handles a borrower's confirmation that it has no connections of a loan.
func (l *Lender) closed(out []Command, i int, cause string, now time.Time) []Command {
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

// sendGrant grants a loan. Before it is accepted it is of one connection, so that the others
// can be lent to another process where no answer arrives.
func (l *Lender) sendGrant(c *loan, token Token, now time.Time) Send {
	if c.accepted {
		c.count += max(0, l.free())
	} else {
		c.count = 1
	}
	c.sentAt, c.granting = now, true
	c.expiresAt, c.start = now.Add(Duration+Margin), token.Start
	return Send{To: c.peer, Seq: c.seq, Lend: l.lend(c, token), Timeout: grantTimeout}
}

func (l *Lender) granted(out []Command, c *loan, now time.Time) []Command {
	if !c.granting {
		return out // a late reply to an earlier grant
	}
	c.sentAt = time.Time{}
	c.lostAt = now.Add(Duration - DrainTime)
	c.renewAt = now.Add(RenewInterval)
	if c.accepted {
		return append(out, c.report(Renewed, ""))
	}
	c.accepted = true
	if l.free() > 0 {
		c.renewAt = now // with all connections
	}
	return append(out, c.report(Accepted, ""))
}
