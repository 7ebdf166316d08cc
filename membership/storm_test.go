package membership

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/internal/modeler"
)

// agreed runs the fleet until all agree and returns how long that took, at most
// limit.
func (f *fleet) agreed(limit time.Duration, same func(a, b *proc) bool) time.Duration {
	begin := f.Now
	for f.Now.Sub(begin) < limit {
		f.RunFor(time.Second)
		if f.agree(same) == "" {
			break
		}
	}
	return f.Now.Sub(begin)
}

// load is the bytes that processes sent and received in a second.
type load struct{ mean, most int }

func (l load) String() string {
	return fmt.Sprintf("%d bytes/s each on average, %d at most in one second of one process", l.mean, l.most)
}

// peak runs f in steps of a second.
func (f *fleet) peak(seconds int, each func(second int)) load {
	most, total := 0, 0
	for s := range seconds {
		for _, p := range f.procs {
			p.bytes = 0
		}
		each(s)
		f.RunFor(time.Second)
		for _, p := range f.procs {
			most = max(most, p.bytes)
			total += p.bytes
		}
	}
	return load{mean: total / seconds / len(f.procs), most: most}
}

// TestMeasureStorms repeats the figures of docs/MEASURES.md on large failures
// and restarts.
func TestMeasureStorms(t *testing.T) {
	t.Parallel()
	var parts []func(*bytes.Buffer)
	for _, n := range []int{90, 360} {
		parts = append(parts,
			func(out *bytes.Buffer) { fmt.Fprintf(out, "%d processes\n", n) },
			func(out *bytes.Buffer) { zoneLost(out, n, 3) },
			func(out *bytes.Buffer) { zoneLost(out, n, 15) },
			func(out *bytes.Buffer) { partitioned(out, n) },
			func(out *bytes.Buffer) { restarted(out, n) },
			func(out *bytes.Buffer) { fresh(out, n) })
	}
	matcher.Golden(t, "testdata/storms.golden", string(modeler.Together(parts...)))
}

// zoneLost takes away one in so many.
func zoneLost(out *bytes.Buffer, n, one int) {
	f := newFleet(n, 2)
	f.warm()
	f.RunFor(5 * time.Second)
	for i, p := range f.procs {
		if i%one == 0 {
			f.vanish(p)
		}
	}
	most := f.peak(5, func(int) {})
	took := 5*time.Second + f.agreed(2*time.Minute, all)
	fmt.Fprintf(out, "  one in %d vanishes: all others agree after %v, %d false deaths, %v\n", one, took, f.deaths(), most)
}

func partitioned(out *bytes.Buffer, n int) {
	f := newFleet(n, 3)
	f.warm()
	side := make(map[*proc]bool)
	for i, p := range f.procs {
		side[p] = i%2 == 0
	}
	same := func(a, b *proc) bool { return side[a] == side[b] }
	f.cut = func(from, to *proc) bool { return !same(from, to) }
	apart := f.agreed(5*time.Minute, same)
	f.cut = nil
	most := f.peak(10, func(int) {})
	took := 10*time.Second + f.agreed(5*time.Minute, all)
	fmt.Fprintf(out, "  two halves: apart after %v, one again after %v, %v\n", apart, took, most)
}

func restarted(out *bytes.Buffer, n int) {
	f := newFleet(n, 4)
	f.warm()
	f.RunFor(5 * time.Second)
	const seconds = 60
	next := 0
	most := f.peak(seconds, func(s int) {
		for ; next < n*(s+1)/seconds; next++ {
			p := f.procs[next]
			f.give(p, Leave{})
			f.give(p, Stop{})
			f.boot(p, uint64(2000+next))
		}
	})
	took := f.agreed(2*time.Minute, all)
	fmt.Fprintf(out, "  all restarted within 60 s: agree %v later, %d false deaths, %v\n", took, f.deaths(), most)
}

func fresh(out *bytes.Buffer, n int) {
	f := newFleet(n, 5)
	f.warm()
	p := f.procs[0]
	f.give(p, Leave{})
	f.give(p, Stop{})
	f.stop(p)
	f.RunFor(20 * time.Second)
	f.boot(p, 2000)
	begin, most := f.Now, 0
	for len(p.view.Live()) < n && f.Now.Sub(begin) < time.Minute {
		p.bytes = 0
		f.RunFor(time.Second)
		most = max(most, p.bytes)
	}
	fmt.Fprintf(out, "  fresh process: knows all after %v, at most %d bytes in a second\n", f.Now.Sub(begin), most)
}
