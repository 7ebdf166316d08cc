package throttler

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/internal/matcher"
)

// classes are the classes of requests: their share, and the deadline of their callers.
var classes = []struct {
	share               float64
	objective, deadline time.Duration
}{
	{0.14, 150 * time.Millisecond, 800 * time.Millisecond},
	{0.63, 250 * time.Millisecond, 800 * time.Millisecond},
	{0.23, 800 * time.Millisecond, 2500 * time.Millisecond},
}

// tally counts the operations of a class.
type tally struct{ asked, granted, inTime, tries, back, backGranted int }

// call plays a caller, which tries at most three times, at the delays that it is told, and
// not after its deadline.
func (f *fleet) call(at, class int, t *tally) {
	began, left := f.now, classes[class].deadline
	t.asked++
	tries := 0
	var try func()
	try = func() {
		tries++
		t.tries++
		if tries > 1 {
			t.back++
		}
		f.ask(f.processes[at], Ask{Workspace: "w", Quota: f.quota, Rank: class + 1, Left: left}, func(v Verdict) {
			switch {
			case v.Granted:
				t.granted++
				f.granted = append(f.granted, f.now)
				if tries > 1 {
					t.backGranted++
				}
				if f.now.Sub(began) <= classes[class].objective {
					t.inTime++
				}
			case tries < 3 && f.now.Add(v.RetryAfter).Before(began.Add(left)):
				f.after(max(v.RetryAfter, 50*time.Millisecond), try)
			}
		})
	}
	try()
}

// overload plays callers that together ask for a rate, and returns what each class gets.
func (f *fleet) overload(rate float64, d time.Duration) [3]tally {
	var t [3]tally
	end := f.now.Add(d)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		class, x := 0, f.rng.Float64()
		for x > classes[class].share && class < len(classes)-1 {
			x -= classes[class].share
			class++
		}
		f.call(f.rng.IntN(len(f.processes)), class, &t[class])
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	f.run(d + 3*time.Second)
	return t
}

// Guards against urgent operations that are refused while less urgent ones of their workspace
// are granted: what each priority gets of a demand beyond the quota, by the plain rule and
// ranked, at 40 processes.
func TestOverloadByPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out strings.Builder
	fmt.Fprintln(&out, "demand   time  rule    granted/s  most in window (allowed)  priority: asked/s, granted, within the objective, of retries, tries each")
	for _, times := range []float64{1.3, 2, 5} {
		for _, d := range []time.Duration{10 * time.Second, 30 * time.Second} {
			for _, ranked := range []bool{false, true} {
				f := newRankedFleet(40, ranked)
				f.run(4 * time.Second)
				got := f.overload(times*large.Rate, d)
				rule := map[bool]string{false: "plain", true: "ranked"}[ranked]
				fmt.Fprintf(&out, "%3.1f x %6s  %-6s %10.0f %16d (%.0f)     ", times, d, rule, float64(len(f.granted))/d.Seconds(), f.maxGranted(tolerance.Window), f.allowed())
				for class, c := range got {
					fmt.Fprintf(&out, "  %d: %3.0f %5.1f %% %5.1f %% %5.1f %% %4.2f", class, float64(c.asked)/d.Seconds(),
						100*float64(c.granted)/float64(c.asked), 100*float64(c.inTime)/float64(c.asked), 100*float64(c.backGranted)/float64(max(1, c.back)), float64(c.tries)/float64(c.asked))
				}
				fmt.Fprintln(&out)
				is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
			}
		}
	}
	matcher.Golden(t, filepath.Join("testdata", "overload.golden"), out.String())
}

// rankedNode returns the only process of a fleet, with all tokens that can be saved.
func rankedNode(now time.Time) *Node {
	n := &Node{Self: "a", Tolerance: tolerance, StartedAt: now.Add(-time.Minute), IsFleetKnown: true, Ranked: true}
	n.SetFleet(Member{Name: "a"}, nil, 1, now)
	n.Tick(now)
	return n
}

// takeAll takes tokens until one is refused and returns how many were granted.
func takeAll(n *Node, rank int, now time.Time) int {
	for granted := 0; ; granted++ {
		if v, _ := n.TakeRanked(Ask{Workspace: "w", Quota: large, Rank: rank, Left: time.Second}, now); !v.Granted {
			return granted
		}
	}
}

// Guards against tokens that stay reserved for urgent operations that no longer come.
func TestReserveIsReleased(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := rankedNode(now)
	for range 20 {
		v, _ := n.TakeRanked(Ask{Workspace: "w", Quota: large, Rank: 1, Left: time.Second}, now)
		is.True(v.Granted)
	}
	takeAll(n, 3, now)
	is.Equal(takeAll(n, 1, now), 5) // 10 a second for a credit interval, and one
	n.Tick(now.Add(CreditInterval))
	now = now.Add(reserveRelease)
	n.Tick(now)
	takeAll(n, 3, now)
	is.Equal(takeAll(n, 1, now), 0)
}

// Guards against ranks that are out of range: older processes state none, and any number may
// come in a datagram.
func TestUnknownRanksAreLeastUrgent(t *testing.T) {
	is := is.New(t)
	for rank, want := range map[int]int{0: 15, -1: 15, -1 << 62: 15, 1: 0, 3: 2, 16: 15, 1 << 31: 15, 1 << 62: 15} {
		is.Equal((&Ask{Rank: rank}).priority(), want)
	}
}

// Guards against state that grows with the names in requests, and against refusals because
// of it: only workspaces of the configuration are kept, and those only while they are used.
func TestManyWorkspaces(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := rankedNode(now)
	quota := func(name string) *cataloger.Quota {
		if strings.HasPrefix(name, "unknown") {
			return nil
		}
		return &large
	}
	from := Member{Name: "b"}
	from.computeScores()
	ask := func(name string, id uint64) Verdict {
		m := Message{Kind: Request, From: from.id, To: NewID("a"), ID: id, Workspace: name, Fleet: 1 << 31, Span: -time.Hour}
		out := n.Receive(&m, from.Address, quota, now)
		return out[len(out)-1].Message.Verdict
	}
	for i := range 10_000 {
		is.True(ask(fmt.Sprint("w", i), uint64(i)).Granted)
		is.True(ask(fmt.Sprint("unknown", i), uint64(i)+1_000_000).Undecided)
	}
	is.Equal(len(n.ledger.spent), 10_000)
	now = now.Add(2 * idleTimeout)
	n.Tick(now)
	ask("w0", 1)
	is.Equal(len(n.ledger.spent), 1)
	is.True(len(n.replies) <= 1)
}
