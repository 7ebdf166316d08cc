package confirmer

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

var (
	start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	one   = tracker.Term{Epoch: 1}
	two   = tracker.Term{Epoch: 1, Seq: 8}
	left  = netip.MustParseAddrPort("10.0.0.2:5432")
	right = netip.MustParseAddrPort("10.0.0.3:5432")
)

func at(term tracker.Term, pos int) tracker.Mark {
	return tracker.Mark{Term: term, Pos: tracker.Position(pos)}
}

func state(role tracker.Role, term tracker.Term, mark tracker.Mark) tracker.State {
	return tracker.State{Role: role, Term: term, Mark: mark}
}

func ready() *Group {
	g := &Group{}
	g.Change(Change{Term: one, Replicas: []netip.AddrPort{left, right}}, start)
	for _, r := range []netip.AddrPort{left, right} {
		g.Polled(Polled{Upstream: r, State: state(tracker.Replica, one, at(one, 0)), Solicited: true}, start)
	}
	return g
}

// ends returns the ids that commands end, by kind.
func ends(cmds []Command, k Kind) []uint64 {
	var ids []uint64
	for _, c := range cmds {
		if c.Kind == k {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

func polls(cmds []Command) int {
	n := 0
	for _, c := range cmds {
		if c.Kind == Poll {
			n++
		}
	}
	return n
}

func TestConfirms(t *testing.T) {
	for _, c := range []struct {
		name  string
		state tracker.State
		term  tracker.Term
		mark  tracker.Mark
		want  bool
	}{
		{"reached", state(tracker.Replica, one, at(one, 5)), one, at(one, 5), true},
		{"short", state(tracker.Replica, one, at(one, 4)), one, at(one, 5), false},
		{"fenced meanwhile", state(tracker.Fenced, two, at(one, 5)), one, at(one, 5), false},
		{"follows a later primary", state(tracker.Replica, two, at(two, 9)), one, at(one, 5), false},
		{"the primary itself", state(tracker.Primary, one, at(one, 5)), one, at(one, 5), false},
		// Symptom: an acknowledged write is gone two promotions later. Sequence:
		// it is found on the new primary and a replica, both without an entry of
		// the new term; a third log that ends in a term between wins. Cause: an
		// older entry confirms nothing for the new term.
		{"settled, old entries only", state(tracker.Replica, two, at(one, 5)), two, at(one, 5), false},
		{"settled, an entry of the new term", state(tracker.Replica, two, at(two, 6)), two, at(one, 5), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Confirms(c.state, c.term, c.mark), c.want)
		})
	}
}

// Symptom: the first writes after a promotion end as unknown. Sequence: traffic
// uses the new primary; its answer is here before the change of the term is.
// Cause: a term that isn't the known one taken for an old one.
func TestWriteOfALaterTermWaits(t *testing.T) {
	is := is.New(t)
	g := ready()
	g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, 1)}, start)
	cmds := g.Wrote(Wrote{ID: 2, Term: two, Mark: at(two, 2)}, start)
	is.Equal(ends(cmds, Unknown), []uint64{1})
	is.Equal(g.Waiting(), 1)
	g.Change(Change{Term: two, Replicas: []netip.AddrPort{left}}, start)
	cmds = g.Polled(Polled{Upstream: left, State: state(tracker.Replica, two, at(two, 2))}, start)
	is.Equal(ends(cmds, Ack), []uint64{2})
}

func TestWaitingWritesShareOnePoll(t *testing.T) {
	is := is.New(t)
	g := ready()
	sent := 0
	for i := 1; i <= 100; i++ {
		sent += polls(g.Wrote(Wrote{ID: uint64(i), Term: one, Mark: at(one, i)}, start))
	}
	is.Equal(sent, 2) // one for each replica
	cmds := g.Polled(Polled{Upstream: left, State: state(tracker.Replica, one, at(one, 60)), Solicited: true}, start)
	is.Equal(len(ends(cmds, Ack)), 60)
	is.Equal(polls(cmds), 1)
	is.Equal(g.Waiting(), 40)
	is.Equal(ends(g.Wrote(Wrote{ID: 200, Term: one, Mark: at(one, 50)}, start), Ack), []uint64{200})
}

// Symptom: a booking is acknowledged by a replaced primary. Sequence: the write
// waits; another primary takes over; the old replica's answer arrives late.
// Cause: the confirmation is of a term that is over.
func TestReplacedTermIsUnknownAtOnce(t *testing.T) {
	is := is.New(t)
	g := ready()
	g.Wrote(Wrote{ID: 7, Term: one, Mark: at(one, 5)}, start)
	cmds := g.Change(Change{Term: two, Replicas: []netip.AddrPort{left, right}}, start)
	is.Equal(ends(cmds, Unknown), []uint64{7})
	late := g.Polled(Polled{Upstream: left, State: state(tracker.Replica, one, at(one, 9)), Solicited: true}, start)
	is.Equal(len(ends(late, Ack)), 0)
	is.Equal(ends(g.Wrote(Wrote{ID: 8, Term: one, Mark: at(one, 6)}, start), Unknown), []uint64{8})
	is.Equal(len(g.Change(Change{Term: one}, start)), 0) // terms don't go back
	is.Equal(g.Term(), two)
}

// Symptom: writes run and end as unknown while replication is slow. Sequence: lag
// grows beyond the callers' deadlines. Cause: writes are let in although their
// confirmation can't come in time.
func TestEarlyRefusalAndRecovery(t *testing.T) {
	is := is.New(t)
	g := ready()
	const deadline = 200 * time.Millisecond
	now := start
	is.True(g.Admit(now.Add(deadline), now).Admitted)
	g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, 1), Deadline: now.Add(deadline)}, now)
	now = now.Add(deadline)
	is.Equal(ends(g.Tick(now), Unknown), []uint64{1}) // given up: the answer at once

	v := g.Admit(now.Add(deadline), now)
	is.True(!v.Admitted)
	is.Equal(v.Reason, Lagging)
	is.True(v.Retry.After(now))
	is.True(g.Admit(now.Add(time.Minute), now).Admitted) // there is time

	// Replication recovers; samples show it, with no caller's write at stake.
	for pos := 2; pos < 2+samples; pos++ {
		g.Admit(now.Add(deadline), now)
		now = now.Add(sampleEvery)
		is.Equal(len(ends(g.Tick(now), Sample)), 1)
		g.Wrote(Wrote{Term: one, Mark: at(one, pos)}, now)
		cmds := g.Polled(Polled{Upstream: right, State: state(tracker.Replica, one, at(one, pos)), Solicited: true}, now)
		is.Equal(len(ends(cmds, Ack)), 0) // nobody waits for a sample
	}
	is.True(g.Admit(now.Add(deadline), now).Admitted)
}

// Symptom: one core is busy with ticks while replication lags. Sequence: a write
// is refused; the sample for it waits; another is refused. Cause: Next names a
// time that has come though Tick can do nothing before the sample's answer.
func TestTickLeavesNothingDue(t *testing.T) {
	is := is.New(t)
	g := ready()
	now := start
	g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, 1), Deadline: now.Add(10 * time.Millisecond)}, now)
	for range 50 {
		now = now.Add(10 * time.Millisecond)
		g.Admit(now.Add(5*time.Millisecond), now)
		for _, c := range g.Tick(now) {
			if c.Kind == Sample {
				g.Wrote(Wrote{Term: one, Mark: at(one, 9)}, now)
			}
		}
		is.True(g.Next().IsZero() || g.Next().After(now))
	}
}

func TestSilentReplicasRefuse(t *testing.T) {
	is := is.New(t)
	g := ready()
	now := start
	g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, 1), Deadline: now.Add(time.Minute)}, now)
	for range silentAfter {
		now = now.Add(time.Second)
		g.Tick(now) // polls go out
		g.PollFailed(left, now)
		g.PollFailed(right, now)
	}
	is.Equal(g.Admit(now.Add(time.Minute), now).Reason, Silent)
	cmds := g.Polled(Polled{Upstream: right, State: state(tracker.Replica, one, at(one, 1))}, now)
	is.Equal(ends(cmds, Ack), []uint64{1})
	is.True(g.Admit(now.Add(time.Minute), now).Admitted)
}

func TestWriteAllocatesNothing(t *testing.T) {
	is := is.New(t)
	g := ready()
	pos := 0
	step := func() {
		pos++
		g.Admit(start.Add(time.Second), start)
		g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, pos), Deadline: start.Add(time.Second)}, start)
		g.Polled(Polled{Upstream: left, State: state(tracker.Replica, one, at(one, pos)), Solicited: true}, start)
		g.Next()
	}
	step()
	is.Equal(testing.AllocsPerRun(100, step), 0.0)
}

func TestSharedWakesEachWaiter(t *testing.T) {
	is := is.New(t)
	orders := make(chan Command, 64)
	s := &Shared{
		Now:   func() time.Time { return start },
		Order: func(c Command) { orders <- c },
		Wake:  func(time.Time) {},
	}
	s.Change(Change{Term: one, Replicas: []netip.AddrPort{left}})
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := make(map[Kind]int)
	const writers = 16
	for i := 1; i <= writers; i++ {
		wg.Go(func() {
			out := s.Wait(one, at(one, i), start.Add(time.Second))
			mu.Lock()
			got[out.Kind]++
			mu.Unlock()
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for running := true; running; {
		select {
		case c := <-orders:
			s.Polled(Polled{Upstream: c.Upstream, State: state(tracker.Replica, one, at(one, writers)), Solicited: true})
		case <-done:
			running = false
		}
	}
	is.Equal(got[Ack], writers)
	s.Change(Change{Term: two, Replicas: []netip.AddrPort{left}})
	is.Equal(s.Wait(one, at(one, 1), start.Add(time.Second)), Outcome{Kind: Unknown, Reason: Replaced})
}

func BenchmarkWriteConfirmed(b *testing.B) {
	g := ready()
	b.ReportAllocs()
	for pos := 1; b.Loop(); pos++ {
		g.Wrote(Wrote{ID: 1, Term: one, Mark: at(one, pos), Deadline: start.Add(time.Second)}, start)
		g.Polled(Polled{Upstream: left, State: state(tracker.Replica, one, at(one, pos)), Solicited: true}, start)
	}
}
