package marker

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func key(session string) tracker.Key { return tracker.Key{Session: session, Group: "g"} }

func mark(epoch uint32, pos tracker.Position) tracker.Mark {
	return tracker.Mark{Term: tracker.Term{Epoch: epoch}, Pos: pos}
}

// of returns the commands of one type.
func of[T Command](list []Command) []T {
	var found []T
	for _, c := range list {
		if c, ok := c.(T); ok {
			found = append(found, c)
		}
	}
	return found
}

func TestReadsShareACheck(t *testing.T) {
	is := is.New(t)
	m := &Marker{Settings: Settings{CheckOnly: true}}
	first := of[Check](m.Step(Read{ID: 1, Key: key("")}, at(0)))
	is.Equal(len(first), 1)
	// These come in while it is under way: its answer may be too old for them.
	is.Equal(len(m.Step(Read{ID: 2, Key: key("a")}, at(1))), 0)
	is.Equal(len(m.Step(Read{ID: 3, Key: key("b")}, at(1))), 0)
	lead := tracker.State{Role: tracker.Primary, Term: tracker.Term{Epoch: 1}, Mark: mark(1, 7)}
	follower := tracker.State{Role: tracker.Replica, Term: tracker.Term{Epoch: 1}, Mark: mark(1, 3)}
	is.Equal(len(m.Step(Stated{Group: "g", Batch: first[0].Batch, Upstream: 0, Size: 3, State: lead}, at(2))), 0)
	out := m.Step(Stated{Group: "g", Batch: first[0].Batch, Upstream: 2, Size: 3, State: follower}, at(3))
	is.Equal(out, []Command{Release{ID: 1, Mark: mark(1, 7), Source: FromCheck}})
	is.Equal(m.Next(), at(5)) // the pace
	second := of[Check](m.Step(Tick{}, at(5)))
	is.Equal(len(second), 1)
	m.Step(Stated{Group: "g", Batch: second[0].Batch, Upstream: 0, Size: 3, State: lead}, at(6))
	out = m.Step(Stated{Group: "g", Batch: second[0].Batch, Upstream: 1, Size: 3, State: follower}, at(6))
	is.Equal(len(of[Release](out)), 2)
	is.Equal(m.Step(Wrote{ID: 9, Key: key("a")}, at(7)), []Command{Acknowledge{ID: 9}})
}

func TestSettled(t *testing.T) {
	state := func(role tracker.Role, epoch uint32, pos tracker.Position) tracker.State {
		return tracker.State{Role: role, Term: tracker.Term{Epoch: epoch}, Mark: mark(epoch, pos)}
	}
	tests := []struct {
		name   string
		states []tracker.State
		want   bool
	}{
		{"the primary alone", []tracker.State{state(tracker.Primary, 1, 5)}, false},
		{"with one that follows", []tracker.State{state(tracker.Primary, 1, 5), state(tracker.Replica, 1, 3)}, true},
		{"with one that hasn't heard of its term", []tracker.State{state(tracker.Primary, 2, 5), state(tracker.Replica, 1, 3)}, true},
		{"with one fenced for a later term", []tracker.State{state(tracker.Primary, 1, 5), state(tracker.Fenced, 2, 5)}, false},
		{"one of two fenced", []tracker.State{state(tracker.Primary, 1, 5), state(tracker.Fenced, 2, 5), state(tracker.Replica, 1, 4)}, true},
		{"replicas only", []tracker.State{state(tracker.Replica, 1, 5), state(tracker.Replica, 1, 5)}, false},
		{"an old primary and a new one", []tracker.State{state(tracker.Primary, 1, 9), state(tracker.Primary, 2, 5)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			states := map[int]tracker.State{}
			for i, s := range tt.states {
				states[i] = s
			}
			_, ok := settled(states, 3)
			is.Equal(ok, tt.want)
		})
	}
}

// Symptom: a read hangs until its deadline while no primary is borne out.
//
// Sequence: the check has no answer, again and again.
//
// Cause: a read kept waiting that was given up on.
func TestReadIsGivenUpAtOnce(t *testing.T) {
	is := is.New(t)
	m := &Marker{Settings: Settings{Attempts: 2}}
	m.Step(Read{ID: 1, Key: key("")}, at(0))
	m.Step(Read{ID: 2, Key: key(""), Deadline: at(100)}, at(10))
	is.Equal(len(of[Check](m.Step(Tick{}, at(50)))), 1)
	out := m.Step(Tick{}, at(100))
	is.Equal(of[Fail](out), []Fail{{ID: 1, Retry: at(1100)}})
	out = m.Step(Tick{}, at(150))
	is.Equal(of[Fail](out), []Fail{{ID: 2, Retry: at(1150)}})
	is.True(m.Next().IsZero())
}

// Symptom: a caller that wrote through one proxy reads an older state through
// another.
//
// Sequence: the home of its session has just been given a promise and falls
// silent towards the writer only.
//
// Cause: the write acknowledged before the home has stopped answering.
func TestWriteIsHeldWhileItsHomeMayAnswer(t *testing.T) {
	is := is.New(t)
	m := &Marker{Settings: Settings{Self: "a"}}
	m.Step(Viewed{Version: 1, Members: []string{"a", "b"}}, at(0))
	serve := func(ms int) []Command {
		for _, s := range of[Send](m.Step(Tick{}, at(ms))) {
			if p, ok := s.Message.(Ping); ok {
				m.Step(Received{From: "b", Message: Pong(p)}, at(ms+1))
			}
		}
		return m.Step(Tick{}, at(ms+2))
	}
	for ms := 0; ms <= 2000; ms += 250 {
		serve(ms)
	}
	is.True(m.Ready(at(2002)))
	m.Step(Received{From: "b", Message: Ping{Serial: 1, Version: 1}}, at(2010))
	k := key("s")
	for i := 0; m.view.home(k) != "b"; i++ {
		k.Session += "x"
	}
	puts := of[Send](m.Step(Wrote{ID: 5, Key: k, Mark: mark(1, 7)}, at(2020)))
	is.True(slices.ContainsFunc(puts, func(s Send) bool { _, ok := s.Message.(Put); return ok }))
	for ms := 2250; ms <= 3000; ms += 250 {
		is.Equal(len(of[Acknowledge](serve(ms))), 0)
	}
	// The promise of 2010 has ended an eighth of a lease after the home's count.
	is.Equal(of[Acknowledge](m.Step(Tick{}, at(3136))), []Acknowledge{{ID: 5}})
}

// Guards against a write that is put to its home under the name of another session.
func TestSessionNamesTravelByteForByte(t *testing.T) {
	for _, name := range []string{"", "kiosk-7", "a\x00b\r\n", "<&>\u2028\ufffd", "\xe9", "k\xf8benhavn", "\xed\xa0\x80"} {
		is := is.New(t)
		k := tracker.Key{Tenant: "damplinjerne", Session: name, Group: "g"}
		sent := []Message{Get{Serial: 1, Key: k}, Put{Serial: 2, Key: k, Mark: mark(1, 2)}, Complete{Key: k, Token: 3}}
		raw, err := Encode(sent)
		is.NoErr(err)
		got, err := Decode(raw)
		is.NoErr(err)
		is.Equal(got, sent)
	}
}
