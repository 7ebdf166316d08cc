package router

import (
	"sync/atomic"
	"time"
)

// halving is the time after which a service time that got no new value counts
// for half. Without it a replica that was slow once would never be tried again.
const halving = time.Second

// weight is the divisor by which a new service time moves the average.
const weight = 8

// Load is what this process knows of its own use of a group's upstreams. It is
// updated by traffic while others read it.
type Load struct {
	usage []usage
	base  time.Time
}

// usage is the use of one upstream.
type usage struct {
	busy    atomic.Int64 // statements running or queued for it here
	slots   atomic.Int64 // statements this process may run on it at once
	service atomic.Int64 // moving average of service times, nanoseconds
	updated atomic.Int64 // when service was last set, nanoseconds since base
	barred  atomic.Bool
	probe   atomic.Bool // barred after the next statement
}

// NewLoad returns the load of n upstreams with the given number of slots each.
// Times are kept relative to now.
func NewLoad(n, slots int, now time.Time) *Load {
	l := &Load{usage: make([]usage, n), base: now}
	for i := range l.usage {
		l.SetSlots(i, slots)
	}
	return l
}

// SetSlots sets how many statements may run on upstream i at once.
func (l *Load) SetSlots(i, slots int) { l.usage[i].slots.Store(int64(slots)) }

// Bar takes upstream i out of choice, or back in: it is leaving, or its circuit
// breaker is open.
func (l *Load) Bar(i int, barred bool) {
	l.usage[i].probe.Store(false)
	l.usage[i].barred.Store(barred)
}

// Barred reports whether upstream i is out of choice.
func (l *Load) Barred(i int) bool { return l.usage[i].barred.Load() }

// Probe puts upstream i into choice for one statement, and bars it again when
// that has started. Statements that are decided at the same moment may go along.
func (l *Load) Probe(i int) {
	l.usage[i].probe.Store(true)
	l.usage[i].barred.Store(false)
}

// Start counts a statement that has begun to wait for or run on upstream i.
func (l *Load) Start(i int) {
	u := &l.usage[i]
	u.busy.Add(1)
	if u.probe.Load() && u.probe.CompareAndSwap(true, false) {
		u.barred.Store(true)
	}
}

// Done counts a statement that is over, and the time from its sending to its
// answer. A service time of zero or less is not taken in: the statement was
// never sent.
func (l *Load) Done(i int, service time.Duration, now time.Time) {
	u := &l.usage[i]
	if u.busy.Add(-1) < 0 {
		// It was counted in a Load that this one has replaced.
		u.busy.Add(1)
	}
	if service <= 0 {
		return
	}
	// Two answers at the same moment may lose one value of the average, which
	// does no harm.
	old := u.service.Load()
	next := int64(service)
	if old > 0 {
		next = old + (next-old)/weight
	}
	u.service.Store(next)
	u.updated.Store(int64(now.Sub(l.base)))
}

// Busy returns the number of statements running or queued for upstream i here.
func (l *Load) Busy(i int) int { return int(l.usage[i].busy.Load()) }

// Service returns the recent service time of upstream i.
func (l *Load) Service(i int, now time.Time) time.Duration {
	u := &l.usage[i]
	idle := now.Sub(l.base) - time.Duration(u.updated.Load())
	if idle < halving {
		return time.Duration(u.service.Load())
	}
	return time.Duration(u.service.Load() >> min(idle/halving, 62))
}

// expect returns the expected time in the queue for upstream i and the expected
// time of service.
func (l *Load) expect(i int, now time.Time) (wait, service time.Duration) {
	u := &l.usage[i]
	service = l.Service(i, now)
	slots := max(u.slots.Load(), 1)
	ahead := u.busy.Load() - slots + 1
	if ahead <= 0 {
		return 0, service
	}
	return service * time.Duration(ahead) / time.Duration(slots), service
}
