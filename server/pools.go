package server

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/pooler"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

// place names one upstream of a group.
type place struct {
	group   string
	address netip.AddrPort
}

// pool is the connections to one upstream.
type pool struct {
	pooler.Pool[*relayer.Upstream]
	least int // connections to keep warm
	made  made

	pacing sync.Mutex
	pacer  limiter.Pacer
}

// pools are the connections to all upstreams.
type pools struct {
	mu  sync.RWMutex
	all map[place]*pool
	old []old // stopped, with connections in use
}

const (
	defaultConnections = 4
	// retryAfter is what a caller is told when an upstream has no connection
	// for it.
	retryAfter = 100 * time.Millisecond
	// longestPace bounds how long a connection waits for its turn to be opened.
	longestPace = time.Minute
)

// set makes, keeps, resizes and stops pools so that they are those of the
// groups. A connection that is in use when its pool stops goes on to the end of
// its transaction.
func (p *pools) set(groups []Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[place]*pool)
	for _, g := range groups {
		for _, a := range g.Upstreams {
			at := place{g.Name, a}
			next[at] = p.keep(at, g)
		}
	}
	for at, old := range p.all {
		if next[at] != old {
			old.Stop()
			p.retire(at, old)
		}
	}
	p.all = next
}

// retire goes on counting a stopped pool's connections.
func (p *pools) retire(at place, stopped *pool) {
	p.forget()
	if stopped.Stats().Open > 0 {
		p.old = append(p.old, old{at, stopped})
	}
}

// keep returns the pool of an upstream, a new one when there is none or when its
// connections would be made otherwise.
func (p *pools) keep(at place, g Group) *pool {
	old := p.all[at]
	if old != nil {
		old.setOpening(g.Opening)
	}
	if old == nil || old.made != madeOf(g) {
		return newPool(g, at.address)
	}
	if !g.Shared {
		old.SetLimit(limitOf(g))
	}
	return old
}

// made is what the connections of a pool are made with.
type made struct {
	user, password, database string
	tls                      *tls.Config
	paced                    bool
}

func madeOf(g Group) made { return made{g.User, g.Password, g.Database, g.TLS, g.Opening > 0} }

// pace permits one connection as soon as it is its turn.
func (p *pool) pace() {
	now := time.Now()
	p.pacing.Lock()
	at, ok := p.pacer.Reserve(now, now.Add(longestPace), rand.Uint64())
	p.pacing.Unlock()
	if !ok {
		at = now.Add(longestPace)
	}
	if !at.After(now) {
		p.Permit()
		return
	}
	time.AfterFunc(at.Sub(now), func() { p.Permit() })
}

// setOpening changes the pace of a paced pool.
func (p *pool) setOpening(rate float64) {
	p.pacing.Lock()
	defer p.pacing.Unlock()
	if rate > 0 && rate != p.pacer.Rate {
		p.pacer = limiter.Pacer{Rate: rate}
	}
}

func limitOf(g Group) int {
	if g.Shared {
		return 0
	}
	if g.Connections == 0 {
		return defaultConnections
	}
	return g.Connections
}

func newPool(g Group, address netip.AddrPort) *pool {
	d := &dialer.Dialer{User: g.User, Password: g.Password, Database: g.Database, TLS: g.TLS}
	if d.Database == "" {
		d.Database = g.Name
	}
	if d.User == "" {
		d.User = "basildale"
	}
	p := &pool{least: g.Warm, made: madeOf(g)}
	p.Limit = limitOf(g)
	if g.Opening > 0 {
		p.pacer.Rate = g.Opening
		p.RequestPermit = p.pace
	}
	p.Close = func(u *relayer.Upstream) { u.Terminate() }
	p.Dial = func(ctx context.Context, _ string) (*relayer.Upstream, error) {
		c, err := d.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		u := relayer.NewUpstream(c)
		u.Back = p.back
		return u, nil
	}
	return p
}

func (p *pools) get(group string, address netip.AddrPort) *pool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.all[place{group, address}]
}

// warm opens the connections that are to be warm at the start. An upstream that
// can't be reached now is tried again when it is needed.
func (p *pools) warm(ctx context.Context, log *zap.Logger) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var done sync.WaitGroup
	for at, one := range p.all {
		done.Go(func() {
			if err := one.Warm(ctx, one.least); err != nil {
				log.Warn("server: warming connections failed", zap.Stringer("upstream", at.address), zap.Error(err))
			}
		})
	}
	done.Wait()
}

// acquire takes a connection for one transaction. Idle connections that have
// died are dropped, so that no statement is sent into one, and so are those on
// which a second answer has arrived, which would be taken for the statement's.
func (p *pools) acquire(ctx context.Context, t relayer.Target, r *relayer.Request) (*relayer.Upstream, *relayer.Refusal) {
	one := p.get(t.Group, t.Address)
	if one == nil {
		return nil, refuse(retrier.Refused, "no such upstream")
	}
	for {
		u, ok := one.TryGet()
		if !ok {
			return wait(ctx, one, r)
		}
		if u.Alive() {
			return u, nil
		}
		one.Discard(u)
	}
}

// wait takes a connection that has to be opened or waited for.
func wait(ctx context.Context, one *pool, r *relayer.Request) (*relayer.Upstream, *relayer.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	for {
		u, err := one.Get(ctx)
		switch {
		case errors.Is(err, context.DeadlineExceeded):
			return nil, refuse(retrier.Late, "no connection was free before the deadline")
		case errors.Is(err, dialer.ErrRefused), errors.Is(err, pooler.ErrClosed):
			return nil, refuse(retrier.Refused, "the upstream takes no connection")
		case err != nil:
			return nil, refuse(retrier.NeverSent, "the upstream can't be reached")
		case u.Alive():
			return u, nil
		}
		one.Discard(u)
	}
}

func refuse(cause retrier.Cause, message string) *relayer.Refusal {
	return &relayer.Refusal{
		Outcome: retrier.Outcome{Kind: retrier.NotRun, Cause: cause, Back: time.Now().Add(retryAfter)},
		Message: message,
	}
}

// back takes a connection back into the pool that has opened it. Its upstream's
// pool may be another one by now.
func (p *pool) back(u *relayer.Upstream, healthy bool) {
	if healthy {
		p.Put(u)
		return
	}
	// Where one connection broke, idle ones may have died with it. A read sent
	// into each would use up the retry budget.
	p.Discard(u)
	p.Sweep((*relayer.Upstream).Alive)
}

func (p *pools) stop() {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, one := range p.all {
		one.Stop()
	}
}
