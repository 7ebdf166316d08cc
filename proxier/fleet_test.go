package proxier

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest"

	"basildale.example/basildale/loader"
	"basildale.example/basildale/platform/faker"
)

// leave is how long an upstream that says that it leaves may get new work.
const leave = 3 * time.Second

// fleet is a platform with one group and some proxies before it.
type fleet struct {
	t        *testing.T
	platform *faker.Platform
	group    *faker.Group
	proxies  []*member
}

// member is one proxy of a fleet.
type member struct {
	*Proxier
	cancel context.CancelFunc
	ended  chan struct{}
}

// newFleet starts a platform and n proxies, one in each of three zones by turns,
// and waits until they serve.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetOn(t, &faker.Platform{}, n)
}

// newFleetOn does so on a platform that isn't started yet.
func newFleetOn(t *testing.T, platform *faker.Platform, n int) *fleet {
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
		f.until("ready", m.ready)
	}
	f.until("all duties held", func() bool { return f.holder() != nil })
	return f
}

// start starts one proxy.
func (f *fleet) start(i int) *member {
	local := netip.MustParseAddrPort("127.0.0.1:0")
	log := zaptest.NewLogger(f.t, zaptest.Level(zapcore.WarnLevel)).WithOptions(zap.WithCaller(false))
	m := &member{ended: make(chan struct{}), Proxier: &Proxier{Log: log, Settings: loader.Settings{
		Name: fmt.Sprintf("proxy-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Wire: loader.Lines,
		Listen: local, Ready: local, Peers: local, Operators: local, Carry: local,
		Platform: []netip.AddrPort{f.platform.Address()}, Orders: f.platform.Address(), Stop: time.Second, Leave: leave,
	}}}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() {
		defer close(m.ended)
		if err := m.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	<-m.Started()
	f.proxies = append(f.proxies, m)
	f.t.Cleanup(func() {
		cancel()
		<-m.ended
	})
	return m
}

// holder returns the proxy that has the duty for the group, or nil.
func (f *fleet) holder() *member {
	for _, m := range f.proxies {
		if m.overseer.States()["billet"].Token > 0 {
			return m
		}
	}
	return nil
}

// until waits until something holds. It has no bound of its own: the test's is
// that of go test.
func (f *fleet) until(_ string, holds func() bool) {
	for !holds() {
		time.Sleep(5 * time.Millisecond)
	}
}

// client is a caller.
type client struct {
	is   *is.I
	conn net.Conn
	in   *bufio.Reader
	n    int
	name string
}

// answer is what a caller got for one statement.
type answer struct {
	rows  []string
	code  string // empty for a success
	state string
	ended bool // the connection ended instead
}

// dial opens a session to a database.
func (f *fleet) dial(m *member, database string) *client {
	f.t.Helper()
	is := is.New(f.t)
	conn, err := net.Dial("tcp", m.Callers().String())
	is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	c := &client{is: is, conn: conn, in: bufio.NewReader(conn), name: fmt.Sprintf("%p", conn)}
	fmt.Fprintf(conn, "CONNECT %s tester\r\n", database)
	line, err := c.in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "READY I -\r\n")
	return c
}

// ask sends a statement and reads its answer.
func (c *client) ask(text string) answer {
	c.n++
	if _, err := fmt.Fprintf(c.conn, "QUERY %s-%d %s\r\n", c.name, c.n, text); err != nil {
		return answer{ended: true}
	}
	var a answer
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return answer{ended: true}
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
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

// one returns the single row of a success.
func (c *client) one(text string) string {
	a := c.ask(text)
	c.is.Equal(a.code, "")
	c.is.Equal(len(a.rows), 1)
	return a.rows[0]
}

// writes goes on writing until it is told to stop.
func (c *client) writes(stop <-chan struct{}) {
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
			time.Sleep(10 * time.Millisecond) // as a caller that is told to come back
		}
	}
}
