package limiter

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basildale.example/basildale/retrier"
)

// fairQueue returns a fair queue with the given slots and a service time of 10 ms.
func fairQueue(slots int) *Queue {
	q := &Queue{InitialServiceTime: 10 * time.Millisecond, Window: Window{Max: slots, Fixed: true}}
	q.SetFair(epoch, true)
	return q
}

// serve grants, runs and ends the next item and returns its ticket, or zero.
func serve(q *Queue, now *time.Time) Ticket {
	e, ok := q.Next(*now)
	if !ok || !e.Granted {
		return 0
	}
	*now = now.Add(10 * time.Millisecond)
	q.Done(*now, e.Ticket, true)
	return e.Ticket
}

// Guards against a statement of another workspace that waits for the whole queue of a hot one.
func TestSmallWorkspaceWaitsOneServiceTime(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	for range 200 {
		q.Offer(now, Item{Account: 1, Deadline: now.Add(10 * time.Second)})
	}
	for range 20 {
		is.True(serve(q, &now) != 0)
	}
	small, _ := q.Offer(now, Item{Account: 2, Deadline: now.Add(10 * time.Second)})
	if serve(q, &now) != small {
		is.Equal(serve(q, &now), small)
	}
	for range q.Waiting() { // nobody else wants the slots
		is.True(serve(q, &now) != 0)
	}
}

// Guards against weights without effect: of two workspaces that want all slots, the one with
// three times the weight gets three times the service.
func TestServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	owner, served := map[Ticket]uint32{}, [2]int{}
	for range 400 {
		for account := range uint32(2) {
			ticket, _ := q.Offer(now, Item{Account: account, Weight: float64(1 + 2*account), Deadline: now.Add(100 * time.Second)})
			owner[ticket] = account
		}
		served[owner[serve(q, &now)]]++
	}
	is.True(served[1] >= 280 && served[1] <= 320)
}

// Guards against urgent work that waits behind less urgent work, and against less urgent work
// that is starved: one in eight of the items served is less urgent.
func TestUrgentFirstWithStarvationFloor(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	less := map[Ticket]bool{}
	for i := range 160 {
		it := Item{Account: uint32(i), Priority: uint8(i % 2 * 2), Deadline: now.Add(time.Minute)}
		ticket, _ := q.Offer(now, it)
		less[ticket] = it.Priority > 0
	}
	served := 0
	for range 80 {
		if less[serve(q, &now)] {
			served++
		}
	}
	is.Equal(served, 10)
}

// Guards against the use of a share by less urgent work of the same workspace before its urgent
// work, and against a full queue that refuses urgent work.
func TestFullQueueGivesWayToUrgentWork(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	q.MaxLength = 4
	for range 4 {
		q.Offer(epoch, Item{Account: 1, Priority: 2, Deadline: epoch.Add(time.Minute)})
	}
	ticket, _ := q.Offer(epoch, Item{Account: 1, Deadline: epoch.Add(time.Minute)})
	is.True(ticket != 0)
	e, _ := q.Next(epoch)
	is.Equal(e.Cause, retrier.Busy) // one of the less urgent items
	now := epoch
	is.Equal(serve(q, &now), ticket)
	is.Equal(q.Waiting(), 3)
}

// Guards against refused callers that come back before their turn, or all at once.
func TestRefusalNamesTurn(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	for range 3 {
		q.Offer(epoch, Item{Account: 1, Deadline: atMillis(40)})
	}
	q.Next(epoch)
	backs := map[time.Duration]bool{}
	for spread := range uint32(4) {
		_, e := q.Offer(epoch, Item{Account: 1, Deadline: atMillis(25), Class: Lookup, Spread: spread * 64, Priority: 1})
		is.Equal(e.Cause, retrier.Late)
		is.Equal(e.Place, 2)
		back, turn := e.RetryAt.Sub(epoch), time.Duration(20+10*spread)*time.Millisecond // one turn each
		is.True(back >= turn && back <= turn+turn/4)
		backs[back] = true
	}
	is.Equal(len(backs), 4)
	_, e := q.Offer(epoch, Item{Account: 2, Deadline: atMillis(5)})
	is.Equal(e.Place, 0)
	is.Equal(e.RetryAt, atMillis(10)) // at least one service time
}

// Guards against workspaces that use memory for good: a configuration may have ten thousand.
func TestAccountsAreBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	for i := range uint32(10_000) {
		q.Offer(now, Item{Account: i, Deadline: now.Add(time.Second)})
		serve(q, &now)
	}
	is.True(len(q.fair.list) <= maxAccounts)
	now = now.Add(3 * time.Second)
	q.Offer(now, Item{Account: 1, Deadline: now.Add(time.Second)})
	serve(q, &now)
	is.Equal(len(q.fair.accounts), 1)
}

// TestFairQueueKeepsItsPromises checks, under random offers, ends, cancels and switches of the
// policy, that each item gets exactly one event or is cancelled, that no bound is exceeded, and
// that the accounts agree with what waits and runs.
func TestFairQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{MaxLength: 8, Window: Window{Max: 3, Fixed: true}}
		now := epoch
		pending := map[Ticket]bool{}
		var active []Ticket
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "µs")) * time.Microsecond)
			switch rapid.IntRange(0, 5).Draw(t, "do") {
			case 0, 1, 2:
				ticket, _ := q.Offer(now, Item{
					Account: uint32(rapid.IntRange(0, 3).Draw(t, "account")), Priority: uint8(rapid.IntRange(0, 20).Draw(t, "priority")),
					Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "ms")) * time.Millisecond),
				})
				if ticket != 0 {
					pending[ticket] = true
				}
			case 3:
				if len(active) > 0 {
					q.Done(now, active[0], rapid.Bool().Draw(t, "served"))
					active = active[1:]
				}
			case 4:
				q.SetFair(now, rapid.Bool().Draw(t, "fair"))
			default:
				for ticket := range pending {
					q.Cancel(ticket)
					delete(pending, ticket)
					break
				}
			}
			for e, ok := q.Next(now); ok; e, ok = q.Next(now) {
				if !pending[e.Ticket] {
					t.Fatalf("second event of an item")
				}
				delete(pending, e.Ticket)
				if e.Granted {
					active = append(active, e.Ticket)
				} else if e.RetryAt.Before(now) {
					t.Fatalf("refused until %v, before %v", e.RetryAt, now)
				}
			}
			if q.Running() != len(active) || len(active) > 3 || q.Waiting() != len(pending) || len(pending) > 8 {
				t.Fatalf("%d/%d run, %d/%d wait", q.Running(), len(active), q.Waiting(), len(pending))
			}
			checkAccounts(t, q)
		}
	})
}

func checkAccounts(t *rapid.T, q *Queue) {
	if q.fair == nil {
		return
	}
	waiting, running, queued := 0, 0, time.Duration(0)
	for i := range q.fair.list {
		a := &q.fair.list[i]
		waiting, running, queued = waiting+a.waiting, running+a.running, queued+a.urgency[PriorityCount-1].queued
	}
	if waiting != q.Waiting() || running != q.Running() || (waiting == 0) != (queued == 0) {
		t.Fatalf("accounts have %d waiting with %v, and %d running", waiting, queued, running)
	}
}

// Guards against a caller that has gone and keeps its place, and against a waiter that is left
// behind when the policy is switched.
func TestGoneCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gate{Queue: *singleSlotQueue(), Now: time.Now}
		g.SetFair(true)
		deadline := time.Now().Add(time.Minute)
		first := g.Enter(context.Background(), nil, Item{Deadline: deadline})
		is.True(first.Granted)
		gone := make(chan struct{})
		events := make(chan Event, 2)
		go func() { events <- g.Enter(context.Background(), gone, Item{Deadline: deadline}) }()
		synctest.Wait()
		is.Equal(g.Waiting(), 1)
		close(gone)
		is.True(!(<-events).Granted)
		is.Equal(g.Waiting(), 0)
		go func() { events <- g.Enter(context.Background(), nil, Item{Deadline: deadline}) }()
		synctest.Wait()
		g.SetFair(false)
		g.Release(first.Ticket, true)
		is.True((<-events).Granted)
	})
}

// Guards against refused callers of one workspace that are all told the same turn and come
// together, and against promises to callers that never come back that delay later ones.
func TestRefusedCallersGetTurnsOneByOne(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	now := epoch
	running, _ := q.Offer(now, Item{Account: 1, Deadline: now.Add(time.Minute)})
	e, ok := q.Next(now)
	is.True(ok && e.Ticket == running)
	refuse := func() time.Duration {
		ticket, e := q.Offer(now, Item{Account: 1, Deadline: now.Add(15 * time.Millisecond)})
		is.Equal(ticket, Ticket(0))
		return e.RetryAt.Sub(now)
	}
	for i := range 3 {
		is.Equal(refuse(), time.Duration(i+1)*10*time.Millisecond)
	}
	_, other := q.Offer(now, Item{Account: 2, Deadline: now.Add(15 * time.Millisecond)})
	is.Equal(other.RetryAt.Sub(now), 10*time.Millisecond) // turns of another workspace don't count
	for range 1000 {
		refuse()
	}
	is.True(refuse() <= promiseWindow)
	now = now.Add(promiseWindow)
	q.Done(now, running, true)
	q.Offer(now, Item{Account: 1, Deadline: now.Add(time.Minute)})
	q.Next(now)
	is.True(refuse() < 100*time.Millisecond)
}

// Guards against service time outside the queue that isn't counted to its workspace.
func TestChargeCountsAsUse(t *testing.T) {
	is := is.New(t)
	q := fairQueue(1)
	q.Charge(epoch, Item{Account: 1}, 300*time.Millisecond)
	is.Equal(q.AppendUsage(epoch, 0, nil), []Usage{{Account: 1, Busy: 300 * time.Millisecond}})
	now := epoch.Add(100 * time.Millisecond)
	var tickets [2]Ticket
	for i := range tickets {
		tickets[i], _ = q.Offer(now, Item{Account: uint32(i + 1), Deadline: now.Add(time.Duration(i+1) * time.Second)})
	}
	e, _ := q.Next(now)
	is.Equal(e.Ticket, tickets[1]) // the other one goes first, though its deadline is later
	q.SetFair(now, false)
	q.Charge(now, Item{Account: 1, Priority: 99}, time.Second) // no effect
}

// Guards against windows that add up to much more than the upstream takes, or that leave a
// gateway with nothing, whatever the gateways report.
func TestWindowsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := make([]Load, rapid.IntRange(2, 8).Draw(t, "gateways"))
		for i := range loads {
			for range rapid.IntRange(0, 6).Draw(t, "workspaces") {
				loads[i].Used = append(loads[i].Used, Usage{
					Account: rapid.Uint32Range(0, 9).Draw(t, "account"), Waiting: rapid.IntRange(0, 256).Draw(t, "waiting"),
					Busy: time.Duration(rapid.Int64Range(0, math.MaxInt32).Draw(t, "busy")),
				})
			}
			loads[i].Rest = time.Duration(rapid.Int64Range(0, math.MaxInt32).Draw(t, "rest"))
			loads[i].Others = rapid.IntRange(0, math.MaxInt).Draw(t, "others")
			loads[i].Cut = rapid.Uint8().Draw(t, "cut")
			loads[i].RestUrgent = time.Duration(rapid.Int64Range(0, math.MaxInt32).Draw(t, "urgent"))
		}
		d := Division{Slots: 4, Stretch: 1, Total: 6, Equal: 1, Mean: 10 * time.Millisecond, Weight: func(uint32) float64 { return 1 }}
		sum := 0
		for i := range loads {
			loads[0], loads[i] = loads[i], loads[0]
			n, less, _ := d.Window(loads)
			if less.Slots > n {
				t.Fatalf("gateway %d may have %d less urgent of %d", i, less.Slots, n)
			}
			loads[0], loads[i] = loads[i], loads[0]
			if n < 1 {
				t.Fatalf("gateway %d has %d", i, n)
			}
			sum += n
		}
		if sum > headroom*6+2*len(loads) {
			t.Fatalf("%d in all", sum)
		}
	})
}

// The gateway with the callers of a hot workspace gets what the others don't want.
func TestWindowFollowsFairShares(t *testing.T) {
	is := is.New(t)
	d := Division{Slots: 4, Stretch: 1, Total: 6, Equal: 2, Mean: 10 * time.Millisecond, Weight: func(uint32) float64 { return 1 }}
	hot := Load{Used: []Usage{{Account: 1, Busy: 2 * time.Second, Waiting: 50}}, Rest: 100 * time.Millisecond, Others: 10}
	small := Load{Used: []Usage{{Account: 2, Busy: 200 * time.Millisecond}}, Rest: 400 * time.Millisecond, Others: 10}
	window := func(loads ...Load) int {
		n, less, _ := d.Window(loads)
		is.Equal(less, LessUrgent{}) // no report tells what is urgent
		return n
	}
	is.Equal(window(hot, small, small), 5)
	is.Equal(window(small, hot, small), 2)
	is.Equal(window(hot), 2)          // no reports
	is.Equal(window(small, small), 2) // not contended
}

// Guards against a gateway with urgent work that has as few slots as one with less urgent work
// of the same amount, and against less urgent work that loses its floor.
func TestUrgentWorkIsDividedFirst(t *testing.T) {
	is := is.New(t)
	d := Division{Slots: 4, Stretch: 1, Total: 6, Equal: 2, Mean: 10 * time.Millisecond, Weight: func(uint32) float64 { return 1 }}
	load := func(id uint32, urgent time.Duration) Load {
		return Load{Used: []Usage{{Account: id, Busy: 3 * time.Second, Urgent: urgent}}, Cut: 2}
	}
	window, less, _ := d.Window([]Load{load(1, 3*time.Second), load(2, 0)})
	is.Equal(window-less.Slots, 6) // urgent work of 3 of 6 slots in use, twice its part of the total
	is.Equal(less, LessUrgent{From: 2, Slots: 1, Fill: 2})
	window, less, _ = d.Window([]Load{load(2, 0), load(1, 3*time.Second)})
	is.Equal(window, less.Slots)
	is.Equal(less.Slots, 3)
	older := load(1, 0)
	older.Cut = 0 // doesn't state what is urgent: counts as the others do
	window, _, _ = d.Window([]Load{older, load(2, 3*time.Second)})
	is.Equal(window, 6)
	flood := load(1, 3*time.Second)
	flood.Used[0].Busy = 40 * time.Second
	flood.Used[0].Urgent = 40 * time.Second
	_, less, _ = d.Window([]Load{load(2, 0), flood})
	is.True(less.Slots >= 1)
}

// Guards against a cut that a trickle of the least urgent priority moves away from where most
// of the work can be divided, and against one where all work has the same priority.
func TestCut(t *testing.T) {
	is := is.New(t)
	cut := func(demand ...time.Duration) uint8 {
		var wanted [PriorityCount]time.Duration
		all := time.Duration(0)
		for p, d := range demand {
			wanted[p] = d
			all += d
		}
		return cutOf(&wanted, all)
	}
	is.Equal(cut(1, 10, 5), uint8(2))
	is.Equal(cut(1, 10, 5, 0, 1), uint8(2))
	is.Equal(cut(10), uint8(0))
	is.Equal(cut(0, 0, 10), uint8(2))
	is.Equal(cut(), uint8(0))
}

// Guards against less urgent work that takes more slots than its bound, and against a bound
// that takes the starvation floor away.
func TestLessUrgentBound(t *testing.T) {
	is := is.New(t)
	q := fairQueue(4)
	q.SetLessUrgent(LessUrgent{From: 2, Slots: 1, Fill: 1})
	now := epoch
	for i := range 40 {
		q.Offer(now, Item{Account: uint32(i), Priority: 2, Deadline: now.Add(time.Minute)})
	}
	first, ok := q.Next(now)
	is.True(ok && first.Granted)
	_, ok = q.Next(now)
	is.True(!ok) // one runs
	less := 0
	for i := range 80 {
		q.Offer(now, Item{Account: uint32(100 + i), Deadline: now.Add(time.Minute)})
		e, ok := q.Next(now)
		is.True(ok)
		if q.nodes[e.Ticket.index()].item.Priority > 0 {
			less++
		}
		now = now.Add(10 * time.Millisecond)
		q.Done(now, e.Ticket, true)
	}
	is.Equal(less, 10) // one in eight, beside the one that runs all the time
}

// fairLoad returns a queue with waiting items of 86 workspaces and three priorities.
func fairLoad(waiting int) *Queue {
	q := fairQueue(4)
	for i := range uint32(waiting + 4) {
		q.Offer(epoch, Item{Account: i % 86, Priority: uint8(i % 3), Class: Class(i % 3), Deadline: atMillis(10000 + int(i*7%256))})
		if i < 4 {
			q.Next(epoch)
		}
	}
	return q
}

func TestFairQueueAllocatesNothing(t *testing.T) {
	is := is.New(t)
	q := fairLoad(256)
	now := epoch
	is.Equal(testing.AllocsPerRun(100, func() { replaceOne(q, &now) }), 0.0)
}

// replaceOne ends a running item, grants the next one and offers another.
func replaceOne(q *Queue, now *time.Time) {
	*now = now.Add(10 * time.Microsecond)
	q.Done(*now, q.ticket(q.active[0]), true)
	e, _ := q.Next(*now)
	it := q.nodes[e.Ticket.index()].item
	q.Offer(*now, Item{Account: it.Account, Priority: it.Priority, Class: it.Class, Deadline: now.Add(10 * time.Second)})
	q.Next(*now)
}

func BenchmarkFair(b *testing.B) {
	for _, waiting := range []int{8, 256} {
		b.Run(fmt.Sprint("replace/", waiting), func(b *testing.B) {
			q := fairLoad(waiting)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				replaceOne(q, &now)
			}
		})
		b.Run(fmt.Sprint("offer/", waiting), func(b *testing.B) {
			q := fairLoad(waiting - 1)
			now := epoch
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				t, _ := q.Offer(now, Item{Account: 5, Priority: 1, Deadline: now.Add(10 * time.Second)})
				q.Cancel(t)
			}
		})
		b.Run(fmt.Sprint("next/", waiting), func(b *testing.B) {
			q := fairLoad(waiting)
			now := epoch
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				q.chooseFair(now)
			}
		})
	}
}
