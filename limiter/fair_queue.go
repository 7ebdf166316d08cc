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
	q.fair = &fair{epoch: now, accounts: map[uint32]int32{}, levelAt: now}
	for p := range q.fair.levels {
		q.fair.levels[p] = float64(q.Window.Limit())
	}
	for _, i := range q.order {
		q.enterFair(i, now)
	}
	for _, i := range q.active {
		q.enterFair(i, now)
		q.leaveFair(i)
		q.fair.list[q.fair.nodes[i].account].running++
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

// AppendUsage appends what each workspace uses, in the order of its demand; items more urgent
// than the cut are urgent, all where it is zero. It appends nothing while the fair policy is
// off.
func (q *Queue) AppendUsage(now time.Time, cut uint8, to []Usage) []Usage {
	if q.fair == nil {
		return to
	}
	t := now.Sub(q.fair.epoch)
	for i := range q.fair.list {
		a := &q.fair.list[i]
		if u := (Usage{Account: a.id, Busy: a.used.sum(t), Waiting: a.waiting}); a.inUse && (u.Busy > 0 || u.Waiting > 0) {
			u.Urgent = a.demand(t, 0, int(cut), waitingFactor)
			to = append(to, u)
		}
	}
	mean := q.meanService[Lookup]
	slices.SortFunc(to, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Demand(mean), a.Demand(mean)), cmp.Compare(a.Account, b.Account))
	})
	return to
}

// Stretch returns by how much service times are longer than when the upstream is idle, from
// one, by the mean and the lowest mean of each class that has run lately.
func (q *Queue) Stretch() float64 {
	mean, lowest := 0.0, 0.0
	for c := range q.meanService {
		if v := q.Window.means[c].value; v > 0 {
			mean += float64(q.meanService[c])
			lowest += v
		}
	}
	if lowest == 0 {
		return 1
	}
	return max(mean/lowest, 1)
}

// credit returns how much service a workspace that was idle gets at once.
func (q *Queue) credit() time.Duration {
	return fairCredit * (q.meanService[Lookup] + q.meanService[Booking] + q.meanService[Session]) / time.Duration(classCount)
}

// enterFair adds a waiting node to its workspace's account.
func (q *Queue) enterFair(i int32, now time.Time) {
	f, n := q.fair, &q.nodes[i]
	for len(f.nodes) < len(q.nodes) {
		f.nodes = append(f.nodes, fairNode{})
	}
	f.nodes[i] = fairNode{
		due: n.item.Deadline.Sub(f.epoch), cost: q.meanService[n.item.Class], priority: min(n.item.Priority, PriorityCount-1),
		account: f.account(&n.item, now.Sub(f.epoch)), class: n.item.Class,
	}
	a := &f.list[f.nodes[i].account]
	a.waiting++
	f.queued += f.nodes[i].cost
	a.queue(f.nodes[i].cost, f.nodes[i].priority)
	a.asked[f.nodes[i].priority].add(now.Sub(f.epoch), f.nodes[i].cost)
}

// leaveFair takes a node that no longer waits out of its workspace's account.
func (q *Queue) leaveFair(i int32) {
	n := &q.fair.nodes[i]
	a := &q.fair.list[n.account]
	a.waiting--
	q.fair.queued -= n.cost
	a.queue(-n.cost, n.priority)
}

// grantFair charges a workspace for an item that gets a slot.
func (q *Queue) grantFair(i int32, now time.Time) {
	n := &q.fair.nodes[i]
	a := &q.fair.list[n.account]
	a.running++
	a.charge(now.Sub(q.fair.epoch), n.cost, q.credit(), n.priority)
}

// doneFair charges a workspace for what an item took beyond what was expected.
func (q *Queue) doneFair(i int32, now time.Time) {
	n, took := &q.fair.nodes[i], now.Sub(q.nodes[i].grantedAt)
	a, t := &q.fair.list[n.account], now.Sub(q.fair.epoch)
	a.running--
	a.used.add(t, took)
	a.asked[n.priority].add(t, took-n.cost)
	a.correct(took-n.cost, n.priority)
}

// Charge counts service time that an item's workspace received outside the queue. It has no
// effect while the fair policy is off.
func (q *Queue) Charge(now time.Time, it Item, took time.Duration) {
	if q.fair == nil || took <= 0 {
		return
	}
	t := now.Sub(q.fair.epoch)
	a := &q.fair.list[q.fair.account(&it, t)]
	a.use(t, took, q.credit(), min(it.Priority, PriorityCount-1))
}

// rank sets the bucket of each waiting node and the service time of each bucket. It returns
// the most urgent priority of those that wait.
func (q *Queue) rank(now time.Time) (urgent uint8) {
	f := q.fair
	f.refresh(now, q.Window.Limit())
	f.scans++
	f.sums = [bucketCount]time.Duration{}
	t, credit := now.Sub(f.epoch), q.credit()
	urgent = PriorityCount
	for _, i := range q.order {
		n := &q.fair.nodes[i]
		f.list[n.account].next(f.scans, t, credit, n, f.cut)
		f.sums[n.bucket] += n.cost
		urgent = min(urgent, n.priority)
	}
	return urgent
}

// firstLateFair returns the index of the item that is late and the first of these to be
// served, or -1. The expected wait of a less urgent item takes the starvation floor into
// account.
func (q *Queue) firstLateFair(now time.Time) int {
	urgent := q.rank(now)
	f := q.fair
	start := q.remaining(now)
	for b, work := range f.sums {
		f.sums[b] = start
		start += work
	}
	q.sumLessUrgent(now)
	slots, t := float64(q.Window.Limit()), now.Sub(f.epoch)
	less := q.remaining(now)
	first, lowest := -1, uint8(bucketCount)
	for at, i := range q.order {
		n := &q.fair.nodes[i]
		ahead := f.sums[n.bucket]
		f.sums[n.bucket] += n.cost
		if n.tier == 0 && n.priority > urgent {
			ahead = min(ahead, less+(floorTurn-1)*n.cost)
			less += floorTurn * n.cost
		}
		wait := max(time.Duration(float64(ahead)/slots), q.waitLessUrgent(n))
		if n.bucket < lowest && t+wait+n.cost > n.due {
			first, lowest = at, n.bucket
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
			if q.fair.nodes[i].bucket >= q.fair.nodes[q.order[last]].bucket {
				last = at
			}
		}
		q.refuseFair(last, retrier.Busy, now)
	}
	for !q.fits(now) {
		late := q.firstLateFair(now)
		if late < 0 {
			return
		}
		q.refuseFair(q.victimFair(late), retrier.Late, now)
	}
}

// fits reports whether all that wait can be served before the first deadline, so that none is
// late in any order. It saves a scan of the queue.
func (q *Queue) fits(now time.Time) bool {
	f := q.fair
	f.refresh(now, q.Window.Limit())
	if len(q.order) == 0 {
		return true
	}
	slots := q.Window.Limit()
	if f.less.Slots > 0 {
		slots = min(slots, f.less.Slots)
	}
	wait := (q.remaining(now) + f.queued) / time.Duration(slots)
	return now.Sub(f.epoch)+wait+slices.Max(q.meanService[:]) <= f.nodes[q.order[0]].due
}

// victimFair returns the item to refuse so that the one at index late may be in time: of
// those that are in the same bucket and served no later, the one with the lowest value per
// service time, then the one that arrived last.
func (q *Queue) victimFair(late int) int {
	chosen := late
	for at := range late {
		x, y := &q.nodes[q.order[at]], &q.nodes[q.order[chosen]]
		if q.fair.nodes[q.order[at]].bucket != q.fair.nodes[q.order[chosen]].bucket {
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
	e := q.fairRefusal(i, cause, now)
	q.remove(at)
	q.release(i)
	q.refused = append(q.refused, e)
}

// fairRefusal returns the event that refuses a waiting node. Its turn can come when the
// work of its workspace that waits before it is done at the workspace's fair rate, and after
// the turns that others of its workspace were promised. The time is spread by the request's
// hash, so that refused items don't come back together.
func (q *Queue) fairRefusal(i int32, cause retrier.Cause, now time.Time) Event {
	n := &q.fair.nodes[i]
	e := Event{Ticket: q.ticket(i), Cause: cause}
	ahead := time.Duration(0)
	for _, o := range q.order {
		other := &q.fair.nodes[o]
		if o == i || other.account != n.account {
			continue
		}
		if other.priority < n.priority || other.priority == n.priority && other.due <= n.due {
			e.Place++
			ahead += other.cost
		}
	}
	a, t := &q.fair.list[n.account], now.Sub(q.fair.epoch)
	pace := max(a.urgency[n.priority].pace, 1/float64(q.Window.Limit()))
	turn := a.promise(t, max(times(ahead, pace), n.cost), times(n.cost, pace), n.priority)
	e.RetryAt = now.Add(q.nodes[i].item.spread(turn))
	return e
}

// chooseFair returns the index of the item to serve next, or -1 if no class with waiting
// items may use another slot.
func (q *Queue) chooseFair(now time.Time) int {
	q.rank(now)
	first, lowest, urgent := -1, uint8(bucketCount), uint8(PriorityCount)
	for at, i := range q.order {
		n := &q.fair.nodes[i]
		if q.fullFor(n) {
			continue
		}
		urgent = min(urgent, n.priority)
		if n.bucket < lowest {
			first, lowest = at, n.bucket
		}
	}
	if first < 0 || q.fair.nodes[q.order[first]].priority > urgent {
		q.fair.run = 0
		return first
	}
	other, waits := q.firstLessUrgent(urgent)
	if !waits {
		q.fair.run = 0
		return first
	}
	q.fair.run++
	if q.fair.run >= floorTurn && other >= 0 {
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

// spread lengthens a delay by up to a quarter, by the request's hash.
func (it *Item) spread(d time.Duration) time.Duration {
	return d + d/spreadDivisor*time.Duration(it.Spread%spreadSteps)/spreadSteps
}
