package limiter

import (
	"slices"
	"time"

	"basildale.example/basildale/retrier"
)

// Class is the class of a request.
type Class uint8

// The classes.
const (
	// Lookup is a read that may return stale data.
	Lookup Class = iota
	// Booking is work that writes or must see the latest state.
	Booking
	// Session is work that must see the writes of its own session.
	Session
	classCount
)

// ClassCount is the number of classes, the length of arrays with a value per class.
const ClassCount = int(classCount)

// Weight returns the default value of an answer in time, used when no preset sets one:
// a booking or a session's work weighs as much as two lookups.
func (c Class) Weight() int {
	if c == Lookup {
		return 1
	}
	return 2
}

// Item is one request for a slot of the upstream. Tenant is a small number that the
// caller assigns to each tenant, counted from zero.
//
// The fair policy uses Account, a hash of the workspace's name, in place of Tenant, the
// workspace's Weight (zero stands for one), Priority, of which 0 is the most urgent, and
// Spread, a hash of the request.
type Item struct {
	Tenant   uint16
	Class    Class
	Priority uint8
	Account  uint32
	Spread   uint32
	Weight   float64
	Deadline time.Time
}

// Ticket identifies an item in its queue. It is never reused and never zero.
type Ticket uint64

// Event reports what became of a queued item: either it was granted a slot, or it was
// refused and has not run. RetryAt is when it makes sense to offer a refused item again.
// Place is how many items of the same workspace waited before it, under the fair policy.
type Event struct {
	Ticket  Ticket
	Granted bool
	Cause   retrier.Cause
	RetryAt time.Time
	Place   int
}

// Defaults of a queue.
const (
	DefaultQueueLength = 256
	DefaultServiceTime = 5 * time.Millisecond
	// maxTenantLead is how many mean service times a tenant may be ahead of another
	// before its requests are refused first.
	maxTenantLead = 4
	// returnCredit is how many mean service times of a lookup a tenant that returns
	// after a pause may start below the waiting tenant with the least service received,
	// in return for what it left to the others.
	returnCredit = 16
	// ewmaDivisor is the inverse weight of a new sample in the moving average of the
	// service time.
	ewmaDivisor = 16
)

type phase uint8

const (
	vacant phase = iota
	waiting
	running
)

type node struct {
	item       Item
	grantedAt  time.Time
	arrival    uint64
	generation uint32
	phase      phase
	// overtaken is set when an item that was granted later has been served.
	overtaken bool
}

type account struct {
	// used is the service time received, on the same scale for all tenants. insert raises
	// it when the tenant returns after a pause.
	used   time.Duration
	queued time.Duration // expected service time of its waiting items
	count  int           // its waiting items
}

// Queue is the admission queue for the slots of one upstream at one proxy. It holds the
// waiting items ordered by deadline, and only as long as all of them can meet their
// deadlines. Each offer is checked against the expected service times of everything
// ahead of it. If an item would be late, one item is refused at once: an item of the
// tenant that is furthest above its fair share, and of that tenant the one with the
// lowest weight per service time.
//
// Without this check an overloaded earliest-deadline-first queue serves every item just
// too late: all slots are busy and hardly anything is answered in time.
//
// The zero Queue is ready for use with the defaults. Set the exported fields before the
// first offer. Nothing is allocated once all nodes and tenants have been used. A Queue
// is not safe for concurrent use; see [Gate].
type Queue struct {
	MaxLength          int           // maximum number of waiting items
	InitialServiceTime time.Duration // service time assumed before the first sample
	Window             Window        // bounds how many items run at a time
	Classes            [ClassCount]ClassLimits
	// LostThreshold is how many mean service times an item may run before its answer is
	// assumed lost and its slot is given to the next item; zero disables this.
	LostThreshold int

	nodes          []node
	free           []int32
	order          []int32 // waiting, by deadline
	active         []int32 // running
	refused        []Event // not yet returned by Next
	accounts       []account
	meanService    [ClassCount]time.Duration
	waitingByClass [ClassCount]int
	runningByClass [ClassCount]int
	arrivals       uint64
	fair           *fair // nil while the fair policy is off
}

// Apply sets the limits of a preset. Items may be waiting and running. Items above a
// lowered limit stay; the limit applies to later ones.
func (q *Queue) Apply(l Limits) {
	if q.nodes == nil {
		q.start()
	}
	q.MaxLength, q.Window.Max, q.Classes = l.Queue, l.Window, l.Classes
	for len(q.nodes) < q.MaxLength+q.Window.maxLimit() {
		q.free = append(q.free, int32(len(q.nodes)))
		q.nodes = append(q.nodes, node{})
	}
}

func (q *Queue) weight(c Class) int {
	if w := q.Classes[c].Weight; w > 0 {
		return w
	}
	return c.Weight()
}

// full reports whether no further item of the class may wait.
func (q *Queue) full(c Class) bool {
	maxWaiting := q.Classes[c].Queue
	return len(q.order) >= q.MaxLength && q.fair == nil || len(q.free) == 0 || (maxWaiting > 0 && q.waitingByClass[c] >= maxWaiting)
}

func (q *Queue) start() {
	if q.MaxLength == 0 {
		q.MaxLength = DefaultQueueLength
	}
	if q.InitialServiceTime == 0 {
		q.InitialServiceTime = DefaultServiceTime
	}
	for c := range q.meanService {
		q.meanService[c] = q.InitialServiceTime
	}
	size := q.MaxLength + q.Window.maxLimit()
	q.nodes = make([]node, size)
	q.free = make([]int32, 0, size)
	for i := size - 1; i >= 0; i-- {
		q.free = append(q.free, int32(i))
	}
	q.order = make([]int32, 0, size)
	q.active = make([]int32, 0, size)
	q.refused = make([]Event, 0, size)
}

// Offer queues an item. A zero ticket means that it was refused at once, with the cause
// in the event. After an offer the caller must call [Queue.Next] until it returns no
// more events.
func (q *Queue) Offer(now time.Time, it Item) (Ticket, Event) {
	if q.nodes == nil {
		q.start()
	}
	if q.full(it.Class) {
		return 0, Event{Cause: retrier.Busy, RetryAt: q.retryAt(now)}
	}
	i := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	q.arrivals++
	n := &q.nodes[i]
	n.item, n.arrival, n.phase = it, q.arrivals, waiting
	n.generation++
	t := q.ticket(i)
	q.insert(i)
	if q.fair != nil {
		q.enterFair(i, now)
	}
	q.admit(now)
	if n.phase == vacant {
		return 0, q.takeRefusal(t)
	}
	return t, Event{}
}

// takeRefusal removes and returns one item's pending refusal.
func (q *Queue) takeRefusal(t Ticket) Event {
	at := slices.IndexFunc(q.refused, func(e Event) bool { return e.Ticket == t })
	e := q.refused[at]
	q.refused = slices.Delete(q.refused, at, at+1)
	return e
}

// Next returns the next event: refusals first, then grants while slots are free. ok is
// false when there is none.
func (q *Queue) Next(now time.Time) (e Event, ok bool) {
	for {
		if n := len(q.refused); n > 0 {
			e = q.refused[n-1]
			q.refused = q.refused[:n-1]
			return e, true
		}
		if len(q.order) == 0 {
			return Event{}, false
		}
		i := q.order[0]
		if it := q.nodes[i].item; now.Add(q.meanService[it.Class]).After(it.Deadline) {
			q.refuseLate(0, now)
			continue
		}
		if len(q.active) >= q.slots(now) {
			return Event{}, false
		}
		at := q.choose(now)
		if at < 0 {
			return Event{}, false
		}
		i = q.order[at]
		q.grant(at, now)
		return Event{Ticket: q.ticket(i), Granted: true}, true
	}
}

func (q *Queue) grant(at int, now time.Time) {
	i := q.order[at]
	n := &q.nodes[i]
	q.remove(at)
	q.accounts[n.item.Tenant].used += q.meanService[n.item.Class]
	n.phase, n.grantedAt, n.overtaken = running, now, false
	if q.fair != nil {
		q.grantFair(i, now)
	}
	q.runningByClass[n.item.Class]++
	q.active = append(q.active, i)
}

// Done releases the slot of a granted item. served is false when the item did not run
// or got no answer. Its time then counts only if it is above the mean, because the
// upstream would have taken at least that long. If such items never counted, the mean
// of an overloaded upstream would come from the quick answers alone, and the queue
// would keep sending items that cannot meet their deadlines.
func (q *Queue) Done(now time.Time, t Ticket, served bool) {
	i, ok := q.find(t, running)
	if !ok {
		return
	}
	n := &q.nodes[i]
	full := len(q.active) >= q.slots(now)
	at := slices.Index(q.active, i)
	q.active[at] = q.active[len(q.active)-1]
	q.active = q.active[:len(q.active)-1]
	q.runningByClass[n.item.Class]--
	if q.fair != nil {
		q.doneFair(i, now)
	}
	if served {
		q.markOvertaken(n)
	}
	if elapsed, counts := q.sample(n, now, served); counts {
		c := n.item.Class
		q.meanService[c] += (elapsed - q.meanService[c]) / ewmaDivisor
		q.Window.Observe(c, elapsed, full)
	}
	q.release(i)
}

// Cancel removes a waiting item. It returns false when the item no longer waits:
// [Queue.Next] has returned its event or will do so.
func (q *Queue) Cancel(t Ticket) bool {
	i, ok := q.find(t, waiting)
	if !ok {
		return false
	}
	q.remove(slices.Index(q.order, i))
	q.release(i)
	return true
}

// Waiting returns the number of waiting items.
func (q *Queue) Waiting() int { return len(q.order) }

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int { return len(q.active) }

// MeanServiceTime returns the mean service time of a class, including the time that
// requests wait inside the upstream.
func (q *Queue) MeanServiceTime(c Class) time.Duration {
	if q.nodes == nil {
		q.start()
	}
	return q.meanService[c]
}

// ExpectedWait returns how long an item offered now, with the latest deadline of all,
// would wait for a slot by the mean service times.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	if q.nodes == nil {
		return 0
	}
	ahead := q.remaining(now)
	for _, i := range q.order {
		ahead += q.meanService[q.nodes[i].item.Class]
	}
	slots := time.Duration(q.Window.Limit())
	if len(q.order) == 0 && len(q.active) < int(slots) {
		return 0
	}
	return ahead / slots
}

func (q *Queue) retryAt(now time.Time) time.Time { return now.Add(q.ExpectedWait(now)) }

func (q *Queue) ticket(i int32) Ticket {
	return Ticket(q.nodes[i].generation)<<32 | Ticket(i+1)
}

// find returns the index of a ticket's node, and whether the ticket is still valid and the
// node in the given phase.
func (q *Queue) find(t Ticket, p phase) (int32, bool) {
	i := int32(uint32(t)) - 1
	if i < 0 || int(i) >= len(q.nodes) {
		return 0, false
	}
	n := &q.nodes[i]
	return i, n.phase == p && n.generation == uint32(t>>32)
}

func (q *Queue) release(i int32) {
	q.nodes[i].phase = vacant
	q.free = append(q.free, i)
}
