package demonstrator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/internal/faker/upstream"
)

// act is one thing that happens, when a share of all requests has ended.
type act struct {
	at    float64
	title string // what is listed as not shown when do is nil
	do    func(ctx context.Context, c *callers) error
}

// look is how often an act looks whether what it waits for has happened.
const look = 5 * time.Millisecond

// acts returns what happens, in order. One without a function isn't shown yet.
func acts(say *narrator) []act {
	const (
		cutAt    = 0.2
		backAt   = 0.5
		stopAt   = 0.6
		presetAt = 0.8
	)
	return []act{
		{cutAt, "a primary that is cut off and replaced", cutPrimary(say)},
		{backAt, "a replaced primary that comes back", restorePrimary(say)},
		{stopAt, "a proxy that stops gracefully", stopProxy(say)},
		{presetAt, "a preset that changes", changePreset(say)},
	}
}

// cutPrimary cuts a group's primary off from everybody, without a word to its
// callers, and waits for another.
func cutPrimary(say *narrator) func(context.Context, *callers) error {
	return func(ctx context.Context, c *callers) error {
		group, name := c.stage.groups[faulty], c.stage.Groups[faulty].Name
		old := group.Primary()
		if old == nil {
			return errors.Newf("demonstrator: %s has no primary to cut off", name)
		}
		begin := time.Now()
		c.gap.begin()
		c.replaced = old
		old.Cut(upstream.Cut{Silent: true, Replicas: true})
		say.say(c.stage.Name, "%s: the primary %s is cut off and still believes that it leads", name, c.stage.upstream(faulty, old))
		var next *upstream.Upstream
		err := until(ctx, func() bool {
			next = group.Primary()
			return next != old && next != nil
		})
		if err != nil {
			return errors.Wrapf(err, "demonstrator: %s gets no new primary", name)
		}
		c.gap.replaced(time.Now())
		say.say(c.stage.Name, "%s: %s is primary in term %s, %s later", name,
			c.stage.upstream(faulty, next), next.State().Term, time.Since(begin).Round(time.Millisecond))
		return nil
	}
}

// restorePrimary ends the cut: the old primary finds that it leads no more.
func restorePrimary(say *narrator) func(context.Context, *callers) error {
	return func(_ context.Context, c *callers) error {
		c.replaced.Restore()
		say.say(c.stage.Name, "%s: %s can be reached again", c.stage.Groups[faulty].Name, c.stage.upstream(faulty, c.replaced))
		return nil
	}
}

// stopProxy stops one proxy gracefully.
func stopProxy(say *narrator) func(context.Context, *callers) error {
	return func(ctx context.Context, c *callers) error {
		p := c.stage.proxies[len(c.stage.proxies)/2]
		begin := time.Now()
		say.say(c.stage.Name, "proxy %s begins a graceful stop", p.name)
		if err := p.stop(ctx); err != nil {
			return errors.Wrapf(err, "demonstrator: proxy %s", p.name)
		}
		say.say(c.stage.Name, "proxy %s is gone, %s later", p.name, time.Since(begin).Round(time.Millisecond))
		return nil
	}
}

// changePreset puts another preset in force and waits until each proxy that
// runs has it.
func changePreset(say *narrator) func(context.Context, *callers) error {
	return func(ctx context.Context, c *callers) error {
		begin := time.Now()
		version, err := c.stage.activate(ctx, peak)
		if err != nil {
			return err
		}
		say.say(c.stage.Name, "the preset %s is accepted, version %d", peak, version)
		for _, p := range c.stage.proxies {
			if len(p.ended) > 0 {
				continue // stopped
			}
			client := reporter.Client{Address: p.daemon.Operators()}
			err := until(ctx, func() bool {
				s, err := client.Status(ctx)
				return err == nil && s.Version >= version
			})
			if err != nil {
				return errors.Wrapf(err, "demonstrator: proxy %s doesn't take the preset", p.name)
			}
		}
		say.say(c.stage.Name, "the preset %s is in force on every proxy, %s later", peak, time.Since(begin).Round(time.Millisecond))
		return nil
	}
}

// until returns when done says so, or with an error when ctx ends.
func until(ctx context.Context, done func() bool) error {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for !done() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// upstream returns the name of an upstream of the i-th group.
func (s *stage) upstream(i int, u *upstream.Upstream) string {
	for j, one := range s.groups[i].Upstreams {
		if one == u {
			return s.Groups[i].Upstreams[j].Name
		}
	}
	return u.Addr().String()
}
