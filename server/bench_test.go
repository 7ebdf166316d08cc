package server

import (
	"bytes"
	"context"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"basildale.example/basildale/internal/faker/upstream"
)

const (
	manyCallers = 64
	fewCallers  = 4
)

// BenchmarkStatements compares callers that go to the upstream directly with
// callers that go through the proxy. Both take turns, a fifth of a second each,
// so that whatever else the machine does meets both alike. Latency is that of
// one statement; allocations are those of the whole process, callers and
// stand-in included, so that their difference is the proxy's.
func BenchmarkStatements(b *testing.B) {
	for _, work := range []struct {
		name    string
		service time.Duration
		mode    pgx.QueryExecMode
		callers int
	}{
		{"prepared-64", 0, pgx.QueryExecModeCacheStatement, manyCallers},
		{"simple-64", 0, pgx.QueryExecModeSimpleProtocol, manyCallers},
		{"prepared-1ms-64", time.Millisecond, pgx.QueryExecModeCacheStatement, manyCallers},
		{"prepared-4", 0, pgx.QueryExecModeCacheStatement, fewCallers},
		{"prepared-1ms-4", time.Millisecond, pgx.QueryExecModeCacheStatement, fewCallers},
	} {
		b.Run(work.name, func(b *testing.B) {
			f := start(b, upstream.Options{
				Size:    1,
				Service: work.service,
				Setup:   seats + "; INSERT INTO seats (id, holder) VALUES (1, 'Karen')",
			}, func(s *Server) { s.Groups[0].Connections, s.Groups[0].Warm = 35, 35 })
			at := "postgres://kiosk@" + f.group.Upstreams[0].Addr().String() + "/billet?sslmode=disable"
			direct := newCallers(b, at, work.mode, work.callers)
			proxy := newCallers(b, f.url(""), work.mode, work.callers)
			for b.Loop() {
				direct.run(b)
				proxy.run(b)
			}
			b.ReportMetric(0, "ns/op")
			direct.report(b, "direct")
			proxy.report(b, "proxy")
			b.ReportMetric(100*proxy.rate()/direct.rate(), "%-of-direct")
		})
	}
}

// callers are callers of one way, with what they have measured.
type callers struct {
	mode    pgx.QueryExecMode
	conns   []*pgx.Conn
	hists   []*hdrhistogram.Histogram
	time    time.Duration
	mallocs uint64
	cpu     time.Duration
}

const turn = 200 * time.Millisecond

func newCallers(b *testing.B, url string, mode pgx.QueryExecMode, n int) *callers {
	c := &callers{mode: mode}
	for range n {
		conn, err := pgx.Connect(context.Background(), url)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close(context.Background()) })
		benchOne(b, conn, mode)
		c.conns = append(c.conns, conn)
		c.hists = append(c.hists, hdrhistogram.New(1, int64(10*time.Second), 3))
	}
	return c
}

// run lets all callers send statements for one turn.
func (c *callers) run(b *testing.B) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	used := processor()
	from := time.Now()
	var all sync.WaitGroup
	for i, conn := range c.conns {
		all.Go(func() {
			for now := from; now.Sub(from) < turn; {
				benchOne(b, conn, c.mode)
				end := time.Now()
				_ = c.hists[i].RecordValue(int64(end.Sub(now)))
				now = end
			}
		})
	}
	all.Wait()
	c.time += time.Since(from)
	c.cpu += processor() - used
	runtime.ReadMemStats(&after)
	c.mallocs += after.Mallocs - before.Mallocs
}

// processor returns the processor time that the process has used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (c *callers) merged() *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, int64(10*time.Second), 3)
	for _, one := range c.hists {
		h.Merge(one)
	}
	return h
}

func (c *callers) rate() float64 { return float64(c.merged().TotalCount()) / c.time.Seconds() }

func (c *callers) report(b *testing.B, way string) {
	h := c.merged()
	b.ReportMetric(c.rate(), way+"-stmt/s")
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, way+"-p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, way+"-p99-µs")
	b.ReportMetric(float64(c.cpu.Microseconds())/float64(h.TotalCount()), way+"-cpu-µs/stmt")
	b.ReportMetric(float64(c.mallocs)/float64(h.TotalCount()), way+"-mallocs/stmt")
}

func benchOne(b *testing.B, c *pgx.Conn, mode pgx.QueryExecMode) {
	const sql = "SELECT holder FROM seats WHERE id = $1"
	var holder string
	if err := c.QueryRow(context.Background(), sql, mode, 1).Scan(&holder); err != nil || holder != "Karen" {
		b.Error(holder, err)
	}
}

// BenchmarkIdleCallers reports the heap and stack that an idle caller connection
// costs the process at 5,000 of them. The callers are bare sockets, which cost
// the heap nothing; what the kernel holds is not counted.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 5000
	for b.Loop() {
		f := start(b, upstream.Options{Size: 1}, nil)
		before := used()
		fds := make([]int, callers)
		for i := range fds {
			fds[i] = bareCaller(b, f)
		}
		after := used()
		b.ReportMetric(float64(after-before)/callers, "B/caller")
		for _, fd := range fds {
			_ = syscall.Close(fd)
		}
	}
}

// used returns the bytes in use by heap and stacks after collecting garbage.
func used() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// bareCaller logs in, runs one statement and rests.
func bareCaller(b *testing.B, f *fixture) int {
	at := f.server.Bound()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		b.Fatal(err)
	}
	err = syscall.Connect(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	if err != nil {
		b.Fatal(err)
	}
	for _, m := range []string{hello, message('Q', "SELECT 1\x00")} {
		if _, err := syscall.Write(fd, []byte(m)); err != nil {
			b.Fatal(err)
		}
		buf := make([]byte, 1024)
		for n := 0; !bytes.HasSuffix(buf[:n], []byte("Z\x00\x00\x00\x05I")); {
			k, err := syscall.Read(fd, buf[n:])
			if err != nil || k == 0 {
				b.Fatal("caller refused", err)
			}
			n += k
		}
	}
	return fd
}
