package limiter

import (
	"context"
	"flag"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basildale.example/basildale/retrier"
)

var epoch = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the property tests, so that each run draws the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func atMillis(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// singleSlotQueue returns a queue with a single slot and a service time of 10 ms.
func singleSlotQueue() *Queue {
	return &Queue{InitialServiceTime: 10 * time.Millisecond, Window: Window{Max: 1, Fixed: true}}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	is := is.New(t)
	q := singleSlotQueue()
	current, _ := q.Offer(epoch, Item{Deadline: atMillis(100)})
	e, ok := q.Next(epoch)
	is.True(ok && e.Granted && e.Ticket == current)
	later, _ := q.Offer(epoch, Item{Deadline: atMillis(90)})
	earlier, _ := q.Offer(epoch, Item{Deadline: atMillis(50)})
	_, ok = q.Next(epoch)
	is.True(!ok) // the slot is taken
	q.Done(atMillis(10), current, true)
	e, _ = q.Next(atMillis(10))
	is.Equal(e.Ticket, earlier)
	q.Done(atMillis(20), earlier, true)
	q.Done(atMillis(20), earlier, true) // a second release frees no second slot
	e, _ = q.Next(atMillis(20))
	is.Equal(e.Ticket, later)
	is.Equal(q.Running(), 1)
}

// Guards against refusing the item that comes last: lookups that fill the time before a
// booking's deadline must give way to the booking.
func TestLookupIsRefusedBeforeBooking(t *testing.T) {
	is := is.New(t)
	q := singleSlotQueue()
	for range 3 {
		q.Offer(epoch, Item{Deadline: atMillis(30)})
	}
	booking, _ := q.Offer(epoch, Item{Class: Booking, Deadline: atMillis(30)})
	is.True(booking != 0)
	e, ok := q.Next(epoch)
	is.True(ok && !e.Granted) // a lookup is refused at once as late
	is.Equal(e.Cause, retrier.Late)
	is.True(e.RetryAt.After(epoch))
	_, refusal := q.Offer(epoch, Item{Deadline: atMillis(9)})
	is.Equal(refusal.Cause, retrier.Late) // not even with a free slot
	_, refusal = q.Offer(epoch, Item{Class: Booking, Deadline: atMillis(9)})
	is.Equal(refusal.Cause, retrier.Late)
}

// Guards against serving by deadline alone: a tenant that has had the slot ten times
// and has ten more requests with earlier deadlines would delay another tenant's request
// until about its deadline.
func TestTenantWithLeastServiceIsServedFirst(t *testing.T) {
	is := is.New(t)
	q := singleSlotQueue()
	now := epoch
	for range 10 {
		ticket, _ := q.Offer(now, Item{Deadline: now.Add(time.Second)})
		q.Next(now)
		now = now.Add(10 * time.Millisecond)
		q.Done(now, ticket, true)
	}
	for range 10 {
		q.Offer(now, Item{Deadline: now.Add(200 * time.Millisecond)})
	}
	other, _ := q.Offer(now, Item{Tenant: 1, Deadline: now.Add(900 * time.Millisecond)})
	e, ok := q.Next(now)
	is.True(ok && e.Granted)
	is.Equal(e.Ticket, other)
}

// Guards against requests that wait until their deadlines for an upstream that no
// longer answers: a request that runs much longer than expected has to raise the
// expected wait before it ends.
func TestStalledUpstreamRefusesEarly(t *testing.T) {
	is := is.New(t)
	q := singleSlotQueue()
	q.Offer(epoch, Item{Deadline: atMillis(1000)})
	q.Next(epoch)
	ticket, _ := q.Offer(atMillis(20), Item{Deadline: atMillis(300)})
	is.True(ticket != 0)
	none, refusal := q.Offer(atMillis(200), Item{Deadline: atMillis(300)})
	is.Equal(none, Ticket(0))
	is.Equal(refusal.Cause, retrier.Late)
	e, ok := q.Next(atMillis(200))
	is.True(ok && e.Ticket == ticket && !e.Granted) // 100 ms before its deadline
}

func TestFullQueueRefusesAsBusy(t *testing.T) {
	is := is.New(t)
	q := singleSlotQueue()
	q.MaxLength = 2
	for range 2 {
		q.Offer(epoch, Item{Deadline: atMillis(1000)})
	}
	_, refusal := q.Offer(epoch, Item{Deadline: atMillis(1000)})
	is.Equal(refusal.Cause, retrier.Busy)
	is.Equal(refusal.RetryAt, atMillis(20))
}

// TestQueueKeepsItsPromises checks invariants under random offers, ends and cancels:
// each item gets exactly one event or is cancelled, nothing is granted after its
// deadline, and neither the window nor the length is exceeded.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxLength: 8, Window: Window{Max: 3, Fixed: rapid.Bool().Draw(t, "fixed")}}
		now := epoch
		pending := map[Ticket]Item{}
		var active []Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "µs")) * time.Microsecond)
			if rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
				now = now.Add(50 * time.Millisecond)
			}
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				it := Item{
					Tenant:   uint16(rapid.IntRange(0, 2).Draw(t, "tenant")),
					Class:    Class(rapid.IntRange(0, 1).Draw(t, "class")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond),
				}
				if ticket, _ := q.Offer(now, it); ticket != 0 {
					pending[ticket] = it
				}
			case 2:
				if len(active) > 0 {
					q.Done(now, active[0], true)
					active = active[1:]
				}
			default:
				for ticket := range pending {
					if !q.Cancel(ticket) {
						t.Fatalf("a waiting item can't be cancelled")
					}
					delete(pending, ticket)
					break
				}
			}
			for e, ok := q.Next(now); ok; e, ok = q.Next(now) {
				it, known := pending[e.Ticket]
				if !known {
					t.Fatalf("second event of an item")
				}
				delete(pending, e.Ticket)
				if !e.Granted {
					continue
				}
				if now.After(it.Deadline) {
					t.Fatalf("granted after its deadline")
				}
				active = append(active, e.Ticket)
			}
			if q.Running() != len(active) || len(active) > 3 || q.Waiting() != len(pending) || len(pending) > 8 {
				t.Fatalf("%d/%d run, %d/%d wait", q.Running(), len(active), q.Waiting(), len(pending))
			}
		}
	})
}

// Guards against limits that are read only once, and against a changed preset that
// interrupts running requests: two lookups run when the preset allows the class one
// slot and one waiting request.
func TestApplyWhileRequestsRun(t *testing.T) {
	is := is.New(t)
	q := &Queue{MaxLength: 1, Window: Window{Max: 3, Fixed: true}}
	offer := func(c Class) (Ticket, Event) { return q.Offer(epoch, Item{Class: c, Deadline: atMillis(1000)}) }
	first, _ := offer(Lookup)
	q.Next(epoch)
	second, _ := offer(Lookup)
	q.Next(epoch)
	l := DefaultLimits()
	l.Window, l.Queue = 3, 4
	l.Classes[Lookup].Slots, l.Classes[Lookup].Queue = 1, 1
	q.Apply(l)
	is.Equal(q.Running(), 2) // running requests continue
	waits, _ := offer(Lookup)
	_, refusal := offer(Lookup)
	is.Equal(refusal.Cause, retrier.Busy) // the class may have one waiting request
	_, ok := q.Next(epoch)
	is.True(!ok) // a third slot is free, but not for lookups
	booking, _ := offer(Booking)
	e, _ := q.Next(epoch)
	is.Equal(e.Ticket, booking)
	q.Done(atMillis(1), first, true)
	_, ok = q.Next(atMillis(1))
	is.True(!ok)
	q.Done(atMillis(2), second, true)
	e, _ = q.Next(atMillis(2))
	is.Equal(e.Ticket, waits)
}

func TestSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := View{Limit: rapid.IntRange(1, 60).Draw(t, "limit")}
		for i := range rapid.IntRange(1, 100).Draw(t, "members") {
			v.Members = append(v.Members, Member{Name: string(rune('A' + i))})
		}
		sum, smallest, largest := 0, v.Limit, 0
		for _, m := range v.Members {
			n := v.Share(upstreamAddress, m)
			sum, smallest, largest = sum+n, min(smallest, n), max(largest, n)
		}
		if sum != v.Limit || largest-smallest > 1 {
			t.Fatalf("shares %d..%d add up to %d of %d", smallest, largest, sum, v.Limit)
		}
	})
}

// Guards against a proxy that opens all its connections at once after a failover, 12
// here, and so slows down the new leader.
func TestPacerSpreadsOpening(t *testing.T) {
	is := is.New(t)
	p := Pacer{Rate: 10, Burst: 2}
	var starts []time.Time
	for seed := range uint64(12) {
		at, ok := p.Reserve(epoch, epoch.Add(time.Second), seed)
		if ok {
			starts = append(starts, at)
		}
	}
	is.True(len(starts) >= 11)
	is.Equal(starts[0], epoch)
	is.Equal(starts[1], epoch)
	for i, at := range starts[2:] {
		interval := 100 * time.Millisecond
		due := epoch.Add(time.Duration(i+1) * interval)
		is.True(!at.Before(due) && at.Before(due.Add(interval)))
	}
	_, ok := p.Reserve(epoch, epoch.Add(time.Millisecond), 1)
	is.True(!ok)
}

func TestLimitsCheck(t *testing.T) {
	is := is.New(t)
	for _, l := range []Limits{DefaultLimits(), PeakLimits(), MaintenanceLimits()} {
		is.NoErr(l.Check())
	}
	bad := DefaultLimits()
	bad.Reserved = bad.Connections
	is.Equal(bad.Check().Error(), "reserved: limiter: limits out of bounds")
}

// Guards against leaked slots: when a context ends at the moment its slot is granted
// and nobody takes the slot, the proxy stops serving the upstream although nothing runs
// there.
func TestGateLeaksNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gate{Queue: *singleSlotQueue(), Now: time.Now}
		var wg sync.WaitGroup
		granted := make([]int, 100)
		for i := range granted {
			wg.Go(func() {
				deadline := time.Now().Add(time.Duration(i%25) * 10 * time.Millisecond)
				ctx, stop := context.WithDeadline(t.Context(), deadline)
				defer stop()
				ticket, out := g.Acquire(ctx, Item{Deadline: deadline.Add(time.Duration(i%3) * 10 * time.Millisecond)})
				if ticket == 0 {
					if out.Kind != retrier.NotRun {
						t.Errorf("refused as %v", out.Kind)
					}
					return
				}
				granted[i]++
				time.Sleep(10 * time.Millisecond)
				g.Release(ticket, true)
			})
		}
		wg.Wait()
		sum := 0
		for _, n := range granted {
			sum += n
		}
		is.True(sum > 10)
		is.Equal(g.Queue.Running(), 0)
		is.Equal(g.Queue.Waiting(), 0)
	})
}

// serveOne offers, grants and ends one item while 20 others wait.
func serveOne(q *Queue, now time.Time) {
	ticket, _ := q.Offer(now, Item{Class: Booking, Deadline: now.Add(time.Second)})
	q.Next(now)
	q.Done(now, ticket, true)
	q.Cancel(ticket)
}

func loadedQueue() *Queue {
	q := singleSlotQueue()
	for i := range 21 {
		q.Offer(epoch, Item{Deadline: atMillis(1000 + i)})
	}
	q.Next(epoch)
	return q
}

func TestQueueAllocatesNothing(t *testing.T) {
	is := is.New(t)
	q := loadedQueue()
	serveOne(q, epoch)
	is.Equal(testing.AllocsPerRun(100, func() { serveOne(q, epoch) }), 0.0)
	g := &Gate{Queue: *singleSlotQueue(), Now: func() time.Time { return epoch }}
	ctx := context.Background()
	is.Equal(testing.AllocsPerRun(100, func() {
		ticket, _ := g.Acquire(ctx, Item{Deadline: atMillis(500)})
		g.Release(ticket, true)
	}), 0.0)
}

func BenchmarkOffer250Waiting(b *testing.B) {
	q := singleSlotQueue()
	for i := range 251 {
		q.Offer(epoch, Item{Tenant: uint16(i % 2), Deadline: atMillis(10000 + i)})
	}
	q.Next(epoch)
	b.ReportAllocs()
	for b.Loop() {
		serveOne(q, epoch)
	}
}

func BenchmarkGate(b *testing.B) {
	g := &Gate{Queue: Queue{Window: Window{Max: 16, Fixed: true}}, Now: func() time.Time { return epoch }}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ticket, _ := g.Acquire(b.Context(), Item{Deadline: atMillis(1000)}); ticket != 0 {
				g.Release(ticket, true)
			}
		}
	})
}

func BenchmarkOffer20Waiting(b *testing.B) {
	q := loadedQueue()
	b.ReportAllocs()
	for b.Loop() {
		serveOne(q, epoch)
	}
}
