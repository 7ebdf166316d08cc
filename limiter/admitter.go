package limiter

import (
	"slices"
	"time"

	"basildale.example/basildale/retrier"
)

// insert places a node among the waiting ones by deadline, and in its tenant's
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
		a.used = max(a.used, q.leastUsed()-credit*q.service[Lookup])
		a.queued = 0
	}
	a.count++
	q.waits[n.item.Class]++
	a.queued += q.service[n.item.Class]
}

// leastUsed returns the service received by the tenant with the least among
// those that wait. A tenant that comes back after a pause starts near it, so
// that it can't claim all that it did not ask for while it was away.
func (q *Queue) leastUsed() time.Duration {
	least := time.Duration(-1)
	for t := range q.accounts {
		if a := &q.accounts[t]; a.count > 0 && (least < 0 || a.used < least) {
			least = a.used
		}
	}
	return max(least, 0)
}

// claim returns the service that a tenant has received and waits for.
func (a *account) claim() time.Duration { return a.used + a.queued }

// leastClaim returns the smallest claim among the tenants that wait.
func (q *Queue) leastClaim() time.Duration {
	least := time.Duration(-1)
	for t := range q.accounts {
		if a := &q.accounts[t]; a.count > 0 && (least < 0 || a.claim() < least) {
			least = a.claim()
		}
	}
	return max(least, 0)
}

// remove takes the waiting node at place at out of the order and its account.
func (q *Queue) remove(at int) {
	n := &q.nodes[q.order[at]]
	q.order = slices.Delete(q.order, at, at+1)
	a := &q.accounts[n.item.Tenant]
	a.count--
	q.waits[n.item.Class]--
	a.queued = max(a.queued-q.service[n.item.Class], 0)
}

// refuse drops the waiting node at place at as one that can't be in time.
func (q *Queue) refuse(at int, now time.Time) {
	i := q.order[at]
	e := Event{Ticket: q.ticket(i), Cause: retrier.Late, RetryAt: q.back(now)}
	q.remove(at)
	q.release(i)
	q.refused = append(q.refused, e)
}

// admit refuses items until all that wait can be in time.
func (q *Queue) admit(now time.Time) {
	for {
		late := q.firstLate(now)
		if late < 0 {
			return
		}
		q.refuse(q.victim(late), now)
	}
}

// firstLate returns the place of the first waiting item that would end after
// its deadline, or -1.
func (q *Queue) firstLate(now time.Time) int {
	slots := time.Duration(q.Window.Limit())
	ahead := q.remaining(now)
	for at, i := range q.order {
		n := &q.nodes[i]
		service := q.service[n.item.Class]
		if ahead/slots+service > n.item.Deadline.Sub(now) {
			return at
		}
		ahead += service
	}
	return -1
}

// remaining returns the service time that the running items still need. One
// that has taken longer than expected is expected to take half as long again:
// so when an upstream stalls, the expected wait grows with each moment, and what
// can't be in time is refused long before its deadline.
func (q *Queue) remaining(now time.Time) time.Duration {
	sum := time.Duration(0)
	lost := q.lost(now)
	for _, i := range q.active {
		n := &q.nodes[i]
		if lost > 0 && q.overdue(n, now) {
			lost--
			continue
		}
		took := now.Sub(n.since)
		left := q.service[n.item.Class] - took
		sum += max(left, took/2)
	}
	return sum
}

// choose returns the place of the item to serve next: the first by deadline of
// the tenants that are not beyond the fair mark, otherwise the first of all, or
// -1 if no class that waits may have another slot.
func (q *Queue) choose() int {
	fair := q.fairMark()
	first := -1
	for at, i := range q.order {
		it := &q.nodes[i].item
		if most := q.Classes[it.Class].Slots; most > 0 && q.runs[it.Class] >= most {
			continue
		}
		if q.accounts[it.Tenant].claim() <= fair {
			return at
		}
		if first < 0 {
			first = at
		}
	}
	return first
}

// fairMark returns the claim above which a tenant is ahead of its fair part.
func (q *Queue) fairMark() time.Duration {
	lead := fairLead * (q.service[Lookup] + q.service[Booking]) / 2
	return q.leastClaim() + lead
}

// victim returns the place, up to last, of the item to refuse.
func (q *Queue) victim(last int) int {
	fair := q.fairMark()
	worst := 0
	for at := 1; at <= last; at++ {
		if q.worse(q.order[at], q.order[worst], fair) {
			worst = at
		}
	}
	return worst
}

// worse reports whether a is to be refused before b. A tenant beyond the fair
// mark goes first, the one with more service received before the other; among
// the rest the item with less worth for its service time; then the later one.
func (q *Queue) worse(a, b int32, fair time.Duration) bool {
	x, y := &q.nodes[a], &q.nodes[b]
	ahead := max(q.accounts[x.item.Tenant].claim(), fair)
	if o := max(q.accounts[y.item.Tenant].claim(), fair); ahead != o {
		return ahead > o
	}
	worth := time.Duration(q.weight(x.item.Class)) * q.service[y.item.Class]
	if o := time.Duration(q.weight(y.item.Class)) * q.service[x.item.Class]; worth != o {
		return worth < o
	}
	return x.arrival > y.arrival
}
