package carrier

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/pooler"
)

const (
	// preopenPeriod is how long after a change of leader connections are opened ahead. By then
	// the workspaces that use the group most have had statements for the new leader.
	preopenPeriod = time.Second
	// preopenInterval is the time between two checks whether callers still wait for
	// connections, a third of the time that opening one takes.
	preopenInterval = 4 * time.Millisecond
)

// formerLeader is the last leader that was known, and what workspaces were expected to need
// there when it was lost.
type formerLeader struct {
	upstream *upstream
	demands  []pooler.Demand
	lostAt   time.Time
}

// formerLeaderTTL is how long the demand at a former leader counts: the time over which demand is
// smoothed.
const formerLeaderTTL = 8 * time.Second

// opensAhead marks the context of an opening that no caller waits for.
type opensAhead struct{}

// followDemand prepares a new leader, or none, for the workspaces that used the leader before
// it. A process that knew no leader before, and one that has just become a gateway, knows no
// demand. The caller must hold g.mu, and change the leader afterwards.
func (g *Group) followDemand(u *upstream) {
	now := g.registry.Now()
	if before := g.leader; before != nil && before.pool != nil {
		g.former = formerLeader{before, before.pool.Demands(), now}
	}
	former := g.former
	if u == nil || u.pool == nil || u == former.upstream || u.entry.Leaving || len(former.demands) == 0 || now.Sub(former.lostAt) >= formerLeaderTTL {
		return
	}
	g.former = formerLeader{}
	go g.preopen(u, &pooler.Plan{Demands: former.demands})
}

// preopen opens connections to a new leader before callers ask for them, as many at a time as
// for callers.
func (g *Group) preopen(u *upstream, plan *pooler.Plan) {
	ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), opensAhead{}, true), preopenPeriod)
	defer cancel()
	opened := make(chan int)
	for range maxConcurrentOpenings {
		go func() { opened <- g.preopenSome(ctx, u, plan) }()
	}
	n := 0
	for range maxConcurrentOpenings {
		n += <-opened
	}
	if n > 0 {
		g.log().Info("carrier: connections opened ahead", zap.String("group", g.name), zap.String("upstream", u.id), zap.Int("connections", n))
	}
}

// preopenSome opens connections of a plan one after the other, and returns how many. It ends at
// the first that fails: callers find out why.
func (g *Group) preopenSome(ctx context.Context, u *upstream, plan *pooler.Plan) (opened int) {
	for g.reachableLeader() == u && ctx.Err() == nil {
		step := pooler.Later
		if u.opener.reserve() {
			var err error
			step, err = u.pool.Preopen(ctx, plan)
			if err != nil {
				return opened // dial has ended the reservation
			}
			if step != pooler.Opened {
				u.opener.cancel()
			}
		}
		switch step {
		case pooler.Finished:
			return opened
		case pooler.Opened:
			opened++
		case pooler.Later:
			select {
			case <-ctx.Done():
			case <-time.After(preopenInterval):
			}
		}
	}
	return opened
}

// countOpening counts a connection that was opened.
func (g *Group) countOpening(ctx context.Context) {
	if g.registry.CountOpening != nil && g.registry.features().FairConnections {
		g.registry.CountOpening(ctx.Value(opensAhead{}) != nil)
	}
}

// dial opens a connection for an upstream's pool.
func (g *Group) dial(ctx context.Context, u *upstream, workspace string) (*conn, error) {
	g.mu.Lock()
	g.endExpiredLoans(u)
	entry, loan := u.entry, g.loanEnd(u)
	if loan == nil {
		loan = g.openingEnd(u)
	}
	g.mu.Unlock()
	began := g.registry.Now()
	dial := func(ctx context.Context) (Link, error) { return g.registry.Dial(ctx, entry, workspace) }
	var l Link
	var err error
	if loan != nil {
		l, err = g.dialBorrowed(ctx, loan, dial)
	} else {
		l, err = dial(ctx)
	}
	limitReached := errors.Is(err, ErrConnectionLimit)
	u.opener.recordEnd(limitReached)
	if err == nil {
		u.opener.recordTime(g.registry.Now().Sub(began))
	}
	if limitReached {
		g.handleConnectionLimit(u)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "carrier: open a connection to %s", entry.ID)
	}
	g.countOpening(ctx)
	g.recordRoundTrip(u, l)
	g.recordAnswer(u, l.InitialMark())
	return &conn{Link: l, number: g.registry.connections.Add(1), workspace: workspace}, nil
}
