package carrier

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/pooler"
)

// Times of looking after upstreams.
const (
	// silence is how long an upstream may leave what runs there unanswered, while
	// it answers nothing else, before a new connection is tried. The longest work
	// is 410 ms and rare, and most takes 20 to 80 ms.
	silence = 300 * time.Millisecond
	// tryTimeout is how long that connection may take. A handshake takes 12 to
	// 27 ms and waits for a slot.
	tryTimeout = 250 * time.Millisecond
	// overdue is how long a read may run at an upstream that does answer new
	// connections and nothing else, before its answer counts as lost.
	overdue = 700 * time.Millisecond
	// gap between two ticks, beyond which this process stood still and its
	// impatience counts from anew.
	gap = 400 * time.Millisecond
	// lettingGo is the time between two looks for connections that nobody needed
	// since the last one.
	lettingGo = 2 * time.Second
	// hanging is how long an upstream that greets nobody in time may have answered
	// nothing else, before it is barred: longer than a greeting may take.
	hanging = 600 * time.Millisecond
	// firstPause and longestPause bound the time between two looks at an upstream
	// that is barred.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// lookTimeout is how long a look may take.
	lookTimeout = 500 * time.Millisecond
	// seekEvery is the least time between two questions who leads.
	seekEvery = 50 * time.Millisecond
)

// tick bars members that have gone silent and looks at those that are barred.
func (g *Group) tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.quiet {
		return
	}
	stood := now.Sub(g.ticked) > gap
	g.ticked = now
	shrink := now.Sub(g.shrunk) >= lettingGo
	if shrink {
		g.shrunk = now
	}
	g.expire(now)
	keep := lasting(g.carrier.share(g.name))
	for _, m := range g.members {
		if shrink {
			go m.pool.Shrink(keep)
		}
		g.noteClosed(m, now)
		switch {
		case stood:
			m.answered = now
		case m.barred:
			g.look(m, now)
		case g.silent(m, now):
			g.try(m)
		}
	}
	if g.present() == nil {
		g.seek()
	}
	g.quiet = keep == 0 && !slices.ContainsFunc(g.members, (*member).needsCare)
}

// needsCare reports whether there is something at a member that has to be looked after
// though this process has no share of its connections. The caller has the lock.
func (m *member) needsCare() bool {
	return !m.unlisted.IsZero() || m.probing || len(m.running) > 0 || !m.ends.IsZero() && !m.closing || m.pool.Stats().Open > 0
}

// lasting is how many connections to an upstream stay open without need, of the share
// of this process: half of it. An upstream counts the connections of processes that
// lost power for 3 s more. With all shares used before, those that come back have no
// room there, and their first statements are late.
func lasting(share int) int { return (share + 1) / 2 }

// silent reports whether a member has left something unanswered for too long
// and answered nothing since. The caller has the lock.
func (g *Group) silent(m *member, now time.Time) bool {
	if now.Sub(m.answered) < silence {
		return false
	}
	for r := range m.running {
		if !r.started.IsZero() && now.Sub(r.started) >= silence {
			return true
		}
	}
	return false
}

// try opens a connection to a silent member. Connections may have gone silent
// while the member is well, or one answer may be lost: then new connections work
// and only what is overdue is given up. Else the member is barred. The caller has
// the lock.
func (g *Group) try(m *member) {
	if m.probing {
		return
	}
	m.probing = true
	entry := m.entry
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		defer cancel()
		l, err := g.carrier.Dial(ctx, entry, "")
		if err == nil {
			_ = l.Close() // it has told what it was opened for
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		m.probing = false
		now := g.carrier.Now()
		switch {
		case err != nil && !errors.Is(err, ErrConnectionLimit):
			g.bar(m, now, "silent, and "+err.Error())
		default:
			g.giveUpOverdue(m, now)
		}
	}()
}

// giveUpOverdue ends reads whose answers are lost, so that they run elsewhere.
// The caller has the lock.
func (g *Group) giveUpOverdue(m *member, now time.Time) {
	for r := range m.running {
		if r.harmful || r.started.IsZero() || now.Sub(r.started) < overdue {
			continue
		}
		g.log().Info("carrier: answer lost", zap.String("group", g.name), zap.String("upstream", m.id), zap.Duration("waited", now.Sub(r.started)))
		r.conn.Abort()
	}
}

// errUnshared is what those get who ask for a connection while this process has no
// share of them. A process that starts takes one of each upstream until it knows its
// peers, and often none from then on: whoever had asked before waited there for
// the statement's whole second, while peers that carry had room.
var errUnshared = errors.New("carrier: no share of the upstream's connections")

// errBarred is what those get who wait for a connection to a member that is barred.
var errBarred = errors.New("carrier: upstream barred")

// bar keeps new work from a member and takes the reads that wait there
// elsewhere. Without it each of them would wait until its own deadline. The
// caller has the lock.
func (g *Group) bar(m *member, now time.Time, cause string) {
	if m.barred {
		return
	}
	m.barred = true
	m.since = now
	m.probeAt = now.Add(firstPause)
	m.pause = firstPause
	g.log().Warn("carrier: upstream barred", zap.String("group", g.name), zap.String("upstream", m.id), zap.String("cause", cause),
		zap.Int("running", len(m.running)), zap.Duration("since answer", now.Sub(m.answered)), zap.Bool("leads", m == g.leader))
	if m == g.leader && g.leaderless.IsZero() {
		g.leaderless = now
	}
	for r := range m.running {
		if !r.harmful && !r.started.IsZero() {
			r.conn.Abort()
		}
	}
	go func() {
		m.pool.CloseIdle()
		m.pool.FailWaiting(errBarred)
	}()
	g.signal()
}

// crowded takes in that a member has no room for another connection. Those of a
// process that lost power count for 3 s more. Until then this process makes do
// with what it has there; where it has nothing, who waits is told so.
func (g *Group) crowded(m *member) {
	stats := m.pool.Stats()
	g.log().Info("carrier: upstream has no room", zap.String("group", g.name), zap.String("upstream", m.id),
		zap.Int("open", stats.Open), zap.Int("waiting", stats.Waiting))
	if stats.Open == 0 {
		m.pool.FailWaiting(ErrConnectionLimit)
	}
}

func (g *Group) isBarred(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.barred
}

// answers reports whether a member has answered anything lately. One that takes
// connections and greets nobody may hang: its kernel goes on accepting.
func (g *Group) answers(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.carrier.Now().Sub(m.answered) < hanging
}

// refused takes in that a connection to a member couldn't be opened. Who has only
// waited for one that is in use says nothing of the member.
func (g *Group) refused(m *member, err error) {
	switch {
	case errors.Is(err, pooler.ErrWaitTimeout), errors.Is(err, errBarred), errors.Is(err, errUnshared), errors.Is(err, ErrConnectionLimit):
		return
	case errors.Is(err, ErrHandshakeTimeout) && g.answers(m):
		// A leader that was just promoted gets connections from all proxies at once;
		// barring it for that would begin the next change of leader.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bar(m, g.carrier.Now(), err.Error())
}

// look tries to open a connection to a barred member, when it is time. The
// caller has the lock.
func (g *Group) look(m *member, now time.Time) {
	if m.probing || now.Before(m.probeAt) {
		return
	}
	m.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
		defer cancel()
		c, err := m.pool.Get(ctx) // opening one takes it off the bar, in heard
		if err == nil {
			g.release(m, c, true)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		m.probing = false
		m.pause = min(2*m.pause, longestPause)
		m.probeAt = g.carrier.Now().Add(m.pause)
	}()
}

// seek asks the members that answer whether they lead, each unless that is under way. A
// member that leads takes an empty transaction, all others refuse it; it costs no
// slot. Those that are barred have looks of their own, and nobody waits for the slowest:
// a former leader with more work than it can do has no connection free for half a
// second, and asked in rounds that wait for all, processes heard of the next leader as
// much later than the first one. The caller has the lock.
func (g *Group) seek() {
	now := g.carrier.Now()
	if !g.IsGateway() || now.Sub(g.sought) < seekEvery {
		return
	}
	g.sought = now
	for _, m := range g.members {
		if m.barred || m.asked {
			continue
		}
		m.asked = true
		go func() {
			g.ask(m)
			g.mu.Lock()
			defer g.mu.Unlock()
			m.asked = false
		}()
	}
}

// ask begins and ends an empty transaction at a member. It reports whether the
// member leads.
func (g *Group) ask(m *member) bool {
	deadline := time.Now().Add(lookTimeout)
	c, err := m.connection(deadline)
	if err != nil {
		return false
	}
	r := &run{conn: c}
	g.begin(m, r)
	defer g.end(m, r)
	asked := g.carrier.Now()
	answers, _, err := g.exchange(m, r, deadline, Command{Verb: Begin}, Command{Verb: Rollback})
	if err != nil {
		g.release(m, c, false)
		return false
	}
	leads := answers[0].Code == OK
	g.release(m, c, answers[len(answers)-1].State == Idle)
	if leads {
		g.proved(m, asked, answers[0].Mark)
	} else if answers[0].Code == ReadOnly {
		g.follows(m)
	}
	return leads
}

// VerifyLeader asks the leader whether it leads, and bars it if it can't be reached. What
// this process believes of a leader that it hasn't used lately may be old: one sees
// the holder of a duty try a planned change of a leader that has crashed, again and
// again, while its peers wait for another one.
func (g *Group) VerifyLeader() {
	m := g.leads()
	if m == nil || g.ask(m) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.try(m)
}

// refresh takes a new sample of the leader's log, and returns a channel that is
// closed when that has ended. Only one runs at a time. The caller has the lock.
func (g *Group) refresh() <-chan struct{} {
	if g.sampling != nil {
		return g.sampling
	}
	done := make(chan struct{})
	leader := g.present()
	if leader == nil && g.carrier.RequestSample == nil {
		return nil
	}
	g.sampling = done
	go func() {
		if leader != nil {
			g.ask(leader)
		} else {
			g.askPeer()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sampling = nil
		close(done)
	}()
	return done
}

// askPeer takes a sample by way of a peer that reaches the leader. It counts from
// before the question.
func (g *Group) askPeer() {
	asked := g.carrier.Now()
	mark, ok := g.carrier.RequestSample(g.name)
	if !ok {
		time.Sleep(firstPause) // whoever waits asks again, not more often than ten times a second
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples.add(asked, mark)
}
