package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/tracker"
)

func mark(term uint32, pos uint64) tracker.Mark {
	return tracker.Mark{Term: tracker.Term{Epoch: term}, Pos: tracker.Position(pos)}
}

// Guards against replicas that apply a second late and serve no reads, although these may
// be 1.5 s old. Samples are taken all the time; only the oldest one that is fresh enough is
// a position that such replicas have, so the newest must not be used.
func TestOldestFreshSampleIsUsed(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	for i := range 30 {
		s.add(start.Add(time.Duration(i)*100*time.Millisecond), mark(1, uint64(i)))
	}
	now := start.Add(2900 * time.Millisecond)
	m, ok := s.oldestSince(now.Add(-1500 * time.Millisecond))
	is.True(ok)
	is.Equal(m, mark(1, 14))
	_, ok = s.oldestSince(now.Add(time.Millisecond))
	is.True(!ok) // none is that fresh
}

// Guards against a read that misses a commit acknowledged before the allowed age. An answer
// that was requested earlier arrives later, or a former leader states its position. Such a
// position must not be filed under the time of its arrival, nor over a later term.
func TestSamplesNeverStepBack(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	s.add(start.Add(time.Second), mark(2, 20))
	s.add(start, mark(2, 10))                            // requested earlier
	s.add(start.Add(2*time.Second), mark(1, 99))         // of an earlier term
	s.add(start.Add(1010*time.Millisecond), mark(2, 21)) // right after the newest
	is.Equal(len(s.ring), 1)
	s.add(start.Add(1010*time.Millisecond), mark(3, 1)) // a new term counts at once
	last, ok := s.last()
	is.True(ok)
	is.Equal(last.mark, mark(3, 1))
}

func TestSamplesAreBounded(t *testing.T) {
	is := is.New(t)
	var s samples
	for i := range 10 * maxSamples {
		s.add(time.Unix(1000, 0).Add(time.Duration(i)*time.Second), mark(1, uint64(i)))
	}
	is.Equal(len(s.ring), maxSamples)
}

// Guards against a statement that runs with another session's values, or that fails for a
// prepared statement that its caller has prepared. A pooled connection passes from one
// session to another: what differs must be set, and what the session does not have must be
// removed.
func TestSetupCommands(t *testing.T) {
	is := is.New(t)
	cet, utc := Value{"tz", "cet"}, Value{"tz", "utc"}
	lang := Value{"lang", "da"}
	p := Prepared{Shape: "q", Writes: true}
	var c conn
	accept := func(commands []Command) []Verb {
		var out []Verb
		for _, cmd := range commands {
			out = append(out, cmd.Verb)
		}
		c.recordState(commands, make([]Answer, len(commands)))
		return out
	}
	is.Equal(accept(c.setupCommands([]Value{cet}, &p)), []Verb{Set, Prepare})
	is.Equal(len(c.setupCommands([]Value{cet}, &p)), 0)                                     // nothing differs
	is.Equal(accept(c.setupCommands([]Value{utc, lang}, &p)), []Verb{Set, Set})             // the prepared statement is already there
	is.Equal(accept(c.setupCommands([]Value{utc}, &p)), []Verb{Reset, Set, Prepare})        // one value too many
	is.Equal(accept(c.setupCommands([]Value{utc}, &Prepared{Shape: "q"})), []Verb{Prepare}) // the same shape, read only
	is.True(p.Alias() != (Prepared{Shape: "q"}).Alias())
}

func TestExcessLatencyDecays(t *testing.T) {
	is := is.New(t)
	u := &upstream{}
	now := time.Unix(1000, 0)
	is.Equal(u.expectedLatency(now), defaultLatency)
	for range 50 {
		u.recordLatency(now, 500*time.Millisecond)
	}
	slow := u.expectedLatency(now)
	is.True(slow > 400*time.Millisecond)
	is.True(u.expectedLatency(now.Add(2*latencyHalfLife)) < slow/2) // it is tried again later
}

// The ring covers the maximum age that reads allow, however long that is.
func TestSamplesCoverMaxAge(t *testing.T) {
	is := is.New(t)
	var a ages
	a.add(10 * time.Second)
	a.add(time.Second)
	a.add(0) // a route that allows none
	is.Equal(a.minAge, time.Second)
	s := samples{interval: a.interval()}
	start := time.Unix(1000, 0)
	for i := range 2000 {
		s.add(start.Add(time.Duration(i)*10*time.Millisecond), mark(1, uint64(i)))
	}
	end := start.Add(20 * time.Second)
	oldest, ok := s.oldestSince(end.Add(-10 * time.Second))
	is.True(ok)
	is.True(oldest.Pos < 1030) // 1,000 is the position at that time
}
