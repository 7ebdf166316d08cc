package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/pooler"
	"basildale.example/basildale/tracker"
)

// Group is one database group as this proxy sees it. It is safe for concurrent
// use.
type Group struct {
	name    string
	carrier *Registry

	mu      sync.Mutex
	members []*member
	// lost holds upstreams that the store lists no longer and whose logs aren't
	// accounted for, by their ids.
	lost map[string]*absent
	// leader is the upstream that last proved, or said, that it leads; nil while
	// none is known. proven is when the last proof was asked for.
	leader *member
	proven time.Time
	// led is the id of the last leader.
	led string
	// leaderless is since when no leader that answers is known; zero while one is.
	leaderless time.Time
	// changed is closed, and made anew, when the leader or a member changes.
	changed  chan struct{}
	samples  samples
	ages     ages
	sampling chan struct{} // closed when the running sampling has ended; nil when none runs
	sought   time.Time     // when members were last asked who leads
	ticked   time.Time
	shrunk   time.Time // when connections that nobody needed were last let go
	// quiet says that there is nothing to look after: this process has no share of the
	// connections and none open. A change of the members or the share ends that.
	quiet bool
}

// Name returns the group's name.
func (g *Group) Name() string { return g.name }

// apply takes in the members of the group.
func (g *Group) apply(list []cataloger.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := make([]*member, 0, len(list))
	for _, u := range list {
		kept = append(kept, g.update(u))
	}
	for _, m := range g.members {
		switch {
		case containsMember(kept, m):
		case g.survives(m, list):
			kept = append(kept, m)
		default:
			g.drop(m)
		}
	}
	g.members = kept
	g.quiet = false
	g.account()
	g.signal()
}

func containsMember(list []*member, m *member) bool {
	for _, o := range list {
		if o == m {
			return true
		}
	}
	return false
}

// update returns the member of an entry, made anew when it isn't known or has started
// again: nothing that was learned of it before holds for what it is now, neither how
// far its log is nor what its connections have prepared. What the store says of the
// leader counts where it has changed.
func (g *Group) update(u cataloger.Upstream) *member {
	for _, m := range g.members {
		if m.id != u.ID {
			continue
		}
		if u.Born.IsZero() || u.Born.Before(m.entry.Born) {
			u.Born = m.entry.Born // says nothing of its start, or is of a former one
		}
		if restarted(m.entry, u) {
			g.log().Warn("carrier: upstream started again", zap.String("group", g.name), zap.String("upstream", u.ID),
				zap.Time("born", u.Born), zap.Time("before", m.entry.Born), zap.Stringer("version", u.Version))
			break
		}
		before := m.entry
		// One that wasn't listed counts as leaving without having said so.
		news := u.Leaving != before.Leaving || u.Leaving && !m.unlisted.IsZero()
		m.entry, m.unlisted = u, time.Time{}
		if news {
			g.noteLeaving(m, g.carrier.LeaveTimeout)
			g.log().Info("carrier: upstream leaving", zap.String("group", g.name), zap.String("upstream", u.ID), zap.Bool("leaving", u.Leaving))
		}
		if u.Leads && !before.Leads {
			g.claims(m)
		}
		if !u.Leads && before.Leads && g.leader == m {
			g.lead(nil, "listed as replica")
		}
		return m
	}
	m := &member{id: u.ID, slots: u.Slots, entry: u, gate: newGate(), running: map[*run]struct{}{}}
	m.gate.SetWindowMin(g.carrier.window(g.name, m.slots))
	m.opener = &opener{now: g.carrier.Now, after: func(d time.Duration, f func()) { time.AfterFunc(d, f) }}
	m.pool = &pooler.Pool[*conn]{
		Limit:         g.carrier.share(g.name),
		Dial:          func(ctx context.Context, workspace string) (*conn, error) { return g.dial(ctx, m, workspace) },
		Close:         func(c *conn) { _ = c.Close() }, // a connection that is dropped has nothing left to say
		Owner:         func(c *conn) string { return c.workspace },
		RequestPermit: m.opener.want,
		ZeroLimitErr:  errUnshared,
	}
	m.opener.permit = m.pool.Permit
	g.noteLeaving(m, g.carrier.LeaveTimeout/2)
	g.log().Info("carrier: upstream joined", zap.String("group", g.name), zap.String("upstream", u.ID),
		zap.Stringer("address", u.Address), zap.String("zone", u.Zone), zap.Bool("leads", u.Leads), zap.Stringer("version", u.Version))
	if u.Leads {
		g.claims(m)
	}
	return m
}

// claims takes in that a member says of itself that it leads. Where another one
// has proved that it does, this one has to prove it too: an upstream that was cut
// off when it was replaced says so until it hears of its successor. The caller
// has the lock.
func (g *Group) claims(m *member) {
	if g.present() == nil {
		g.lead(m, "listed")
		return
	}
	go g.ask(m)
}

func (g *Group) drop(m *member) {
	m.gone = true
	go m.pool.Stop()
	if g.leader == m {
		g.lead(nil, "gone")
	}
	g.miss(m)
	g.log().Info("carrier: upstream gone", zap.String("group", g.name), zap.String("upstream", m.id), zap.Stringer("version", m.entry.Version))
}

// lead takes in who leads. The caller has the lock.
func (g *Group) lead(m *member, evidence string) {
	if g.leader == m {
		return
	}
	id := ""
	if m != nil {
		id = m.id
	}
	g.log().Info("carrier: leader changed", zap.String("group", g.name), zap.String("upstream", id),
		zap.String("before", g.led), zap.String("evidence", evidence))
	g.leader = m
	if m == nil && g.leaderless.IsZero() {
		g.leaderless = g.carrier.Now()
	}
	if m != nil {
		g.leaderless = time.Time{}
		g.led = m.id
	}
	g.signal()
}

// signal wakes all who wait for a change. The caller has the lock.
func (g *Group) signal() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Group) log() *zap.Logger { return g.carrier.Log }

func (g *Group) divide() {
	share := g.carrier.share(g.name)
	g.mu.Lock()
	members := append([]*member(nil), g.members...)
	g.quiet = false
	g.mu.Unlock()
	for _, m := range members {
		m.gate.SetWindowMin(g.carrier.window(g.name, m.slots))
		m.pool.SetLimit(share)
	}
}

// dial opens a connection for a member's pool.
func (g *Group) dial(ctx context.Context, m *member, workspace string) (*conn, error) {
	g.mu.Lock()
	entry := m.entry
	g.mu.Unlock()
	began := g.carrier.Now()
	l, err := g.carrier.Dial(ctx, entry, workspace)
	full := errors.Is(err, ErrConnectionLimit)
	m.opener.opened(full)
	if err == nil {
		m.opener.took(g.carrier.Now().Sub(began))
	}
	if full {
		g.crowded(m)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "carrier: open a connection to %s", entry.ID)
	}
	g.heard(m, l.InitialMark())
	return &conn{Link: l, workspace: workspace}, nil
}

// heard takes in that a member has answered, and how far its log is.
func (g *Group) heard(m *member, mark tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.answered = g.carrier.Now()
	if m.mark.Less(mark) {
		m.mark = mark
	}
	if m.barred {
		g.log().Info("carrier: upstream answers again", zap.String("group", g.name), zap.String("upstream", m.id),
			zap.Duration("barred", m.answered.Sub(m.since)))
		m.barred = false
		m.pause = 0
		if m == g.leader {
			g.leaderless = time.Time{}
		}
		g.signal()
	}
}

// proved takes in that a member led the group when it was asked, and how far its
// log was. Of two proofs the one that was asked for later counts: there is never
// more than one leader at a time.
func (g *Group) proved(m *member, asked time.Time, mark tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.Before(g.proven) {
		return
	}
	g.proven = asked
	if !m.gone {
		g.lead(m, "proved")
	}
	g.samples.add(asked, mark)
	g.settle(asked, mark)
}

// follows takes in that a member refused as a replica does.
func (g *Group) follows(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == m {
		g.lead(nil, "refused as a replica")
	}
}

// deposed takes in the same, and looks for the leader.
func (g *Group) deposed(m *member) {
	g.follows(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seek()
}

// choose picks a member for a job, or says why there is none. The leader that
// is missing is sought meanwhile.
func (g *Group) choose(need placer.Need, workspace string, tried map[*member]bool) (*member, placer.Reason, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	candidates := make([]placer.Candidate, len(g.members))
	share := g.carrier.share(g.name)
	upTo := g.samples.needed(need.MinMark, now)
	home := g.home(workspace)
	for i, m := range g.members {
		candidates[i] = m.candidate(now, upTo, m == g.leader, m.entry.Zone == g.carrier.Zone, tried[m], share)
		candidates[i].ConnectDelay = m.opening(workspace, m == g.leader, m == home)
	}
	i, reason := placer.Choose(candidates, need)
	if g.carrier.CountPlacement != nil {
		g.carrier.CountPlacement(string(reason))
	}
	if i == placer.None {
		if reason == placer.NoLeader {
			g.seek()
		}
		return nil, reason, g.changed
	}
	m := g.members[i]
	if !need.LeaderOnly {
		m.lag.trying(now)
	}
	return m, reason, nil
}

// home returns the replica where a workspace's reads should have their connections, nil
// where any will do. Each workspace with connections to one replica rather than to all
// halves what has to be opened. The caller has the lock.
func (g *Group) home(workspace string) *member {
	if workspace == "" {
		return nil
	}
	var home *member
	var most uint64
	for _, m := range g.members {
		if m == g.leader || m.barred || m.entry.Leaving {
			continue
		}
		if weight := xxhash.Sum64String(workspace + " " + m.id); home == nil || weight > most {
			home, most = m, weight
		}
	}
	return home
}

// present returns the leader if it answers, or nil. The caller has the lock.
func (g *Group) present() *member {
	if g.leader == nil || g.leader.barred {
		return nil
	}
	return g.leader
}

// leads is the same without the lock.
func (g *Group) leads() *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.present()
}

// begin notes that a job runs at a member.
func (g *Group) begin(m *member, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.running[r] = struct{}{}
}

func (g *Group) end(m *member, r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(m.running, r)
}

// release gives a connection back, or closes it when it can't be used again.
func (g *Group) release(m *member, c *conn, usable bool) {
	if !usable {
		m.pool.Discard(c)
		return
	}
	m.pool.Put(c)
}

// acknowledged takes in that a member answered a write or the commit of one.
func (g *Group) acknowledged(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.wrote = g.carrier.Now()
}

// late takes in that a member's log lacked what a read needed.
func (g *Group) late(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	had := g.samples.complete(m.mark)
	if had.IsZero() && len(g.samples.ring) > 0 {
		had = g.samples.ring[0].asked // it is further behind than is known
	}
	now := g.carrier.Now()
	m.lag.refused(now, had)
	g.log().Info("carrier: replica lags", zap.String("group", g.name), zap.String("upstream", m.id),
		zap.Duration("by", now.Sub(had)), zap.Stringer("at", m.mark))
}

// sufficed takes in that a member's log had what a read needed.
func (g *Group) sufficed(m *member, since tracker.Mark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.carrier.Now()
	m.lag.served(now, g.samples.needed(since, now), g.ages.little())
}

// judge takes in how a statement that a member answered has ended. Only what it
// ran tells whether it does its work.
func (g *Group) judge(m *member, code Code) {
	if code == OK || code == Failed {
		g.ended(m, code == Failed)
	}
}

// ended takes in whether a member failed what a statement asked of it.
func (g *Group) ended(m *member, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.faults.note(g.carrier.Now(), failed)
}

// took takes in the time of an answer.
func (g *Group) took(m *member, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m.observe(g.carrier.Now(), d)
}
