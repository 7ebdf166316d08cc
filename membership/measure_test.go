package membership

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/internal/modeler"
)

// learned returns how long after since each running process took the member at
// the address of gone for dead, sorted.
func (f *fleet) learned(gone *proc, since time.Time) []time.Duration {
	first := make(map[*proc]time.Duration)
	for _, c := range f.changes {
		if c.Member.Addr != gone.view.Self.Addr || c.Member.Health != Dead || c.at.Before(since) {
			continue
		}
		if _, ok := first[c.by]; !ok {
			first[c.by] = c.at.Sub(since)
		}
	}
	var out []time.Duration
	for _, d := range first {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return -1
	}
	return ds[int(q*float64(len(ds)-1))].Round(10 * time.Millisecond)
}

// traffic runs the fleet for d and returns bytes and messages a second for each
// process, and the most bytes a second of any one.
func (f *fleet) traffic(d time.Duration) (mean, most, messages float64) {
	for _, p := range f.procs {
		p.bytes = 0
	}
	f.messages = 0
	f.RunFor(d)
	total := 0
	for _, p := range f.procs {
		total += p.bytes
		most = max(most, float64(p.bytes)/d.Seconds())
	}
	procs := float64(len(f.procs)) * d.Seconds()
	return float64(total) / procs, most, float64(f.messages) / procs
}

// TestMeasure repeats the figures of docs/MEASURES.md on membership. They are
// exact: virtual time and fixed seeds.
func TestMeasure(t *testing.T) {
	t.Parallel()
	var parts []func(*bytes.Buffer)
	for _, n := range []int{9, 90, 900, 2500} {
		parts = append(parts, func(out *bytes.Buffer) { measure(out, n) })
	}
	matcher.Golden(t, "testdata/measure.golden", string(modeler.Together(parts...)))
}

func measure(out *bytes.Buffer, n int) {
	f := newFleet(n, 1)
	f.warm()
	f.RunFor(5 * time.Second)
	idle, most, messages := f.traffic(6 * time.Second)
	fmt.Fprintf(out, "%d processes\n", n)
	fmt.Fprintf(out, "  idle: %.0f bytes/s each, at most %.0f, %.2f messages/s sent each\n", idle, most, messages)

	hosts, restarts := 3, 2
	if n > 1000 {
		hosts, restarts = 1, 1 // keeps the test short
	}
	var first, learned []time.Duration
	for i := range hosts {
		since := f.Now
		f.vanish(f.procs[i*2])
		f.RunFor(12 * time.Second)
		l := f.learned(f.procs[i*2], since)
		first = append(first, l[0])
		learned = append(learned, l...)
	}
	slices.Sort(first)
	slices.Sort(learned)
	fmt.Fprintf(out, "  host vanishes: first knows after %v to %v; all: median %v, 99th %v, last %v\n",
		quantile(first, 0), quantile(first, 1), quantile(learned, 0.5), quantile(learned, 0.99), quantile(learned, 1))

	var spent float64
	f.RunFor(5 * time.Second)
	quiet, _, _ := f.traffic(6 * time.Second)
	for i := range restarts {
		p := f.procs[i*2+1]
		f.give(p, Leave{})
		a, _, _ := f.traffic(2 * time.Second)
		f.give(p, Stop{})
		f.boot(p, uint64(2000+i))
		b, _, _ := f.traffic(13 * time.Second)
		spent += 2*a + 13*b - 15*quiet
	}
	fmt.Fprintf(out, "  announced restart: %.0f bytes more for each process\n", spent/float64(restarts))

	f.loss = 0.02
	before := f.reasons(Silent)
	f.RunFor(10 * time.Second)
	fmt.Fprintf(out, "  2 %% of messages lost: %d false deaths and %d suspicions in 10 s of %d processes\n", f.deaths(), f.reasons(Silent)-before, n)
}
