package promoter

import (
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

const (
	// blindFollows is how many Follows go to an upstream that shows no life.
	blindFollows = 3
	// settleProbes is for how many probe intervals after a change the replicas
	// are watched as closely as the primary.
	settleProbes = 20
)

// repairs reports whether this proxy brings upstreams behind the primary: the
// first live holder and the one that promoted the primary do at once, each other
// holder after a further delay. Were it the first alone, its death right after a
// promotion would leave the primary without replicas, and so without
// acknowledgements, until membership has seen the death.
func (g *Group) repairs() bool {
	rank := g.rank()
	if rank < 0 {
		return false
	}
	place := slices.Index(g.grant.holders, g.Self)
	if rank == 0 || g.term.Epoch == g.grant.record.Epoch && int(g.term.Seq%width) == place {
		return true
	}
	due := g.adopted.Add(time.Duration(rank) * g.set.Deputy)
	g.wake(due)
	return !g.now.Before(due)
}

// repair announces a new primary again, watches the replicas and makes those
// follow that don't. The old primary is brought back the same way: Follow drops
// the part of its log that the new primary doesn't have.
func (g *Group) repair() {
	if g.announce.left > 0 {
		g.repeatAnnounce()
	}
	if g.rank() < 0 {
		return
	}
	interval := g.set.Repair
	if settled := g.adopted.Add(settleProbes * g.set.Probe); g.now.Before(settled) {
		// No write can be acknowledged before a replica follows.
		interval = g.set.Probe
	}
	g.probeStale(interval, "watch over replicas")
	if !g.primary.IsValid() || g.attempt != nil || !g.repairs() {
		return
	}
	for i := range g.upstreams {
		g.repairOne(&g.upstreams[i])
	}
}

func (g *Group) repeatAnnounce() {
	if g.now.Before(g.announce.at) {
		g.wake(g.announce.at)
		return
	}
	g.announce.left--
	g.announce.at = g.now.Add(g.set.Probe)
	g.wake(g.announce.at)
	g.tell("", "new primary")
}

func (g *Group) repairOne(u *upstream) {
	if u.addr == g.primary || g.behind(u) || g.term.Less(u.state.Term) {
		return
	}
	if g.now.Before(u.followAt) {
		g.wake(u.followAt)
		return
	}
	// After some tries wait for a sign of life: orders to an upstream that is
	// gone would only pile up.
	if u.follows >= blindFollows && !u.fresh {
		return
	}
	u.follows++
	u.followAt = g.now.Add(g.set.Retry)
	u.fresh = false
	g.wake(u.followAt)
	g.emit(Follow{
		Upstream: u.addr, Term: g.term, Primary: g.primary,
		Reason: "it is " + u.state.Role.String() + " at " + u.state.Term.String(),
	})
}

// behind reports whether the upstream is known to follow the primary.
func (g *Group) behind(u *upstream) bool {
	return u.state.Role == tracker.Replica && u.state.Term == g.term && u.following == g.primary
}

func (g *Group) followed(ev Stepped) {
	u := g.upstream(ev.Upstream)
	if u == nil || ev.Term != g.term {
		return
	}
	switch ev.Outcome {
	case Done:
		u.following = g.primary
	case Rejected:
		// It has a higher term: its state will show that.
		u.probed = time.Time{}
	}
}
