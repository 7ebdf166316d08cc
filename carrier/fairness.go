package carrier

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/limiter"
)

const (
	// fairnessInterval is the time between two computations of what this process may have
	// at an upstream. Peers report each half second.
	fairnessInterval = 100 * time.Millisecond
	// maxReportedUses is the number of workspaces that a report of an upstream names.
	maxReportedUses = 6
)

// fairness is the state of fair admission at one upstream. It is guarded by the group's lock.
type fairness struct {
	on        bool
	updatedAt time.Time
	cut       uint8           // the least urgent cut of all gateways
	uses      []limiter.Usage // reused
	weights   map[uint32]float64
}

// weight returns the weight of a workspace, one where none is known.
func (s *fairness) weight(id uint32) float64 {
	if w, ok := s.weights[id]; ok {
		return w
	}
	return 1
}

// workspaceID returns the hash of a workspace's name that gateways exchange.
func workspaceID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// admitFairly waits until a statement may be sent to an upstream that is divided among
// workspaces. The wait ends when the caller is gone.
func (g *Group) admitFairly(ctx context.Context, u *upstream, j *Job, f Features, item limiter.Item, left time.Duration) (limiter.Ticket, Answer) {
	item = j.fairItem(f, item)
	g.setWeight(u, item.Account, item.Weight)
	began := time.Now()
	event := u.gate.Enter(ctx, j.CallerGone, item)
	queued := time.Since(began).Round(time.Millisecond)
	if event.Granted {
		return event.Ticket, Answer{Queued: queued}
	}
	if j.callerGone() {
		return 0, refusal(Busy, "caller has disconnected")
	}
	g.recordRejection(u)
	retryDelay := max(time.Until(event.RetryAt), busyRetryDelay).Round(time.Millisecond)
	text := "upstream is overloaded; come back in " + retryDelay.String()
	if timeLeft := time.Until(j.Deadline); retryDelay > timeLeft {
		text = "upstream is overloaded; no turn within the " + max(timeLeft, 0).Round(time.Millisecond).String() + " until the deadline"
	}
	g.log().Info("carrier: statement not admitted", zap.String("request", j.Request), zap.String("group", g.name), zap.String("upstream", u.id),
		zap.Stringer("cause", event.Cause), zap.Duration("back", retryDelay), zap.Duration("left", left), zap.Bool("leads", j.RequiresLeader()),
		zap.String("workspace", j.Workspace), zap.Int("priority", j.Priority), zap.Int("place", event.Place), zap.Duration("queued", queued))
	answer := refusal(Busy, text)
	answer.Queued, answer.Place = queued, event.Place
	return 0, answer
}

// fairItem adds to an item what the fair policy uses.
func (j *Job) fairItem(f Features, item limiter.Item) limiter.Item {
	item.Account, item.Priority = workspaceID(j.Workspace), uint8(ClampPriority(j.Priority))
	item.Spread, item.Weight = uint32(xxhash.Sum64String(j.Request)), f.weight(j.Workspace)
	return item
}

// charge counts the time that a statement of a transaction has taken since a moment to its
// workspace, unless the statement has passed the upstream's gate.
func (t *Tx) charge(j *Job, since time.Time) {
	f := t.group.registry.features()
	if !t.ungated || !f.FairAdmission {
		return
	}
	t.upstream.gate.Charge(j.fairItem(f, limiter.Item{Class: j.admissionClass()}), t.group.registry.Now().Sub(since))
}

// isAbandoned reports whether a job need not be tried elsewhere because its caller is gone.
func (g *Group) isAbandoned(j *Job) bool {
	return g.registry.features().FairAdmission && j.callerGone()
}

// weight returns the weight of a workspace.
func (f Features) weight(workspace string) float64 {
	if f.Weight == nil {
		return 1
	}
	return f.Weight(workspace)
}

// setWeight records a workspace's weight where it isn't one.
func (g *Group) setWeight(u *upstream, id uint32, weight float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case weight == 1:
		delete(u.fairness.weights, id)
	case u.fairness.weights == nil:
		u.fairness.weights = map[uint32]float64{id: weight}
	default:
		u.fairness.weights[id] = weight
	}
}

// applyFairness brings an upstream's gate up to date with the features in force and with
// what peers have reported, and reports whether it admits fairly.
func (g *Group) applyFairness(u *upstream, f Features) bool {
	now := g.registry.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateFairness(u, f, now)
	return u.fairness.on
}

// updateFairness does the work of applyFairness. The caller must hold g.mu.
func (g *Group) updateFairness(u *upstream, f Features, now time.Time) {
	s := &u.fairness
	switch {
	case f.FairAdmission != s.on:
		*s = fairness{on: f.FairAdmission}
		u.gate.SetFair(s.on)
		if !s.on {
			u.gate.SetWindowMin(g.minWindow(u, g.shareOf(u.id)))
			return
		}
	case !s.on || now.Sub(s.updatedAt) < fairnessInterval && !now.Before(s.updatedAt):
		return
	}
	s.updatedAt = now
	loads, elsewhere := g.loadsAt(u, now)
	u.gate.SetPeers(elsewhere)
	d := limiter.Division{
		Slots: float64(u.slots), Stretch: u.gate.Stretch(), Total: slotFillFactor * float64(u.slots),
		Equal: g.minWindow(u, g.shareOf(u.id)), Mean: u.gate.MeanServiceTime(limiter.Lookup), Weight: s.weight,
	}
	window, less, share := d.Window(loads)
	u.gate.SetLessUrgent(less)
	u.gate.SetShare(share)
	u.gate.SetWindowMin(min(window, maxWindow))
}

// loadsAt returns what this process, first, and its peers have at an upstream, and the
// service time per second that workspaces want there through peers. The caller must hold
// g.mu.
func (g *Group) loadsAt(u *upstream, now time.Time) ([]limiter.Load, map[uint32]time.Duration) {
	u.fairness.cut = u.gate.Cut()
	g.loadsOfPeers(now, u.id, func(l *gossiper.UpstreamLoad) { u.fairness.cut = max(u.fairness.cut, uint8(ClampPriority(l.Cut))) })
	loads := []limiter.Load{u.ownLoad()}
	elsewhere := map[uint32]time.Duration{}
	mean := u.gate.MeanServiceTime(limiter.Lookup)
	g.loadsOfPeers(now, u.id, func(l *gossiper.UpstreamLoad) {
		load := limiter.Load{Rest: milliseconds(l.Rest), Others: l.Others, RestUrgent: milliseconds(l.RestUrgent), Cut: uint8(ClampPriority(l.Cut))}
		for _, w := range l.Used {
			use := limiter.Usage{Account: w.ID, Busy: milliseconds(w.Busy), Waiting: min(w.Waiting, maxQueueLength), Urgent: milliseconds(w.Urgent)}
			load.Used = append(load.Used, use)
			elsewhere[w.ID] += use.Demand(mean)
		}
		loads = append(loads, load)
	})
	return loads, elsewhere
}

// milliseconds returns a reported service time of one second, bounded by what can be right.
func milliseconds(n int) time.Duration {
	return time.Duration(min(n, 1000*maxWindow)) * time.Millisecond
}

// ownLoad returns what this process has at an upstream, as it reports it. The caller must
// hold the group's lock.
func (u *upstream) ownLoad() limiter.Load {
	u.fairness.uses = u.gate.AppendUsage(u.fairness.cut, u.fairness.uses[:0])
	uses := u.fairness.uses
	named := min(len(uses), maxReportedUses)
	l := limiter.Load{Used: uses[:named], Others: len(uses) - named, Cut: u.gate.Cut()}
	for _, w := range uses[named:] {
		l.Rest += w.Busy
		l.RestUrgent += w.Urgent
	}
	return l
}

// addUses adds to a report what the workspaces use. The caller must hold the group's lock.
func (u *upstream) addUses(l *gossiper.UpstreamLoad) {
	own := u.ownLoad()
	for _, w := range own.Used {
		l.Used = append(l.Used, gossiper.WorkspaceUse{ID: w.Account, Busy: int(w.Busy.Milliseconds()), Waiting: w.Waiting, Urgent: int(w.Urgent.Milliseconds())})
	}
	l.Rest, l.Others = int(own.Rest.Milliseconds()), own.Others
	l.Cut, l.RestUrgent = int(own.Cut), int(own.RestUrgent.Milliseconds())
}
