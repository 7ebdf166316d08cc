package promoter

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"basildale.example/basildale/tracker"
)

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 5432)
}

// Symptom: two leaders promote in one term. Sequence: both saw the same highest
// term and took the next. Cause: sequences drawn from one range; here each holder
// has its own residue class.
func TestTermsAreDisjointAndRise(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		epoch := rapid.Uint32Range(1, 5).Draw(r, "epoch")
		seen := tracker.Term{
			Epoch: rapid.Uint32Range(0, epoch).Draw(r, "seen epoch"),
			Seq:   rapid.Uint32Range(0, 1000).Draw(r, "seen seq"),
		}
		used := make(map[tracker.Term]bool)
		for place := range width {
			term, ok := NextTerm(epoch, place, seen)
			if !ok || !seen.Less(term) || used[term] || int(term.Seq%width) != place {
				r.Fatalf("place %d over %v: %v %v", place, seen, term, ok)
			}
			used[term] = true
		}
		if _, ok := NextTerm(epoch, 0, tracker.Term{Epoch: epoch + 1}); ok {
			r.Fatal("an old grant gave a term above a later epoch")
		}
	})
}

// Symptom: an acknowledged write is gone after a promotion. Sequence: the write
// is on the primary and one replica; the other replica is promoted. Cause: too
// few fenced, or not the furthest of them taken.
func TestChoose(t *testing.T) {
	mark := func(pos int) tracker.Mark {
		return tracker.Mark{Term: tracker.Term{Epoch: 1}, Pos: tracker.Position(pos)}
	}
	for _, c := range []struct {
		name    string
		marks   map[int]int
		suspect int
		target  int
		settled bool
		want    int
	}{
		{name: "one of three", marks: map[int]int{1: 9}, settled: true},
		{name: "majority without the suspect", marks: map[int]int{2: 4, 3: 5}, suspect: 1, want: 3},
		{name: "majority with the suspect waits", marks: map[int]int{1: 9, 2: 5}, suspect: 1},
		{name: "then takes the furthest", marks: map[int]int{1: 9, 2: 5}, suspect: 1, settled: true, want: 1},
		{name: "equal: not the suspect", marks: map[int]int{1: 5, 2: 5}, suspect: 1, settled: true, want: 2},
		{name: "all: the suspect's tail is dropped", marks: map[int]int{1: 9, 2: 5, 3: 4}, suspect: 1, want: 2},
		{name: "target waits for all", marks: map[int]int{1: 5, 2: 5}, target: 2},
		{name: "target among equals", marks: map[int]int{1: 5, 2: 5, 3: 5}, target: 2, want: 2},
		{name: "target behind isn't taken", marks: map[int]int{1: 6, 2: 5, 3: 5}, target: 2, want: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAttempt(tracker.Term{Epoch: 1, Seq: 8}, []netip.AddrPort{addr(1), addr(2), addr(3)})
			if c.suspect > 0 {
				a.Suspect = addr(c.suspect)
			}
			if c.target > 0 {
				a.Target = addr(c.target)
			}
			for i, pos := range c.marks {
				a.NoteFence(addr(i), mark(pos))
			}
			got, ok := a.Choose(c.settled)
			is.Equal(ok, c.want > 0)
			if ok {
				is.Equal(got, addr(c.want))
			}
		})
	}
}

func TestQuorumMeetsEveryPair(t *testing.T) {
	is := is.New(t)
	for n := 2; n <= 7; n++ {
		is.True(Quorum(n)+2 > n)        // shares one with the two copies of a write
		is.True(2*Quorum(n) > n)        // shares one with another quorum
		is.True(n < 3 || Quorum(n) < n) // one of three or more may be gone
	}
}

// Symptom: a primary that only slowed down is replaced. Sequence: its latency
// rises fivefold; the fixed timeout passes. Cause: silence measured against a
// constant instead of against the latency seen before.
func TestDetectorAllowsSlowness(t *testing.T) {
	is := is.New(t)
	set := Defaults()
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	var d detector
	const usual = 60 * time.Millisecond
	for range 50 {
		d.ask(now)
		now = now.Add(usual)
		d.answer(now.Add(-usual), now)
	}
	d.ask(now)
	down, _ := d.down(&set, now.Add(5*usual))
	is.True(!down)
	down, _ = d.down(&set, now.Add(set.Ceiling))
	is.True(down)
}

func TestDetectorRefusals(t *testing.T) {
	is := is.New(t)
	set := Defaults()
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	var d detector
	d.refuse(now)
	d.refuse(now.Add(time.Millisecond))
	down, _ := d.down(&set, now.Add(time.Millisecond))
	is.True(!down) // one burst
	d.refuse(now.Add(refusedGap))
	down, _ = d.down(&set, now.Add(refusedGap))
	is.True(down)
	d.answer(time.Time{}, now.Add(refusedGap))
	down, _ = d.down(&set, now.Add(refusedGap))
	is.True(!down)
}
