package proof

import (
	"context"
	"fmt"
	"io/fs"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/tracker"
)

const (
	workspace = "dj"
	groupName = "billet-db-1"
	database  = "billet"
	password  = "whistle"
	poll      = 5 * time.Millisecond
)

var zones = []string{"vejle-hal", "aarhus-hal", "skjern-hal"}

// binary is the program under test, built by TestMain.
var binary string

// launch starts commands on one thread that lives as long as the tests, because
// the kernel ends a process with Pdeathsig when the thread that started it ends.
var launch = make(chan func())

func TestMain(m *testing.M) { os.Exit(run(m)) }

// touch looks at every source file, so that "go test" takes them for inputs of
// the tests. It doesn't see what the program is built of, and would report the
// result for an older one as "(cached)".
func touch(root string) error {
	return filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && (strings.HasSuffix(path, ".go") || filepath.Base(path) == "go.mod") {
			_, err = os.Stat(path)
		}
		return err
	})
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "basildale")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := touch("../.."); err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "basildale")
	build := exec.Command("go", "build", "-o", binary, "basildale.example/basildale/cmd/basildale")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	go func() {
		runtime.LockOSThread()
		for f := range launch {
			f()
		}
	}()
	return m.Run()
}

// fleet is some proxies before one group, with the platform's stand-in.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	group    *upstream.Group
	proxies  []*proxy
	listed   []platform.Instance
}

// proxy is one process.
type proxy struct {
	name, zone, settings, log string
	callers, peers, operators netip.AddrPort
	cmd                       *exec.Cmd
	exit                      chan error // of Wait, once
	ended                     bool
}

type options struct {
	proxies  int
	upstream upstream.Options
	observe  func(upstream int, pid uint32, sql string)
}

// newFleet starts a fleet and returns when each proxy is ready and knows all
// others.
func newFleet(t *testing.T, o options) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{t: t, platform: &platform.Platform{}}
	is.NoErr(f.platform.Start())
	t.Cleanup(func() { _ = f.platform.Close() })
	o.upstream.Size = 3
	o.upstream.Setup = "CREATE TABLE bookings (id text PRIMARY KEY, seat text, session text)"
	group, err := upstream.NewGroup(o.upstream)
	is.NoErr(err)
	f.group = group
	t.Cleanup(group.Close)
	for i, u := range group.Upstreams {
		if o.observe != nil {
			u.Observe = func(pid uint32, sql string) { o.observe(i, pid, sql) }
		}
		f.listed = append(f.listed, platform.Instance{Name: fmt.Sprint("db", i), Role: "upstream", Group: groupName, Zone: zones[i], State: "live", Address: u.Addr()})
	}
	f.configure()
	key := filepath.Join(t.TempDir(), "key")
	is.NoErr(os.WriteFile(key, []byte("a key of thirty-two bytes or more that the fleet shares"), 0o600))
	for i := range o.proxies {
		f.add(i, key)
	}
	f.platform.SetInstances(f.listed)
	for _, p := range f.proxies {
		f.start(p)
	}
	for _, p := range f.proxies {
		f.awaitReady(p)
		f.await(p.name+" knows the others", func() bool { return f.live(p) == o.proxies })
	}
	return f
}

// addresses returns some free ones. The address is of this process alone, so
// that no other process's connections take the ports before the proxies do.
func addresses(t *testing.T, i, n int) []netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid>>8&0x7f), byte(pid), byte(10 + i)})
	list := make([]netip.AddrPort, n)
	for k := range list {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
		is.New(t).NoErr(err)
		defer l.Close()
		list[k] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	return list
}

func (f *fleet) add(i int, key string) {
	at := addresses(f.t, i, 3)
	dir := f.t.TempDir()
	p := &proxy{
		name: fmt.Sprint("proxy", i), zone: zones[i%len(zones)],
		settings: filepath.Join(dir, "settings.yaml"), log: filepath.Join(dir, "log"),
		callers: at[0], peers: at[1], operators: at[2],
	}
	lines := []string{
		"name: " + p.name, "zone: " + p.zone, "workspace: " + workspace,
		"listen: " + p.callers.String(), "peers: " + p.peers.String(), "operators: " + p.operators.String(),
		"platform: [" + f.platform.Addr().String() + "]", "secret: " + key, "stop: 20s", "",
	}
	is.New(f.t).NoErr(os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")), 0o600))
	f.proxies = append(f.proxies, p)
	f.listed = append(f.listed, platform.Instance{Name: p.name, Role: "proxy", Zone: p.zone, State: "live", Address: p.peers})
}

// start starts the process; its log is shown when the test has failed.
func (f *fleet) start(p *proxy) {
	is := is.New(f.t)
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	p.cmd = exec.Command(binary, "serve", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	launch <- func() { started <- p.cmd.Start() }
	is.NoErr(<-started)
	p.exit, p.ended = make(chan error, 1), false
	cmd, exit := p.cmd, p.exit
	go func() { exit <- cmd.Wait() }()
	f.t.Cleanup(func() {
		if cmd == p.cmd && !p.ended {
			f.kill(p)
		}
		_ = out.Close()
		if text, err := os.ReadFile(p.log); err == nil && f.t.Failed() {
			f.t.Logf("%s:\n%s", p.name, text[max(0, len(text)-6000):])
		}
	})
}

// wait returns how the process ended.
func (p *proxy) wait() error {
	p.ended = true
	return <-p.exit
}

func (f *fleet) signal(p *proxy, s syscall.Signal) {
	is.New(f.t).NoErr(p.cmd.Process.Signal(s))
}

func (f *fleet) kill(p *proxy) {
	f.signal(p, syscall.SIGKILL)
	_ = p.wait() // says "killed"
}

// await polls until ok. Only the time of the whole test run bounds it.
func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	ctx := f.t.Context()
	if end, has := f.t.Deadline(); has {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end.Add(-5*time.Second))
		defer cancel()
	}
	tick := time.NewTicker(poll)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			f.t.Fatalf("still waiting: %s", what)
		}
	}
}

func (f *fleet) awaitReady(p *proxy) {
	f.t.Helper()
	f.await(p.name+" is ready", func() bool {
		select {
		case err := <-p.exit:
			p.ended = true
			f.t.Fatalf("%s ended: %v", p.name, err)
		default:
		}
		resp, err := http.Get("http://" + p.operators.String() + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// status returns what the process reports; its zero value if it says nothing.
func (f *fleet) status(p *proxy) reporter.Status {
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	s, err := reporter.Client{Address: p.operators}.Status(ctx)
	if err != nil {
		return reporter.Status{}
	}
	return s
}

// live returns how many peers, itself among them, the process takes for live.
func (f *fleet) live(p *proxy) int {
	n := 0
	for _, peer := range f.status(p).Peers {
		if peer.State == "live" {
			n++
		}
	}
	return n
}

// term returns the group's term as the process sees it.
func (f *fleet) term(p *proxy) string {
	for _, g := range f.status(p).Groups {
		return g.Term
	}
	return ""
}

// awaitReplaced waits until a proxy is in a later term than a primary that was
// replaced.
func (f *fleet) awaitReplaced(p *proxy, old tracker.Term) {
	f.t.Helper()
	f.await("a later term than "+old.String()+" at "+p.name, func() bool {
		term, err := tracker.ParseTerm(f.term(p))
		return err == nil && old.Less(term)
	})
}

func (f *fleet) callers() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range f.proxies {
		list = append(list, p.callers)
	}
	return list
}

func (f *fleet) dial(p *proxy, more string) (*pgx.Conn, error) {
	c, err := pgx.Connect(f.t.Context(), "postgres://kiosk:"+password+"@"+p.callers.String()+"/"+database+"?sslmode=disable&"+more)
	if err == nil {
		f.t.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = c.Close(ctx)
		})
	}
	return c, err
}

func (f *fleet) connect(p *proxy, more string) *pgx.Conn {
	f.t.Helper()
	c, err := f.dial(p, more)
	is.New(f.t).NoErr(err)
	return c
}

func (f *fleet) keeper() *keeper.Client {
	return &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}, Rate: 1000, Burst: 1000}
}

// configure writes what operators have accepted before the first proxy starts.
func (f *fleet) configure() {
	is := is.New(f.t)
	verifier, err := relayer.NewVerifier(password)
	is.NoErr(err)
	var ups []map[string]any
	for i, a := range f.group.Addrs() {
		ups = append(ups, map[string]any{"name": fmt.Sprint("db", i), "address": a, "zone": zones[i]})
	}
	classes := map[string]any{"booking": map[string]any{"weight": 2, "deadline": "2s"}, "lookup": map[string]any{"weight": 1, "deadline": "1s"}}
	list := []struct {
		name string
		spec map[string]any
	}{
		{"active/" + workspace, map[string]any{"preset": "p0"}},
		{"workspace/" + workspace, map[string]any{"zones": zones}},
		{"pool/tickets", map[string]any{"workspace": workspace}},
		{"group/" + groupName, map[string]any{"pool": "tickets", "databases": []string{database}, "slots": 5, "connections": 60, "upstreams": ups}},
		{"caller/kiosk", map[string]any{"workspace": workspace, "class": "booking", "verifier": verifier.String()}},
	}
	k := f.keeper()
	for n := range 10 {
		_, err := k.Put(f.t.Context(), "config", fmt.Sprint("preset/p", n), 0, map[string]any{"spec": map[string]any{"workspace": workspace, "classes": classes}})
		is.NoErr(err)
	}
	for _, o := range list {
		_, err := k.Put(f.t.Context(), "config", o.name, 0, map[string]any{"spec": o.spec})
		is.NoErr(err)
	}
}

// command runs the program and returns its output and exit code.
func command(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), binary, args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}
