package demonstrator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/generator"
)

// DefaultRequests is how many requests come to each group when none are set:
// some 24 s at the rate of the callers.
const DefaultRequests = 24 * DefaultRate

// limit ends a demonstration that doesn't come to its end by itself, for
// instance because nothing is answered any more. A whole one takes some 26 s; a
// short one under the race detector beside three times as many busy processes as
// processors took up to 41 s.
const limit = 3 * time.Minute

// play lets callers come and things happen, in all deployments at once, and
// checks what is left.
func (d *Demo) play(ctx context.Context, say *narrator, stages []*stage) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	requests := d.Requests
	if requests == 0 {
		requests = DefaultRequests
	}
	outcomes := make([]Outcome, len(stages))
	failed := make([]error, len(stages))
	script := acts(say)
	var running sync.WaitGroup
	for i, s := range stages {
		running.Go(func() {
			c := newCallers(s, requests, d.Seed+uint64(i)*uint64(len(s.groups)))
			if d.Rate > 0 {
				c.rate = d.Rate
			}
			outcomes[i], failed[i] = d.perform(ctx, say, c, script)
		})
	}
	running.Wait()
	if err := errors.Join(failed...); err != nil {
		return nil, err
	}
	report := &Report{Outcomes: outcomes}
	for _, a := range script {
		if a.do == nil {
			report.Missing = append(report.Missing, a.title)
		}
	}
	report.add()
	return report, report.Print(d.Out)
}

// perform shows one deployment.
func (d *Demo) perform(ctx context.Context, say *narrator, c *callers, script []act) (Outcome, error) {
	say.say(c.stage.Name, "%d callers book and look up, and move to another proxy every %d requests", sessions*len(c.stage.groups), moveEvery)
	var classes map[generator.Class]generator.ClassReport
	loaded := make(chan error, 1)
	go func() {
		var err error
		classes, err = c.run(ctx)
		loaded <- err
	}()
	err := follow(ctx, c, script)
	if err := errors.Join(err, <-loaded); err != nil {
		return Outcome{}, err
	}
	if err := c.settled(ctx); err != nil {
		return Outcome{}, err
	}
	if d.BeforeCheck != nil {
		d.BeforeCheck(c.stage.groups)
	}
	audit, err := c.audit(ctx)
	if err != nil {
		return Outcome{}, err
	}
	say.say(c.stage.Name, "checked %d bookings that were acknowledged, %d not run, %d unknown: %s",
		audit.Acknowledged, audit.Refused, audit.Unknown, audit.Counts)
	for _, f := range audit.Findings {
		say.say(c.stage.Name, "broken: %s: %s", f.Kind, f.Text)
	}
	return c.outcome(classes, audit.Counts), nil
}

// follow carries out the acts, each when its share of the requests has ended.
func follow(ctx context.Context, c *callers, script []act) error {
	for _, a := range script {
		if a.do == nil {
			continue
		}
		if !c.progress.wait(ctx, a.at) {
			return errors.Wrap(ctx.Err(), "demonstrator: too few requests were answered")
		}
		if err := a.do(ctx, c); err != nil {
			return err
		}
	}
	return nil
}
