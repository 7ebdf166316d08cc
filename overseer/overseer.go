package overseer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/replacer"
)

// Times of the control loop.
const (
	// period is the time between two looks at the groups. Each step of a change of
	// leader waits for half of it, in the mean.
	period = 50 * time.Millisecond
	// unconcerned is the same while no group concerns this process.
	unconcerned = 4 * period
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
	// alone is how long a leader must have had more work than it can do, while all
	// replicas were too late for any read, before it is replaced as planned.
	alone = 500 * time.Millisecond
	// relieved is how long a group's leader isn't replaced for that again. When it is
	// again soon after, the time is doubled, up to mostRelieved: another change hasn't
	// helped, and each costs some statements.
	relieved     = 15 * time.Second
	mostRelieved = 4 * time.Minute
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
	// Era returns the store's era as far as this process knows it.
	Era func() uint64
	// Live returns the peers that were heard lately.
	Live func() []gossiper.Peer
	// IsPartitioned, when set, reports whether this process has peers and hears none of them.
	IsPartitioned func() bool
	// Promote gives an order to the platform.
	Promote func(context.Context, replacer.Order) (replacer.Outcome, error)
	// NotifyPeers, when set, sends the states to peers at once. Waiting for the next round
	// of gossip would add an eighth of a second to a change of leader, in the mean.
	NotifyPeers func()
	// Leaving reports whether this process stops.
	Leaving func() bool
	Now     func() time.Time
	Log     *zap.Logger

	claims atomic.Uint64 // made by this run
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
	bad      time.Time     // since when most who vote see trouble
	stuck    time.Time     // since when a leader that is cut off acknowledges nothing
	heeded   time.Time     // when a fence was last carried out
	missed   time.Time     // since when many peers miss a leader that works here
	leader   string        // that was seen last
	failed   bool          // somebody saw it fail
	blamed   time.Time     // when a leader that failed was last replaced
	alone    time.Time     // since when the leader is alone with too much work
	relieved time.Time     // when it was last replaced for that
	pause    time.Duration // until it may be again

	concerned bool // this process looked at the group the last time
}

// States returns what this process says of its groups, for gossip.
func (o *Overseer) States() map[string]gossiper.GroupState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.states
}

// LeaderFault returns what this process finds wrong with a group's leader.
func (o *Overseer) LeaderFault(group string) gossiper.LeaderFault {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.states[group].LeaderFault
}

// Run runs the control loop until the context ends.
func (o *Overseer) Run(ctx context.Context) {
	o.groups = map[string]*group{}
	o.events = make(chan func(time.Time), 256)
	o.begun = o.Now()
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-o.events:
			f(o.Now())
		case <-timer.C:
			if o.tick(ctx, o.Now()) {
				timer.Reset(period)
			} else {
				timer.Reset(unconcerned)
			}
		}
	}
}

// tick looks at the groups that concern this process, and reports whether any does.
func (o *Overseer) tick(ctx context.Context, now time.Time) bool {
	stood := !o.ticked.IsZero() && now.Sub(o.ticked) > stoodStill
	o.ticked = now
	if stood {
		o.Log.Warn("overseer: this process stood still; its duties are given up")
		o.begun = now
	}
	concerned := o.concerned()
	var peers []gossiper.Peer
	if len(concerned) > 0 {
		peers = o.Live()
	}
	states := make(map[string]gossiper.GroupState, len(concerned))
	for _, g := range concerned {
		c := g.carried
		if stood {
			// Another process may have taken the duty meanwhile.
			g.duty = duty{highest: g.duty.highest}
			g.bad, g.missed = time.Time{}, time.Time{}
		}
		g.duty.hear(c.Name(), peers, now)
		if g.duty.abandon(c.IsGateway()) {
			o.Log.Info("overseer: duty given up, other processes carry for the group now", zap.String("group", c.Name()))
		}
		view := o.view(g, peers, now)
		o.heed(g, peers, now)
		o.yield(g, now)
		if c.IsGateway() || g.duty.token > 0 {
			states[c.Name()] = o.state(g, view.Leader)
		}
		if o.wants(&g.duty, c.Name(), peers, now) || o.renews(g, now) {
			g.duty.claiming = true
			go o.deliver(ctx, c.Name())
		}
		o.run(ctx, g, g.replacer.Handle(replacer.Tick{View: view}, now))
	}
	o.mu.Lock()
	news := telling(o.states, states)
	o.states = states
	o.mu.Unlock()
	if news && o.NotifyPeers != nil {
		o.NotifyPeers()
	}
	return len(concerned) > 0
}

// concerned returns the groups that this process has to look at.
func (o *Overseer) concerned() []*group {
	var out []*group
	for _, c := range o.Groups() {
		if g := o.group(c); g.concerns() {
			out = append(out, g)
		}
	}
	return out
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

// concerns reports whether this process has to look at the group: it carries for it, has
// the duty, or did so at the last look, whose traces are still to be taken away. All
// others are left out: where some of a large fleet carry for each of many groups, 20
// looks a second at all of them take most of a small machine's processor.
func (g *group) concerns() bool {
	was := g.concerned
	g.concerned = g.carried.IsGateway() || g.duty.token > 0 || g.duty.claiming
	if g.concerned && !was {
		g.duty.heard = time.Time{} // it has yet to hear who has the duty
	}
	return was || g.concerned
}

func (o *Overseer) group(c *carrier.Group) *group {
	g := o.groups[c.Name()]
	if g == nil {
		g = &group{carried: c, replacer: replacer.Replacer{Group: c.Name()}}
		o.groups[c.Name()] = g
	}
	return g
}

// run carries out what the replacer of a group wants.
func (o *Overseer) run(ctx context.Context, g *group, commands []replacer.Command) {
	for _, cmd := range commands {
		switch cmd := cmd.(type) {
		case replacer.LogStep:
			o.Log.Info("overseer: "+cmd.Step, zap.String("group", g.carried.Name()), zap.String("upstream", cmd.Target),
				zap.String("cause", cmd.Cause), zap.Uint64("token", g.duty.token))
		case replacer.Suspend:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Suspend, Term: cmd.Term})
		case replacer.Demote:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Demote, Term: cmd.Term})
		case replacer.Poll:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Status})
		case replacer.Resume:
			o.ask(ctx, g, cmd.ID, carrier.Command{Verb: carrier.Resume})
		case replacer.ReleaseLease:
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
	asked := o.Now()
	go func() {
		report, err := g.carried.Control(id, time.Now().Add(askTimeout), cmd)
		if err != nil {
			o.Log.Info("overseer: upstream didn't follow an order", zap.String("group", g.carried.Name()), zap.String("upstream", id), zap.Error(err))
		}
		ev := replacer.UpstreamReport{
			ID: id, RequestedAt: asked, OK: err == nil, Term: report.Term, Leads: report.Leads,
			Received: report.Received, SuspendedTerm: report.Held,
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
			if outcome == replacer.Rejected && g.replacer.IsLatestOrder(order) {
				o.rejected(g, order, now)
			}
			o.run(ctx, g, g.replacer.Handle(replacer.OrderAnswer{Order: order, Outcome: outcome}, now))
		})
	}()
}

// rejected gives the duty up: the platform may have seen a higher token, and one
// that was refused is never used again.
func (o *Overseer) rejected(g *group, order replacer.Order, now time.Time) {
	if order.Token < g.duty.token || order.Token-g.duty.token >= replacer.TokenBlockSize {
		return // of an earlier duty
	}
	g.duty.token = 0
	g.duty.next = now
	g.duty.heard = now.Add(-holderSilence)
}
