package carrier

import (
	"context"
	"math"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// absentTimeout is how long an upstream must have been off the store's list before a change
// of leader goes on without it. Upstreams that crash are back, or have lost their entry,
// within some 7 s, and partitions last up to 12 s; one that is still missing will not
// return. By then the leader has continued to lead, and everything that only the missing
// upstream could have confirmed is at or before the position that the leader has stated
// since: the new leader's log must reach that position.
const absentTimeout = 15 * time.Second

const (
	// absentCheckInterval is the time between two checks whether the process of an absent
	// upstream has ended.
	absentCheckInterval = 500 * time.Millisecond
	// absentCheckTimeout is how long such a check may take.
	absentCheckTimeout = 250 * time.Millisecond
)

// absentUpstream is an upstream that the store no longer lists. It may have the only
// confirmed copy of a commit: one that is partitioned from the store loses its entry while
// it goes on receiving, and a crashed one comes back with its log.
type absentUpstream struct {
	entry cataloger.Upstream
	since time.Time
	// left is true if it had announced that it leaves and its time was over.
	left bool
	// endedAt is when its process was found to have ended; zero while that is not known.
	endedAt  time.Time
	checkAt  time.Time // when to check that next
	checking bool
}

// recordAbsent records that an upstream was taken off the list. The caller must hold g.mu.
func (g *Group) recordAbsent(u *upstream) {
	if g.absent == nil {
		g.absent = map[string]*absentUpstream{}
	}
	now := g.registry.Now()
	left := u.entry.Leaving && u.unlistedSince.IsZero() && u.drained(now)
	g.absent[u.id] = &absentUpstream{entry: u.entry, since: now, left: left}
}

// isRestart reports whether an entry is of a later start of the same upstream. One without
// a start time counts as the same start: earlier platforms do not state it.
func isRestart(before, after cataloger.Upstream) bool {
	return !before.Born.IsZero() && before.Born.Before(after.Born)
}

// resolveAbsent drops absent upstreams whose logs are accounted for: they are listed again,
// or another one has taken over their address and with it their log. One that has restarted
// has lost its log: see recordRestart. The caller must hold g.mu.
func (g *Group) resolveAbsent() {
	for _, u := range g.upstreams {
		if a := g.absent[u.id]; a != nil && isRestart(a.entry, u.entry) {
			g.recordRestart(u, a.entry.Born)
		}
		delete(g.absent, u.id)
		g.accounted = slices.DeleteFunc(g.accounted, func(id string) bool { return id == u.id })
		for id, a := range g.absent {
			if a.entry.Address == u.entry.Address {
				g.log().Info("carrier: log of absent upstream taken over by successor", zap.String("group", g.name), zap.String("upstream", id), zap.String("successor", u.id))
				g.setAccounted(id, tracker.Mark{})
			}
		}
	}
}

// setAccounted drops an absent upstream: a new leader whose log reaches a position has
// everything that it may have confirmed. The caller must hold g.mu.
func (g *Group) setAccounted(id string, minReceived tracker.Mark) {
	delete(g.absent, id)
	if !slices.Contains(g.accounted, id) {
		g.accounted = append(g.accounted, id)
		g.accounted = g.accounted[max(0, len(g.accounted)-maxAccounted):]
	}
	g.minReceived = laterMark(g.minReceived, minReceived)
}

// recordRestart records that an upstream has restarted without its log. It may have had the
// only confirmed copy of what the leader acknowledged until then, so a new leader must have
// all of that. Otherwise bookings are lost when the leader crashes right after such a
// replica, and the other replica, which received less, is promoted. What the leader
// confirms from now on is confirmed by copies that still exist. Where no position of the
// leader is known, none is far enough until the leader has stated one. before is when the
// lost log's upstream had started. The caller must hold g.mu.
func (g *Group) recordRestart(u *upstream, before time.Time) {
	u.restartedAt, u.lostLogOf, u.minReceived = g.registry.Now(), before, unreachableMark()
	if newest, known := g.samples.last(); known {
		u.minReceived = newest.mark
	}
}

// unreachableMark returns a position that no log reaches.
func unreachableMark() tracker.Mark {
	return tracker.Mark{Term: tracker.Term{Epoch: math.MaxUint32}}
}

// resolveRestarts applies a position of the leader that was requested at a given time. The
// first one requested after a restart is at or past everything that the leader had
// acknowledged before the restart. The caller must hold g.mu.
func (g *Group) resolveRestarts(requestedAt time.Time, mark tracker.Mark) {
	for _, u := range g.upstreams {
		if !u.restartedAt.IsZero() && requestedAt.After(u.restartedAt) {
			u.restartedAt, u.lostLogOf, u.minReceived = time.Time{}, time.Time{}, mark
		}
	}
}

// laterMark returns the later of two marks.
func laterMark(a, b tracker.Mark) tracker.Mark {
	if a.Less(b) {
		return b
	}
	return a
}

// CheckAbsent checks whether the processes of absent upstreams have ended. One that has ended
// confirms nothing any more, so the next position that the leader states bounds everything that
// it may have confirmed. Waiting for absentTimeout instead leaves a group without a leader when
// the leader is lost in that time.
func (g *Group) CheckAbsent() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.registry.Now()
	sample := false
	for _, a := range g.absent {
		if a.checking || now.Before(a.checkAt) {
			continue
		}
		a.checkAt = now.Add(absentCheckInterval)
		if !a.endedAt.IsZero() {
			sample = true
			continue
		}
		a.checking = true
		go g.checkAbsent(a)
	}
	if leader := g.reachableLeaderLocked(); sample && leader != nil {
		go g.checkLeader(leader)
	}
}

// checkAbsent checks whether the process of an absent upstream has ended, and requests the
// leader's position if it has. The machine of one that has left may be gone too, and then
// refuses nothing.
func (g *Group) checkAbsent(a *absentUpstream) {
	ctx, cancel := context.WithTimeout(context.Background(), absentCheckTimeout)
	defer cancel()
	l, err := g.registry.Dial(ctx, a.entry, "")
	if err == nil {
		_ = l.Close() // it was opened only as a check
	}
	g.mu.Lock()
	a.checking = false
	ended := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, ErrMisdirected) || err != nil && a.left
	if !ended {
		g.mu.Unlock()
		return
	}
	a.endedAt = g.registry.Now()
	leader := g.reachableLeaderLocked()
	g.mu.Unlock()
	if leader != nil {
		g.checkLeader(leader)
	}
}

// resolveEnded applies a position of the leader that was requested at a given time to the
// absent upstreams whose processes had ended before. The caller must hold g.mu.
func (g *Group) resolveEnded(requestedAt time.Time, mark tracker.Mark) {
	for id, a := range g.absent {
		if !a.endedAt.IsZero() && !requestedAt.Before(a.endedAt) {
			g.log().Info("carrier: absent upstream has ended and is accounted for", zap.String("group", g.name), zap.String("upstream", id), zap.Stringer("at", mark))
			g.setAccounted(id, mark)
		}
	}
}

// resolveExpired accounts for the upstreams that have been absent for absentTimeout, where
// the leader has stated a position since. The caller must hold g.mu.
func (g *Group) resolveExpired(now time.Time) {
	newest, known := g.samples.last()
	if !known {
		return
	}
	for id, a := range g.absent {
		if now.Sub(a.since) > absentTimeout && newest.requestedAt.Sub(a.since) > time.Second {
			g.setAccounted(id, newest.mark)
		}
	}
}

// appendAbsent appends the absent upstreams that a change of leader must take into account.
// It also returns the position that the new leader's log must reach to cover the other
// absent upstreams and those that have restarted. The caller must hold g.mu.
func (g *Group) appendAbsent(seen []UpstreamView, now time.Time) ([]UpstreamView, tracker.Mark) {
	g.resolveExpired(now)
	minReceived := g.minReceived
	for _, u := range g.upstreams {
		minReceived = laterMark(minReceived, u.minReceived)
	}
	for id, a := range g.absent {
		seen = append(seen, UpstreamView{ID: id, StartedAt: a.entry.Born, Leaving: a.entry.Leaving, Ejected: true, Unlisted: true})
	}
	return seen, minReceived
}

// controlAbsent sends a control command to an absent upstream, on a connection of its own.
func (g *Group) controlAbsent(id string, deadline time.Time, cmd Command) (Report, error) {
	g.mu.Lock()
	a := g.absent[id]
	g.mu.Unlock()
	if a == nil {
		return Report{}, errors.Wrapf(ErrUnknown, "%s", id)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	l, err := g.registry.Dial(ctx, a.entry, "")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = l.Close() }() // the exchange is over whether or not closing fails
	answers, _, err := l.Exchange(deadline, cmd)
	if err != nil {
		return Report{}, err
	}
	if answers[0].Code != OK {
		return Report{}, errors.Wrapf(ErrRefused, "%s: %s", answers[0].Code, answers[0].Text)
	}
	return answers[0].Report, nil
}
