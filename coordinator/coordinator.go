package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
)

const (
	// backlog bounds the events that wait for the control goroutine. A sender
	// that finds it full waits: the senders are bounded in number themselves.
	backlog = 1024
	// sendWithin bounds a message that nobody waits for.
	sendWithin = 2 * time.Second
	// announceWithin bounds the telling of one peer that this process leaves.
	announceWithin = time.Second
)

// Coordinator runs one process's control. Set the exported fields before Run.
type Coordinator struct {
	// Control is the state machine. Its Standalone is set when Platform is nil.
	Control controller.Controller
	// Platform is nil for a process without one, which serves Static.
	Platform *keeper.Client
	Static   []controller.Group
	// Peers and Upstreams are how the others are reached. Peers may be nil.
	Peers     *messenger.Messenger
	Upstreams *commander.Commander
	// Sampling is the pace at which upstreams are asked for their states.
	Sampling Sampling
	// OnView, OnConfig and OnMembers are called by the control goroutine when
	// something new is published; they must not block. Nil: nobody is told.
	OnView    func(*controller.Published)
	OnConfig  func(*controller.Reconfigured)
	OnMembers func([]membership.Member)
	// OnListed gets the proxies of each list that the platform has answered. It is
	// called by the goroutine that reads the list and must not block.
	OnListed func([]membership.Instance)
	// Log gets the lines of the process; nil means none.
	Log *zap.Logger

	once    sync.Once
	events  chan controller.Event
	asks    chan func()
	done    chan struct{}
	ready   chan struct{}
	opened  bool
	ctx     context.Context //nolint:containedctx // ends with Run, not with one call
	cancel  context.CancelFunc
	work    sync.WaitGroup
	tells   sync.WaitGroup // announcements under way
	views   sync.Map       // group name to *atomic.Pointer[controller.Published]
	config  atomic.Pointer[controller.Reconfigured]
	members atomic.Pointer[[]membership.Member]
	tickets tickets
	pacer   pacer
}

func (c *Coordinator) prepare() {
	c.events = make(chan controller.Event, backlog)
	c.asks = make(chan func())
	c.done = make(chan struct{})
	c.ready = make(chan struct{})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	c.Control.Standalone = c.Platform == nil
	c.Sampling.defaults()
}

// Ready is closed when groups are known, so that callers can be served.
func (c *Coordinator) Ready() <-chan struct{} {
	c.once.Do(c.prepare)
	return c.ready
}

// View returns what traffic knows of a group; nil: there is no such group.
func (c *Coordinator) View(group string) *controller.Published {
	p, ok := c.views.Load(group)
	if !ok {
		return nil
	}
	return p.(*atomic.Pointer[controller.Published]).Load()
}

// Config returns the configuration in force; nil before the first.
func (c *Coordinator) Config() *controller.Reconfigured { return c.config.Load() }

// Members returns the live proxies as last published, this one included.
func (c *Coordinator) Members() []membership.Member {
	if m := c.members.Load(); m != nil {
		return *m
	}
	return nil
}

// Tell hands the controller an event. It waits while the backlog is full.
func (c *Coordinator) Tell(ev controller.Event) {
	c.once.Do(c.prepare)
	select {
	case c.events <- ev:
	case <-c.done:
	}
}

// Offer hands the controller an event unless the backlog is full. It never
// waits, so it is for traffic, which may not depend on the control goroutine.
func (c *Coordinator) Offer(ev controller.Event) bool {
	c.once.Do(c.prepare)
	select {
	case c.events <- ev:
		return true
	default:
		return false
	}
}

// ErrStopped says that Run has ended.
var ErrStopped = errors.New("coordinator: stopped")

// Ask runs f in the control goroutine, where it may read the controller, and
// returns when it has run. If Run has ended, or the context ends before the
// control goroutine takes f, f doesn't run and the error says why.
func (c *Coordinator) Ask(ctx context.Context, f func(*controller.Controller)) error {
	c.once.Do(c.prepare)
	ran := make(chan struct{})
	select {
	case c.asks <- func() { f(&c.Control); close(ran) }:
		<-ran
		return nil
	case <-c.done:
		return ErrStopped
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "coordinator: the control goroutine is busy")
	}
}

// Run works until ctx ends, and returns when all that it started has ended.
func (c *Coordinator) Run(ctx context.Context) {
	c.once.Do(c.prepare)
	defer c.work.Wait()
	defer c.cancel()
	defer close(c.done)
	c.background()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev controller.Event
		select {
		case <-ctx.Done():
			return
		case f := <-c.asks:
			f()
			continue
		case ev = <-c.events:
		case <-timer.C:
			ev = controller.Tick{}
		}
		c.run(c.Control.Handle(ev, time.Now()))
		c.arm(timer)
	}
}

func (c *Coordinator) arm(timer *time.Timer) {
	if next := c.Control.Next(); !next.IsZero() {
		timer.Reset(max(0, time.Until(next)))
	}
}

// background starts what asks by itself: samples and the list of instances.
func (c *Coordinator) background() {
	if c.Platform == nil {
		c.spawn(func(context.Context) { c.Tell(controller.Start{Groups: c.Static}) })
	} else {
		c.spawn(c.list)
	}
	c.spawn(c.sample)
}

// spawn runs f until it ends by itself or Run does.
func (c *Coordinator) spawn(f func(ctx context.Context)) {
	c.work.Go(func() { f(c.ctx) })
}

// within runs f with a deadline, in a goroutine of its own.
func (c *Coordinator) within(deadline time.Time, f func(ctx context.Context)) {
	c.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		f(ctx)
	})
}

func (c *Coordinator) run(cmds []controller.Command) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case controller.Member:
			c.member(cmd.Command)
		case controller.Configure:
			c.configure(cmd.Command)
		case controller.Promote:
			c.promote(cmd.Group, cmd.Command)
		case controller.Ask:
			c.within(time.Now().Add(c.Sampling.Within), func(ctx context.Context) {
				c.state(ctx, cmd.Group, cmd.Upstream, true)
			})
		case controller.Publish:
			c.publish(cmd.Group)
		case controller.Reconfigure:
			c.reconfigure(cmd.Configuration)
		}
	}
}

func (c *Coordinator) publish(p *controller.Published) {
	slot, _ := c.views.LoadOrStore(p.Name, new(atomic.Pointer[controller.Published]))
	slot.(*atomic.Pointer[controller.Published]).Store(p)
	if c.OnView != nil {
		c.OnView(p)
	}
	if !c.opened && c.Control.Ready() {
		c.opened = true
		close(c.ready)
	}
}

func (c *Coordinator) reconfigure(r *controller.Reconfigured) {
	c.config.Store(r)
	known := make(map[string]bool, len(r.Groups))
	for _, g := range r.Groups {
		known[g.Name] = true
	}
	c.views.Range(func(name, _ any) bool {
		if !known[name.(string)] {
			c.views.Delete(name)
		}
		return true
	})
	c.pacer.set(r.Groups)
	if c.OnConfig != nil {
		c.OnConfig(r)
	}
	c.Log.Info("coordinator: configuration in force", zap.Uint64("version", c.Control.Version()), zap.Int("groups", len(r.Groups)))
}
