package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/delegator"
)

// Loans makes and takes the loans of this process: it executes what package delegator
// decides. Set the exported fields before the first use. It is safe for concurrent use.
type Loans struct {
	// Name is this process's name, and Start identifies this start of it.
	Name  string
	Start int64
	// Gateways returns the groups that this process is a gateway of, and Local one group.
	Gateways func() []*carrier.Group
	Local    func(name string) (*carrier.Group, bool)
	// Enabled reports whether loans are made and taken, and Leaving whether this process is
	// shutting down.
	Enabled func() bool
	Leaving func() bool
	// Peers returns the live processes that are no gateways of a group, in the order in which
	// this process asks them.
	Peers func(group string) []delegator.Peer
	// Send sends a payload to a process, as that of Forwarder does.
	Send func(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error)
	// Divides, when set, reports whether gateways of a group lend connections to each other,
	// and Division returns the other gateways of a group that divide its connections with
	// this one, and what identifies all of them; false where this process is none of them.
	Divides  func() bool
	Division func(group string) (others []delegator.Peer, gateways uint64, ok bool)
	// CountSpare, when set, counts loans between gateways by what became of them, and SetLent
	// states how many connections of a group are lent.
	CountSpare func(outcome string)
	SetLent    func(group string, connections int)
	// CountRefused, when set, counts a process that refused a loan.
	CountRefused func()
	// Now is the clock of package carrier.
	Now func() time.Time
	Log *zap.Logger

	mu sync.Mutex
	// lenders and borrowers are by group. Those that are idle stay: a lender's loans are told
	// apart by numbers that must not be used again.
	lenders   map[string]*delegator.Lender
	borrowers map[string]*delegator.Borrower
	spares    map[spareKey]*spares
	lent      map[string]int // connections lent to gateways, by group, as last stated
}

// Tick lets time pass. It should be called about 20 times a second.
func (l *Loans) Tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	if l.Enabled() && !l.Leaving() {
		for _, g := range l.Gateways() {
			l.lender(g.Name())
		}
	}
	l.tickSpares(now)
	for name, lender := range l.lenders {
		g, ok := l.Local(name)
		if !ok || lender.IsIdle() && (!l.Enabled() || !g.IsGateway()) {
			continue
		}
		commands := lender.Handle(delegator.Tick{View: l.view(g)}, now)
		l.execute(g, commands, nil)
		if len(commands) > 0 { // what is lent depends on what is open under a new limit
			l.execute(g, lender.Handle(delegator.Tick{View: l.view(g)}, now), nil)
		}
	}
	for name, borrower := range l.borrowers {
		if g, ok := l.Local(name); ok && !borrower.IsIdle() {
			l.execute(g, borrower.Handle(delegator.Passed{}, l.situation(g, borrower.Upstream()), now), nil)
		}
	}
}

// lender returns the lender of a group. The caller must hold l.mu.
func (l *Loans) lender(group string) *delegator.Lender {
	if l.lenders == nil {
		l.lenders = map[string]*delegator.Lender{}
	}
	if l.lenders[group] == nil {
		l.lenders[group] = &delegator.Lender{Self: l.Name + "/" + strconv.FormatInt(l.Start, 36)}
	}
	return l.lenders[group]
}

// view returns what this process sees of a group that it lends connections of.
func (l *Loans) view(g *carrier.Group) delegator.View {
	c := g.LeaderContact()
	borrower := l.borrowers[g.Name()]
	isBorrowing := borrower != nil && !borrower.IsIdle() || !l.spares[spareKey{g.Name(), c.Upstream}].isIdle()
	v := delegator.View{
		Enabled: l.Enabled() && !l.Leaving() && g.IsGateway() && !isBorrowing, Leader: c.Upstream, Lendable: c.Current,
		Reached: c.Answers, UnreachedSince: c.AnsweredAt, Share: c.Share, Open: c.Open,
	}
	if v.Enabled && v.Lendable && !v.Reached {
		v.Peers = l.Peers(g.Name())
	}
	return v
}

// situation returns what this process, as a borrower, knows of a group.
func (l *Loans) situation(g *carrier.Group, upstream string) delegator.Situation {
	c := g.LeaderContact()
	s := delegator.Situation{Gateway: g.IsGateway(), Reached: c.Answers && c.Upstream == upstream}
	s.Held, s.Busy = g.BorrowedConns(upstream)
	switch {
	case !l.Enabled():
		s.Refusal = "switched off"
	case l.Leaving():
		s.Refusal = "leaving"
	case l.lenders[g.Name()] != nil && !l.lenders[g.Name()].IsIdle():
		s.Refusal = "has lent connections itself"
	case l.movesSpares(g.Name()):
		s.Refusal = "loans between gateways haven't ended"
	}
	return s
}

// Substitute returns the process that stands in for this one at the leader of a group.
func (l *Loans) Substitute(group string) (delegator.Peer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if lender := l.lenders[group]; lender != nil {
		return lender.Substitute()
	}
	return delegator.Peer{}, false
}

// InUse returns the number of groups for which a process stands in for this one.
func (l *Loans) InUse() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int64
	for _, lender := range l.lenders {
		if _, ok := lender.Substitute(); ok {
			n++
		}
	}
	return n
}

// serve handles a message of a lender and returns the reply.
func (l *Loans) serve(r *request) delegator.Reply {
	g, ok := l.Local(r.Group)
	if !ok {
		return delegator.Reply{Refused: "group unknown", Closed: true}
	}
	if r.Action == lendSpare || r.Action == returnSpare {
		return l.serveSpare(g, r)
	}
	var event any
	switch {
	case r.Lend != nil:
		event = delegator.Lent{Lend: *r.Lend}
	case r.Return != nil:
		event = delegator.Returned{Return: *r.Return}
	default:
		return delegator.Unsupported()
	}
	reply := make(chan delegator.Reply, 1)
	l.handle(g, event, func(r delegator.Reply) { reply <- r })
	return <-reply
}

// handle has a group's borrower handle an event.
func (l *Loans) handle(g *carrier.Group, event any, respond func(delegator.Reply)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.borrowers == nil {
		l.borrowers = map[string]*delegator.Borrower{}
	}
	b := l.borrowers[g.Name()]
	if b == nil {
		b = &delegator.Borrower{Start: l.Start}
		l.borrowers[g.Name()] = b
	}
	l.execute(g, b.Handle(event, l.situation(g, b.Upstream()), l.Now()), respond)
}

// execute carries out commands. The caller must hold l.mu.
func (l *Loans) execute(g *carrier.Group, commands []delegator.Command, respond func(delegator.Reply)) {
	for _, cmd := range commands {
		switch c := cmd.(type) {
		case delegator.Limit:
			g.LimitConns(c.Upstream, c.Count)
		case delegator.Unlimit:
			g.UnlimitConns(c.Upstream)
		case delegator.Hold:
			g.BorrowConns(c.Upstream, c.Count, c.Until, c.Serving)
		case delegator.Close:
			g.CutConns(c.Upstream)
		case delegator.Send:
			go l.send(g, c)
		case delegator.Check:
			go func() {
				leads := g.CheckLeads(c.Upstream, delegator.CheckTimeout)
				l.handle(g, delegator.Checked{Lender: c.Lender, Seq: c.Seq, Leads: leads}, respond)
			}()
		case delegator.Respond:
			respond(c.Reply)
		case delegator.Report:
			l.report(g, &c)
		}
	}
}

// send sends a message of a lender and passes on the reply.
func (l *Loans) send(g *carrier.Group, s delegator.Send) {
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	reply, err := l.call(ctx, g.Name(), &s)
	l.mu.Lock()
	defer l.mu.Unlock()
	lender := l.lenders[g.Name()]
	if lender == nil {
		return
	}
	l.execute(g, lender.Handle(delegator.Answered{Seq: s.Seq, Reply: reply, Lost: err != nil}, l.Now()), nil)
}

func (l *Loans) call(ctx context.Context, group string, s *delegator.Send) (delegator.Reply, error) {
	r := request{Action: lend, Group: group, Lend: s.Lend, Return: s.Return}
	switch {
	case s.Spare && s.Return != nil:
		r.Action = returnSpare
	case s.Spare:
		r.Action = lendSpare
	case s.Return != nil:
		r.Action = returnLoan
	}
	payload, err := json.Marshal(r)
	if err != nil {
		return delegator.Reply{}, errors.Wrap(err, "forwarder: encode loan")
	}
	answer, err := l.Send(ctx, s.To.Address, payload)
	if err != nil {
		return delegator.Reply{}, err
	}
	var resp response
	if err := json.Unmarshal(answer, &resp); err != nil {
		return delegator.Reply{}, errors.Wrap(err, "forwarder: decode reply to loan")
	}
	if resp.Loan == nil {
		return delegator.Unsupported(), nil
	}
	return *resp.Loan, nil
}

// report logs and counts a change of a loan.
func (l *Loans) report(g *carrier.Group, r *delegator.Report) {
	fields := []zap.Field{zap.String("group", g.Name()), zap.String("upstream", r.Upstream), zap.String("peer", r.Peer), zap.Int("connections", r.Count)}
	if r.Cause != "" {
		fields = append(fields, zap.String("cause", r.Cause))
	}
	switch r.Kind {
	case delegator.Offered:
		l.Log.Info("forwarder: loan offered", fields...)
	case delegator.Accepted:
		l.Log.Info("forwarder: loan accepted, substitute in use", fields...)
		g.NotifyChange()
	case delegator.Refused:
		l.Log.Info("forwarder: loan refused", fields...)
		if l.CountRefused != nil {
			l.CountRefused()
		}
	case delegator.Renewed:
		l.Log.Debug("forwarder: loan renewed", fields...)
	case delegator.Recalled:
		l.Log.Info("forwarder: loan recalled", fields...)
	case delegator.Ended:
		l.Log.Info("forwarder: loan ended", fields...)
	case delegator.Received:
		l.Log.Info("forwarder: loan received, substitute for a gateway", fields...)
	case delegator.Declined:
		l.Log.Info("forwarder: loan declined", fields...)
	case delegator.Left:
		l.Log.Info("forwarder: loan left, connections closed", fields...)
	}
}
