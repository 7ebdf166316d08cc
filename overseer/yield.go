package overseer

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

// heed takes the lead from an upstream that the holder is replacing, if this
// process reaches it.
func (o *Overseer) heed(g *group, peers []gossiper.Peer, now time.Time) {
	name := g.carried.Name()
	if !g.carried.IsGateway() {
		return // it has no connection to do it on
	}
	for _, p := range peers {
		state := p.Groups[name]
		if state.FencedLeader == "" || state.Token < g.duty.highest || now.Sub(g.heeded) < heedEvery {
			continue
		}
		if seen := g.carried.Observe(); !seen.LeaderAnswers || seen.Leader != state.FencedLeader {
			continue
		}
		g.heeded = now
		o.Log.Info("overseer: taking the lead from an upstream", zap.String("group", name), zap.String("upstream", state.FencedLeader),
			zap.String("holder", p.Name), zap.Uint64("token", state.Token), zap.Stringer("term", state.FenceTerm))
		o.demote(g, state.FencedLeader, state.FenceTerm)
	}
}

// yield takes the lead from an upstream that is cut off together with this process:
// it acknowledges nothing, and none of the others can be reached from here. On the
// other side of the partition another one may be promoted. A replica that joins
// on this side would then confirm commits that wait at the old leader, and that
// the new one lacks: one sees acknowledged commits rolled back seconds later.
// Where the others are only down, this costs another change of leader when one of
// them is back.
func (o *Overseer) yield(g *group, now time.Time) {
	seen := g.carried.Observe()
	if !seen.LeaderAnswers || !seen.CommitStalled {
		g.stuck = time.Time{}
		return
	}
	g.stuck = first(g.stuck, now)
	if !lasted(g.stuck, now, yieldAfter) || now.Sub(g.heeded) < yieldEvery {
		return
	}
	g.heeded = now
	go o.cutOff(g, seen, now.Sub(g.stuck))
}

// cutOff makes a stuck leader yield, unless another upstream answers here: then
// whoever holds the duty replaces it.
func (o *Overseer) cutOff(g *group, seen carrier.Observation, stuck time.Duration) {
	for _, m := range seen.Upstreams {
		if m.ID == seen.Leader {
			continue
		}
		_, err := g.carried.Control(m.ID, time.Now().Add(yieldTimeout), carrier.Command{Verb: carrier.Status})
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return // it answers, or its process is down: no partition
		}
	}
	report, err := g.carried.Control(seen.Leader, time.Now().Add(yieldTimeout), carrier.Command{Verb: carrier.Status})
	if err != nil || !report.Leads {
		o.Log.Info("overseer: no leader any more", zap.String("group", g.carried.Name()), zap.String("upstream", seen.Leader), zap.Error(err))
		return
	}
	o.Log.Warn("overseer: a leader that is cut off yields", zap.String("group", g.carried.Name()), zap.String("upstream", seen.Leader),
		zap.Duration("stuck", stuck), zap.Stringer("term", report.Term))
	o.demote(g, seen.Leader, tracker.Term{Epoch: report.Term.Epoch + 1})
}

// demote takes the lead from an upstream. Whether it follows shows in its next
// answers.
func (o *Overseer) demote(g *group, id string, term tracker.Term) {
	go func() {
		report, err := g.carried.Control(id, time.Now().Add(askTimeout), carrier.Command{Verb: carrier.Demote, Term: term})
		if err != nil {
			o.Log.Info("overseer: lead not taken", zap.String("group", g.carried.Name()), zap.String("upstream", id), zap.Error(err))
			return
		}
		o.Log.Info("overseer: lead taken", zap.String("group", g.carried.Name()), zap.String("upstream", id), zap.Bool("leads", report.Leads))
	}()
}
