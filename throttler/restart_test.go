package throttler

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// retryResult counts operations of callers that come back at most twice.
type retryResult struct {
	asked, granted, inTime, refused, tries int
}

// retryingLoad makes operations arrive whose callers come back at most twice, when the refusal
// says so, within 0.8 s of their first request.
func (f *fleet) retryingLoad(rate float64, d time.Duration) *retryResult {
	r := &retryResult{}
	end := f.now.Add(d)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		p := f.processes[f.rng.IntN(len(f.processes))]
		if !p.down { // else the caller goes to another process
			r.asked++
			f.tryThrice(r, f.now, 1)
		}
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	next()
	return r
}

// tryThrice makes the n-th try of an operation that began at a time.
func (f *fleet) tryThrice(r *retryResult, began time.Time, n int) {
	p := f.processes[f.rng.IntN(len(f.processes))]
	for p.down {
		p = f.processes[f.rng.IntN(len(f.processes))]
	}
	r.tries++
	deadline := began.Add(800 * time.Millisecond)
	left := deadline.Sub(f.now)
	if !p.node.Ranked {
		left = min(left, 600*time.Millisecond)
	}
	f.ask(p, Ask{Workspace: "w", Quota: f.quota, Rank: 1, Left: left}, func(v Verdict) {
		if v.Granted {
			f.granted = append(f.granted, f.now)
			r.granted++
			if f.now.Sub(began) <= 250*time.Millisecond {
				r.inTime++
			}
			return
		}
		if n == 3 || !f.now.Add(v.RetryAfter).Before(deadline) {
			r.refused++
			return
		}
		f.after(v.RetryAfter, func() { f.tryThrice(r, began, n+1) })
	})
}

// Guards against refusals for which nobody could decide that send callers away for good: the
// operations of the first second after all processes have lost power, in which they come back
// within some time and know the fleet some time after that.
func TestRetriesAfterLossOfPower(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var out strings.Builder
	fmt.Fprintln(&out, "starts within  fleet known after  quota   asked  granted  within 250 ms  refused  tries")
	for _, spread := range []time.Duration{0, 600 * time.Millisecond} {
		for _, known := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
			var part [2]float64
			for i, rule := range []string{"plain", "ranked"} {
				f := newRankedFleet(88, i == 1)
				f.run(5 * time.Second)
				for _, p := range f.processes {
					p.down = true
				}
				f.run(time.Second)
				for _, p := range f.processes {
					f.after(time.Duration(f.rng.Int64N(int64(spread)+1)), func() {
						f.start(p)
						p.node.IsFleetKnown = known == 0
						f.after(known, func() { p.node.IsFleetKnown = true })
					})
				}
				f.run(spread / 10)
				r := f.retryingLoad(100, time.Second)
				f.run(3 * time.Second)
				part[i] = float64(r.granted) / float64(r.asked)
				fmt.Fprintf(&out, "%13s %18s  %-6s %6d %8d %14d %8d %6d\n", spread, known, rule, r.asked, r.granted, r.inTime, r.refused, r.tries)
			}
			is.True(part[1] >= part[0]-0.02)
		}
	}
	matcher.Golden(t, filepath.Join("testdata", "restart.golden"), out.String())
}
