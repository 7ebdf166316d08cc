package overseer

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
	"basildale.example/basildale/tracker"
)

// Times of the control loop.
const (
	// period is the time between two looks at the groups. Each step of a change of
	// leader waits for half of it, in the mean.
	period = 50 * time.Millisecond
	// stoodStill is the time between two looks beyond which this process was
	// stopped: what it believed of others is void.
	stoodStill = 600 * time.Millisecond
	// dwell is how long trouble must last, by all who vote, before a leader is
	// replaced.
	dwell = 100 * time.Millisecond
	// shunned is how long many peers must miss a leader that this process
	// reaches, or see it fail, before it is replaced as planned.
	shunned = 700 * time.Millisecond
	// excused is how long the leaders that follow one that failed aren't replaced for
	// failing. Where they fail as well it is the statements that are wrong, and another
	// change would mend nothing.
	excused = 30 * time.Second
	// settling is the time after its start in which a process replaces nobody: it
	// knows neither peers nor leaders yet.
	settling = 2 * time.Second
	// resigned is how long a process that gave a duty up leaves it to others.
	resigned = 6 * time.Second
	// yieldAfter is how long a leader must have acknowledged nothing, while this
	// process reaches none of the others, before it is made to yield. It counts
	// from when the leader counts as stuck, 0.7 s after the first write.
	yieldAfter = 500 * time.Millisecond
	// yieldEvery is the time between two such tries, and yieldTimeout how long each
	// of the others has to answer first.
	yieldEvery   = time.Second
	yieldTimeout = 250 * time.Millisecond
	// heedEvery is the time between two tries to take the lead from an upstream.
	heedEvery = 200 * time.Millisecond
	// askTimeout bounds one question to an upstream.
	askTimeout = 500 * time.Millisecond
)

// Overseer runs the control loop. Set the exported fields before Run.
type Overseer struct {
	Name  string
	Start int64
	// Groups returns the groups of this process.
	Groups func() []*carrier.Group
	Store  *keeper.Client
	// Live returns the peers that were heard lately.
	Live func() []gossiper.Peer
	// Promote gives an order to the platform.
	Promote func(context.Context, replacer.Order) (replacer.Outcome, error)
	// Tell, when set, sends the states to peers at once. Waiting for the next round
	// of gossip would add an eighth of a second to a change of leader, in the mean.
	Tell func()
	// Leaving reports whether this process stops.
	Leaving func() bool
	Now     func() time.Time
	Log     *zap.Logger

	groups map[string]*group
	events chan func(now time.Time)
	ticked time.Time
	begun  time.Time

	mu     sync.Mutex
	states map[string]gossiper.GroupState // published
}

// group is the control state of one database group.
type group struct {
	carried  *carrier.Group
	duty     duty
	replacer replacer.Replacer
	bad      time.Time // since when most who vote see trouble
	stuck    time.Time // since when a leader that is cut off acknowledges nothing
	heeded   time.Time // when a fence was last carried out
	missed   time.Time // since when many peers miss a leader that works here
	leader   string    // that was seen last
	failed   bool      // somebody saw it fail
	blamed   time.Time // when a leader that failed was last replaced
}

// States returns what this process says of its groups, for gossip.
func (o *Overseer) States() map[string]gossiper.GroupState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.states
}

// Run runs the control loop until the context ends.
func (o *Overseer) Run(ctx context.Context) {
	o.groups = map[string]*group{}
	o.events = make(chan func(time.Time), 256)
	o.begun = o.Now()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.events:
			f(o.Now())
		case <-ticker.C:
			o.tick(ctx, o.Now())
		}
	}
}

func (o *Overseer) tick(ctx context.Context, now time.Time) {
	stood := !o.ticked.IsZero() && now.Sub(o.ticked) > stoodStill
	o.ticked = now
	if stood {
		o.Log.Warn("overseer: this process stood still; its duties are given up")
		o.begun = now
	}
	peers := o.Live()
	states := map[string]gossiper.GroupState{}
	for _, c := range o.Groups() {
		g := o.group(c)
		if stood {
			// Another process may have taken the duty meanwhile.
			g.duty = duty{highest: g.duty.highest}
			g.bad, g.missed = time.Time{}, time.Time{}
		}
		g.duty.hear(c.Name(), peers, now)
		view := o.view(g, peers, now)
		o.heed(g, peers, now)
		o.yield(g, now)
		if c.Carries() || g.duty.token > 0 {
			states[c.Name()] = o.state(g, view.Leader)
		}
		if o.wants(&g.duty, c.Name(), peers, now) {
			g.duty.claiming = true
			go o.deliver(ctx, c.Name())
		}
		o.run(ctx, g, g.replacer.Handle(replacer.Tick{View: view}, now))
	}
	o.mu.Lock()
	news := telling(o.states, states)
	o.states = states
	o.mu.Unlock()
	if news && o.Tell != nil {
		o.Tell()
	}
}

// state returns what this process says of a group. It says nothing of groups that
// it neither carries for nor has the duty for: that would be most of a datagram.
func (o *Overseer) state(g *group, leader string) gossiper.GroupState {
	fenced, term := g.replacer.Fencing()
	return gossiper.GroupState{
		Leader: leader, Trouble: trouble(g.carried.Observe()), Carries: g.carried.Carries(),
		Token: g.duty.token, Fenced: fenced, FenceTerm: term,
	}
}

// telling reports whether peers should hear of the new states at once: who votes
// on a leader, holds a duty, or carries for others, has changed.
func telling(before, after map[string]gossiper.GroupState) bool {
	for name, state := range after {
		old := before[name]
		if old.Trouble != state.Trouble || old.Token != state.Token || old.Fenced != state.Fenced || old.Carries != state.Carries {
			return true
		}
	}
	return false
}

// deliver takes a duty and hands the outcome to the control loop.
func (o *Overseer) deliver(ctx context.Context, name string) {
	c := o.claim(ctx, name)
	o.post(ctx, func(now time.Time) { o.took(c, now) })
}

// post hands an event to the control loop, while that runs.
func (o *Overseer) post(ctx context.Context, event func(now time.Time)) {
	select {
	case o.events <- event:
	case <-ctx.Done():
	}
}

func (o *Overseer) group(c *carrier.Group) *group {
	g := o.groups[c.Name()]
	if g == nil {
		g = &group{carried: c, replacer: replacer.Replacer{Group: c.Name()}}
		o.groups[c.Name()] = g
	}
	return g
}

func trouble(v carrier.Observation) gossiper.Trouble {
	switch {
	case !v.Leads:
		return gossiper.Unreachable
	case v.Stuck:
		return gossiper.Stuck
	case v.Failing:
		return gossiper.Failing
	default:
		return gossiper.NoTrouble
	}
}

// view puts together what this process and its peers see of a group.
func (o *Overseer) view(g *group, peers []gossiper.Peer, now time.Time) replacer.View {
	seen := g.carried.Observe()
	bad, failing, voters := votes(g.carried.Name(), peers)
	own := trouble(seen)
	if own == gossiper.Failing {
		failing++
	}
	if g.excuses(seen.Leader, failing > 0, now) {
		failing = 0
	}
	if !g.carried.Carries() {
		return replacer.View{} // it sees nothing of the group itself
	}
	if !own.Reaches() && 2*(bad+1) > voters+1 {
		g.bad = first(g.bad, now)
	} else {
		g.bad = time.Time{}
	}
	if own.Reaches() && 5*(bad+failing) >= 2*(voters+1) {
		g.missed = first(g.missed, now)
	} else {
		g.missed = time.Time{}
	}
	settled := now.Sub(o.begun) > settling
	v := replacer.View{
		Leader:  seen.Leader,
		Leads:   seen.Leads,
		Dead:    settled && lasted(g.bad, now, dwell),
		Stuck:   own == gossiper.Stuck,
		Reached: reached(g.carried.Name(), seen.Leader, peers, now),
		Floor:   seen.Floor,
		Shunned: settled && lasted(g.missed, now, shunned),
		Term:    seen.Term,
		Token:   g.duty.token,
	}
	for _, m := range seen.Members {
		v.Members = append(v.Members, replacer.Member{ID: m.ID, Leaving: m.Leaving, Lost: m.Lost})
	}
	return v
}

func first(t, now time.Time) time.Time {
	if t.IsZero() {
		return now
	}
	return t
}

func lasted(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}

// excuses reports whether a leader that fails is left alone, since one that failed
// was replaced a while ago. failing says that somebody sees the present one fail.
func (g *group) excuses(leader string, failing bool, now time.Time) bool {
	if g.leader != "" && leader != g.leader && g.failed {
		g.blamed = now
	}
	g.leader, g.failed = leader, failing
	return !g.blamed.IsZero() && now.Sub(g.blamed) < excused
}

// votes counts the peers that don't reach a group's leader or can't write there,
// those that see it fail, and all peers that know the group.
func votes(name string, peers []gossiper.Peer) (bad, failing, voters int) {
	for _, p := range peers {
		state, knows := p.Groups[name]
		if !knows || p.Leaving || !state.Carries {
			continue
		}
		voters++
		switch {
		case state.Trouble == gossiper.Failing:
			failing++
		case state.Trouble != gossiper.NoTrouble:
			bad++
		}
	}
	return bad, failing, voters
}

// reached reports whether a peer that was heard lately reaches the leader.
func reached(name, leader string, peers []gossiper.Peer, now time.Time) bool {
	for _, p := range peers {
		state, knows := p.Groups[name]
		if now.Sub(p.Heard) < lately && knows && state.Carries && state.Leader == leader && state.Trouble.Reaches() {
			return true
		}
	}
	return false
}

// heed takes the lead from an upstream that the holder is replacing, if this
// process reaches it.
func (o *Overseer) heed(g *group, peers []gossiper.Peer, now time.Time) {
	name := g.carried.Name()
	if !g.carried.Carries() {
		return // it has no connection to do it on
	}
	for _, p := range peers {
		state := p.Groups[name]
		if state.Fenced == "" || state.Token < g.duty.highest || now.Sub(g.heeded) < heedEvery {
			continue
		}
		if seen := g.carried.Observe(); !seen.Leads || seen.Leader != state.Fenced {
			continue
		}
		g.heeded = now
		o.Log.Info("overseer: taking the lead from an upstream", zap.String("group", name), zap.String("upstream", state.Fenced),
			zap.String("holder", p.Name), zap.Uint64("token", state.Token), zap.Stringer("term", state.FenceTerm))
		o.demote(g, state.Fenced, state.FenceTerm)
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
	if !seen.Leads || !seen.Stuck {
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
	for _, m := range seen.Members {
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

// run carries out what the replacer of a group wants.
func (o *Overseer) run(ctx context.Context, g *group, commands []replacer.Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case replacer.Explain:
			o.Log.Info("overseer: "+cmd.Step, zap.String("group", g.carried.Name()), zap.String("upstream", cmd.Target),
				zap.String("cause", cmd.Cause), zap.Uint64("token", g.duty.token))
		case replacer.Halt:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Suspend, Term: cmd.Term})
		case replacer.Demote:
			o.demote(g, cmd.ID, cmd.Term)
		case replacer.Look:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Status})
		case replacer.Release:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Resume})
		case replacer.Resign:
			o.resign(g)
		case replacer.Promote:
			o.order(ctx, g, cmd.Order)
		}
	}
}

// resign gives the duty up, unless nobody else could take it.
func (o *Overseer) resign(g *group) {
	if len(o.Live()) == 0 {
		return
	}
	g.duty.token = 0
	g.duty.next = o.Now().Add(resigned)
}

// ask sends a control command to an upstream; its answer comes back as an event.
func (o *Overseer) ask(ctx context.Context, g *group, id string, cmd carrier.Command) {
	go func() {
		report, err := g.carried.Control(id, time.Now().Add(askTimeout), cmd)
		if err != nil {
			o.Log.Info("overseer: upstream didn't follow an order", zap.String("group", g.carried.Name()), zap.String("upstream", id), zap.Error(err))
		}
		ev := replacer.Reported{
			ID: id, OK: err == nil, Term: report.Term, Leads: report.Leads,
			Received: report.Received, Held: report.Held,
		}
		o.post(ctx, func(now time.Time) { o.run(ctx, g, g.replacer.Handle(ev, now)) })
	}()
}

// order gives an order to the platform; the answer comes back as an event.
func (o *Overseer) order(ctx context.Context, g *group, order replacer.Order) {
	go func() {
		outcome, err := o.Promote(ctx, order)
		if err != nil {
			outcome = replacer.NoAnswer
		}
		o.Log.Info("overseer: order answered", zap.String("group", order.Group), zap.String("upstream", order.Upstream),
			zap.Uint64("token", order.Token), zap.Stringer("outcome", outcome), zap.Error(err))
		o.post(ctx, func(now time.Time) {
			if outcome == replacer.Rejected {
				o.rejected(g, order, now)
			}
			o.run(ctx, g, g.replacer.Handle(replacer.Ordered{Order: order, Outcome: outcome}, now))
		})
	}()
}

// rejected gives the duty up: the platform may have seen a higher token, and one
// that was refused is never used again.
func (o *Overseer) rejected(g *group, order replacer.Order, now time.Time) {
	if g.duty.token != order.Token {
		return
	}
	g.duty.token = 0
	g.duty.next = now
	g.duty.heard = now.Add(-holderSilence)
}
