package coordinator

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/internal/faker/platform"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/tracker"
)

// fleet is three proxies in three availability zones before one group.
type fleet struct {
	t        *testing.T
	platform *platform.Platform
	group    *upstream.Group
	proxies  []*Coordinator
	stops    []context.CancelFunc

	mu      sync.Mutex
	changed *sync.Cond
	views   []*controller.Published
}

var zones = []string{"vejle-hal", "aarhus-hal", "skjern-hal"}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: &platform.Platform{}, views: make([]*controller.Published, len(zones))}
	f.changed = sync.NewCond(&f.mu)
	is := is.New(t)
	is.NoErr(f.platform.Start())
	var err error
	f.group, err = upstream.NewGroup(upstream.Options{Size: 3, Lag: 5 * time.Millisecond})
	is.NoErr(err)
	f.configure()
	listeners := make([]net.Listener, len(zones))
	var instances []platform.Instance
	for i, zone := range zones {
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		instances = append(instances, platform.Instance{
			Name: zone, Role: "proxy", Zone: zone, State: "live", Address: listeners[i].Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	f.platform.SetInstances(instances)
	for i := range zones {
		f.add(i, listeners[i])
	}
	t.Cleanup(f.close)
	return f
}

// configure writes one workspace with one group to the platform.
func (f *fleet) configure() {
	is := is.New(f.t)
	k := &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}}
	var ups []map[string]any
	for i, a := range f.group.Addrs() {
		ups = append(ups, map[string]any{"name": zones[i], "address": a, "zone": zones[i]})
	}
	for _, o := range []struct {
		name string
		spec map[string]any
	}{
		{"preset/ordinary", map[string]any{"workspace": "dj", "classes": map[string]any{"booking": map[string]any{"weight": 2}}}},
		{"active/dj", map[string]any{"workspace": "dj", "preset": "ordinary"}},
		{"workspace/dj", map[string]any{"zones": zones}},
		{"pool/tickets", map[string]any{"workspace": "dj"}},
		{"group/billet-db-1", map[string]any{"pool": "tickets", "databases": []string{"billet"}, "slots": 5, "connections": 35, "upstreams": ups}},
	} {
		_, err := k.Put(f.t.Context(), "config", o.name, 0, map[string]any{"spec": o.spec})
		is.NoErr(err)
	}
}

func (f *fleet) add(i int, ln net.Listener) {
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	c := &Coordinator{
		Control: controller.Controller{
			Self:       membership.Member{Addr: addr, Start: uint64(i + 1), Zone: zones[i]},
			Workspace:  "dj",
			Seed:       uint64(i + 1),
			Membership: membership.Settings{Period: 200 * time.Millisecond, Timeout: 100 * time.Millisecond, Suspicion: 300 * time.Millisecond},
		},
		Platform:  &keeper.Client{Addrs: []netip.AddrPort{f.platform.Addr()}, Rate: 1000, Burst: 1000},
		Peers:     &messenger.Messenger{Self: messenger.Peer{Addr: addr, Start: uint64(i + 1)}, Keys: [][]byte{[]byte("a key that the fleet shares")}},
		Upstreams: &commander.Commander{User: "basildale", Database: "app"},
		Sampling:  Sampling{Active: 10 * time.Millisecond, Idle: 20 * time.Millisecond, Within: 200 * time.Millisecond, List: 50 * time.Millisecond},
		OnView: func(p *controller.Published) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.views[i] = p
			f.changed.Broadcast()
		},
	}
	c.Peers.Handler = c.Handler()
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { _ = c.Peers.Serve(ln) }()
	go func() {
		defer close(served)
		c.Run(ctx)
	}()
	f.proxies = append(f.proxies, c)
	f.stops = append(f.stops, func() {
		stop()
		<-served
		c.Peers.Close()
		c.Upstreams.Close()
	})
}

func (f *fleet) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.group.Close()
	_ = f.platform.Close()
}

// await returns when every listed proxy's view satisfies ok. Only the bound of
// the whole test run ends a wait for what never comes.
func (f *fleet) await(ok func(*controller.Published) bool, proxies ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range proxies {
		for f.views[i] == nil || !ok(f.views[i]) {
			f.changed.Wait()
		}
	}
}

func primaryIs(i int) func(*controller.Published) bool {
	return func(p *controller.Published) bool { return p.Snapshot.Primary == i }
}

func primaryIsNot(i int) func(*controller.Published) bool {
	return func(p *controller.Published) bool { return p.Snapshot.Primary >= 0 && p.Snapshot.Primary != i }
}

// follows waits until upstream i is a replica in the term of the primary.
func (f *fleet) follows(i int, proxies ...int) {
	f.await(func(p *controller.Published) bool {
		u := p.Snapshot.Upstreams[i]
		return u.Role == tracker.Replica && u.Term == p.Snapshot.Term
	}, proxies...)
}

// recorded waits until the platform holds a record of the group with holders.
func (f *fleet) recorded() {
	f.await(func(p *controller.Published) bool { return p.Leader != "" }, 0, 1, 2)
}

// Symptom: writes fail until somebody promotes a replica by hand. Sequence: the
// primary's process dies; then it comes back and still believes that it leads.
// Cause: nobody fences a majority, promotes and repoints.
func TestFleetReplacesACrashedPrimary(t *testing.T) {
	f := newFleet(t)
	f.await(primaryIs(0), 0, 1, 2)
	f.recorded()
	f.group.Upstreams[0].Crash()
	f.await(primaryIsNot(0), 0, 1, 2)
	f.group.Upstreams[0].Restore()
	f.follows(0, 0, 1, 2)
	is := is.New(t)
	explained := false
	for _, c := range f.proxies {
		decided, err := c.Explain(t.Context(), "billet-db-1", 0)
		is.NoErr(err)
		for _, d := range decided {
			explained = explained || d.Action == "promote" && d.Reason != ""
		}
	}
	is.True(explained) // some proxy says why
}

// Symptom: no failover while the platform is down. Sequence: the platform fails
// first, then the primary. Cause: the leader asks the platform for leave at the
// moment of the failover.
func TestFleetReplacesAPrimaryWhileThePlatformIsDown(t *testing.T) {
	f := newFleet(t)
	f.await(primaryIs(0), 0, 1, 2)
	f.recorded()
	f.platform.Down()
	f.group.Upstreams[0].Crash()
	f.await(primaryIsNot(0), 0, 1, 2)
}

// Symptom: no failover when the proxy that should do it dies with the primary.
// Sequence: the recorded leader's process ends, the primary fails. Cause: the
// deputies wait for the leader for ever.
func TestDeputyReplacesAPrimaryWhenTheLeaderIsGone(t *testing.T) {
	f := newFleet(t)
	f.await(primaryIs(0), 0, 1, 2)
	f.recorded()
	leader := f.proxies[0].View("billet-db-1").Leader
	var rest []int
	for i, c := range f.proxies {
		if c.self() == leader {
			f.stops[i]()
			f.stops[i] = func() {}
			continue
		}
		rest = append(rest, i)
	}
	f.group.Upstreams[0].Crash()
	f.await(primaryIsNot(0), rest...)
}

// Symptom: an operator who asks why a process hangs hangs with it. Sequence: the
// control goroutine is stuck in an event, /health asks it. Cause: the question
// waited without an end of its own.
func TestQuestionToAStuckControlGoroutineEnds(t *testing.T) {
	is := is.New(t)
	var c Coordinator // Run is never called, so nobody takes the question
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := c.Ask(ctx, func(*controller.Controller) { t.Error("ran after all") })
	is.True(errors.Is(err, context.Canceled))
}
