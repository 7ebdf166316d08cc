package prober

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/membership"
)

// BenchmarkFleet runs fleets of processes in this one, over loopback TCP, and
// reports what each costs in processor time, memory and bytes. One operation is
// a second of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 30, 90} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			before := heap()
			procs := loopback(ctx, b, n)
			began := time.Now()
			for !complete(procs) {
				time.Sleep(100 * time.Millisecond)
			}
			b.Logf("all know all after %v", time.Since(began).Round(100*time.Millisecond))
			time.Sleep(15 * time.Second) // until the news is out
			kept := heap() - before
			bytes, cpu, links := written(procs), processor(), 0
			b.ResetTimer()
			time.Sleep(time.Duration(b.N) * time.Second)
			spent := processor() - cpu
			for _, p := range procs {
				links += p.messenger.Links()
			}
			each := float64(n * b.N)
			b.ReportMetric(float64(spent.Microseconds())/each, "µs-cpu/process/s")
			b.ReportMetric(float64(written(procs)-bytes)/each, "bytes/process/s")
			b.ReportMetric(float64(kept)/float64(n), "heap-bytes/process")
			b.ReportMetric(float64(links)/float64(n), "links/process")
		})
	}
}

func loopback(ctx context.Context, b *testing.B, n int) []*process {
	b.Helper()
	var list []membership.Instance
	var listeners []net.Listener
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, ln)
		list = append(list, membership.Instance{Addr: netip.MustParseAddrPort(ln.Addr().String())})
	}
	var out []*process
	for i, ln := range listeners {
		m := &messenger.Messenger{
			Self: messenger.Peer{Addr: list[i].Addr, Start: 1000},
			Keys: [][]byte{[]byte("shared key")}, Metrics: metrics.NewRegistry(),
		}
		p := &Prober{Self: membership.Member{Addr: list[i].Addr, Start: 1000, Zone: "vejle-hal"}, Messenger: m}
		p.Answer(&m.Handler)
		go func() { _ = m.Serve(ln) }()
		go p.Run(ctx)
		p.List(list)
		out = append(out, &process{prober: p, messenger: m})
		b.Cleanup(m.Close)
	}
	return out
}

func complete(procs []*process) bool {
	for _, p := range procs {
		if len(p.prober.Fleet().Live()) != len(procs) {
			return false
		}
	}
	return true
}

// written sums the bytes of all messages, sent and received.
func written(procs []*process) int64 {
	var total int64
	for _, p := range procs {
		p.messenger.Metrics.Each(func(_ string, c any) {
			if counter, ok := c.(metrics.Counter); ok {
				total += counter.Count()
			}
		})
	}
	return total
}

func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
