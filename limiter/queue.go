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
	// Lookup is a read that may be old.
	Lookup Class = iota
	// Booking is work that makes, or must see, the newest state.
	Booking
	// Session is work that must see its session's own writes.
	Session
	classCount
)

// ClassCount is the number of classes; a value per class is an array of it.
const ClassCount = int(classCount)

// Weight returns what an answer in time is worth when no preset says otherwise:
// a booking, and a session's work, weigh two lookups.
func (c Class) Weight() int {
	if c == Lookup {
		return 1
	}
	return 2
}

// Item is one request that wants a slot of the upstream. Tenant is a small
// number that the caller gives to each tenant, counted from zero.
type Item struct {
	Tenant   uint16
	Class    Class
	Deadline time.Time
}

// Ticket names an item in its queue. It is never used twice, and never zero.
type Ticket uint64

// Event tells what became of a queued item: it has a slot, or it is refused and
// has not run. Back is when a refused one is worth offering again.
type Event struct {
	Ticket  Ticket
	Granted bool
	Cause   retrier.Cause
	RetryAt time.Time
}

// Defaults of a queue.
const (
	DefaultLength  = 256
	DefaultService = 5 * time.Millisecond
	// fairLead is how many mean service times a tenant may be ahead of another
	// before its requests are the first to be refused.
	fairLead = 4
	// credit is how many lookups a tenant that comes back may have ahead of it
	// in service received, for what it left to the others.
	credit = 16
	// serviceGain is the part of a new sample in the mean service time, as 1/n.
	serviceGain = 16
)

type phase uint8

const (
	vacant phase = iota
	waiting
	running
)

type node struct {
	item    Item
	since   time.Time // granted at
	arrival uint64
	gen     uint32
	phase   phase
	// overtaken says that an item which was granted later has been served.
	overtaken bool
}

type account struct {
	used   time.Duration // service time given, on the common scale of all tenants
	queued time.Duration // expected service time of its waiting items
	count  int           // its waiting items
}

// Queue hands out the slots of one upstream at one proxy. It keeps the waiting
// items by deadline, and only those that can be in time: each offer is checked
// against the expected service times of all that go before it, and when not all
// can be in time, one is refused at once. That is an item of the tenant that is
// furthest ahead in service received, and of that tenant the one worth least for
// its service time.
//
// Without the check, an overloaded deadline-first queue serves each item just
// too late: the slots are busy and nothing is in time. One would see full slots
// and a score near zero.
//
// The zero Queue is ready for use with the defaults; exported fields are set
// before the first offer. Nothing is allocated once all nodes and tenants have
// been seen. A Queue is not safe for concurrent use; see [Gate].
type Queue struct {
	MaxLength          int           // greatest number of waiting items
	InitialServiceTime time.Duration // service time assumed before the first sample
	Window             Window        // how many items may run at a time
	Classes            [ClassCount]ClassLimits
	// LostThreshold is how many mean service times an item may run before its answer counts as
	// lost and its slot is given to the next; zero is never.
	LostThreshold int

	nodes    []node
	free     []int32
	order    []int32 // waiting, by deadline
	active   []int32 // running
	refused  []Event // not yet taken by Next
	accounts []account
	service  [ClassCount]time.Duration
	waits    [ClassCount]int
	runs     [ClassCount]int
	arrivals uint64
}

// Apply sets the limits of a preset, also while items wait and run. What is
// above a lowered bound stays; only what comes later is bound by it.
func (q *Queue) Apply(l Limits) {
	if q.nodes == nil {
		q.start()
	}
	q.MaxLength, q.Window.Max, q.Classes = l.Queue, l.Window, l.Classes
	for len(q.nodes) < q.MaxLength+q.Window.most() {
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

// full reports whether another item of the class may not wait.
func (q *Queue) full(c Class) bool {
	most := q.Classes[c].Queue
	return len(q.order) >= q.MaxLength || len(q.free) == 0 || (most > 0 && q.waits[c] >= most)
}

func (q *Queue) start() {
	if q.MaxLength == 0 {
		q.MaxLength = DefaultLength
	}
	if q.InitialServiceTime == 0 {
		q.InitialServiceTime = DefaultService
	}
	for c := range q.service {
		q.service[c] = q.InitialServiceTime
	}
	size := q.MaxLength + q.Window.most()
	q.nodes = make([]node, size)
	q.free = make([]int32, 0, size)
	for i := size - 1; i >= 0; i-- {
		q.free = append(q.free, int32(i))
	}
	q.order = make([]int32, 0, size)
	q.active = make([]int32, 0, size)
	q.refused = make([]Event, 0, size)
}

// Offer queues an item. A zero ticket means that it was refused at once, with
// the reason in the event. After an offer the caller takes events by [Queue.Next]
// until there are none.
func (q *Queue) Offer(now time.Time, it Item) (Ticket, Event) {
	if q.nodes == nil {
		q.start()
	}
	if q.full(it.Class) {
		return 0, Event{Cause: retrier.Busy, RetryAt: q.back(now)}
	}
	i := q.free[len(q.free)-1]
	q.free = q.free[:len(q.free)-1]
	q.arrivals++
	n := &q.nodes[i]
	n.item, n.arrival, n.phase = it, q.arrivals, waiting
	n.gen++
	t := q.ticket(i)
	q.insert(i)
	q.admit(now)
	if n.phase == vacant {
		return 0, q.takeRefusal(t)
	}
	return t, Event{}
}

// takeRefusal takes the refusal of one item out of those not yet taken.
func (q *Queue) takeRefusal(t Ticket) Event {
	at := slices.IndexFunc(q.refused, func(e Event) bool { return e.Ticket == t })
	e := q.refused[at]
	q.refused = slices.Delete(q.refused, at, at+1)
	return e
}

// Next returns the next event: first the refusals, then grants while there are
// slots. ok is false when there is none.
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
		if it := q.nodes[i].item; now.Add(q.service[it.Class]).After(it.Deadline) {
			q.refuse(0, now)
			continue
		}
		if len(q.active) >= q.slots(now) {
			return Event{}, false
		}
		at := q.choose()
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
	q.accounts[n.item.Tenant].used += q.service[n.item.Class]
	n.phase, n.since, n.overtaken = running, now, false
	q.runs[n.item.Class]++
	q.active = append(q.active, i)
}

// Done gives back the slot of a granted item. served is false when it did not
// run or has no answer. Then its time counts only if it is above the mean: the
// upstream would have taken at least as long. If it did not count at all, the
// mean of an overloaded upstream would come from the quick answers alone, and
// the queue would go on sending what can't be in time.
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
	q.runs[n.item.Class]--
	if served {
		q.overtake(n)
	}
	if took, counts := q.sample(n, now, served); counts {
		c := n.item.Class
		q.service[c] += (took - q.service[c]) / serviceGain
		q.Window.Observe(c, took, full)
	}
	q.release(i)
}

// Cancel takes a waiting item out. It returns false when the item no longer
// waits: its event has been or will be taken by [Queue.Next].
func (q *Queue) Cancel(t Ticket) bool {
	i, ok := q.find(t, waiting)
	if !ok {
		return false
	}
	q.remove(slices.Index(q.order, i))
	q.release(i)
	return true
}

// Waiting returns the number of items that wait.
func (q *Queue) Waiting() int { return len(q.order) }

// Running returns the number of items that have a slot.
func (q *Queue) Running() int { return len(q.active) }

// MeanServiceTime returns the mean service time of a class, waiting inside the upstream
// included.
func (q *Queue) MeanServiceTime(c Class) time.Duration {
	if q.nodes == nil {
		q.start()
	}
	return q.service[c]
}

// ExpectedWait returns how long an item offered now with the latest deadline would wait
// for a slot, by the expected service times.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	if q.nodes == nil {
		return 0
	}
	ahead := q.remaining(now)
	for _, i := range q.order {
		ahead += q.service[q.nodes[i].item.Class]
	}
	slots := time.Duration(q.Window.Limit())
	if len(q.order) == 0 && len(q.active) < int(slots) {
		return 0
	}
	return ahead / slots
}

func (q *Queue) back(now time.Time) time.Time { return now.Add(q.ExpectedWait(now)) }

func (q *Queue) ticket(i int32) Ticket {
	return Ticket(q.nodes[i].gen)<<32 | Ticket(i+1)
}

// find returns the node of a ticket if it is in the given phase.
func (q *Queue) find(t Ticket, p phase) (int32, bool) {
	i := int32(uint32(t)) - 1
	if i < 0 || int(i) >= len(q.nodes) {
		return 0, false
	}
	n := &q.nodes[i]
	return i, n.phase == p && n.gen == uint32(t>>32)
}

func (q *Queue) release(i int32) {
	q.nodes[i].phase = vacant
	q.free = append(q.free, i)
}
