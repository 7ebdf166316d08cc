package steerer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

func mark(pos tracker.Position) tracker.Mark {
	return tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: pos}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 5432)
}

// bench is a steerer with a group of a primary and one replica.
type bench struct {
	*Steerer
	group    tracker.Group
	position tracker.Position // of the primary
	replica  tracker.Position
	finds    []tracker.Key
	found    finder.Found
	err      error
	hold     time.Time
	notes    relayer.Notes
}

func newBench() *bench {
	b := &bench{group: tracker.Group{Local: []bool{false, true}}, position: 10, replica: 10}
	b.Steerer = &Steerer{
		View: func(string) (View, bool) {
			return View{Snapshot: b.group.Snapshot(), Addresses: []netip.AddrPort{address(0), address(1)}, Hold: b.hold}, true
		},
		Find: func(_ context.Context, k tracker.Key, _ time.Time) (finder.Found, error) {
			b.finds = append(b.finds, k)
			return b.found, b.err
		},
		Refresh:  func(context.Context, string, netip.AddrPort) { b.sample() },
		Recorder: &router.Recorder{},
	}
	b.sample()
	return b
}

// sample lets the view know how far both are.
func (b *bench) sample() {
	for i, s := range []tracker.State{
		{Role: tracker.Primary, Mark: mark(b.position)},
		{Role: tracker.Replica, Mark: mark(b.replica)},
	} {
		s.Term = tracker.Term{Epoch: 1}
		b.group.Observe(tracker.Sample{Upstream: i, State: s, Sent: time.Now(), Received: time.Now()})
	}
}

// follow lets the replica follow for a second at a lag of 20 ms.
func (b *bench) follow() {
	for range 100 {
		time.Sleep(10 * time.Millisecond)
		b.position += 10
		b.replica = b.position - 20
		b.sample()
	}
}

// route routes a statement of the bench's session with a deadline in 500 ms.
func (b *bench) route(sql string) (relayer.Target, *relayer.Refusal) {
	return b.Route(context.Background(), &relayer.Request{
		Account:   &relayer.Account{Tenant: "t", Group: "g"},
		Statement: classifier.Classify([]byte(sql)),
		Notes:     &b.notes,
		Deadline:  time.Now().Add(500 * time.Millisecond),
	})
}

// reason returns why the latest decision was made.
func (b *bench) reason() router.Reason { return b.Recorder.Last(router.Filter{}, 1)[0].Decision.Reason }

func TestFreshConnectionIsCheckedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.found.Mark = mark(10)
		for range 3 {
			target, refusal := b.route("SELECT 1")
			is.True(refusal == nil)
			is.Equal(target.Address, address(1))
			is.True(!target.Primary)
			b.Release(target)
		}
		is.Equal(b.finds, []tracker.Key{{Tenant: "t", Group: "g"}})
		is.Equal(b.notes.Mark, mark(10))
		is.Equal(b.reason(), router.ReplicaInZone)
	})
}

func TestNamedSessionAsksEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.notes.Session = "kiosk"
		b.found.Mark = mark(11)
		b.Refresh = nil
		for range 2 {
			target, refusal := b.route("SELECT 1")
			is.True(refusal == nil)
			is.Equal(target.Address, address(0)) // the replica is at 10
		}
		is.Equal(len(b.finds), 2)
		is.Equal(b.reason(), router.PrimaryMark)
		b.Ready = func() bool { return false }
		_, refusal := b.route("UPDATE seats SET taken = true")
		is.Equal(refusal.Outcome.SQLState(), retrier.StateComeBack)
	})
}

func TestReadWaitsForTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.follow()
		b.notes.Known, b.notes.Mark = true, mark(b.position)
		b.Refresh = func(context.Context, string, netip.AddrPort) {
			b.replica = b.position // it has got there; no sample said so before it was asked
			b.sample()
		}
		start := time.Now()
		target, refusal := b.route("SELECT 1")
		is.True(refusal == nil)
		is.Equal(target.Address, address(1))
		waited := time.Since(start)
		is.True(waited > 10*time.Millisecond && waited < 40*time.Millisecond) // its lag is 20 ms
		counts := b.Recorder.Counts()
		is.Equal(counts[router.WaitReplica], uint64(1))
	})
}

func TestWritesAreHeldAndGoToThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench()
		b.hold = time.Now().Add(100 * time.Millisecond)
		start := time.Now()
		target, refusal := b.route("INSERT INTO seats VALUES (1)")
		is.True(refusal == nil)
		is.Equal(target, relayer.Target{
			Group: "g", Address: address(0), Primary: true, Term: tracker.Term{Epoch: 1}, Token: target.Token,
		})
		is.Equal(time.Since(start), 100*time.Millisecond)
		is.Equal(len(b.finds), 0)
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name string
		set  func(*bench)
		sql  string
		want string
		took time.Duration
	}{
		{"no primary is borne out", func(b *bench) { b.err = finder.ErrUnknown }, "SELECT 1", retrier.StateComeBack, 0},
		{"the finder took too long", func(b *bench) { b.err = context.DeadlineExceeded }, "SELECT 1", retrier.StateLate, 0},
		{"no primary for a write", func(b *bench) { b.group.Lost(0) }, "UPDATE t SET a = 1", retrier.StateLate, 500 * time.Millisecond},
		{"no such group", func(b *bench) { b.View = func(string) (View, bool) { return View{}, false } }, "UPDATE t SET a = 1", retrier.StateForbidden, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench()
				tt.set(b)
				start := time.Now()
				_, refusal := b.route(tt.sql)
				is.True(refusal != nil)
				is.Equal(refusal.Outcome.SQLState(), tt.want)
				is.Equal(time.Since(start), tt.took)
			})
		})
	}
}
