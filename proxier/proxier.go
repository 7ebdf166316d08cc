package proxier

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/conductor"
	"basildale.example/basildale/forwarder"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/meter"
	"basildale.example/basildale/overseer"
	"basildale.example/basildale/platform/connector"
	"basildale.example/basildale/platform/orderer"
	"basildale.example/basildale/platform/prober"
	"basildale.example/basildale/platform/receiver"
	"basildale.example/basildale/platform/translator"
	"basildale.example/basildale/throttler"
	"basildale.example/basildale/versioner"
)

const (
	// upkeep is the time between two looks after upstreams.
	upkeep = 100 * time.Millisecond
	// shareEvery is the number of these looks between two looks at who shares the
	// connections: half a second, as often as peers are heard.
	shareEvery = 5
	// headerTimeout bounds how long an HTTP client may take over its head.
	headerTimeout = 2 * time.Second
	// openWait is how long a caller that connects to a process that has just
	// started waits for the first configuration. Callers give up after 2 s.
	openWait = 1500 * time.Millisecond
	// fleetKey, with the workspace's name, is what peers know one another by. It
	// keeps processes of another fleet apart; it is no secret.
	fleetKey = "basildale fleet "
	// peerHandshake bounds opening a link to a peer, and peerInFlight the
	// statements under way on one.
	peerHandshake = 300 * time.Millisecond
	peerInFlight  = 1024
	// peerSilence is how long a peer that carries may send nothing before it is asked
	// whether it lives, and has to answer that. A statement takes 20 to 80 ms there;
	// without it one that was cut off takes each statement's whole second.
	peerSilence = 200 * time.Millisecond
	// relayTimeout bounds the call to a peer for what it knows, and peerIdle is how long a
	// connection for such calls stays open: whoever tells first is asked, and one kept to
	// each that ever was takes descriptors and the kernel's probes.
	relayTimeout = time.Second
	peerIdle     = 2 * time.Second
	// mostTransfers is how many peers are told the configuration at a time. On a link of
	// 10 Mbit/s the largest one that the store takes reaches that many in 0.2 s.
	mostTransfers = 4
)

// Proxier is one process. Set the exported fields before Run.
type Proxier struct {
	Settings loader.Settings
	Log      *zap.Logger

	start    int64
	began    time.Time // by the carrier's clock
	store    *keeper.Client
	carrier  *carrier.Registry
	holdings *holdings
	gossip   *gossiper.Gossiper
	overseer *overseer.Overseer
	forward  *forwarder.Forwarder
	throttle *throttle
	peers    *messenger.Messenger
	receiver *receiver.Receiver
	registry metrics.Registry
	meter    *meter.Meter
	client   *http.Client
	checks   checks
	limit    atomic.Int64 // of a stop, as a time.Duration
	leaving  atomic.Bool
	back     signal // the store answers again
	renewed  signal // the store has been restored
	heardEra atomic.Uint64
	drops    rate.Sometimes // bounds the lines about answers of the store that don't count
	learned  atomic.Bool    // the store has told where peers are
	settled  atomic.Bool    // and all that started together with this process
	// introduced says that it has just done so. Who carries is divided at once: until
	// then the process has no connections.
	introduced chan struct{}
	listing    atomic.Bool // a peer is asked for the list of the fleet
	// configurations and entries are had from peers that have newer ones.
	configurations *syncer
	entries        *syncer
	// config and upstreams follow the store.
	config    *follower
	upstreams *follower
	parcel    parcel
	transfers *semaphore.Weighted // of the configuration to peers
	noticed   atomic.Uint64       // the newest configuration heard of, as logged
	// assigned is who carries for each group where only some do.
	assigned atomic.Pointer[map[string][]string]
	servers  []*http.Server
	// The addresses that are bound, also where the settings leave the port open.
	readyAt     netip.AddrPort
	operatorsAt netip.AddrPort
	carryAt     netip.AddrPort
	started     chan struct{}
	once        sync.Once
}

// Started is closed when callers can connect.
func (p *Proxier) Started() <-chan struct{} {
	p.once.Do(func() { p.started = make(chan struct{}) })
	return p.started
}

// Reload takes in settings that were read anew. Only how long a stop may take
// changes in a running process; addresses are bound, and everything else comes
// from the store.
func (p *Proxier) Reload(s loader.Settings) {
	p.limit.Store(int64(s.Stop))
	p.Log.Info("proxier: settings reloaded", zap.Duration("stop", s.Stop))
}

// Callers returns the address that callers connect to, after Started.
func (p *Proxier) Callers() netip.AddrPort { return p.receiver.Bound() }

// Ready returns the address that the balancer asks, after Started.
func (p *Proxier) Ready() netip.AddrPort { return p.readyAt }

// Operators returns the address of the operators' HTTP, after Started.
func (p *Proxier) Operators() netip.AddrPort { return p.operatorsAt }

// Run runs the process until the context ends, and then stops it gracefully.
func (p *Proxier) Run(ctx context.Context) error {
	p.build()
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := p.listen(); err != nil {
		return err
	}
	p.Started()
	close(p.started)
	var running sync.WaitGroup
	running.Go(func() { p.config.run(inner) })
	running.Go(func() { p.upstreams.run(inner) })
	running.Go(func() { p.check(inner, p.config, configCheck) })
	running.Go(func() { p.check(inner, p.upstreams, upstreamsCheck) })
	running.Go(func() { p.configurations.run(inner) })
	running.Go(func() { p.entries.run(inner) })
	running.Go(func() { p.enroll(inner) })
	running.Go(func() { p.overseer.Run(inner) })
	running.Go(func() { p.keepUp(inner) })
	running.Go(func() { p.throttle.run(inner, p.knowsPeers, p.knowsFleet, p.leaving.Load) })
	<-ctx.Done()
	p.stop()
	cancel()
	running.Wait()
	return nil
}

// build makes the parts.
func (p *Proxier) build() {
	s := &p.Settings
	p.start = time.Now().UnixNano()
	p.began = bootClock()
	p.introduced = make(chan struct{}, 1)
	p.drops = rate.Sometimes{First: 1, Interval: time.Second}
	p.transfers = semaphore.NewWeighted(mostTransfers)
	p.limit.Store(int64(s.Stop))
	p.registry = metrics.NewRegistry()
	p.meter = &meter.Meter{Registry: p.registry}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdle, DisableCompression: true}}
	p.store = &keeper.Client{Addrs: s.Platform, Transport: &translator.Transport{Base: translator.Base()}, Renewed: p.restored, Dropped: p.dropped}
	dialer := &connector.Connector{Name: s.Name}
	p.carrier = &carrier.Registry{Zone: s.Zone, LeaveTimeout: s.Leave, Dial: dialer.Dial, Now: bootClock, Log: p.Log}
	p.gossip = &gossiper.Gossiper{Address: s.Peers, Self: p.self, OnState: p.heard, OnForgotten: p.clear, Now: bootClock, Log: p.Log}
	p.throttle = &throttle{
		gossip: p.gossip, view: p.View, count: p.count, now: bootClock, log: p.Log, millicores: int(p.millicores()),
		node:  throttler.Node{Self: s.Name, StartedAt: p.began, Tolerance: throttler.Tolerance{Window: s.Quota.Window, Excess: s.Quota.Excess, Slack: s.Quota.Slack}},
		asked: uint64(p.start), await: map[uint64]chan throttler.Verdict{},
	}
	p.gossip.OnDatagram = p.throttle.receive
	p.holdings = &holdings{carrier: p.carrier, proxies: p.proxies, log: p.Log}
	p.follow()
	orders := &orderer.Orderer{Address: s.Orders, Holder: s.Name}
	p.overseer = &overseer.Overseer{
		Name: s.Name, Start: p.start, Groups: p.carrier.Groups, Store: p.store, Era: p.era, Live: p.gossip.Live, IsPartitioned: p.gossip.IsPartitioned,
		Promote: orders.Promote, NotifyPeers: p.gossip.NotifyPeers, Leaving: p.leaving.Load, Now: bootClock, Log: p.Log,
	}
	p.forward = &forwarder.Forwarder{Local: p.carrier.Group, Gateways: p.carriers, LeaderFault: p.overseer.LeaderFault, Send: p.send, Name: s.Name, Zone: s.Zone, Now: bootClock, Log: p.Log}
	p.carrier.RequestSample = p.forward.Sample
	p.carrier.CountPlacement = p.meter.Route
	p.carrier.ConnectionShares = p.shares
	p.holdings.changed = p.gossip.NotifySuccessors
	p.meter.Gauge(func() int64 { return int64(p.receiver.Count()) }, "basildale_callers")
	p.meter.Gauge(p.gossip.DecodeErrors, "basildale_datagrams_unread")
	p.meter.Gauge(func() int64 { return int64(p.holdings.current().Config.Version) }, "basildale_configuration_version")
	p.meter.Gauge(func() int64 { return int64(p.noticed.Load()) }, "basildale_configuration_heard")
	p.receiver = &receiver.Receiver{Address: s.Listen, Open: p.open, Now: bootClock, Log: p.Log}
}

func (p *Proxier) listen() error {
	var err error
	probes := &prober.Prober{Ready: p.ready}
	if p.readyAt, err = p.serve(p.Settings.Ready, probes.Handler()); err != nil {
		return err
	}
	if p.operatorsAt, err = p.serve(p.Settings.Operators, p.operators()); err != nil {
		return err
	}
	if err := p.listenPeers(); err != nil {
		return err
	}
	if err := p.receiver.Start(); err != nil {
		return err
	}
	return p.gossip.Start()
}

// serve serves HTTP on an address, and returns the one that is bound.
func (p *Proxier) serve(at netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return at, errors.Wrapf(err, "proxier: listen on %s", at)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("proxier: server ended", zap.Stringer("address", at), zap.Error(err))
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

// operators serves metrics and health, and peers that want to know what this
// process knows.
func (p *Proxier) operators() http.Handler {
	r := &reporter.Reporter{
		Registry: p.registry,
		Health:   func(context.Context) error { return nil },
		Ready:    p.unready,
		Log:      p.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("/", r.Handler())
	mux.HandleFunc("GET /known", p.known)
	mux.HandleFunc("GET /configuration", p.configuration)
	return mux
}

// ready reports whether the balancer may send callers.
func (p *Proxier) ready() bool { return !p.leaving.Load() && p.holdings.served() }

func (p *Proxier) unready(context.Context) error {
	if p.ready() {
		return nil
	}
	return errors.New("proxier: leaving, or no configuration or upstreams yet")
}

// open makes a caller's session.
func (p *Proxier) open(database string, key cataloger.Fingerprint) (*conductor.Session, carrier.Code, string) {
	view := p.holdings.await(openWait)
	if view.Config.Version == 0 {
		p.Log.Info("proxier: caller refused before the first configuration", zap.String("database", database))
		return nil, carrier.Busy, "no configuration yet; come back in 1s"
	}
	route, ok := view.Route(database)
	if !ok {
		p.Log.Info("proxier: caller refused", zap.String("database", database), zap.Uint64("configuration", view.Config.Version))
		return nil, carrier.NoDatabase, "no route to the database " + database
	}
	if _, ok := view.Identify(&route, key); !ok {
		p.Log.Info("proxier: caller refused, key unknown", zap.String("database", database), zap.Stringer("key", key), zap.Uint64("configuration", view.Config.Version))
		return nil, carrier.Forbidden, "the key is unknown"
	}
	s := &conductor.Session{Database: database, Key: key, View: p.holdings.current, Group: p.forward.Group, Now: bootClock, Admit: p.throttle.admit, Observe: p.observe, Log: p.Log}
	return s, carrier.OK, ""
}

// observe counts and times a request.
func (p *Proxier) observe(route cataloger.Route, a carrier.Answer, took time.Duration) {
	class := route.Freshness.String()
	p.meter.Series(route.Group, class).Observe(meter.Timing{Wait: a.Waited, Upstream: a.Ran, Total: took})
	p.meter.Outcome(route.Group, class, a.Code.String())
}

// follow makes what keeps up with the store, and with peers that know more of it.
func (p *Proxier) follow() {
	p.config = p.follower(translator.Configuration, p.holdings.objects, p.holdings.objects)
	p.upstreams = p.follower(translator.Upstreams, p.holdings.upstreams, p.holdings.watched)
	p.config.wanted = func() bool { return p.watches(translator.Configuration, configCheck) }
	p.upstreams.wanted = func() bool { return p.watches(translator.Upstreams, upstreamsCheck) }
	p.configurations = &syncer{
		held: func() versioner.Version {
			return versioner.Version{Revision: p.holdings.current().Config.Version}
		},
		ask:  p.askConfiguration,
		read: func(ctx context.Context) error { return p.fallBack(ctx, p.config) },
		wake: make(chan struct{}, 1),
	}
	p.entries = &syncer{
		held: func() versioner.Version {
			complete, _ := p.holdings.entries()
			return complete
		},
		ask:  p.askKnown,
		read: func(ctx context.Context) error { return p.fallBack(ctx, p.upstreams) },
		wake: make(chan struct{}, 1),
	}
}

// follower keeps up with a kind of the store's objects.
func (p *Proxier) follower(kind string, replace, change func([]keeper.Object, versioner.Version)) *follower {
	// The first list counts as a check too. Without that all processes that start
	// together watch until the first check, and list again after it: most of a calm
	// fleet's calls to the store.
	read := func(at time.Time) { p.checks.done(kind, at) }
	return &follower{store: p.store, kind: kind, replace: replace, change: change, read: read, back: &p.back, renewed: &p.renewed, log: p.Log}
}

// keepUp looks after upstreams and the shares of their connections.
func (p *Proxier) keepUp(ctx context.Context) {
	ticker := time.NewTicker(upkeep)
	defer ticker.Stop()
	var before []string
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-p.introduced:
			before = p.divide(before)
			continue
		case <-ticker.C:
		}
		p.holdings.expire(bootClock())
		p.carrier.Tick()
		if n%shareEvery == 0 {
			before = p.divide(before)
		}
	}
}

// divide divides the upstreams' connections anew if what decides on it has changed,
// and returns what decided.
func (p *Proxier) divide(before []string) []string {
	names, alone, known := p.sharing(), p.aloneIn(), p.knowsPeers()
	now := append(slices.Clone(alone), append(names, strconv.FormatBool(known), strconv.Itoa(p.unlearnedShare()))...)
	if slices.Equal(now, before) {
		return before
	}
	p.carrier.DivideConnections(len(names), p.holdings.current().Config.Groups)
	p.Log.Info("proxier: connections divided", zap.Int("proxies", len(names)), zap.Bool("known", known), zap.Strings("alone", alone))
	return now
}

// sharing returns the processes that share the upstreams' connections, this one
// first: those that are on the list of the fleet, whether they answer or not. A process
// that has just started has heard nobody yet and would take all: after a loss of
// power everywhere one sees upstreams refuse most connections for seconds.
func (p *Proxier) sharing() []string {
	names := []string{p.Settings.Name}
	for _, s := range p.gossip.Fleet() {
		names = append(names, s.Name)
	}
	return names
}

func (p *Proxier) proxies() int { return len(p.sharing()) }

// View returns the configuration in force.
func (p *Proxier) View() *cataloger.View { return p.holdings.current() }
