package carrier

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// excusedAfter is how long an upstream must have been off the store's list before
// a change of leader goes on without it. Upstreams that crash are back, or have
// lost their entry, within some 7 s, and partitions last up to 12 s; one that is
// still missing has gone for good. By then the leader has led on, and everything
// that the missing one could have confirmed alone is at or before the position
// that the leader stated since: the new leader's log must reach it.
const excusedAfter = 15 * time.Second

// absent is an upstream that the store lists no longer. It may have the only
// confirmed copy of a commit: one that is cut off from the store loses its entry
// while it goes on receiving, and a crashed one comes back with its log.
type absent struct {
	entry cataloger.Upstream
	since time.Time
}

// miss notes that a member was taken off the list. The caller has the lock.
func (g *Group) miss(m *member) {
	if g.lost == nil {
		g.lost = map[string]*absent{}
	}
	g.lost[m.id] = &absent{entry: m.entry, since: g.carrier.Now()}
}

// restarted reports whether an entry is of a later start of the same upstream. One
// that doesn't say when it started is taken for the same: earlier platforms say nothing.
func restarted(before, after cataloger.Upstream) bool {
	return !before.Born.IsZero() && before.Born.Before(after.Born)
}

// account drops absent upstreams whose logs are accounted for: they are listed
// again, or another one has taken over their address and with it their log. One that
// has started again holds nothing of before: see forgot. The caller has the lock.
func (g *Group) account() {
	for _, m := range g.members {
		if a := g.lost[m.id]; a != nil && restarted(a.entry, m.entry) {
			g.forgot(m)
		}
		delete(g.lost, m.id)
		for id, a := range g.lost {
			if a.entry.Address == m.entry.Address {
				g.log().Info("carrier: log accounted for", zap.String("group", g.name), zap.String("upstream", id), zap.String("successor", m.id))
				delete(g.lost, id)
			}
		}
	}
}

// forgot takes in that an upstream has started again. It may have had the only
// confirmed copy of what the leader acknowledged until then, so a new leader must have
// all of that: one sees bookings lost when the leader crashes right after such a
// replica, and the other one, which received less, is promoted. What the leader
// confirms from now on, it confirms by copies that are still there. The caller has the
// lock.
func (g *Group) forgot(m *member) {
	m.restart = g.carrier.Now()
	if newest, known := g.samples.last(); known {
		m.floor = newest.mark
	}
}

// settle takes in a position of the leader's that was asked for at a moment. The first
// one after a restart is at or past all that the leader had acknowledged before it.
// The caller has the lock.
func (g *Group) settle(asked time.Time, mark tracker.Mark) {
	for _, m := range g.members {
		if !m.restart.IsZero() && asked.After(m.restart) {
			m.restart, m.floor = time.Time{}, mark
		}
	}
}

func further(a, b tracker.Mark) tracker.Mark {
	if a.Less(b) {
		return b
	}
	return a
}

// missing appends the absent upstreams that a change of leader must reckon with,
// and returns how far the new leader's log must reach in place of the others. The
// caller has the lock.
func (g *Group) missing(seen []UpstreamView, now time.Time) ([]UpstreamView, tracker.Mark) {
	var floor tracker.Mark
	for _, m := range g.members {
		floor = further(floor, m.floor)
	}
	for id, a := range g.lost {
		newest, known := g.samples.last()
		if known && now.Sub(a.since) > excusedAfter && newest.asked.Sub(a.since) > time.Second {
			floor = further(floor, newest.mark)
			continue
		}
		seen = append(seen, UpstreamView{ID: id, StartedAt: a.entry.Born, Leaving: a.entry.Leaving, Ejected: true, Unlisted: true})
	}
	return seen, floor
}

// controlLost sends a control command to an absent upstream, on a connection of
// its own.
func (g *Group) controlLost(id string, deadline time.Time, cmd Command) (Report, error) {
	g.mu.Lock()
	a := g.lost[id]
	g.mu.Unlock()
	if a == nil {
		return Report{}, errors.Wrapf(ErrUnknown, "%s", id)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	l, err := g.carrier.Dial(ctx, a.entry, "")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = l.Close() }() // it has nothing left to say
	answers, _, err := l.Exchange(deadline, cmd)
	if err != nil {
		return Report{}, err
	}
	if answers[0].Code != OK {
		return Report{}, errors.Wrapf(ErrRefused, "%s: %s", answers[0].Code, answers[0].Text)
	}
	return answers[0].Report, nil
}
