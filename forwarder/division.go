package forwarder

import (
	"context"
	"maps"
	"strconv"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/delegator"
)

// spareKey names an upstream of a group.
type spareKey struct{ group, upstream string }

// sparesTTL is how long spares stay that are idle and of no upstream that may be lent. The
// numbers of loans begin anew after it, when no token, message or record of an earlier loan is
// valid: these last some seconds.
const sparesTTL = time.Minute

// spares lends connections to one upstream to other gateways of its group, and borrows some.
type spares struct {
	lender   delegator.SpareLender
	borrower delegator.SpareBorrower
	neededAt time.Time // when there was last a loan, or there could have been one
}

// isIdle reports whether there is no loan.
func (s *spares) isIdle() bool { return s == nil || s.lender.IsIdle() && s.borrower.IsIdle() }

// movesSpares reports whether there are loans between gateways of a group. A process that is no
// gateway any more has them until they are returned. The caller must hold l.mu.
func (l *Loans) movesSpares(group string) bool {
	for k, s := range l.spares {
		if k.group == group && !s.isIdle() {
			return true
		}
	}
	return false
}

func (l *Loans) divides() bool { return l.Divides != nil && l.Divides() }

// spare returns the spares of an upstream. The caller must hold l.mu.
func (l *Loans) spare(k spareKey) *spares {
	if l.spares == nil {
		l.spares = map[spareKey]*spares{}
	}
	if l.spares[k] == nil {
		l.spares[k] = &spares{
			lender:   delegator.SpareLender{Self: l.Name + "/" + strconv.FormatInt(l.Start, 36), Upstream: k.upstream},
			borrower: delegator.SpareBorrower{Start: l.Start, Upstream: k.upstream},
		}
	}
	return l.spares[k]
}

// tickSpares lets time pass for the loans between gateways. The caller must hold l.mu.
func (l *Loans) tickSpares(now time.Time) {
	if l.divides() && !l.Leaving() {
		for _, g := range l.Gateways() {
			for _, id := range g.UpstreamIDs() {
				l.spare(spareKey{g.Name(), id}).neededAt = now
			}
		}
	}
	maps.DeleteFunc(l.spares, func(_ spareKey, s *spares) bool {
		if !s.isIdle() {
			s.neededAt = now
		}
		return now.Sub(s.neededAt) >= sparesTTL
	})
	lent := map[string]int{}
	for k, s := range l.spares {
		g, ok := l.Local(k.group)
		if !ok || s.isIdle() && (!l.divides() || !g.IsGateway()) {
			continue
		}
		l.executeSpare(g, k, s.borrower.Handle(delegator.Passed{}, l.spareSituation(g, k, s), now), nil)
		l.executeSpare(g, k, s.lender.Handle(delegator.SpareTick{View: l.spareView(g, k, s)}, now), nil)
		lent[k.group] += s.lender.Lent()
	}
	for group := range l.lent {
		lent[group] += 0 // stated once more, when there is none any more
	}
	for group, n := range lent {
		if l.SetLent != nil && n != l.lent[group] {
			l.SetLent(group, n)
		}
	}
	maps.DeleteFunc(lent, func(_ string, n int) bool { return n == 0 })
	l.lent = lent
}

// obstacle returns why connections to an upstream are not to be moved between gateways, with
// the others of them and what loans rest on. The caller must hold l.mu.
func (l *Loans) obstacle(k spareKey, state *carrier.DivisionState) (string, []delegator.Peer, delegator.Basis) {
	basis := delegator.Basis{Leader: state.Leader, Share: state.Share}
	others, gateways, ok := l.Division(k.group)
	basis.Gateways = gateways
	substitutes, borrower := l.lenders[k.group], l.borrowers[k.group]
	switch {
	case !l.divides():
		return "switched off", others, basis
	case l.Leaving():
		return "leaving", others, basis
	case !ok:
		return "no gateway", others, basis
	case substitutes != nil && substitutes.Upstream() == k.upstream, borrower != nil && borrower.Upstream() == k.upstream:
		return "loan to a substitute", others, basis
	default:
		return state.Obstacle, others, basis
	}
}

// spareView returns what this process sees of an upstream that it may lend connections to.
func (l *Loans) spareView(g *carrier.Group, k spareKey, s *spares) delegator.SpareView {
	state := g.DivisionState(k.upstream, true)
	obstacle, others, basis := l.obstacle(k, &state)
	v := delegator.SpareView{Obstacle: obstacle, Basis: basis, Open: state.Held, Peak: state.Peak, Waiting: state.Waiting}
	if v.Obstacle == "" && !s.borrower.IsIdle() {
		v.Obstacle = "has borrowed"
	}
	for _, p := range others {
		demand := state.Peers[p.Name]
		v.Peers = append(v.Peers, delegator.SparePeer{Peer: p, Running: demand.Running, Waiting: demand.Waiting})
	}
	return v
}

// spareSituation returns what this process, as a borrower, knows of an upstream.
func (l *Loans) spareSituation(g *carrier.Group, k spareKey, s *spares) delegator.SpareSituation {
	state := g.DivisionState(k.upstream, false)
	obstacle, _, basis := l.obstacle(k, &state)
	if obstacle == "" && !s.lender.IsIdle() {
		obstacle = "has lent connections itself"
	}
	return delegator.SpareSituation{Refusal: obstacle, Basis: basis, Held: state.Held, Busy: state.Busy, Waiting: state.Waiting}
}

// serveSpare handles a message of another gateway and returns the reply.
func (l *Loans) serveSpare(g *carrier.Group, r *request) delegator.Reply {
	var k spareKey
	var event any
	switch {
	case r.Lend != nil:
		k, event = spareKey{g.Name(), r.Lend.Upstream}, delegator.Lent{Lend: *r.Lend}
	case r.Return != nil:
		k, event = spareKey{g.Name(), r.Return.Upstream}, delegator.Returned{Return: *r.Return}
	default:
		return delegator.Unsupported()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.spares[k]
	if s == nil { // nothing is lent to this start of the process: a loan needs a recent token of it
		return delegator.Reply{Token: delegator.Token{Start: l.Start}, Refused: "no gateway", Closed: true}
	}
	var reply delegator.Reply
	for range 2 { // once more, because what is held is counted under the limit without the loan
		l.executeSpare(g, k, s.borrower.Handle(event, l.spareSituation(g, k, s), l.Now()), func(r delegator.Reply) { reply = r })
		if r.Return == nil || reply.Closed {
			break
		}
	}
	return reply
}

// executeSpare carries out commands. The caller must hold l.mu.
func (l *Loans) executeSpare(g *carrier.Group, k spareKey, commands []delegator.Command, respond func(delegator.Reply)) {
	for _, cmd := range commands {
		switch c := cmd.(type) {
		case delegator.Limit:
			g.LimitOwnConns(c.Upstream, c.Count)
		case delegator.Unlimit:
			g.UnlimitOwnConns(c.Upstream)
		case delegator.Extend:
			extras := make([]carrier.Extra, len(c.Extras))
			for i, e := range c.Extras {
				extras[i] = carrier.Extra(e)
			}
			g.ExtendConns(c.Upstream, extras)
		case delegator.Send:
			go l.sendSpare(g, k, c)
		case delegator.Respond:
			respond(c.Reply)
		case delegator.Report:
			l.reportSpare(g, &c)
		}
	}
}

// sendSpare sends a message to another gateway and passes on the reply.
func (l *Loans) sendSpare(g *carrier.Group, k spareKey, s delegator.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	reply, err := l.call(ctx, g.Name(), &s)
	answered := delegator.Answered{Seq: s.Seq, Reply: reply, Lost: err != nil}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.spares[k]; s != nil {
		l.executeSpare(g, k, s.lender.Handle(answered, l.Now()), nil)
	}
}

// reportSpare logs and counts a change of a loan between gateways.
func (l *Loans) reportSpare(g *carrier.Group, r *delegator.Report) {
	fields := []zap.Field{zap.String("group", g.Name()), zap.String("upstream", r.Upstream), zap.String("peer", r.Peer), zap.Int("connections", r.Count)}
	if r.Cause != "" {
		fields = append(fields, zap.String("cause", r.Cause))
	}
	count := func(outcome string) {
		if l.CountSpare != nil {
			l.CountSpare(outcome)
		}
	}
	switch r.Kind {
	case delegator.Offered:
		l.Log.Debug("forwarder: connections offered to a gateway", fields...)
	case delegator.Accepted:
		l.Log.Info("forwarder: connections lent to a gateway", fields...)
		count("made")
	case delegator.Refused:
		l.Log.Info("forwarder: gateway refused connections", fields...)
		count("refused")
	case delegator.Renewed:
		l.Log.Debug("forwarder: connections lent to a gateway again", fields...)
	case delegator.Recalled:
		l.Log.Info("forwarder: connections recalled from a gateway", fields...)
		count("recalled")
	case delegator.Ended:
		l.Log.Info("forwarder: lent connections back", fields...)
	case delegator.Received:
		l.Log.Info("forwarder: connections borrowed from a gateway", fields...)
	case delegator.Left:
		l.Log.Info("forwarder: borrowed connections given back", fields...)
	}
}
