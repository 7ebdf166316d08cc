package dispatcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/classifier"
	"basildale.example/basildale/configurator"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/marker"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

var (
	primary = netip.MustParseAddrPort("10.0.0.1:5432")
	replica = netip.MustParseAddrPort("10.0.0.2:5432")
	term    = tracker.Term{Epoch: 1, Seq: 1}
)

var errNoNetwork = errors.New("no network in this test")

// bench is a dispatcher before one group of a primary and a replica in the same
// availability zone, both at position 10.
type bench struct {
	*Dispatcher
	states tracker.Group
	config *controller.Reconfigured
	hold   time.Time
	notes  relayer.Notes
	checks int // of the primary
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{states: tracker.Group{Local: []bool{false, true}}, config: &controller.Reconfigured{}}
	b.Dispatcher = &Dispatcher{
		Control: Control{
			Config: func() *controller.Reconfigured { return b.config },
			Offer:  func(controller.Event) bool { return true },
			Used:   func(string) func(time.Time) { return func(time.Time) {} },
		},
		Upstreams: &commander.Commander{Dial: func(context.Context, string, string) (net.Conn, error) { return nil, errNoNetwork }},
	}
	b.Marks = &finder.Finder{
		Settings: marker.Settings{Self: "self", CheckOnly: true},
		Ask: func(_ string, answer finder.Answer) {
			b.checks++
			go func() {
				answer(0, 2, b.state(tracker.Primary))
				answer(1, 2, b.state(tracker.Replica))
			}()
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.Marks.Run(ctx)
	b.publish()
	return b
}

func (b *bench) state(role tracker.Role) tracker.State {
	return tracker.State{Role: role, Term: term, Mark: tracker.Mark{Term: term, Pos: 10}}
}

// publish samples both upstreams now and gives traffic the view.
func (b *bench) publish() {
	for i, role := range []tracker.Role{tracker.Primary, tracker.Replica} {
		now := time.Now()
		b.states.Observe(tracker.Sample{
			Upstream: i, Sent: now, Received: now,
			State: b.state(role),
		})
	}
	b.OnView(&controller.Published{
		Group:    controller.Group{Name: "g", Upstreams: []controller.Upstream{{Address: primary}, {Address: replica}}},
		Snapshot: b.states.Snapshot(), Primary: primary, Term: term, Hold: b.hold, Leaving: []bool{false, false},
	})
}

func (b *bench) request(sql string, within time.Duration) *relayer.Request {
	return &relayer.Request{
		Account:   &relayer.Account{Tenant: "t", Caller: "c", Group: "g"},
		Statement: classifier.Classify([]byte(sql)),
		Notes:     &b.notes,
		Arrived:   time.Now(),
		Deadline:  time.Now().Add(within),
	}
}

func (b *bench) route(sql string, within time.Duration) (relayer.Target, *relayer.Refusal) {
	return b.Route(context.Background(), b.request(sql, within))
}

func (b *bench) running(a netip.AddrPort) int {
	return b.group("g").gates.get(a, limiter.DefaultLimits()).Queue.Running()
}

const (
	read  = "SELECT 1"
	write = "INSERT INTO t (id) VALUES (1)"
)

// Symptom: a read that must be up to date is answered by a replica. Sequence: the
// caller states an age of zero. Cause: zero was taken for an age that isn't
// stated.
func TestStatedAgeOfZeroGoesToThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.notes.Known = true
		target, refusal := b.route(read, time.Second)
		is.Equal(refusal, nil)
		is.Equal(target.Address, replica)
		r := b.request(read, time.Second)
		r.Terms.AnyAge = true
		target, refusal = b.Route(context.Background(), r)
		is.Equal(refusal, nil)
		is.Equal(target.Address, primary)
		is.Equal(b.checks, 1)
	})
}

func TestMarkOfAFreshConnectionIsCheckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		for range 3 {
			target, refusal := b.route(read, time.Second)
			is.Equal(refusal, nil)
			is.Equal(target.Address, replica)
			b.Release(target, true)
		}
		is.Equal(b.checks, 1)
		is.Equal(b.notes.Mark, tracker.Mark{Term: term, Pos: 10})
	})
}

// Symptom: bookings fail during a planned change of the primary. Sequence: the
// change is announced with a hold, a booking arrives. Cause: the booking is sent
// to the primary that is about to be fenced.
func TestHeldWriteWaitsForThePlannedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		start := time.Now()
		b.hold = start.Add(500 * time.Millisecond)
		b.publish()
		got := make(chan *relayer.Refusal, 1)
		go func() {
			_, refusal := b.route(write, time.Second)
			got <- refusal
		}()
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(got), 0) // it waits
		b.hold = time.Time{}
		b.publish()
		is.Equal(<-got, nil)
		is.Equal(time.Since(start), 100*time.Millisecond)

		b.hold = time.Now().Add(time.Minute)
		b.publish()
		_, refusal := b.route(write, 200*time.Millisecond)
		is.Equal(refusal.Outcome.Cause, retrier.Late) // not run, at its deadline
		b.notes.Known = true
		_, refusal = b.route(read, 200*time.Millisecond)
		is.Equal(refusal, nil) // reads go on
	})
}

// Symptom: at a peak every answer is late and none is in time. Sequence: more
// requests arrive than the upstream serves. Cause: those that can't be in time
// wait all the same, and take the place of those that can.
func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		l := limiter.DefaultLimits()
		l.Window = 1
		b.group("g").gates.apply(l)
		for range 50 { // a statement takes 100 ms
			served, refusal := b.route(write, time.Minute)
			is.Equal(refusal, nil)
			time.Sleep(100 * time.Millisecond)
			b.Release(served, true)
		}
		held, refusal := b.route(write, time.Minute)
		is.Equal(refusal, nil)
		began := time.Now()
		_, refusal = b.route(write, 50*time.Millisecond)
		is.Equal(refusal.Outcome.Kind, retrier.NotRun)
		is.Equal(refusal.Outcome.Cause, retrier.Late)
		is.True(refusal.Outcome.Back.After(began)) // it is told when to come back
		is.Equal(time.Since(began), time.Duration(0))
		b.Release(held, true)
	})
}

// Symptom: after some hours an upstream gets no more work. Sequence: requests are
// refused, given up and answered in every mix. Cause: a slot is not given back on
// one of the ways out.
func TestEverySlotComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.notes.Known = true
		l := limiter.DefaultLimits()
		l.Window, l.Queue = 2, 8
		b.group("g").gates.apply(l)
		var work sync.WaitGroup
		for i := range 500 {
			sql := read
			if i%3 == 0 {
				sql = write
			}
			work.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%40)*time.Millisecond)
				defer cancel()
				target, refusal := b.Route(ctx, b.request(sql, time.Duration(1+i%60)*time.Millisecond))
				if refusal != nil {
					return
				}
				time.Sleep(time.Duration(i%7) * time.Millisecond)
				b.Release(target, i%5 != 0)
			})
			if i%10 == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		work.Wait()
		is.Equal(b.running(primary), 0)
		is.Equal(b.running(replica), 0)
		v := b.group("g").view.Load()
		is.Equal(v.load.Busy(0), 0)
		is.Equal(v.load.Busy(1), 0)
	})
}

// Symptom: the operators put the peak preset in force and nothing changes.
// Sequence: a queue works, another preset comes. Cause: the queue's limits were
// read once, when it was made.
func TestLimitsFollowThePresetInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.notes.Known = true
		class := configurator.Class{Weight: 1, Slots: 1, Queue: 1, Deadline: configurator.Duration(time.Second)}
		b.config = &controller.Reconfigured{Config: &configurator.Config{
			Workspaces: map[string]*configurator.InForce{"dj": {Name: "peak", Preset: &configurator.Preset{
				Workspace: "dj", Window: 1, Queue: 1, Classes: map[string]configurator.Class{"booking": class, "lookup": class},
			}}},
			Pools:  map[string]*configurator.Pool{"p": {Workspace: "dj"}},
			Groups: map[string]*configurator.Group{"g": {Pool: "p", Connections: 35, Slots: 5}},
		}}
		b.OnConfig(b.config)
		running, refusal := b.route(write, time.Second)
		is.Equal(refusal, nil)
		waiting := make(chan *relayer.Refusal, 1)
		go func() {
			_, refusal := b.route(write, time.Second)
			waiting <- refusal
		}()
		synctest.Wait()
		_, refusal = b.route(write, time.Second) // one runs, one waits, and no more may
		is.Equal(refusal.Outcome.Cause, retrier.Busy)
		b.Release(running, true)
		is.Equal(<-waiting, nil)
	})
}

// Symptom: one caller thinks inside a transaction, and all others are refused.
// Sequence: a transaction is open, its place in the window of one is kept. Cause:
// the place was given back with the connection, at the end of the transaction.
func TestTransactionThatWaitsForItsCallerKeepsNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		l := limiter.DefaultLimits()
		l.Window = 1
		b.group("g").gates.apply(l)
		open, refusal := b.route(write, time.Second)
		is.Equal(refusal, nil)
		b.Yield(&open)
		is.Equal(b.running(primary), 0)
		other, refusal := b.route(write, time.Second)
		is.Equal(refusal, nil)
		b.Release(open, true) // the end of the transaction takes no second place away
		is.Equal(b.running(primary), 1)
		b.Release(other, true)
		is.Equal(b.group("g").view.Load().load.Busy(0), 0)
	})
}

func TestTenantsHaveNumbersOfTheirOwn(t *testing.T) {
	is := is.New(t)
	var n tenants
	is.Equal(n.number("a"), uint16(0))
	is.Equal(n.number("b"), uint16(1))
	is.Equal(n.number("a"), uint16(0))
}
