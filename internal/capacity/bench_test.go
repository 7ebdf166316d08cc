package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/configurator"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/internal/faker/upstream"
)

// counted counts the bytes of a connection, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func dialer(bytes *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		return counted{conn, bytes}, err
	}
}

func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// report runs f b.N times and reports the bytes and the processor time of one,
// the stand-in's included.
func report(b *testing.B, bytes *atomic.Int64, f func() error) {
	if err := f(); err != nil { // opens the connection
		b.Fatal(err)
	}
	before, used := bytes.Load(), processor()
	b.ResetTimer()
	for range b.N {
		if err := f(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/op")
	b.ReportMetric(float64((processor()-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// BenchmarkList reads the platform's list of so many instances.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{18, 180, 1800} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			p := &platform.Platform{}
			if err := p.Start(); err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = p.Close() })
			var items []platform.Instance
			for i := range n {
				items = append(items, platform.Instance{
					Name: fmt.Sprintf("vejle-hal-%04d", i), Role: "upstream", Group: fmt.Sprintf("billet-db-%04d", i/3), Zone: "vejle-hal",
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}), 5432), State: "live",
				})
			}
			p.SetInstances(items)
			var bytes atomic.Int64
			k := &keeper.Client{
				Addrs: []netip.AddrPort{p.Addr()}, Rate: 1e6, Burst: 1e6, Transport: &http.Transport{DialContext: dialer(&bytes)},
			}
			report(b, &bytes, func() error {
				_, err := k.Instances(b.Context(), "")
				return err
			})
		})
	}
}

// BenchmarkSample asks so many upstreams in turn for their states.
func BenchmarkSample(b *testing.B) {
	for _, n := range []int{1, 3, 9} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			g, err := upstream.NewGroup(upstream.Options{Size: n})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(g.Close)
			var bytes atomic.Int64
			c := &commander.Commander{User: "basildale", Database: "app", Dial: dialer(&bytes)}
			b.Cleanup(c.Close)
			for _, addr := range g.Addrs() {
				if _, err := c.State(b.Context(), addr); err != nil {
					b.Fatal(err)
				}
			}
			i := 0
			report(b, &bytes, func() error {
				i++
				_, err := c.State(b.Context(), g.Addrs()[i%n])
				return err
			})
		})
	}
}

// BenchmarkObjects holds the configuration of so many groups in memory, as each
// process of the fleet does.
func BenchmarkObjects(b *testing.B) {
	for _, n := range []int{46, 460, 4600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var store configurator.Store
			var d configurator.Delta
			for i := range n {
				d.Items = append(d.Items, group(b, i))
			}
			if _, err := store.Adopt(d); err != nil {
				b.Fatal(err)
			}
			d.Items = nil
			set, _ := configurator.NewSet(store.Objects())
			config := configurator.Build(set, store.Version())
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(&store)
			runtime.KeepAlive(set)
			runtime.KeepAlive(config)
		})
	}
}

// group is the object of a group with three upstreams, as the platform has it.
func group(b *testing.B, i int) configurator.Object {
	b.Helper()
	const nonce = "0123456789abcdef0123456789abcdef"
	g := &configurator.Group{Pool: "ticketing", Databases: []string{fmt.Sprintf("tickets%d", i)}, Slots: 5, Connections: 35}
	for j := range 3 {
		g.Upstreams = append(g.Upstreams, configurator.Upstream{
			Name: string(rune('a' + j)), Zone: "vejle-hal",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j)}), 5432),
		})
	}
	e := configurator.Entry{
		ID:   configurator.ID{Kind: configurator.KindGroup, Name: fmt.Sprintf("group-%d", i)},
		Meta: configurator.Meta{Writer: "anna", Time: time.Unix(1_000_000, 0).UTC(), Nonce: nonce, Past: []string{nonce, nonce, nonce, nonce, nonce, nonce}},
		Spec: g,
	}
	v, err := e.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return configurator.Object{Name: e.ID.String(), Version: uint64(i + 1), Value: v}
}
