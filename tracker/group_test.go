package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// epoch is the start of virtual time in these tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the instant so many milliseconds after the epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// mark returns a mark of term 1.seq.
func mark(seq uint32, pos Position) Mark { return Mark{Term: Term{1, seq}, Pos: pos} }

// state returns a state of term 1.seq.
func state(role Role, seq uint32, m Mark) State {
	return State{Role: role, Term: Term{1, seq}, Mark: m}
}

// ask is a sample asked for at ms and answered 2 ms later.
func ask(i, ms int, s State) Sample {
	return Sample{Upstream: i, State: s, Sent: at(ms), Received: at(ms + 2)}
}

func TestAge(t *testing.T) {
	const unknown = -1
	tests := []struct {
		name    string
		samples []Sample
		now     int
		want    [3]int // milliseconds
	}{
		{"nothing sampled", nil, 0, [3]int{unknown, unknown, unknown}},
		{
			"the primary alone proves nothing",
			[]Sample{ask(0, 0, state(Primary, 1, mark(1, 5)))},
			10,
			[3]int{unknown, unknown, unknown},
		},
		{
			"replicas at the primary's position and behind all of it",
			[]Sample{
				ask(0, 0, state(Primary, 1, mark(1, 5))),
				ask(1, 0, state(Replica, 1, mark(1, 5))),
				ask(2, 0, state(Replica, 1, mark(1, 4))),
			},
			10,
			[3]int{10, 10, unknown},
		},
		{
			"a replica that stands still ages from the last time it held everything",
			[]Sample{
				ask(0, 0, state(Primary, 1, mark(1, 5))),
				ask(0, 50, state(Primary, 1, mark(1, 5))),
				ask(0, 100, state(Primary, 1, mark(1, 7))),
				ask(1, 100, state(Replica, 1, mark(1, 5))),
				ask(2, 100, state(Replica, 1, mark(1, 6))),
			},
			110,
			[3]int{10, 60, 60},
		},
		{
			"a late answer changes nothing",
			[]Sample{
				ask(0, 100, state(Primary, 1, mark(1, 7))),
				ask(1, 100, state(Replica, 1, mark(1, 7))),
				ask(0, 50, state(Primary, 1, mark(1, 5))),
				ask(1, 50, state(Replica, 1, mark(1, 5))),
			},
			110,
			[3]int{10, 10, unknown},
		},
		{
			"a time before the samples",
			[]Sample{
				ask(0, 100, state(Primary, 1, mark(1, 7))),
				ask(1, 100, state(Replica, 1, mark(1, 7))),
			},
			90,
			[3]int{unknown, unknown, unknown},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := Group{Local: make([]bool, 3)}
			for _, s := range tt.samples {
				g.Observe(s)
			}
			snap := g.Snapshot()
			for i, want := range tt.want {
				age, ok := snap.Age(i, at(tt.now))
				is.Equal(ok, want != unknown)
				if ok {
					is.Equal(age, time.Duration(want)*time.Millisecond)
				}
			}
		})
	}
}

// Symptom: a read of data at most 100 ms old sees data of a second ago.
//
// Sequence: the primary and one replica are cut off from the others; these get a
// new primary and take writes; this proxy hears the old primary and, since it
// was fenced, the other replica.
//
// Cause: the old primary's position taken for the group's newest.
func TestIsolatedPrimaryProvesNoAge(t *testing.T) {
	is := is.New(t)
	g := Group{Local: make([]bool, 3)}
	for i, role := range []Role{Primary, Replica, Replica} {
		g.Observe(ask(i, 0, state(role, 1, mark(1, 5))))
	}
	g.Observe(ask(1, 50, state(Fenced, 2, mark(1, 5))))
	g.Observe(ask(2, 60, state(Fenced, 2, mark(1, 5))))
	g.Observe(ask(0, 1000, state(Primary, 1, mark(1, 5))))
	snap := g.Snapshot()
	age, ok := snap.Age(0, at(1000))
	is.True(ok)
	is.Equal(age, time.Second)
	age, ok = snap.Age(1, at(1000))
	is.True(ok)
	is.Equal(age, time.Second)
}

func TestHolds(t *testing.T) {
	is := is.New(t)
	g := Group{Local: make([]bool, 3)}
	g.Observe(ask(0, 0, state(Primary, 2, mark(2, 9))))
	g.Observe(ask(1, 0, state(Replica, 2, mark(2, 8))))
	g.Observe(ask(2, 0, state(Replica, 2, mark(1, 7))))
	snap := g.Snapshot()
	is.True(snap.Holds(0, mark(2, 12)))  // written by it since the sample
	is.True(!snap.Holds(0, mark(3, 1)))  // written by its successor
	is.True(snap.Holds(1, mark(1, 100))) // of an earlier term: in the later one's log
	is.True(snap.Holds(1, mark(2, 8)))
	is.True(!snap.Holds(1, mark(2, 9)))
	is.True(!snap.Holds(2, mark(2, 1)))
	g.Lost(1)
	is.True(!g.Snapshot().Holds(1, mark(1, 1)))
}

func TestReplacedPrimaryIsNone(t *testing.T) {
	is := is.New(t)
	g := Group{Local: make([]bool, 3)}
	g.Observe(ask(0, 0, state(Primary, 1, mark(1, 5))))
	g.Observe(ask(1, 10, state(Primary, 2, mark(1, 5))))
	g.Observe(ask(0, 20, state(Primary, 1, mark(1, 6))))
	is.Equal(g.Snapshot().Primary, 1)
	g.Lost(1)
	is.Equal(g.Snapshot().Primary, None)
}

// follow feeds a group with a primary that writes an entry a millisecond and a
// replica that is lag behind.
func follow(g *Group, until, lag int) {
	for ms := 100; ms <= until; ms += 20 {
		g.Observe(ask(0, ms, state(Primary, 1, mark(1, Position(ms+1)))))
		g.Observe(ask(1, ms, state(Replica, 1, mark(1, Position(ms-lag+1)))))
	}
}

func TestPasses(t *testing.T) {
	is := is.New(t)
	g := Group{Local: make([]bool, 2)}
	follow(&g, 1000, 50)
	snap := g.Snapshot()
	got, ok := snap.Passes(1, mark(1, 991), at(1002))
	is.True(ok)
	off := got.Sub(at(1040))
	is.True(off.Abs() <= 3*time.Millisecond) // written at 990, there at 1040
	_, ok = snap.Passes(1, mark(2, 1), at(1002))
	is.True(!ok) // no primary of that term is known
	_, ok = snap.Passes(0, mark(1, 991), at(1002))
	is.True(!ok) // the primary is no replica
	got, ok = snap.Passes(1, mark(1, 5000), at(1010))
	is.True(ok)
	is.True(got.After(at(1050))) // written just now at the latest
}

func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	g := Group{Local: make([]bool, 2), History: 4}
	follow(&g, 1000, 0)
	is.Equal(len(g.history.spans), 4)
	_, ok := passed(g.history.spans, mark(1, 500))
	is.True(!ok)
	is.True(fresh(g.history.spans, mark(1, 500), at(1000)).IsZero())
}
