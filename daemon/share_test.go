package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/limiter"
)

// childEnv carries the platform's address and the path of the key to a daemon in
// a process of its own.
const childEnv = "BASILDALE_TEST_DAEMON"

func TestMain(m *testing.M) {
	if at, key, ok := strings.Cut(os.Getenv(childEnv), " "); ok {
		child(netip.MustParseAddrPort(at), key)
	}
	os.Exit(m.Run())
}

// child runs a daemon that can be killed. It prints the address for peers, and
// the one for callers when they can connect.
func child(at netip.AddrPort, key string) {
	d := daemonOn(at, zones[0], key)
	if err := d.Listen(); err != nil {
		panic(err)
	}
	fmt.Println(d.Peers())
	go func() {
		<-d.Started()
		fmt.Println(d.Callers())
	}()
	panic(d.Run(context.Background()))
}

// process is a child of the test.
type process struct {
	cmd   *exec.Cmd
	lines *bufio.Scanner
	peers netip.AddrPort
}

func (f *fleet) spawn() *process {
	is := is.New(f.t)
	exe, err := os.Executable()
	is.NoErr(err)
	p := &process{cmd: exec.Command(exe)}
	p.cmd.Env = append(os.Environ(), childEnv+"="+f.platform.Addr().String()+" "+f.key)
	out, err := p.cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.cmd.Start())
	f.t.Cleanup(p.kill)
	p.lines = bufio.NewScanner(out)
	p.peers = p.next()
	return p
}

func (p *process) next() netip.AddrPort {
	p.lines.Scan()
	return netip.MustParseAddrPort(p.lines.Text())
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// shared waits until exactly n proxies share the connections and keep to it. Only
// the bound of the test run ends it.
func (f *fleet) shared(n int) limiter.View {
	k := &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}}
	for {
		var r limiter.Record
		o, err := k.Get(f.t.Context(), sharesKind, "billet-db-1")
		if err == nil && json.Unmarshal(o.Value, &r) == nil && len(r.Views) == 1 && len(r.Views[0].Members) == n {
			return r.Views[0]
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// load keeps callers busy at a proxy until ctx ends, each on connections that it
// makes again when they break.
func (f *fleet) load(ctx context.Context, at netip.AddrPort, callers int) *sync.WaitGroup {
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for ctx.Err() == nil {
				c, err := pgx.Connect(ctx, "postgres://kiosk:"+strings.ReplaceAll(password, " ", "%20")+"@"+at.String()+"/billet?sslmode=disable")
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				for err == nil && ctx.Err() == nil {
					if n%2 == 0 {
						_, err = c.Exec(ctx, "SELECT holder FROM seats WHERE id = 0")
						continue
					}
					// A transaction keeps its connection while its caller thinks.
					_, err = c.Exec(ctx, "BEGIN")
					time.Sleep(5 * time.Millisecond)
					if err == nil {
						_, err = c.Exec(ctx, "COMMIT")
					}
				}
				_ = c.Close(context.Background())
			}
		})
	}
	return &running
}

// unpaced opens connections as fast as they are wanted, so that each proxy has its
// whole share open.
const unpaced = 1000

// Symptom: an upstream refuses connections with 53300 while proxies come and go.
//
// Sequence: under load a fourth proxy joins and is killed, the platform goes
// down, one leaves and one starts meanwhile, the platform comes back.
//
// Cause: each proxy divided the connections by the number of proxies that it
// believed in.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(t, upstream.Options{Size: 3, Lag: time.Millisecond, Setup: setup, Connections: 12}, unpaced)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, d := range f.daemons {
		defer f.load(ctx, d.Callers(), 24).Wait()
	}
	defer cancel()
	is.Equal(f.shared(3).Limit, 7) // 12, without 5 reserved

	p := f.spawn()
	f.list(p.peers)
	defer f.load(ctx, p.next(), 24).Wait()
	defer cancel()
	is.Equal(f.shared(4).Limit, 6)
	p.kill()
	f.list()
	is.Equal(f.shared(3).Limit, 7)

	f.platform.Down()
	is.True(f.daemons[2].Drain())
	err := <-f.ends[2]
	f.ends[2] <- nil // for the end of the test, also when the next line ends it
	is.NoErr(err)
	p = f.spawn()
	f.platform.Up()
	f.list(p.peers)
	defer f.load(ctx, p.next(), 24).Wait()
	defer cancel()
	view := f.shared(3)
	for _, m := range view.Members {
		is.True(m.Name != f.daemons[2].Peers().String())
	}
	for _, u := range f.group.Upstreams {
		t.Logf("upstream %s: %+v", u.Addr(), u.Counts())
		is.Equal(u.Counts().Refused, int64(0))
		is.True(u.Counts().Most <= 12)
	}
}
