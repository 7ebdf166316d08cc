package throttler

import "time"

// priorities is the number of priorities that are told apart.
const priorities = 16

// priority returns the priority of an Ask. Older processes do not state it, and count as the
// least urgent.
func (a *Ask) priority() int {
	if a.Rank <= 0 {
		return priorities - 1
	}
	return min(a.Rank, priorities) - 1
}

const (
	// demandWindow is the time over which the rate of each priority is measured, with a
	// resolution of demandSlot.
	demandWindow = 2 * time.Second
	demandSlot   = 250 * time.Millisecond
	demandSlots  = int64(demandWindow / demandSlot)
	// reserveRelease is the time without an operation of a priority after which nothing is
	// reserved for it.
	reserveRelease = time.Second
	// maxCreditSteps is the most steps in which the credits of a CreditInterval are taken to
	// come: those of a larger fleet may come together.
	maxCreditSteps = 2
	// maxReserve is the part of the tokens that can be saved that may be reserved.
	maxReserve = 0.5
)

// demand counts a workspace's operations of each priority within demandWindow.
type demand struct {
	counts   [demandSlots][priorities]uint16
	lastSlot int64
	// lastSeen is when each priority was last seen, in nanoseconds of the owner's clock.
	lastSeen [priorities]int64
}

// add counts an operation.
func (d *demand) add(priority int, now time.Time) {
	d.advance(now)
	d.lastSeen[priority] = now.UnixNano()
	if c := &d.counts[d.lastSlot%demandSlots][priority]; *c < ^uint16(0) {
		*c++
	}
}

// advance drops the slots that are too old.
func (d *demand) advance(now time.Time) {
	slot := now.UnixNano() / int64(demandSlot)
	for s := max(d.lastSlot+1, slot-demandSlots+1); s <= slot; s++ {
		d.counts[s%demandSlots] = [priorities]uint16{}
	}
	d.lastSlot = max(d.lastSlot, slot)
}

// rateAbove returns the rate per second of the operations that are more urgent than a
// priority, without priorities that have not been seen for reserveRelease.
func (d *demand) rateAbove(priority int, now time.Time) float64 {
	d.advance(now)
	sum := 0
	for p := range priority {
		if now.UnixNano()-d.lastSeen[p] >= int64(reserveRelease) {
			continue
		}
		for s := range d.counts {
			sum += int(d.counts[s][p])
		}
	}
	return float64(sum) / demandWindow.Seconds()
}

// reserve returns the number of tokens that operations of a priority leave to more urgent
// ones: as many as those take between two credits of a fleet, and one for the first of them.
// It is nothing where no more urgent ones come.
func (d *demand) reserve(priority, fleet int, limit tokenLimit, now time.Time) float64 {
	rate := d.rateAbove(priority, now)
	if rate == 0 {
		return 0
	}
	steps := float64(min(max(fleet, 1), maxCreditSteps))
	return min(rate*CreditInterval.Seconds()/steps+1, maxReserve*limit.rate*limit.life.Seconds())
}

// takeRanked spends a token of a workspace unless it is reserved for more urgent operations.
func (l *ledger) takeRanked(a *Ask, limit tokenLimit, now time.Time) Verdict {
	l.sweep(now)
	credits := &l.credited[Shard(a.Workspace)]
	credits.advance(bucketOf(now))
	acc := l.account(a.Workspace, now)
	acc.advance(bucketOf(now))
	if acc.demand == nil {
		acc.demand = &demand{}
	}
	priority := a.priority()
	available := windowTokens(&l.history[Shard(a.Workspace)], &acc.grants, limit, now)
	missing := 1 + acc.demand.reserve(priority, l.fleet, limit, now) - available
	acc.line.arrive(priority, now)
	if missing > 0 {
		v := l.refuseRanked(credits, acc, a, limit, missing, now)
		if !v.Undecided {
			acc.demand.add(priority, now)
		}
		return v
	}
	acc.demand.add(priority, now)
	acc.grants.add(limit.window, now)
	acc.windowedUntil = now.Add(limit.window + limit.replyDelay + limit.life)
	return Verdict{Granted: true}
}
