package carrier

import (
	"context"
	"time"
)

// connLimit replaces this process's share of the connections to one upstream: it is less
// while they are lent to another process, and more while some are borrowed.
type connLimit struct {
	upstream string
	count    int
	// borrowed is true if the connections are out of the share of another process. They may
	// be used until a time, and by new statements while serving.
	borrowed bool
	until    time.Time
	serving  bool
	// ended is canceled when borrowed connections have to be closed.
	ended context.Context
	end   context.CancelFunc
}

// hasEnded reports whether borrowed connections may not be used any more.
func (l *connLimit) hasEnded(now time.Time) bool {
	return l.borrowed && (l.ended.Err() != nil || !now.Before(l.until))
}

// LeaderContact is what this process sees of a group's leader, for loans of connections.
type LeaderContact struct {
	// Upstream is the leader; empty while none is known.
	Upstream string
	Answers  bool
	// AnsweredAt is when it last answered anything, by the Registry's clock.
	AnsweredAt time.Time
	// Current is true if the leader is listed, is not leaving, and no upstream has a newer
	// term.
	Current bool
	// Share is this process's share of the connections to each upstream, and Open how many
	// it has to the leader, including those being opened.
	Share, Open int
}

// LeaderContact returns what this process sees of the leader.
func (g *Group) LeaderContact() LeaderContact {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := LeaderContact{Share: g.registry.share(g.name)}
	u := g.leader
	if u == nil {
		return out
	}
	out.Upstream, out.Answers, out.AnsweredAt = u.id, !u.ejected, u.answeredAt
	out.Current = u.unlistedSince.IsZero() && !u.entry.Leaving
	for _, o := range g.upstreams {
		out.Current = out.Current && !u.mark.Term.Less(o.mark.Term)
	}
	out.Open = u.heldConns()
	return out
}

// heldConns returns how many connections to the upstream this process has, including those
// being opened. The caller must hold the group's lock.
func (u *upstream) heldConns() int {
	if u.pool == nil {
		return 0
	}
	n := u.pool.Stats().Open
	for r := range u.running {
		if r.conn.cut {
			n--
		}
	}
	return n
}

// shareOf returns how many connections this process may have to an upstream. The caller must
// hold g.mu.
func (g *Group) shareOf(id string) int {
	share := g.registry.share(g.name)
	switch {
	case g.limit == nil || g.limit.upstream != id:
		if d := g.divisions[id]; d != nil {
			return d.apply(share, g.registry.Now())
		}
		return share
	case g.limit.borrowed:
		return g.limit.count
	default:
		return min(g.limit.count, share)
	}
}

// minWindow returns how many statements this process may always have at an upstream of which
// it may have the given number of connections.
func (g *Group) minWindow(u *upstream, share int) int {
	if share == g.registry.share(g.name) {
		return g.registry.minWindow(g.name, u.slots)
	}
	g.registry.mu.Lock()
	defer g.registry.mu.Unlock()
	return windowShare(u.slots, share, g.registry.maxConns[g.name])
}

// LimitConns sets how many connections this process may have to an upstream, in place of its
// share, until UnlimitConns. Connections in use are closed when they are returned.
func (g *Group) LimitConns(id string, n int) {
	g.setLimit(&connLimit{upstream: id, count: n})
}

// BorrowConns gives this process n connections to an upstream until a time by the Registry's
// clock. They are used for new statements only while serving. A further call replaces what
// the last one said.
func (g *Group) BorrowConns(id string, n int, until time.Time, serving bool) {
	g.activate()
	l := &connLimit{upstream: id, count: n, borrowed: true, until: until, serving: serving}
	g.mu.Lock()
	if o := g.limit; o != nil && o.borrowed && o.upstream == id && o.ended.Err() == nil {
		l.ended, l.end = o.ended, o.end
	} else {
		l.ended, l.end = context.WithCancel(context.Background())
	}
	g.mu.Unlock()
	g.setLimit(l)
}

func (g *Group) setLimit(l *connLimit) {
	g.mu.Lock()
	g.limit = l
	g.notifyWaiters()
	g.mu.Unlock()
	g.applyShare()
}

// UnlimitConns gives this process its share of the connections to an upstream again.
func (g *Group) UnlimitConns(id string) {
	g.mu.Lock()
	if g.limit == nil || g.limit.upstream != id {
		g.mu.Unlock()
		return
	}
	if g.limit.borrowed {
		g.limit.end()
	}
	g.limit = nil
	g.notifyWaiters()
	g.mu.Unlock()
	g.applyShare()
}

// CutConns closes all borrowed connections to an upstream at once, also those in use, and
// opens no more. Statements that run there end as if the connection were lost.
func (g *Group) CutConns(id string) {
	g.mu.Lock()
	if g.limit == nil || g.limit.upstream != id || !g.limit.borrowed {
		g.mu.Unlock()
		return
	}
	g.limit.count, g.limit.serving = 0, false
	g.limit.end()
	for _, u := range g.upstreams {
		if u.id == id {
			u.cutConns()
		}
	}
	g.notifyWaiters()
	g.mu.Unlock()
	g.applyShare() // closes the idle ones
}

// cutConns closes the connections in use. The caller must hold the group's lock.
func (u *upstream) cutConns() {
	for r := range u.running {
		r.conn.cut = true
		r.conn.Abort()
		_ = r.conn.Close() // it is not used again
	}
}

// BorrowedConns returns how many connections this process has to an upstream, including those
// being opened, and how many of them are in use.
func (g *Group) BorrowedConns(id string) (held, busy int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams {
		if u.id != id {
			continue
		}
		held += u.heldConns()
		for r := range u.running {
			if !r.conn.cut {
				busy++
			}
		}
	}
	return held, busy
}

// CheckLeads asks an upstream, on a connection of the pool, whether it leads the group.
func (g *Group) CheckLeads(id string, timeout time.Duration) bool {
	u := g.findUpstream(id)
	return u != nil && u.pool != nil && g.checkLeaderWithin(u, timeout)
}

// IsSubstitute reports whether this process has borrowed connections to the group's leader
// and may use them for new statements.
func (g *Group) IsSubstitute() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isSubstituteLocked()
}

func (g *Group) isSubstituteLocked() bool {
	l := g.limit
	return l != nil && l.serving && !l.hasEnded(g.registry.Now()) && g.leader != nil && g.leader.id == l.upstream
}

// Changed returns a channel that is closed when the leader, an upstream or a limit of
// connections changes.
func (g *Group) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// IsUnservable reports whether a job cannot be served here, however long it waits.
func (g *Group) IsUnservable(j *Job) bool { return g.isUnservable(j) }

// loanEnd returns the context that ends with borrowed connections to an upstream; nil where
// they are this process's own. The caller must hold g.mu.
func (g *Group) loanEnd(u *upstream) context.Context {
	if g.limit == nil || !g.limit.borrowed || g.limit.upstream != u.id {
		return nil
	}
	return g.limit.ended
}

// mayUse reports whether connections to an upstream may still be used: they are this
// process's own, or on a loan that has not ended. A process that was paused for longer than
// its loan asks this before it sends anything. The caller must hold g.mu.
func (g *Group) mayUse(u *upstream) bool {
	return g.limit == nil || g.limit.upstream != u.id || !g.limit.hasEnded(g.registry.Now())
}

// dialBorrowed opens a connection, unless the loan that it is for ends before. That an opening
// was given up shows nothing of the upstream.
func (g *Group) dialBorrowed(ctx, loan context.Context, dial func(context.Context) (Link, error)) (Link, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(loan, cancel)
	defer stop()
	l, err := dial(ctx)
	if loan.Err() == nil {
		return l, err
	}
	if err == nil {
		_ = l.Close() // nothing has used it
	}
	return nil, errNoShare
}

// retryDelay returns how long a refused caller should wait before it retries: with a feature,
// at most half of the time that is left, so that the delay does not end after the deadline.
func (g *Group) retryDelay(j *Job) time.Duration {
	if !g.registry.features().ShortRetries {
		return retryAfter
	}
	return RetryDelay(time.Until(j.Deadline))
}

// minRetryDelay is the shortest delay that a refusal names.
const minRetryDelay = 50 * time.Millisecond

// RetryDelay returns the delay that a refusal names when left is the time until the caller's
// deadline: half of it, at least 50 ms and at most 1 s, in whole milliseconds.
func RetryDelay(left time.Duration) time.Duration {
	return min(max(left/2, minRetryDelay), retryAfter).Truncate(time.Millisecond)
}

// NotifyChange wakes the statements that wait for a leader, so that they look for another
// process that runs them.
func (g *Group) NotifyChange() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWaiters()
}
