package replacer

import (
	"slices"
	"time"

	"basildale.example/basildale/tracker"
)

// simFence is what a process knows of a change of leader that is under way.
type simFence struct {
	seenAt    time.Time // when a lease holder last told
	token     uint64    // of that holder
	leader    string
	term      tracker.Term
	successor string
}

// injectJoins has the leader restart within the time that an order takes, and an upstream
// join.
func (sim *simulation) injectJoins() {
	joining := sim.upstreams[maxUpstreams-1]
	switch n := sim.rng.IntN(60); {
	case n < 2 && sim.leader >= 0:
		sim.upstreams[sim.leader].downUntil = sim.randomTime(100*time.Millisecond, 900*time.Millisecond)
	case n == 2 && joining.notJoined:
		joining.notJoined, joining.id, joining.idSince = false, sim.newID(), sim.now
	}
}

func (f simFence) isUnderWay() bool { return f.term.Epoch > 0 || f.successor != "" }

// learnFences has the processes learn of changes of leader that are under way from the lease
// holder, if they hear of it.
func (sim *simulation) learnFences() {
	for i, p := range sim.procs {
		for j, h := range sim.procs {
			if h.token == sim.issuedToken && (i == j || sim.canCommunicate(i, j)) {
				leader, term := h.r.FenceTarget()
				told := simFence{seenAt: sim.now, token: h.token, leader: leader, term: term, successor: h.r.Successor()}
				if told.isUnderWay() || told.token == p.fence.token {
					p.fence = told
				}
			}
		}
		if sim.now.Sub(p.fence.seenAt) >= fenceHold {
			p.fence = simFence{}
		}
	}
}

// sends reports whether a process sends writes to the leader and passes on its answers.
func (sim *simulation) sends(i int) bool {
	if !sim.procs[i].reaches[sim.leader] {
		return false
	}
	f, id := sim.procs[i].fence, sim.upstreams[sim.leader].id
	if sim.variant == ignoreFence || f.term.Epoch == 0 {
		return true
	}
	return f.successor == id || f.successor == "" && f.leader != id
}

// successorHas reports whether a process knows that the successor of a planned change has a
// commit, or knows of no such change.
func (sim *simulation) successorHas(i, n int) bool {
	f := sim.procs[i].fence
	if sim.variant == ignoreFence || f.term.Epoch > 0 || f.successor == "" {
		return true
	}
	return slices.ContainsFunc(sim.upstreams[:], func(u *simUpstream) bool { return u.id == f.successor && slices.Contains(u.log, n) })
}
