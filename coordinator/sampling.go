package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/promoter"
)

// Sampling is the pace at which upstreams are asked for their states. Zero
// fields take the defaults.
type Sampling struct {
	// Active is the time between two samples of an upstream whose group has had
	// traffic lately, Idle where it hasn't.
	Active time.Duration
	Idle   time.Duration
	// Lately is how long after its last request a group counts as active.
	Lately time.Duration
	// Within bounds one sample.
	Within time.Duration
	// List is the time between two readings of the platform's list.
	List time.Duration
}

func (s *Sampling) defaults() {
	def := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	def(&s.Active, 500*time.Millisecond)
	def(&s.Idle, time.Second)
	def(&s.Lately, 2*time.Second)
	def(&s.Within, 500*time.Millisecond)
	def(&s.List, time.Second)
}

// sampled is one upstream that is asked at intervals.
type sampled struct {
	group    string
	upstream netip.AddrPort
	used     *atomic.Int64 // when its group last had traffic, nanoseconds since the start
	due      time.Time
	busy     atomic.Bool
}

// pacer knows when each upstream is to be asked next.
type pacer struct {
	mu    sync.Mutex
	start time.Time
	used  map[string]*atomic.Int64
	all   []*sampled
}

func (p *pacer) set(groups []controller.Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.start.IsZero() {
		p.start = time.Now()
	}
	used := make(map[string]*atomic.Int64, len(groups))
	p.all = nil
	for _, g := range groups {
		used[g.Name] = p.used[g.Name]
		if used[g.Name] == nil {
			used[g.Name] = new(atomic.Int64)
		}
		for _, u := range g.Upstreams {
			p.all = append(p.all, &sampled{group: g.Name, upstream: u.Address, used: used[g.Name]})
		}
	}
	p.used = used
}

// Used tells that a group has traffic, so that its upstreams are asked more
// often. It returns a function that is cheap to call for each statement.
func (c *Coordinator) Used(group string) func(now time.Time) {
	c.pacer.mu.Lock()
	defer c.pacer.mu.Unlock()
	used := c.pacer.used[group]
	if used == nil {
		return func(time.Time) {}
	}
	start := c.pacer.start
	return func(now time.Time) { used.Store(int64(now.Sub(start))) }
}

// due returns the upstreams to be asked now. One that still owes an answer isn't
// asked again: questions would pile up in front of a frozen upstream.
func (p *pacer) due(s *Sampling, now time.Time) []*sampled {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*sampled
	for _, one := range p.all {
		if now.Before(one.due) || !one.busy.CompareAndSwap(false, true) {
			continue
		}
		pause := s.Idle
		if at := one.used.Load(); at > 0 && now.Sub(p.start.Add(time.Duration(at))) < s.Lately {
			pause = s.Active
		}
		one.due = now.Add(pause)
		list = append(list, one)
	}
	return list
}

// sample asks the upstreams for their states until ctx ends.
func (c *Coordinator) sample(ctx context.Context) {
	ticker := time.NewTicker(c.Sampling.Active)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, one := range c.pacer.due(&c.Sampling, now) {
				c.within(now.Add(c.Sampling.Within), func(ctx context.Context) {
					defer one.busy.Store(false)
					c.state(ctx, one.group, one.upstream, true)
				})
			}
		}
	}
}

// list reads the platform's list of instances until ctx ends. The groups'
// records come along: they change a few times a day, and a proxy that missed an
// announcement learns the holders from them.
func (c *Coordinator) list(ctx context.Context) {
	backoff := keeper.NewBackoff()
	var unread unreadInstances
	for ctx.Err() == nil {
		pause := c.Sampling.List
		items, err := c.Platform.Instances(ctx, "")
		if err != nil {
			pause = max(pause, backoff.NextBackOff())
			c.Log.Debug("coordinator: no list of instances", zap.Error(err))
		} else {
			backoff.Reset()
			unread.log(c.Log, items)
			ev := listed(items)
			c.Tell(ev)
			if c.OnListed != nil {
				c.OnListed(ev.Proxies)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// unreadInstances holds the lines of the last list that can't be decoded, by name, so that each
// is logged once instead of with each list.
type unreadInstances map[string]string

func (u *unreadInstances) log(log *zap.Logger, items []keeper.Instance) {
	now := unreadInstances{}
	for _, i := range items {
		if i.Unread == nil {
			continue
		}
		now[i.Name] = i.Unread.Error()
		if (*u)[i.Name] != now[i.Name] {
			log.Error("coordinator: instance can't be read", zap.String("instance", i.Name), zap.String("error", now[i.Name]))
		}
	}
	*u = now
}

func listed(items []keeper.Instance) controller.Listed {
	var ev controller.Listed
	for _, i := range items {
		leaving := i.State == "leaving"
		switch i.Role {
		case "proxy":
			ev.Proxies = append(ev.Proxies, membership.Instance{Addr: i.Address, Zone: i.Zone, Leaving: leaving})
		case "upstream":
			if leaving {
				ev.Leaving = append(ev.Leaving, i.Address)
			} else {
				ev.Live = append(ev.Live, i.Address)
			}
		}
	}
	return ev
}

// Move asks for a planned change of a group's primary before the deadline.
func (c *Coordinator) Move(group string, target netip.AddrPort, deadline time.Time) {
	c.Tell(controller.Promotion{Group: group, Event: promoter.Move{Target: target, Deadline: deadline}})
}
