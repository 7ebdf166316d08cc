package server

import (
	"bytes"
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	"basildale.example/basildale/internal/faker/upstream"
)

const benchCallers = 64

// BenchmarkStatements compares callers that go to the upstream directly with
// callers that go through the proxy, in one run: statements a second, latency
// and allocations of the whole process (callers, proxy and stand-in together).
func BenchmarkStatements(b *testing.B) {
	for _, work := range []struct {
		name    string
		service time.Duration
		mode    pgx.QueryExecMode
		sql     string
	}{
		{"read-prepared", 0, pgx.QueryExecModeCacheStatement, "SELECT holder FROM seats WHERE id = $1"},
		{"read-simple", 0, pgx.QueryExecModeSimpleProtocol, "SELECT holder FROM seats WHERE id = $1"},
		{"read-prepared-1ms", time.Millisecond, pgx.QueryExecModeCacheStatement, "SELECT holder FROM seats WHERE id = $1"},
	} {
		for _, way := range []string{"direct", "proxy"} {
			b.Run(work.name+"/"+way, func(b *testing.B) {
				f := start(b, upstream.Options{
					Size:    1,
					Service: work.service,
					Setup:   seats + "; INSERT INTO seats (id, holder) VALUES (1, 'Karen')",
				}, func(s *Server) { s.Groups[0].Connections, s.Groups[0].Warm = 35, 35 })
				url := f.url("")
				if way == "direct" {
					url = "postgres://kiosk@" + f.group.Upstreams[0].Addr().String() + "/billet?sslmode=disable"
				}
				measure(b, url, work.mode, work.sql)
			})
		}
	}
}

// measure runs b.N statements from 64 callers.
func measure(b *testing.B, url string, mode pgx.QueryExecMode, sql string) {
	conns := make([]*pgx.Conn, benchCallers)
	for i := range conns {
		c, err := pgx.Connect(context.Background(), url)
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		conns[i] = c
		benchOne(b, c, mode, sql)
	}
	var left atomic.Int64
	left.Store(int64(b.N))
	hists := make([]*hdrhistogram.Histogram, benchCallers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	var all sync.WaitGroup
	for i, c := range conns {
		h := hdrhistogram.New(1, int64(10*time.Second), 3)
		hists[i] = h
		all.Go(func() {
			for left.Add(-1) >= 0 {
				from := time.Now()
				benchOne(b, c, mode, sql)
				_ = h.RecordValue(int64(time.Since(from)))
			}
		})
	}
	all.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	for _, h := range hists[1:] {
		hists[0].Merge(h)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "stmt/s")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(hists[0].ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "mallocs/stmt")
	b.ReportMetric(0, "ns/op")
}

func benchOne(b *testing.B, c *pgx.Conn, mode pgx.QueryExecMode, sql string) {
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
