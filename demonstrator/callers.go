package demonstrator

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
)

// DefaultRate is how many requests a second come to each group when nothing is set:
// few beside what the groups can carry, since the whole demonstration shares one
// machine.
const DefaultRate = 60

// The load on each group.
const (
	bookings     = 0.35
	transactions = 0.1
	sessions     = 24
	moveEvery    = 6
	inTime       = time.Second
)

// callers are the callers of one deployment, with the ledger of what they were
// told.
type callers struct {
	stage    *stage
	seed     uint64
	rate     float64 // requests a second to each group
	ledger   checker.Ledger
	gap      gap
	progress progress
	replaced *upstream.Upstream // the primary that was cut off
}

func newCallers(s *stage, requests int, seed uint64) *callers {
	c := &callers{stage: s, seed: seed, rate: DefaultRate}
	c.progress.each = requests
	c.progress.all = requests * len(s.groups)
	c.progress.wake = make(chan struct{}, 1)
	return c
}

// progress counts requests that were sent and have ended.
type progress struct {
	each  int // requests to each group
	all   int // requests to all groups
	ended atomic.Int64
	wake  chan struct{}
}

func (p *progress) done() {
	p.ended.Add(1)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// wait returns when a share of all requests has ended, false when ctx has first.
// Only one goroutine may wait.
func (p *progress) wait(ctx context.Context, share float64) bool {
	for float64(p.ended.Load()) < share*float64(p.all) {
		select {
		case <-p.wake:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// run lets callers use all groups and returns what became of their requests, all
// groups together.
func (c *callers) run(ctx context.Context) (map[generator.Class]generator.ClassReport, error) {
	reports := make([][]*generator.Report, len(c.stage.groups))
	failed := make([]error, len(c.stage.groups))
	var running sync.WaitGroup
	for i := range c.stage.groups {
		running.Go(func() {
			reports[i], failed[i] = untilSent(c.progress.each, func(round, requests int) (*generator.Report, error) {
				g := c.generator(i, round)
				g.Requests = requests
				return g.Run(ctx, time.Now().Add(limit))
			})
		})
	}
	running.Wait()
	if err := errors.Join(failed...); err != nil {
		return nil, errors.Wrapf(err, "demonstrator: callers of %s", c.stage.Name)
	}
	return sum(slices.Concat(reports...)), nil
}

// untilSent lets callers come in rounds until so many requests have been sent, and returns what
// became of each round. A caller doesn't send a request whose time is over: on a machine that
// stands still while callers come, nearly none are sent, and a demonstration of one round would
// show nothing and break no promise.
func untilSent(requests int, run func(round, requests int) (*generator.Report, error)) ([]*generator.Report, error) {
	var reports []*generator.Report
	for round := 0; requests > 0; round++ {
		r, err := run(round, requests)
		if err != nil {
			return reports, err
		}
		reports = append(reports, r)
		requests = 0
		for _, class := range r.Classes {
			requests += class.Missed
		}
	}
	return reports, nil
}

// generator returns the callers of the i-th group. Those of each round have their own names.
func (c *callers) generator(i, round int) generator.Generator {
	g := generator.Generator{
		Addrs:        c.stage.addresses(),
		User:         callerName,
		Password:     password,
		Database:     c.stage.Groups[i].Name,
		Group:        c.stage.Groups[i].Name,
		Rate:         c.rate,
		Bookings:     bookings,
		Transactions: transactions,
		Sessions:     sessions,
		Moves:        generator.Move,
		Every:        moveEvery,
		Timeout:      inTime,
		Name:         c.stage.Groups[i].Name,
		Ledger:       &c.ledger,
		Seed:         c.seed + uint64(i),
	}
	if round > 0 {
		g.Name += "r" + strconv.Itoa(round)
	}
	g.Done = func(e generator.Event) {
		if e.Outcome == generator.Missed {
			return // it comes again in the next round
		}
		c.progress.done()
		if i == faulty && e.Class == generator.Booking && e.Outcome == generator.Done {
			c.gap.done(e.End)
		}
	}
	return g
}

// faulty is the group whose primary is cut off.
const faulty = 0

// settleLook is the time between two looks at whether a group has a primary.
const settleLook = 10 * time.Millisecond

// settled waits until every group has a primary. The last request can end while
// one is being replaced, between the fence and the promotion: what the group
// holds then is decided by the promotion.
func (c *callers) settled(ctx context.Context) error {
	for i := range c.stage.groups {
		if _, err := c.primary(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// primary waits until a group has a primary, and returns it.
func (c *callers) primary(ctx context.Context, i int) (*upstream.Upstream, error) {
	ticker := time.NewTicker(settleLook)
	defer ticker.Stop()
	for {
		if p := c.stage.groups[i].Primary(); p != nil {
			return p, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "demonstrator: %s has no primary at the end", c.stage.Groups[i].Name)
		}
	}
}

// audit compares the ledger with what the primaries hold. A group that had one when
// it settled may be without again: where processor time is short proxies take a
// primary that is late for dead.
func (c *callers) audit(ctx context.Context) (checker.Report, error) {
	var rows []checker.Row
	for i := range c.stage.groups {
		primary, err := c.primary(ctx, i)
		if err != nil {
			return checker.Report{}, err
		}
		for _, r := range primary.Rows("bookings") {
			rows = append(rows, checker.Row{Group: c.stage.Groups[i].Name, ID: r[0], Seat: r[1], Session: r[2]})
		}
	}
	return c.ledger.Audit(rows), nil
}

// sum adds up the classes of several reports. Quantiles can't be added, so each
// is the greatest.
func sum(reports []*generator.Report) map[generator.Class]generator.ClassReport {
	all := make(map[generator.Class]generator.ClassReport)
	for _, r := range reports {
		for name, c := range r.Classes {
			t := all[name]
			t.Total += c.Total
			t.Done += c.Done
			t.NotRun += c.NotRun
			t.Unknown += c.Unknown
			t.Failed += c.Failed
			t.Missed += c.Missed
			t.Intime += c.Intime
			t.Latency.P50 = max(t.Latency.P50, c.Latency.P50)
			t.Latency.P99 = max(t.Latency.P99, c.Latency.P99)
			all[name] = t
		}
	}
	return all
}
