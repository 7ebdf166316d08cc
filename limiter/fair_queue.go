package limiter

import (
	"cmp"
	"slices"
	"time"

	"basildale.example/basildale/retrier"
)

// SetFair switches the fair policy on or off. Items may be waiting and running: they stay,
// and leave in the order of the policy in force.
func (q *Queue) SetFair(now time.Time, on bool) {
	if q.nodes == nil {
		q.start()
	}
	if on == (q.fair != nil) {
		return
	}
	if !on {
		q.fair = nil
		return
	}
	q.fair = &fair{epoch: now, accounts: map[uint32]int32{}, level: float64(q.Window.Limit()), levelAt: now}
	for _, i := range q.order {
		q.enterFair(i, now)
	}
	for _, i := range q.active {
		q.enterFair(i, now)
		q.leaveFair(&q.nodes[i])
		q.fair.list[q.nodes[i].account].running++
	}
}

// Fair reports whether the fair policy is on.
func (q *Queue) Fair() bool { return q.fair != nil }

// SetPeers sets, by workspace, the service time per second that workspaces want at the
// upstream through other gateways. It has no effect while the fair policy is off.
func (q *Queue) SetPeers(peers map[uint32]time.Duration) {
	if q.fair != nil {
		q.fair.peers = peers
	}
}

// AppendUsage appends what each workspace uses, in the order of its demand. It appends
// nothing while the fair policy is off.
func (q *Queue) AppendUsage(now time.Time, to []Usage) []Usage {
	if q.fair == nil {
		return to
	}
	t := now.Sub(q.fair.epoch)
	for i := range q.fair.list {
		a := &q.fair.list[i]
		if u := (Usage{Account: a.id, Busy: a.used.sum(t), Waiting: a.waiting}); a.inUse && (u.Busy > 0 || u.Waiting > 0) {
			to = append(to, u)
		}
	}
	mean := q.meanService[Lookup]
	slices.SortFunc(to, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.demand(mean), a.demand(mean)), cmp.Compare(a.Account, b.Account))
	})
	return to
}

// credit returns how much service a workspace that was idle gets at once.
func (q *Queue) credit() time.Duration {
	return fairCredit * (q.meanService[Lookup] + q.meanService[Booking] + q.meanService[Session]) / time.Duration(classCount)
}

// enterFair adds a waiting node to its workspace's account.
func (q *Queue) enterFair(i int32, now time.Time) {
	f, n := q.fair, &q.nodes[i]
	n.account = f.account(&n.item, now.Sub(f.epoch))
	n.cost = q.meanService[n.item.Class]
	a := &f.list[n.account]
	a.waiting++
	a.queue(n.cost, n.item.priority())
}

// leaveFair takes a node that no longer waits out of its workspace's account.
func (q *Queue) leaveFair(n *node) {
	a := &q.fair.list[n.account]
	a.waiting--
	a.queue(-n.cost, n.item.priority())
}

// grantFair charges a workspace for an item that gets a slot.
func (q *Queue) grantFair(n *node, now time.Time) {
	a := &q.fair.list[n.account]
	a.running++
	a.charge(now.Sub(q.fair.epoch), n.cost, q.credit(), n.item.priority())
}

// doneFair charges a workspace for what an item took beyond what was expected.
func (q *Queue) doneFair(n *node, now time.Time) {
	a := &q.fair.list[n.account]
	a.running--
	took := now.Sub(n.grantedAt)
	a.used.add(now.Sub(q.fair.epoch), took)
	a.correct(took-n.cost, n.item.priority())
}

// rank sets the bucket of each waiting node and the service time of each bucket.
func (q *Queue) rank(now time.Time) {
	f := q.fair
	f.refresh(now, q.Window.Limit())
	f.scans++
	f.sums = [bucketCount]time.Duration{}
	t, credit := now.Sub(f.epoch), q.credit()
	for _, i := range q.order {
		n := &q.nodes[i]
		a := &f.list[n.account]
		if a.scan != f.scans {
			a.scan = f.scans
			for p := 1; p < PriorityCount; p++ {
				a.ahead[p] = a.queued[p-1]
			}
			a.ahead[0] = 0
		}
		p := n.item.priority()
		n.bucket = a.bucket(t, a.ahead[p], credit, p)
		a.ahead[p] += n.cost
		f.sums[n.bucket] += n.cost
	}
}

func (n *node) tier() int { return int(n.bucket) / PriorityCount }

// firstLateFair returns the index of the item that is late and the first of these to be
// served, or -1. The expected wait of a less urgent item takes the starvation floor into
// account.
func (q *Queue) firstLateFair(now time.Time) int {
	q.rank(now)
	f := q.fair
	start := time.Duration(0)
	for b, work := range f.sums {
		f.sums[b] = start
		start += work
	}
	urgent := uint8(PriorityCount)
	for _, i := range q.order {
		urgent = min(urgent, q.nodes[i].item.priority())
	}
	slots, running := time.Duration(q.Window.Limit()), q.remaining(now)
	first, less := -1, time.Duration(0)
	for at, i := range q.order {
		n := &q.nodes[i]
		ahead := f.sums[n.bucket]
		f.sums[n.bucket] += n.cost
		if n.tier() == 0 && n.item.priority() > urgent {
			ahead = min(ahead, floorTurn*less+(floorTurn-1)*n.cost)
			less += n.cost
		}
		late := (running+ahead)/slots+n.cost > n.item.Deadline.Sub(now)
		if late && (first < 0 || n.bucket < q.nodes[q.order[first]].bucket) {
			first = at
		}
	}
	return first
}

// admitFair refuses items until no more than the maximum wait, and all that wait can meet
// their deadlines.
func (q *Queue) admitFair(now time.Time) {
	for len(q.order) > q.MaxLength {
		q.rank(now)
		last := 0
		for at, i := range q.order {
			if q.nodes[i].bucket >= q.nodes[q.order[last]].bucket {
				last = at
			}
		}
		q.refuseFair(last, retrier.Busy, now)
	}
	for {
		late := q.firstLateFair(now)
		if late < 0 {
			return
		}
		q.refuseFair(q.victimFair(late), retrier.Late, now)
	}
}

// victimFair returns the item to refuse so that the one at index late may be in time: of
// those that are in the same bucket and served no later, the one with the lowest value per
// service time, then the one that arrived last.
func (q *Queue) victimFair(late int) int {
	chosen := late
	for at := range late {
		x, y := &q.nodes[q.order[at]], &q.nodes[q.order[chosen]]
		if x.bucket != y.bucket {
			continue
		}
		value := time.Duration(q.weight(x.item.Class)) * q.meanService[y.item.Class]
		other := time.Duration(q.weight(y.item.Class)) * q.meanService[x.item.Class]
		if value < other || value == other && x.arrival > y.arrival {
			chosen = at
		}
	}
	return chosen
}

// refuseFair refuses the waiting node at index at.
func (q *Queue) refuseFair(at int, cause retrier.Cause, now time.Time) {
	i := q.order[at]
	n := &q.nodes[i]
	e := q.fairRefusal(i, cause, now)
	q.fair.list[n.account].denied.add(now.Sub(q.fair.epoch), n.cost)
	q.remove(at)
	q.release(i)
	q.refused = append(q.refused, e)
}

// fairRefusal returns the event that refuses a waiting node. Its turn can come when the
// work of its workspace that waits before it is done at the workspace's fair rate. The time
// is spread by the request's hash, so that refused items don't come back together.
func (q *Queue) fairRefusal(i int32, cause retrier.Cause, now time.Time) Event {
	n := &q.nodes[i]
	e := Event{Ticket: q.ticket(i), Cause: cause}
	ahead := time.Duration(0)
	for _, o := range q.order {
		other := &q.nodes[o]
		if o == i || other.account != n.account {
			continue
		}
		earlier := other.item.priority() == n.item.priority() && !other.item.Deadline.After(n.item.Deadline)
		if other.item.priority() < n.item.priority() || earlier {
			e.Place++
			ahead += other.cost
		}
	}
	rate := min(q.fair.list[n.account].rate, float64(q.Window.Limit()))
	e.RetryAt = now.Add(n.item.spread(max(over(ahead, rate), n.cost)))
	return e
}

// chooseFair returns the index of the item to serve next, or -1 if no class with waiting
// items may use another slot.
func (q *Queue) chooseFair(now time.Time) int {
	q.rank(now)
	first, urgent := -1, uint8(PriorityCount)
	for at, i := range q.order {
		n := &q.nodes[i]
		if q.classFull(n.item.Class) {
			continue
		}
		urgent = min(urgent, n.item.priority())
		if first < 0 || n.bucket < q.nodes[q.order[first]].bucket {
			first = at
		}
	}
	if first < 0 || q.nodes[q.order[first]].item.priority() > urgent {
		q.fair.run = 0
		return first
	}
	other := -1
	for at, i := range q.order {
		n := &q.nodes[i]
		if n.item.priority() <= urgent || q.classFull(n.item.Class) {
			continue
		}
		if other < 0 || n.tier() < q.nodes[q.order[other]].tier() {
			other = at
		}
	}
	if other < 0 {
		q.fair.run = 0
		return first
	}
	q.fair.run++
	if q.fair.run >= floorTurn {
		q.fair.run = 0
		return other
	}
	return first
}

// classFull reports whether a class has all the slots that it may use.
func (q *Queue) classFull(c Class) bool {
	n := q.Classes[c].Slots
	return n > 0 && q.runningByClass[c] >= n
}

func (it *Item) priority() uint8 { return min(it.Priority, PriorityCount-1) }

// spread lengthens a delay by up to a quarter, by the request's hash.
func (it *Item) spread(d time.Duration) time.Duration {
	return d + d/spreadDivisor*time.Duration(it.Spread%spreadSteps)/spreadSteps
}
