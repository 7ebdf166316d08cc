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

// Symptom: replicas that apply a second late serve no reads, although these may be
// 1.5 s old. Sequence: samples are taken all the time, and the newest is named.
// Cause: only the oldest that is young enough is one that such replicas have.
func TestOldestSampleThatIsYoungEnough(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	for i := range 30 {
		s.add(start.Add(time.Duration(i)*100*time.Millisecond), mark(1, uint64(i)))
	}
	now := start.Add(2900 * time.Millisecond)
	m, ok := s.since(now.Add(-1500 * time.Millisecond))
	is.True(ok)
	is.Equal(m, mark(1, 14))
	_, ok = s.since(now.Add(time.Millisecond))
	is.True(!ok) // none is that young
}

// Symptom: a read misses a commit that was acknowledged before the age allowed.
// Sequence: an answer that was asked for earlier arrives later, or a former leader
// states its position. Cause: it is filed under the time at which it arrived, or
// over a later term.
func TestSamplesNeverStepBack(t *testing.T) {
	is := is.New(t)
	var s samples
	start := time.Unix(1000, 0)
	s.add(start.Add(time.Second), mark(2, 20))
	s.add(start, mark(2, 10))                            // asked for before
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
	for i := range 10 * sampleCount {
		s.add(time.Unix(1000, 0).Add(time.Duration(i)*time.Second), mark(1, uint64(i)))
	}
	is.Equal(len(s.ring), sampleCount)
}

// Symptom: a statement runs with another session's values, or fails for a prepared
// statement that its caller has prepared. Sequence: a pooled connection goes from
// one session to another. Cause: what differs isn't set, or what is too much stays.
func TestPreludeMakesAConnectionFit(t *testing.T) {
	is := is.New(t)
	cet, utc := Value{"tz", "cet"}, Value{"tz", "utc"}
	lang := Value{"lang", "da"}
	p := Prepared{Shape: "q", Writes: true}
	var c conn
	verbs := func(commands []Command) []Verb {
		var out []Verb
		for _, cmd := range commands {
			out = append(out, cmd.Verb)
		}
		return out
	}
	is.Equal(verbs(c.prelude([]Value{cet}, &p)), []Verb{Set, Prepare})
	is.Equal(len(c.prelude([]Value{cet}, &p)), 0)                                    // nothing differs
	is.Equal(verbs(c.prelude([]Value{utc, lang}, &p)), []Verb{Set, Set})             // the prepared statement is there
	is.Equal(verbs(c.prelude([]Value{utc}, &p)), []Verb{Reset, Set, Prepare})        // one value is too much
	is.Equal(verbs(c.prelude([]Value{utc}, &Prepared{Shape: "q"})), []Verb{Prepare}) // the same shape, only read
	is.True(p.Alias() != (Prepared{Shape: "q"}).Alias())
}

func TestExcessLatencyFades(t *testing.T) {
	is := is.New(t)
	m := &member{}
	now := time.Unix(1000, 0)
	is.Equal(m.expected(now), ordinary)
	for range 50 {
		m.observe(now, 500*time.Millisecond)
	}
	slow := m.expected(now)
	is.True(slow > 400*time.Millisecond)
	is.True(m.expected(now.Add(2*fading)) < slow/2) // it is tried again some time
}

// A ring covers the greatest age that reads are allowed, however long that is.
func TestSamplesCoverTheAges(t *testing.T) {
	is := is.New(t)
	var a ages
	a.add(10 * time.Second)
	a.add(time.Second)
	a.add(0) // a route that allows none
	is.Equal(a.least, time.Second)
	s := samples{spacing: a.spacing()}
	start := time.Unix(1000, 0)
	for i := range 2000 {
		s.add(start.Add(time.Duration(i)*10*time.Millisecond), mark(1, uint64(i)))
	}
	end := start.Add(20 * time.Second)
	oldest, ok := s.since(end.Add(-10 * time.Second))
	is.True(ok)
	is.True(oldest.Pos < 1030) // of 1,000 at that moment
}
