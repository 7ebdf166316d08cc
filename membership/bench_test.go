package membership

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

// sizes are those at which slopes over the fleet's size are measured.
var sizes = []int{90, 900, 2500}

// viewOf returns the view of one process that knows n others.
func viewOf(n int) *View {
	f := newFleet(n+1, 1)
	v := f.procs[0].view
	v.Self.Start = 1000
	v.start(f.Now)
	for _, p := range f.procs[1:] {
		p.view.Self.Start = 1000
		v.merge(p.view.Self, f.Now, false)
	}
	v.out = nil
	v.choose()
	return v
}

func forSizes(b *testing.B, f func(b *testing.B, v *View)) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			v := viewOf(n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, v)
		})
	}
}

func BenchmarkTick(b *testing.B) {
	forSizes(b, func(b *testing.B, v *View) {
		now := v.Next()
		for range b.N {
			v.heard = now
			v.Handle(Tick{}, now)
			v.probes = v.probes[:0]
			now = now.Add(v.interval())
		}
	})
}

func BenchmarkPinged(b *testing.B) {
	forSizes(b, func(b *testing.B, v *View) {
		now := time.Unix(1_800_000_000, 0)
		ev := Pinged{From: v.all[3].Member, Digest: v.sum()}
		for range b.N {
			v.Handle(ev, now)
		}
	})
}

func BenchmarkOrder(b *testing.B) {
	forSizes(b, func(b *testing.B, v *View) {
		fleet := v.Fleet()
		for range b.N {
			fleet.Order("billet-db-2", 3)
		}
	})
}

// BenchmarkChange is what a change of one member costs: a new Fleet and, at the
// worst, a new choice of whom to watch.
func BenchmarkChange(b *testing.B) {
	forSizes(b, func(b *testing.B, v *View) {
		for range b.N {
			v.fleet = nil
			v.Fleet()
			v.choose()
		}
	})
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			views := make([]*View, 10)
			for i := range views {
				views[i] = viewOf(n)
				views[i].Fleet()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(views)), "bytes/view")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(views)
		})
	}
}
