package proxier

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"

	"basildale.example/basildale/loader"
	"basildale.example/basildale/platform/faker"
)

// leaveTimeout is how long an upstream that announces that it leaves may get new work.
const leaveTimeout = 3 * time.Second

// fleet is a platform with one group, and some proxies in front of it.
type fleet struct {
	t        *testing.T
	platform *faker.Platform
	group    *faker.Group
	proxies  []*runningProxy
}

// runningProxy is one proxy of a fleet.
type runningProxy struct {
	*Proxier
	cancel context.CancelFunc
	ended  chan struct{}
}

// newFleet starts a platform and n proxies, distributed in turn over three zones, and waits
// until they serve.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetWith(t, &faker.Platform{}, n)
}

// newFleetWith is newFleet with a platform that has not been started yet.
func newFleetWith(t *testing.T, platform *faker.Platform, n int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{t: t, platform: platform}
	is.NoErr(f.platform.Start())
	t.Cleanup(f.platform.Stop)
	g, err := f.platform.AddGroup("billet", "zone-0", "zone-1", "zone-2")
	is.NoErr(err)
	f.group = g
	f.platform.Route("seats", "billet", "primary", 0)
	f.platform.Route("times", "billet", "bounded_staleness", 1500*time.Millisecond)
	f.platform.Route("guards", "billet", "read_own_writes", 2500*time.Millisecond)
	for i := range n {
		f.start(i)
	}
	for _, m := range f.proxies {
		f.waitFor("ready", m.isReady)
	}
	f.waitFor("lease held", func() bool { return f.leaseHolder() != nil })
	return f
}

// start starts one proxy.
func (f *fleet) start(i int) *runningProxy {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	log := zaptest.NewLogger(f.t, zaptest.Level(zapcore.WarnLevel)).WithOptions(zap.WithCaller(false))
	m := &runningProxy{ended: make(chan struct{}), Proxier: &Proxier{Log: log, Settings: loader.Settings{
		Name: fmt.Sprintf("proxy-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Wire: loader.Lines,
		Listen: local, Ready: local, Peers: local, Operators: local, Carry: local,
		Platform: []netip.AddrPort{f.platform.Address()}, Orders: f.platform.Address(), Stop: time.Second, Leave: leaveTimeout,
	}}}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.ended)
		if err := m.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	f.waitFor(m.Settings.Name+" has started or failed to", func() bool { return isClosed(m.Started()) || isClosed(m.ended) })
	if !isClosed(m.Started()) {
		f.t.FailNow() // Run has reported why
	}
	f.proxies = append(f.proxies, m)
	f.t.Cleanup(func() {
		cancel()
		<-m.ended
	})
	return m
}

// leaseHolder returns the proxy that holds the lease of the group, or nil.
func (f *fleet) leaseHolder() *runningProxy {
	for _, m := range f.proxies {
		if m.overseer.States()["billet"].Token > 0 {
			return m
		}
	}
	return nil
}

// waitFor waits until a condition holds. It has no timeout of its own; that of go test
// applies, and shortly before it the test fails and names the condition. The panic of go test
// names only the test.
func (f *fleet) waitFor(what string, holds func() bool) {
	f.t.Helper()
	deadline, _ := f.t.Deadline()
	if !holdsBefore(deadline, holds) {
		f.t.Fatalf("the deadline of the test binary is near, and this does not hold: %s", what)
	}
}

// deadlineMargin is the time that is left for the end of a test that fails: each proxy of a
// fleet may take a second to stop.
const deadlineMargin = 10 * time.Second

// marginOf returns the time to leave before a deadline: less where it is near already.
func marginOf(deadline time.Time) time.Duration { return min(deadlineMargin, time.Until(deadline)/10) }

// holdsBefore waits until a condition holds, and returns false if it does not shortly before a
// deadline; the zero time stands for none.
func holdsBefore(deadline time.Time, holds func() bool) bool {
	margin := marginOf(deadline)
	for !holds() {
		if !deadline.IsZero() && time.Until(deadline) < margin {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// Guards against a test that hangs for the 10 minutes of go test and does not say what it
// waited for.
func TestWaitEndsShortlyBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		never := func() bool { return false }
		began := time.Now()
		is.True(!holdsBefore(began.Add(10*time.Minute), never))
		is.Equal(time.Since(began).Round(time.Second), 10*time.Minute-deadlineMargin)
		began = time.Now()
		is.True(!holdsBefore(began.Add(time.Second), never))
		is.Equal(time.Since(began).Round(100*time.Millisecond), 900*time.Millisecond)
		is.True(holdsBefore(time.Time{}, func() bool { return time.Since(began) > time.Hour }))
	})
}

// client is a caller.
type client struct {
	is   *is.I
	conn net.Conn
	in   *bufio.Reader
	n    int
	name string
}

// answer is what a caller received for one statement.
type answer struct {
	rows  []string
	code  string // empty on success
	state string
	ended bool // the connection was closed instead
}

// dial opens a session to a database.
func (f *fleet) dial(m *runningProxy, database string) *client {
	f.t.Helper()
	is := is.New(f.t)
	conn, err := net.Dial("tcp", m.CallersAddr().String())
	is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	if deadline, limited := f.t.Deadline(); limited {
		is.NoErr(conn.SetDeadline(deadline.Add(-marginOf(deadline)))) // an answer that never comes fails the test as in waitFor
	}
	c := &client{is: is, conn: conn, in: bufio.NewReader(conn), name: fmt.Sprintf("%p", conn)}
	fmt.Fprintf(conn, "CONNECT %s tester\r\n", database)
	line, err := faker.ReadLine(c.in)
	is.NoErr(err)
	is.Equal(line, "READY I -")
	return c
}

// connect opens a session to a database at a process that may end meanwhile, and reports whether
// it still accepts callers.
func (f *fleet) connect(m *runningProxy, database string) (c *client, ok bool) {
	for {
		conn, err := net.Dial("tcp", m.CallersAddr().String())
		if err != nil {
			return nil, false
		}
		c = &client{conn: conn, in: bufio.NewReader(conn), name: conn.LocalAddr().String()}
		fmt.Fprintf(conn, "CONNECT %s tester\r\n", database)
		if line, err := faker.ReadLine(c.in); err == nil && line == "READY I -" {
			return c, true
		}
		_ = conn.Close()
	}
}

// lastID returns the id of the client's last statement.
func (c *client) lastID() string { return fmt.Sprintf("%s-%d", c.name, c.n) }

// ask sends a statement and reads its answer.
func (c *client) ask(text string) answer {
	c.n++
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", c.lastID(), text); err != nil {
		return answer{ended: true}
	}
	var a answer
	for {
		line, err := faker.ReadLine(c.in)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return answer{ended: true, code: "no answer before the deadline"}
		}
		if err != nil {
			return answer{ended: true}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "ERROR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// askRow returns the single row of a successful answer.
func (c *client) askRow(text string) string {
	a := c.ask(text)
	c.is.Equal(a.code, "")
	c.is.Equal(len(a.rows), 1)
	return a.rows[0]
}

// writeUntil writes until stop is closed.
func (c *client) writeUntil(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		a := c.ask(fmt.Sprintf("WRITE item-%d v%d", i%7, i))
		if a.ended {
			return
		}
		if a.code != "" {
			time.Sleep(10 * time.Millisecond) // back off as a refused caller does
		}
	}
}
