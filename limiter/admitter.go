package limiter

import (
	"slices"
	"time"

	"basildale.example/basildale/retrier"
)

// insert adds a node to the waiting ones, ordered by deadline, and to its tenant's
// account.
func (q *Queue) insert(i int32) {
	n := &q.nodes[i]
	at, _ := slices.BinarySearchFunc(q.order, i, func(o, _ int32) int {
		if q.nodes[o].item.Deadline.After(n.item.Deadline) {
			return 1
		}
		return -1
	})
	q.order = slices.Insert(q.order, at, i)
	for int(n.item.Tenant) >= len(q.accounts) {
		q.accounts = append(q.accounts, account{})
	}
	a := &q.accounts[n.item.Tenant]
	if a.count == 0 {
		a.used = max(a.used, q.minUsed()-returnCredit*q.meanService[Lookup])
		a.queued = 0
	}
	a.count++
	q.waitingByClass[n.item.Class]++
	a.queued += q.meanService[n.item.Class]
}

// minUsed returns the least service received by any tenant that has waiting items. A
// tenant that returns after a pause starts near it, so that it cannot claim the service
// that it did not request in the meantime.
func (q *Queue) minUsed() time.Duration {
	lowest := time.Duration(-1)
	for t := range q.accounts {
		if a := &q.accounts[t]; a.count > 0 && (lowest < 0 || a.used < lowest) {
			lowest = a.used
		}
	}
	return max(lowest, 0)
}

// demand returns the service time that a tenant has received plus that of its waiting
// items.
func (a *account) demand() time.Duration { return a.used + a.queued }

// minDemand returns the smallest demand of the tenants that have waiting items.
func (q *Queue) minDemand() time.Duration {
	lowest := time.Duration(-1)
	for t := range q.accounts {
		if a := &q.accounts[t]; a.count > 0 && (lowest < 0 || a.demand() < lowest) {
			lowest = a.demand()
		}
	}
	return max(lowest, 0)
}

// remove takes the waiting node at index at out of the order and its account.
func (q *Queue) remove(at int) {
	i := q.order[at]
	n := &q.nodes[i]
	q.order = slices.Delete(q.order, at, at+1)
	a := &q.accounts[n.item.Tenant]
	a.count--
	q.waitingByClass[n.item.Class]--
	a.queued = max(a.queued-q.meanService[n.item.Class], 0)
	if q.fair != nil {
		q.leaveFair(i)
	}
}

// refuseLate drops the waiting node at index at, by the policy in force.
func (q *Queue) refuseLate(at int, now time.Time) {
	if q.fair != nil {
		q.refuseFair(at, retrier.Late, now)
		return
	}
	q.refuse(at, now)
}

// refuse drops the waiting node at index at because it cannot meet its deadline.
func (q *Queue) refuse(at int, now time.Time) {
	i := q.order[at]
	e := Event{Ticket: q.ticket(i), Cause: retrier.Late, RetryAt: q.retryAt(now)}
	q.remove(at)
	q.release(i)
	q.refused = append(q.refused, e)
}

// admit refuses items until all that wait can meet their deadlines.
func (q *Queue) admit(now time.Time) {
	if q.fair != nil {
		q.admitFair(now)
		return
	}
	for {
		late := q.firstLate(now)
		if late < 0 {
			return
		}
		q.refuse(q.victim(late), now)
	}
}

// firstLate returns the index of the first waiting item that would finish after its
// deadline, or -1.
func (q *Queue) firstLate(now time.Time) int {
	slots := time.Duration(q.Window.Limit())
	ahead := q.remaining(now)
	for at, i := range q.order {
		n := &q.nodes[i]
		service := q.meanService[n.item.Class]
		if ahead/slots+service > n.item.Deadline.Sub(now) {
			return at
		}
		ahead += service
	}
	return -1
}

// remaining returns the service time that the running items still need. An item that
// has run longer than expected is assumed to need half of its running time again. So
// when an upstream stalls, the expected wait keeps growing, and items that cannot meet
// their deadlines are refused long before them.
func (q *Queue) remaining(now time.Time) time.Duration {
	sum := time.Duration(0)
	skip := q.writtenOff(now)
	for _, i := range q.active {
		n := &q.nodes[i]
		if skip > 0 && q.overdue(n, now) {
			skip--
			continue
		}
		elapsed := now.Sub(n.grantedAt)
		left := q.meanService[n.item.Class] - elapsed
		sum += max(left, elapsed/2)
	}
	return sum
}

// choose returns the index of the item to serve next: the one with the earliest
// deadline among the tenants within the fair limit, otherwise the one with the earliest
// deadline of all, or -1 if no class with waiting items may use another slot.
func (q *Queue) choose(now time.Time) int {
	if q.fair != nil {
		return q.chooseFair(now)
	}
	limit := q.fairLimit()
	first := -1
	for at, i := range q.order {
		it := &q.nodes[i].item
		if maxSlots := q.Classes[it.Class].Slots; maxSlots > 0 && q.runningByClass[it.Class] >= maxSlots {
			continue
		}
		if q.accounts[it.Tenant].demand() <= limit {
			return at
		}
		if first < 0 {
			first = at
		}
	}
	return first
}

// fairLimit returns the demand above which a tenant exceeds its fair share.
func (q *Queue) fairLimit() time.Duration {
	tolerance := maxTenantLead * (q.meanService[Lookup] + q.meanService[Booking]) / 2
	return q.minDemand() + tolerance
}

// victim returns the index, at most last, of the item to refuse.
func (q *Queue) victim(last int) int {
	limit := q.fairLimit()
	chosen := 0
	for at := 1; at <= last; at++ {
		if q.refusedBefore(q.order[at], q.order[chosen], limit) {
			chosen = at
		}
	}
	return chosen
}

// refusedBefore reports whether a is refused before b. Items of the tenant further
// above the fair limit go first, then the item with the lower weight per service time,
// then the one that arrived later.
func (q *Queue) refusedBefore(a, b int32, limit time.Duration) bool {
	x, y := &q.nodes[a], &q.nodes[b]
	excess := max(q.accounts[x.item.Tenant].demand(), limit)
	if o := max(q.accounts[y.item.Tenant].demand(), limit); excess != o {
		return excess > o
	}
	value := time.Duration(q.weight(x.item.Class)) * q.meanService[y.item.Class]
	if o := time.Duration(q.weight(y.item.Class)) * q.meanService[x.item.Class]; value != o {
		return value < o
	}
	return x.arrival > y.arrival
}
