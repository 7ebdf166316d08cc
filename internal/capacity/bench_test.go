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
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
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

// BenchmarkGroups holds so many groups as their holder does, and lets each of
// them pass ten quiet seconds: what it asks of upstreams and the platform.
func BenchmarkGroups(b *testing.B) {
	for _, n := range []int{6, 60, 600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			groups := make([]*promoter.Group, n)
			now := time.Unix(1_800_000_000, 0)
			for i := range groups {
				groups[i] = held(i, now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			commands, used := 0, processor()
			for range b.N {
				end := now.Add(10 * time.Second)
				for _, g := range groups {
					commands += quiet(g, now, end)
				}
				now = end
			}
			seconds := float64(n * b.N * 10)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/group")
			b.ReportMetric(float64(commands)/seconds, "commands/group/s")
			b.ReportMetric(float64((processor()-used).Nanoseconds())/seconds, "cpu-ns/group/s")
			runtime.KeepAlive(groups)
		})
	}
}

func upstreams(i int) []netip.AddrPort {
	var list []netip.AddrPort
	for j := range 3 {
		list = append(list, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), byte(j)}), 5432))
	}
	return list
}

// held returns the Group of a recorded leader whose upstreams are well.
func held(i int, now time.Time) *promoter.Group {
	g := &promoter.Group{Name: fmt.Sprintf("group-%d", i), Self: "a/1", Zone: "vejle-hal"}
	g.Handle(promoter.Upstreams{List: upstreams(i)}, now)
	g.Handle(promoter.Members{Live: []promoter.Member{{ID: "a/1", Zone: "vejle-hal"}, {ID: "b/1", Zone: "aarhus-hal"}, {ID: "c/1", Zone: "skjern-hal"}}}, now)
	return g
}

// quiet answers what the group asks until end and counts it.
func quiet(g *promoter.Group, now, end time.Time) int {
	n := 0
	for now.Before(end) {
		var todo []promoter.Command
		todo = append(todo, g.Handle(promoter.Tick{}, now)...)
		for len(todo) > 0 {
			n++
			c := todo[0]
			todo = todo[1:]
			if ev := answer(c, now); ev != nil {
				todo = append(todo, g.Handle(ev, now)...)
			}
		}
		next := g.Next()
		if !next.After(now) {
			next = now.Add(time.Millisecond)
		}
		now = next
	}
	return n
}

// answer is what a healthy group and platform say: the first upstream is primary.
func answer(c promoter.Command, now time.Time) promoter.Event {
	term := tracker.Term{Epoch: 1, Seq: 8}
	switch c := c.(type) {
	case promoter.Probe:
		b := c.Upstream.Addr().As4()
		primary := netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[0], b[1], b[2], 0}), c.Upstream.Port())
		s := promoter.Stated{Upstream: c.Upstream, Sent: now, State: tracker.State{Role: tracker.Primary, Term: term, Mark: tracker.Mark{Term: term, Pos: 7}}}
		if c.Upstream != primary {
			s.State.Role, s.Following = tracker.Replica, primary
		}
		return s
	case promoter.Load:
		return promoter.Loaded{Outcome: promoter.Done, Version: 1, Record: promoter.Record{
			Epoch: 1, Leader: "a/1", Deputies: []string{"b/1", "c/1"}, Term: term,
		}}
	case promoter.Save:
		return promoter.Saved{Outcome: promoter.Done, Version: 2}
	default:
		return nil
	}
}
