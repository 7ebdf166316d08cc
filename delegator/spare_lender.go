package delegator

import (
	"slices"
	"time"
)

// Basis is what a loan between gateways rests on. Loans end when it changes.
type Basis struct {
	// Leader is the group's leader as far as is known.
	Leader string
	// Share is how many connections this process may have to each upstream without loans, and
	// Gateways identifies the gateways among which they are divided.
	Share    int
	Gateways uint64
}

// SpareView is what a gateway sees of one upstream of a group.
type SpareView struct {
	// Obstacle is why nothing is to be lent there; empty where there is no obstacle.
	Obstacle string
	Basis    Basis
	// Open is how many connections this process has there, including those being opened. Peak
	// is the most that were in use at a time since the last Tick, and Waiting how many callers
	// wait.
	Open, Peak, Waiting int
	// Peers are the other gateways of the group.
	Peers []SparePeer
}

// SparePeer is another gateway of the group, with what it has lately reported of the upstream.
type SparePeer struct {
	Peer
	Running, Waiting int
}

// SpareTick is the passing of time at a SpareLender. It should be handled about 20 times a
// second.
type SpareTick struct{ View SpareView }

// SpareLender makes loans of the connections of one gateway to one upstream, to other gateways
// of the group that lack them. One SpareLender must serve an upstream for the whole life of
// the process, because the numbers of its loans are used once; a new one may take its place
// when it has been idle for many times Duration. It is not safe for concurrent use.
type SpareLender struct {
	// Self identifies this process and its start, and Upstream the upstream.
	Self     string
	Upstream string

	ledger
	view     SpareView
	basis    Basis
	since    time.Time // since when the basis is what it is; zero while there is an obstacle
	limited  bool
	limit    int
	peak     peak
	own      use
	peers    map[string]*use
	lentOut  moves
	takenIn  moves
	tickedAt time.Time
}

// IsIdle reports whether there is neither a loan nor a limit of own connections.
func (l *SpareLender) IsIdle() bool { return !l.limited && len(l.loans) == 0 }

// Lent returns how many connections count as lent.
func (l *SpareLender) Lent() int { return l.lent() }

// Handle handles an event, a SpareTick or Answered, and returns what to do.
func (l *SpareLender) Handle(event any, now time.Time) []Command {
	out := l.expire(nil, now)
	switch e := event.(type) {
	case SpareTick:
		l.view = e.View
		out = l.tick(out, now)
	case Answered:
		out = l.answered(out, e, now)
	}
	return l.setLimit(out)
}

func (l *SpareLender) origin() origin { return origin{self: l.Self, spare: true} }

func (l *SpareLender) tick(out []Command, now time.Time) []Command {
	// What is held under the present limit is free for the loans that the limit allows for.
	for _, c := range l.loans {
		c.ready = c.ready || c.welcome && l.view.Open <= l.limit
	}
	if cause := l.stopCause(now); cause != "" {
		l.since, l.peak, l.own, l.peers = time.Time{}, peak{}, use{}, nil
		return l.resendReturns(l.recallAll(out, cause), l.origin(), now)
	}
	if l.since.IsZero() {
		l.since, l.basis = now, l.view.Basis
	}
	l.tickedAt = now
	l.observe(now)
	out = l.lend(l.recall(out, now), now)
	out = l.resendReturns(out, l.origin(), now)
	for _, c := range slices.Clone(l.loans) {
		if !c.ended && (c.accepted || c.ready || !c.welcome) {
			out = l.maintain(out, c, l.origin(), now)
		}
	}
	return out
}

// stopCause returns why no loan is to be made, or those that exist are to be recalled; empty if
// there is no such cause.
func (l *SpareLender) stopCause(now time.Time) string {
	v := &l.view
	switch {
	case v.Obstacle != "":
		return v.Obstacle
	case !l.since.IsZero() && v.Basis != l.basis:
		return "leader, share or gateways changed"
	case v.Basis.Share <= keptShare(v.Basis.Share):
		return "share too small"
	case !l.since.IsZero() && now.Sub(l.tickedAt) >= Duration:
		return "paused" // what peers reported, and the peak, are unknown for that time
	case l.since.IsZero() && len(l.loans) > 0:
		return "stopped" // the loans of before end first
	default:
		return ""
	}
}

// observe adds what was seen to the smoothed demands.
func (l *SpareLender) observe(now time.Time) {
	l.peak.add(l.view.Peak, now)
	l.own.add(l.view.Peak, l.view.Waiting, now)
	seen := make(map[string]*use, len(l.view.Peers))
	for _, p := range l.view.Peers {
		u := l.peers[p.Name]
		if u == nil {
			u = &use{}
		}
		u.add(p.Running, p.Waiting, now)
		seen[p.Name] = u
	}
	l.peers = seen
}

// committed returns how many connections are lent or about to be.
func (l *SpareLender) committed() int {
	n := 0
	for _, c := range l.loans {
		switch {
		case c.ended:
			n += c.count
		case c.welcome:
			n += max(c.count, c.wanted)
		}
	}
	return n
}

// setLimit keeps the limit of the own connections at what is left of the share.
func (l *SpareLender) setLimit(out []Command) []Command {
	if len(l.loans) == 0 {
		if l.limited {
			out = append(out, Unlimit{Upstream: l.Upstream})
		}
		l.limited, l.limit = false, 0
		return out
	}
	limit := max(0, l.view.Basis.Share-l.committed())
	if !l.limited || limit != l.limit {
		l.limited, l.limit = true, limit
		out = append(out, Limit{Upstream: l.Upstream, Count: limit})
	}
	return out
}

// recall ends the loans that this gateway needs back, and those that the borrower does not
// need.
func (l *SpareLender) recall(out []Command, now time.Time) []Command {
	for _, c := range slices.Clone(l.loans) {
		if c.ended {
			continue
		}
		cause, atOnce := l.recallCause(c)
		switch {
		case cause == "":
			continue
		case !atOnce && (!c.accepted || now.Sub(c.acceptedAt) < minLoanAge || l.takenIn.left(now) < c.wanted):
			continue
		case !atOnce:
			l.takenIn.add(c.wanted, now)
		}
		c.recall()
		out = append(out, c.report(Recalled, cause))
	}
	l.dropUngranted()
	return out
}

// recallCause returns why a loan is to be recalled, empty if it is not, and whether that is
// without regard to how long it has lasted.
func (l *SpareLender) recallCause(c *loan) (cause string, atOnce bool) {
	u := l.peers[c.peer.Name]
	switch {
	case l.view.Waiting > 0:
		return "own callers wait", true
	case u == nil:
		return "no gateway any more", true
	case l.own.lacks(l.view.Basis.Share - l.committed()):
		return "used here", false
	case u.hasEnough(l.limitOf(c.peer.Name) - c.wanted):
		return "not used there", false
	default:
		return "", false
	}
}

// limitOf returns how many connections a peer may have, as far as this process knows.
func (l *SpareLender) limitOf(peer string) int {
	n := l.view.Basis.Share
	for _, c := range l.loans {
		if !c.ended && c.accepted && c.peer.Name == peer {
			n += c.count
		}
	}
	return n
}

// lend offers connections to the gateway that lacks them most.
func (l *SpareLender) lend(out []Command, now time.Time) []Command {
	share := l.view.Basis.Share
	spare := share - l.offered() - max(l.peak.value(), keptShare(share))
	n := min(spare, l.lentOut.left(now))
	for n > 0 && !l.own.hasEnough(share-l.offered()-n) {
		n-- // it would be recalled soon
	}
	if n < 1 || l.view.Waiting > 0 || now.Sub(l.since) < peakWindow {
		return out
	}
	peer, ok := l.neediest(now)
	if !ok {
		return out
	}
	l.lentOut.add(n, now)
	l.seq++
	c := &loan{seq: l.seq, peer: peer, upstream: l.Upstream, wanted: n}
	l.loans = append(l.loans, c)
	return append(out, c.report(Offered, ""))
}

// offered returns how many connections are lent or offered.
func (l *SpareLender) offered() int {
	n := 0
	for _, c := range l.loans {
		if c.ended {
			n += c.count
		} else {
			n += max(c.count, c.wanted)
		}
	}
	return n
}

// neediest returns the gateway that lacks connections most, of those that have not refused
// lately and that are not being asked.
func (l *SpareLender) neediest(now time.Time) (best Peer, ok bool) {
	highest := 0.0
	for _, p := range l.view.Peers {
		u, limit := l.peers[p.Name], l.limitOf(p.Name)
		if at, refused := l.refused[p.Name]; refused && now.Sub(at) < spareRefusedTTL || !u.lacks(limit) || l.isAsking(p.Name) {
			continue
		}
		if need := u.waiting.value + u.busy.value - float64(limit); !ok || need > highest {
			best, highest, ok = p.Peer, need, true
		}
	}
	return best, ok
}

func (l *SpareLender) isAsking(peer string) bool {
	return slices.ContainsFunc(l.loans, func(c *loan) bool { return !c.ended && !c.accepted && c.peer.Name == peer })
}

func (l *SpareLender) answered(out []Command, e Answered, now time.Time) []Command {
	out, c, next := l.ledger.answered(out, e, now)
	if next != grantNext {
		return out
	}
	if !c.ready {
		c.welcome, c.sentAt = true, time.Time{} // asked again when the connections are free
		return out
	}
	c.count = c.wanted
	return append(out, c.grant(l.origin(), e.Reply.Token, now))
}
