package coordinator

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
	"basildale.example/basildale/controller"
	"basildale.example/basildale/membership"
)

// BenchmarkMembers runs fleets of processes in this one, over loopback TCP, and
// reports what each costs in processor time, memory and bytes. One operation is
// a second of the fleet.
func BenchmarkMembers(b *testing.B) {
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
				links += p.Peers.Links()
			}
			each := float64(n * b.N)
			b.ReportMetric(float64(spent.Microseconds())/each, "µs-cpu/process/s")
			b.ReportMetric(float64(written(procs)-bytes)/each, "bytes/process/s")
			b.ReportMetric(float64(kept)/float64(n), "heap-bytes/process")
			b.ReportMetric(float64(links)/float64(n), "links/process")
		})
	}
}

func loopback(ctx context.Context, b *testing.B, n int) []*Coordinator {
	b.Helper()
	var list controller.Listed
	var listeners []net.Listener
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners = append(listeners, ln)
		list.Proxies = append(list.Proxies, membership.Instance{Addr: netip.MustParseAddrPort(ln.Addr().String())})
	}
	var out []*Coordinator
	for i, ln := range listeners {
		self := list.Proxies[i].Addr
		c := &Coordinator{
			Control: controller.Controller{Self: membership.Member{Addr: self, Start: 1000, Zone: "vejle-hal"}, Seed: uint64(i)},
			Peers: &messenger.Messenger{
				Self: messenger.Peer{Addr: self, Start: 1000}, Keys: [][]byte{[]byte("shared key")}, Metrics: metrics.NewRegistry(),
			},
		}
		c.Peers.Handler = c.Handler()
		go func() { _ = c.Peers.Serve(ln) }()
		go c.Run(ctx)
		c.Tell(list)
		out = append(out, c)
		b.Cleanup(c.Peers.Close)
	}
	return out
}

func complete(procs []*Coordinator) bool {
	for _, p := range procs {
		if len(p.Members()) != len(procs) {
			return false
		}
	}
	return true
}

// written sums the bytes of all messages, sent and received.
func written(procs []*Coordinator) int64 {
	var total int64
	for _, p := range procs {
		p.Peers.Metrics.Each(func(_ string, c any) {
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
