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

// TestMain fixes the seed of the property tests, so that each run gives the same
// verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func after(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// one returns a queue with a single slot and a service time of 10 ms.
func one() *Queue {
	return &Queue{InitialServiceTime: 10 * time.Millisecond, Window: Window{Max: 1, Fixed: true}}
}

func TestDeadlineFirst(t *testing.T) {
	is := is.New(t)
	q := one()
	busy, _ := q.Offer(epoch, Item{Deadline: after(100)})
	e, ok := q.Next(epoch)
	is.True(ok && e.Granted && e.Ticket == busy)
	last, _ := q.Offer(epoch, Item{Deadline: after(90)})
	first, _ := q.Offer(epoch, Item{Deadline: after(50)})
	_, ok = q.Next(epoch)
	is.True(!ok) // the slot is taken
	q.Done(after(10), busy, true)
	e, _ = q.Next(after(10))
	is.Equal(e.Ticket, first)
	q.Done(after(20), first, true)
	q.Done(after(20), first, true) // given back twice: no second slot
	e, _ = q.Next(after(20))
	is.Equal(e.Ticket, last)
	is.Equal(q.Running(), 1)
}

// Symptom: a booking is refused while lookups wait. Sequence: lookups fill all
// the time before its deadline, then it comes. Cause: refusing whoever is last.
func TestBookingGoesBeforeLookups(t *testing.T) {
	is := is.New(t)
	q := one()
	for range 3 {
		q.Offer(epoch, Item{Deadline: after(30)})
	}
	booking, _ := q.Offer(epoch, Item{Class: Booking, Deadline: after(30)})
	is.True(booking != 0)
	e, ok := q.Next(epoch)
	is.True(ok && !e.Granted) // a lookup is told at once that it can't be in time
	is.Equal(e.Cause, retrier.Late)
	is.True(e.RetryAt.After(epoch))
	_, refusal := q.Offer(epoch, Item{Deadline: after(9)})
	is.Equal(refusal.Cause, retrier.Late) // not even with a free slot
	_, refusal = q.Offer(epoch, Item{Class: Booking, Deadline: after(9)})
	is.Equal(refusal.Cause, retrier.Late)
}

// Symptom: a quiet tenant's requests are served just before or after their
// deadlines. Sequence: another tenant has had the slot ten times and has ten
// more waiting with earlier deadlines. Cause: serving by deadline alone.
func TestFairTenantIsServedFirst(t *testing.T) {
	is := is.New(t)
	q := one()
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
	quiet, _ := q.Offer(now, Item{Tenant: 1, Deadline: now.Add(900 * time.Millisecond)})
	e, ok := q.Next(now)
	is.True(ok && e.Granted)
	is.Equal(e.Ticket, quiet)
}

// Symptom: requests wait for an upstream that has stopped answering until their
// deadlines. Sequence: one request runs far longer than expected. Cause: the
// expected wait counts finished requests only.
func TestStalledUpstreamRefusesEarly(t *testing.T) {
	is := is.New(t)
	q := one()
	q.Offer(epoch, Item{Deadline: after(1000)})
	q.Next(epoch)
	ticket, _ := q.Offer(after(20), Item{Deadline: after(300)})
	is.True(ticket != 0)
	none, refusal := q.Offer(after(200), Item{Deadline: after(300)})
	is.Equal(none, Ticket(0))
	is.Equal(refusal.Cause, retrier.Late)
	e, ok := q.Next(after(200))
	is.True(ok && e.Ticket == ticket && !e.Granted) // 100 ms before its deadline
}

func TestFullQueueSaysBusy(t *testing.T) {
	is := is.New(t)
	q := one()
	q.MaxLength = 2
	for range 2 {
		q.Offer(epoch, Item{Deadline: after(1000)})
	}
	_, refusal := q.Offer(epoch, Item{Deadline: after(1000)})
	is.Equal(refusal.Cause, retrier.Busy)
	is.Equal(refusal.RetryAt, after(20))
}

// TestQueueKeepsItsPromises holds random offers, ends and cancels against what a
// queue promises: each item has one fate, nothing is granted that can't be in
// time, and neither the window nor the length is passed.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxLength: 8, Window: Window{Max: 3, Fixed: rapid.Bool().Draw(t, "fixed")}}
		now := epoch
		waits := map[Ticket]Item{}
		var runs []Ticket
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
					waits[ticket] = it
				}
			case 2:
				if len(runs) > 0 {
					q.Done(now, runs[0], true)
					runs = runs[1:]
				}
			default:
				for ticket := range waits {
					if !q.Cancel(ticket) {
						t.Fatalf("a waiting item can't be cancelled")
					}
					delete(waits, ticket)
					break
				}
			}
			for e, ok := q.Next(now); ok; e, ok = q.Next(now) {
				it, known := waits[e.Ticket]
				if !known {
					t.Fatalf("second fate of an item")
				}
				delete(waits, e.Ticket)
				if !e.Granted {
					continue
				}
				if now.After(it.Deadline) {
					t.Fatalf("granted after its deadline")
				}
				runs = append(runs, e.Ticket)
			}
			if q.Running() != len(runs) || len(runs) > 3 || q.Waiting() != len(waits) || len(waits) > 8 {
				t.Fatalf("%d/%d run, %d/%d wait", q.Running(), len(runs), q.Waiting(), len(waits))
			}
		}
	})
}

// Symptom: a preset's change doesn't reach requests, or cuts those under way.
// Sequence: two lookups run when the preset allows them one slot and one place.
// Cause: bounds that are read once at the start.
func TestApply(t *testing.T) {
	is := is.New(t)
	q := &Queue{MaxLength: 1, Window: Window{Max: 3, Fixed: true}}
	offer := func(c Class) (Ticket, Event) { return q.Offer(epoch, Item{Class: c, Deadline: after(1000)}) }
	one, _ := offer(Lookup)
	q.Next(epoch)
	two, _ := offer(Lookup)
	q.Next(epoch)
	l := DefaultLimits()
	l.Window, l.Queue = 3, 4
	l.Classes[Lookup].Slots, l.Classes[Lookup].Queue = 1, 1
	q.Apply(l)
	is.Equal(q.Running(), 2) // what runs goes on
	waits, _ := offer(Lookup)
	_, refusal := offer(Lookup)
	is.Equal(refusal.Cause, retrier.Busy) // the class has one place
	_, ok := q.Next(epoch)
	is.True(!ok) // a third slot is free, but not for lookups
	booking, _ := offer(Booking)
	e, _ := q.Next(epoch)
	is.Equal(e.Ticket, booking)
	q.Done(after(1), one, true)
	_, ok = q.Next(after(1))
	is.True(!ok)
	q.Done(after(2), two, true)
	e, _ = q.Next(after(2))
	is.Equal(e.Ticket, waits)
}

func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := View{Limit: rapid.IntRange(1, 60).Draw(t, "limit")}
		for i := range rapid.IntRange(1, 100).Draw(t, "members") {
			v.Members = append(v.Members, Member{Name: string(rune('A' + i))})
		}
		sum, least, most := 0, v.Limit, 0
		for _, m := range v.Members {
			n := v.Share(up, m)
			sum, least, most = sum+n, min(least, n), max(most, n)
		}
		if sum != v.Limit || most-least > 1 {
			t.Fatalf("shares %d..%d add up to %d of %d", least, most, sum, v.Limit)
		}
	})
}

// Symptom: after a failover the new primary answers slowly. Sequence: a proxy
// wants 12 connections at the same moment. Cause: opening them all at once.
func TestPacer(t *testing.T) {
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
	for _, l := range []Limits{DefaultLimits(), Peak(), Maintenance()} {
		is.NoErr(l.Check())
	}
	bad := DefaultLimits()
	bad.Reserved = bad.Connections
	is.Equal(bad.Check().Error(), "reserved: limiter: limits out of bounds")
}

// Symptom: a proxy stops serving an upstream although nothing runs there.
// Sequence: waits end by their contexts at the moment their slots are granted.
// Cause: a granted slot that nobody takes.
func TestGateLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gate{Queue: *one(), Now: time.Now}
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

// round offers, grants and ends one item while 20 others wait.
func round(q *Queue, now time.Time) {
	ticket, _ := q.Offer(now, Item{Class: Booking, Deadline: now.Add(time.Second)})
	q.Next(now)
	q.Done(now, ticket, true)
	q.Cancel(ticket)
}

func loaded() *Queue {
	q := one()
	for i := range 21 {
		q.Offer(epoch, Item{Deadline: after(1000 + i)})
	}
	q.Next(epoch)
	return q
}

func TestQueueAllocatesNothing(t *testing.T) {
	is := is.New(t)
	q := loaded()
	round(q, epoch)
	is.Equal(testing.AllocsPerRun(100, func() { round(q, epoch) }), 0.0)
	g := &Gate{Queue: *one(), Now: func() time.Time { return epoch }}
	ctx := context.Background()
	is.Equal(testing.AllocsPerRun(100, func() {
		ticket, _ := g.Acquire(ctx, Item{Deadline: after(500)})
		g.Release(ticket, true)
	}), 0.0)
}

func BenchmarkOffer250Waiting(b *testing.B) {
	q := one()
	for i := range 251 {
		q.Offer(epoch, Item{Tenant: uint16(i % 2), Deadline: after(10000 + i)})
	}
	q.Next(epoch)
	b.ReportAllocs()
	for b.Loop() {
		round(q, epoch)
	}
}

func BenchmarkGate(b *testing.B) {
	g := &Gate{Queue: Queue{Window: Window{Max: 16, Fixed: true}}, Now: func() time.Time { return epoch }}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ticket, _ := g.Acquire(b.Context(), Item{Deadline: after(1000)}); ticket != 0 {
				g.Release(ticket, true)
			}
		}
	})
}

func BenchmarkOffer20Waiting(b *testing.B) {
	q := loaded()
	b.ReportAllocs()
	for b.Loop() {
		round(q, epoch)
	}
}
