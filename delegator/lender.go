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

	ledger
	limited string      // the upstream at which the own connections are limited
	limit   int         // of the own connections there
	share   int         // out of which the loans were made
	asks    []time.Time // when the last processes were asked
	view    View
}

// Substitute returns the process that has connections to the leader on loan, reaches it, and
// has answered the last message.
func (l *Lender) Substitute() (Peer, bool) {
	if c := l.current(); c != nil && c.accepted && !c.silent {
		return c.peer, true
	}
	return Peer{}, false
}

// Upstream returns the upstream at which the own connections are limited; empty where none is.
func (l *Lender) Upstream() string { return l.limited }

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
	out = l.resendReturns(out, l.origin(), now)
	if c := l.current(); c != nil {
		return l.maintain(out, c, l.origin(), now)
	}
	return l.ask(out, now)
}

// stop ends all loans, raises the limit of the own connections by those that are back, and
// ends it when all are.
func (l *Lender) stop(out []Command, cause string, now time.Time) []Command {
	out = l.resendReturns(l.recallAll(out, cause), l.origin(), now)
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
	return append(out, c.report(Offered, ""), l.sendAsk(c, l.origin(), now))
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

func (l *Lender) origin() origin { return origin{self: l.Self} }

func (l *Lender) answered(out []Command, e Answered, now time.Time) []Command {
	out, c, next := l.ledger.answered(out, e, now)
	switch next {
	case grantNext:
		return append(out, l.sendGrant(c, e.Reply.Token, now))
	case begun:
		if l.free() > 0 {
			c.renewAt = now // with all connections
		}
	}
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
	return c.grant(l.origin(), token, now)
}
