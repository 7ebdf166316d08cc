package pooler

import (
	"cmp"
	"context"
	"slices"
)

// minPlannedValue is the number of openings a second that a connection must be expected to save
// to be opened ahead: one within the time over which demand is smoothed.
const minPlannedValue = 1 / 8.0

// Demand is what an owner is expected to need of a pool.
type Demand struct {
	Owner   string
	account account // without connections
}

// Plan says for which owners connections are opened before callers ask for them. It belongs to
// one pool.
type Plan struct {
	// Demands are the owners' expected demands, as another pool returned them.
	Demands []Demand

	opened int
	failed bool // an opening has failed, so there are no others
}

// Step is the outcome of Preopen.
type Step uint8

// Outcomes of Preopen.
const (
	// Finished means that no further connection is opened ahead.
	Finished Step = iota
	// Later means that callers wait for connections now.
	Later
	// Opened means that one has been opened.
	Opened
)

// Demands returns the expected demands of the owners, the one with the most uses first. There
// are none while connections are not divided by demand.
func (p *Pool[C]) Demands() []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sharing() {
		return nil
	}
	now := p.Sharing.Now()
	var out []Demand
	for owner, a := range p.demand.accounts {
		a.advance(now)
		if owner != "" && a.rate() >= minPlannedValue {
			out = append(out, Demand{owner, account{uses: a.uses, busy: a.busy, at: now, usedAt: a.usedAt}})
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.account.uses, a.account.uses), cmp.Compare(a.Owner, b.Owner))
	})
	return out
}

// Preopen opens one connection of a plan and leaves it idle, unless a caller wants it by then.
// Like Warm it needs no permit; the error is that of Dial, and ends the plan.
func (p *Pool[C]) Preopen(ctx context.Context, plan *Plan) (Step, error) {
	owner, step := p.reservePlanned(plan)
	if step != Opened {
		return step, nil
	}
	c, err := p.connect(ctx, owner, grant[C]{})
	if err != nil {
		p.mu.Lock()
		plan.failed = true
		p.mu.Unlock()
		return Finished, err
	}
	p.Put(c)
	return Opened, nil
}

// reservePlanned reserves a place for the next connection of a plan, at most half of the limit
// in all and only while no caller waits.
func (p *Pool[C]) reservePlanned(plan *Plan) (string, Step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed || plan.failed || !p.sharing() || p.open >= p.Limit || plan.opened >= p.Limit/2:
		return "", Finished
	case len(p.waiters) > 0:
		return "", Later
	}
	next := p.nextPlanned(plan)
	if next == nil {
		return "", Finished
	}
	plan.opened++
	p.open++
	p.recordOpening(next.Owner)
	if a := p.account(next.Owner); a.uses < next.account.uses { // else the connection would be the first to be closed
		a.uses, a.busy, a.usedAt = next.account.uses, next.account.busy, next.account.usedAt
	}
	return next.Owner, Opened
}

// nextPlanned returns the demand that another connection serves best: the one where it is
// expected to save the most openings, the first of equals. nil means that none is worth one.
func (p *Pool[C]) nextPlanned(plan *Plan) *Demand {
	now := p.Sharing.Now()
	var next *Demand
	most := 0.0
	for i := range plan.Demands {
		d := &plan.Demands[i]
		d.account.advance(now)
		open := 0
		if a := p.demand.accounts[d.Owner]; a != nil {
			open = a.open
		}
		if value := d.account.value(open + 1); value >= minPlannedValue && value > most {
			next, most = d, value
		}
	}
	return next
}
