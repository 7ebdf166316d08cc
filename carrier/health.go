package carrier

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/pooler"
)

// Timeouts and intervals of checking upstreams.
const (
	// silenceThreshold is how long an upstream may leave running work unanswered, while it
	// answers nothing else, before a new connection is tried. The longest work takes 410 ms
	// and is rare, and most takes 20 to 80 ms.
	silenceThreshold = 300 * time.Millisecond
	// silenceCheckTimeout is how long that connection may take. A handshake takes 12
	// to 27 ms and waits for a slot.
	silenceCheckTimeout = 250 * time.Millisecond
	// lostReadThreshold is how long a read may run on an upstream that accepts new
	// connections and answers nothing else, before its answer counts as lost.
	lostReadThreshold = 700 * time.Millisecond
	// pauseThreshold is the gap between two ticks beyond which this process was paused, and
	// its timeouts for upstreams start again.
	pauseThreshold = 400 * time.Millisecond
	// shrinkInterval is how often connections are closed that have not been needed since
	// the previous time.
	shrinkInterval = 2 * time.Second
	// hangThreshold is how long an upstream whose handshakes time out may have answered
	// nothing else before it is ejected: longer than a handshake may take.
	hangThreshold = 600 * time.Millisecond
	// minProbeInterval and maxProbeInterval bound the time between two probes of an ejected
	// upstream.
	minProbeInterval = 100 * time.Millisecond
	maxProbeInterval = 800 * time.Millisecond
	// probeTimeout is how long a probe may take.
	probeTimeout = 500 * time.Millisecond
	// leaderSearchInterval is the minimum time between two searches for the leader.
	leaderSearchInterval = 50 * time.Millisecond
)

// tick ejects upstreams that have stopped answering and probes those that are ejected. It
// also closes connections that are not needed, drops upstreams that have been unlisted for
// too long, and searches for the leader while none answers.
func (g *Group) tick(now time.Time) {
	features := g.registry.features()
	g.mu.Lock()
	defer g.mu.Unlock()
	wasPaused := now.Sub(g.tickedAt) > pauseThreshold
	g.tickedAt = now
	shrink := now.Sub(g.shrunkAt) >= shrinkInterval
	if shrink {
		g.shrunkAt = now
	}
	g.dropExpired(now)
	for _, u := range g.upstreams {
		if shrink && g.active {
			go u.pool.Shrink(keptConns(g.shareOf(u.id)))
		}
		if g.active {
			g.updateFairness(u, features, now)
		}
		g.reportDrainEnded(u, now)
		switch {
		case wasPaused:
			u.answeredAt = now
		case u.ejected:
			g.probe(u, now)
		case g.isSilent(u, now) && g.loanEnd(u) != nil:
			g.eject(u, now, "silent") // a loan has no connection for a check
		case g.isSilent(u, now):
			g.checkSilent(u)
		}
	}
	if g.reachableLeaderLocked() == nil {
		g.searchLeader()
	}
	if g.limit == nil && len(g.divisions) == 0 && keptConns(g.registry.share(g.name)) == 0 && !slices.ContainsFunc(g.upstreams, (*upstream).needsTicks) {
		g.registry.setBusy(g, false) // until its upstreams or this process's share change
	}
}

// needsTicks reports whether something on the upstream has to be checked although this
// process has no share of its connections. The caller must hold the group's lock.
func (u *upstream) needsTicks() bool {
	return !u.unlistedSince.IsZero() || u.probing || len(u.running) > 0 || !u.drainBy.IsZero() && !u.drainEndReported || u.pool != nil && u.pool.Stats().Open > 0
}

// keptConns returns how many connections to an upstream stay open without being needed:
// half of this process's share. An upstream counts the connections of processes that lost
// power for 3 s more. If all shares were in use before, there is no room for the processes
// that come back, and their first statements are late.
func keptConns(share int) int { return (share + 1) / 2 }

// isSilent reports whether an upstream has left something unanswered for too long and
// answered nothing since. The caller must hold g.mu.
func (g *Group) isSilent(u *upstream, now time.Time) bool {
	if now.Sub(u.answeredAt) < silenceThreshold {
		return false
	}
	for r := range u.running {
		if !r.exchangeStartedAt.IsZero() && now.Sub(r.exchangeStartedAt) >= silenceThreshold {
			return true
		}
	}
	return false
}

// checkSilent opens a connection to a silent upstream. Its connections may have broken
// while the upstream is healthy, or one answer may be lost: new connections then work, and
// only the reads whose answers are lost are aborted. Otherwise the upstream is ejected. The
// caller must hold g.mu.
func (g *Group) checkSilent(u *upstream) {
	if u.probing {
		return
	}
	u.probing = true
	entry := u.entry
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
		defer cancel()
		l, err := g.registry.Dial(ctx, entry, "")
		if err == nil {
			_ = l.Close() // it was opened only as a check
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		u.probing = false
		now := g.registry.Now()
		switch {
		case err != nil && !errors.Is(err, ErrConnectionLimit):
			g.eject(u, now, "silent, and opening a new connection failed: "+err.Error())
		default:
			g.abortLostReads(u, now)
		}
	}()
}

// abortLostReads aborts reads whose answers are lost, so that they run elsewhere. The
// caller must hold g.mu.
func (g *Group) abortLostReads(u *upstream, now time.Time) {
	for r := range u.running {
		if r.inDoubtIfLost || r.exchangeStartedAt.IsZero() || now.Sub(r.exchangeStartedAt) < lostReadThreshold {
			continue
		}
		g.log().Info("carrier: answer lost; aborting read", zap.String("group", g.name), zap.String("upstream", u.id), zap.Duration("waited", now.Sub(r.exchangeStartedAt)))
		r.conn.Abort()
	}
}

// errNoShare is returned to those that request a connection while this process has no share
// of them. A starting process takes one connection of each upstream until it knows its
// peers, and often has no share from then on. A statement that had requested a connection
// before the share was lost waited there for its whole second, while peers that are
// gateways had room.
var errNoShare = errors.New("carrier: no share of the upstream's connections")

// errEjected is returned to those that wait for a connection to an upstream that is
// ejected.
var errEjected = errors.New("carrier: upstream barred")

// eject keeps new work from an upstream and aborts the reads that wait there, so that they
// run elsewhere. Otherwise each of them would wait until its own deadline. The caller must
// hold g.mu.
func (g *Group) eject(u *upstream, now time.Time, cause string) {
	if u.ejected {
		return
	}
	u.ejected = true
	u.ejectedAt = now
	g.loseWork(u, now, "barred")
	u.probeAt = now.Add(minProbeInterval)
	u.probeInterval = minProbeInterval
	g.log().Warn("carrier: upstream ejected", zap.String("group", g.name), zap.String("upstream", u.id), zap.String("cause", cause),
		zap.Int("running", len(u.running)), zap.Duration("since answer", now.Sub(u.answeredAt)), zap.Bool("leads", u == g.leader))
	if u == g.leader && g.leaderlessSince.IsZero() {
		g.leaderlessSince = now
	}
	for r := range u.running {
		if !r.inDoubtIfLost && !r.exchangeStartedAt.IsZero() {
			r.conn.Abort()
		}
	}
	go func() {
		u.pool.CloseIdle()
		u.pool.FailWaiting(errEjected)
	}()
	g.notifyWaiters()
}

// handleConnectionLimit handles a refusal by an upstream that is at its connection limit.
// The connections of a process that lost power count for 3 s more. Until they are dropped
// this process uses the connections that it has; if it has none, those that wait for one
// are refused.
func (g *Group) handleConnectionLimit(u *upstream) {
	stats := u.pool.Stats()
	g.log().Info("carrier: upstream is at its connection limit", zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Int("open", stats.Open), zap.Int("waiting", stats.Waiting))
	if stats.Open == 0 {
		u.pool.FailWaiting(ErrConnectionLimit)
	}
}

func (g *Group) isEjected(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return u.ejected
}

// answeredRecently reports whether an upstream has answered anything lately. An upstream
// that accepts connections and completes no handshake may hang: its kernel goes on
// accepting.
func (g *Group) answeredRecently(u *upstream) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Now().Sub(u.answeredAt) < hangThreshold
}

// handleOpenError handles a failure to get a connection to an upstream. A time-out while
// waiting for one that is in use shows nothing about the upstream.
func (g *Group) handleOpenError(u *upstream, err error) {
	switch {
	case errors.Is(err, pooler.ErrWaitTimeout), errors.Is(err, errEjected), errors.Is(err, errNoShare), errors.Is(err, ErrConnectionLimit):
		return
	case errors.Is(err, ErrHandshakeTimeout) && g.answeredRecently(u):
		// A leader that was just promoted gets connections from all proxies at once;
		// ejecting it for that would begin the next change of leader.
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.eject(u, g.registry.Now(), err.Error())
}

// probe tries to open a connection to an ejected upstream, when it is time. The caller must
// hold g.mu.
func (g *Group) probe(u *upstream, now time.Time) {
	if u.probing || now.Before(u.probeAt) {
		return
	}
	u.probing = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		c, err := u.pool.Get(ctx) // opening one ends the ejection, in recordAnswer
		if err == nil {
			g.release(u, c, true)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		u.probing = false
		u.probeInterval = min(2*u.probeInterval, maxProbeInterval)
		u.probeAt = g.registry.Now().Add(u.probeInterval)
	}()
}

// searchLeader asks the upstreams that are not ejected whether they lead, except those of
// which a check is already running. An upstream that leads accepts an empty transaction,
// all others refuse it; it takes no slot. Ejected upstreams have probes of their own. No
// upstream waits for the answer of another: an overloaded former leader has no connection
// free for half a second, and when rounds waited for all answers, processes learned of the
// next leader that much later than the first one did. The caller must hold g.mu.
func (g *Group) searchLeader() {
	now := g.registry.Now()
	if !g.IsGateway() || now.Sub(g.searchedAt) < leaderSearchInterval {
		return
	}
	g.searchedAt = now
	for _, u := range g.upstreams {
		if u.ejected || u.checkingLeader {
			continue
		}
		u.checkingLeader = true
		go func() {
			g.checkLeader(u)
			g.mu.Lock()
			defer g.mu.Unlock()
			u.checkingLeader = false
		}()
	}
}

// checkLeader begins and ends an empty transaction on an upstream. It reports whether the
// upstream leads.
func (g *Group) checkLeader(u *upstream) bool { return g.checkLeaderWithin(u, probeTimeout) }

// checkLeaderWithin is checkLeader with a timeout. Answers that decide nothing may be repeats of
// earlier ones of the connection; another connection is asked then.
func (g *Group) checkLeaderWithin(u *upstream, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	leads, decided := g.askLeader(u, deadline)
	if !decided {
		leads, _ = g.askLeader(u, deadline)
	}
	return leads
}

// askLeader reports whether an upstream leads, and whether its answers decide that.
func (g *Group) askLeader(u *upstream, deadline time.Time) (leads, decided bool) {
	c, err := u.getConn(deadline)
	if err != nil {
		return false, true
	}
	r := &run{conn: c}
	g.addRun(u, r)
	requestedAt := g.registry.Now()
	answers, _, err := g.exchange(u, r, deadline, Command{Verb: Begin}, Command{Verb: Rollback})
	g.removeRun(u, r)
	if err != nil {
		g.release(u, c, false)
		return false, true
	}
	began := answers[0]
	// What a replica that is known as one has refused before needs no decision.
	decided = !began.Doubtful || began.Code != OK && g.reachableLeader() != u
	leads = began.Code == OK && !began.Doubtful && answers[1].Code == OK
	g.release(u, c, decided && answers[1].State == Idle)
	if leads {
		g.recordLeader(u, requestedAt, began.Mark)
	} else if began.Code == ReadOnly && !began.Doubtful {
		g.recordReplica(u)
	}
	return leads, decided
}

// VerifyLeader asks the leader whether it leads. If it does not confirm that and a new
// connection to it fails too, it is ejected. This process's view of a leader that it has
// not used lately may be out of date: without this check the lease holder would retry the
// planned change of a leader that has crashed, again and again, while its peers wait for
// another one.
func (g *Group) VerifyLeader() {
	u := g.reachableLeader()
	if u == nil || g.checkLeader(u) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkSilent(u)
}

// refreshSample takes a new sample of the leader's log, and returns a channel that is
// closed when that has ended; nil when there is neither a leader that answers nor a peer to
// request one from. Only one runs at a time. The caller must hold g.mu.
func (g *Group) refreshSample() <-chan struct{} {
	if g.sampling != nil {
		return g.sampling
	}
	done := make(chan struct{})
	leader := g.reachableLeaderLocked()
	if leader == nil && g.registry.RequestSample == nil {
		return nil
	}
	g.sampling = done
	go func() {
		if leader != nil {
			g.checkLeader(leader)
		} else {
			g.samplePeer()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.sampling = nil
		close(done)
	}()
	return done
}

// samplePeer takes a sample through a peer that reaches the leader. The sample counts from
// the time just before the request.
func (g *Group) samplePeer() {
	requestedAt := g.registry.Now()
	mark, ok := g.registry.RequestSample(g.name)
	if !ok {
		time.Sleep(minProbeInterval) // those that wait try again, at most ten times a second
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples.add(requestedAt, mark)
}
