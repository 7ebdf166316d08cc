package proxier

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
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
	"basildale.example/basildale/assigner"
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
	// maintenanceInterval is the time between two maintenance passes over the upstreams.
	maintenanceInterval = 100 * time.Millisecond
	// ticksPerDivision is the number of maintenance passes between two checks of who shares
	// the connections. This makes half a second, as often as peers send their state.
	ticksPerDivision = 5
	// headerTimeout bounds how long an HTTP client may take to send its request header.
	headerTimeout = 2 * time.Second
	// firstConfigTimeout is how long a caller that connects to a process that has just started
	// waits for the first configuration. Callers time out after 2 s.
	firstConfigTimeout = 1500 * time.Millisecond
	// fleetKeyPrefix, followed by the workspace's name, is the shared key of peers. It keeps
	// processes of other fleets apart; it is no secret.
	fleetKeyPrefix = "basildale fleet "
	// peerHandshakeTimeout bounds opening a connection to a peer, and maxPeerInFlight the
	// statements in flight on one.
	peerHandshakeTimeout = 300 * time.Millisecond
	maxPeerInFlight      = 1024
	// maxPeerMessage has room for a statement of the greatest size that callers may send, twice,
	// in base64, as an execution of a prepared statement states its arguments also in its text.
	maxPeerMessage = 4 << 20
	// peerSilenceTimeout is how long a gateway may send nothing before it is pinged, and how
	// long it then has to answer. A statement takes 20 to 80 ms there; without the ping each
	// statement sent to an unreachable gateway takes its full second.
	peerSilenceTimeout = 200 * time.Millisecond
	// peerFetchTimeout bounds a request to a peer for its state. peerIdleTimeout is how long a
	// connection for such requests stays open: the request goes to whichever peer reports
	// something first, and keeping a connection to each would cost file descriptors and the
	// kernel's probes.
	peerFetchTimeout = time.Second
	peerIdleTimeout  = 2 * time.Second
	// maxTransfers is the number of concurrent configuration transfers to peers. On a link of
	// 10 Mbit/s that many transfers of the largest configuration the store accepts complete in
	// 0.2 s.
	maxTransfers = 4
)

// Proxier is one proxy process. Set the exported fields before Run.
type Proxier struct {
	Settings loader.Settings
	Log      *zap.Logger

	incarnation     int64
	startedAt       time.Time // in bootClock time
	store           *keeper.Client
	carrier         *carrier.Registry
	cache           *stateCache
	gossip          *gossiper.Gossiper
	overseer        *overseer.Overseer
	forward         *forwarder.Forwarder
	loans           *forwarder.Loans
	quotas          *quotaLimiter
	messenger       *messenger.Messenger
	receiver        *receiver.Receiver
	registry        metrics.Registry
	meter           *meter.Meter
	workspaces      *meter.Workspaces
	forwards        *meter.Forwards
	lineFields      sync.Pool // shared by the sessions
	client          *http.Client
	fullReads       readTimes
	stopTimeout     atomic.Int64 // of a graceful stop, as a time.Duration
	leaving         atomic.Bool
	rejectsNew      atomic.Bool // the stop is about to end
	storeBack       signal      // the store answers again
	storeRestored   signal      // the store has been restored
	peerEra         atomic.Uint64
	droppedLogLimit rate.Sometimes // limits log lines about dropped answers of the store
	peersKnown      atomic.Bool    // the list of peers has arrived, from the store or from a peer
	fleetKnown      atomic.Bool    // the list also contains all processes that started together with this one
	// divisionDue signals that the connections are to be divided at once: the list of the
	// fleet has arrived, until which this process has none, or a statement has arrived for a
	// group whose gateways are all unreachable.
	divisionDue chan struct{}
	// dividedBy is what the shares in force were computed from, and loggedDivision what was
	// logged last. The latter belongs to runMaintenance.
	dividedBy       atomic.Pointer[divisionInputs]
	loggedDivision  *divisionInputs
	usage           groupUsage
	ranks           rankCache
	assigner        assigner.Assigner
	isFetchingFleet atomic.Bool // a request for the list of the fleet is in flight
	// configSyncer and entrySyncer fetch newer versions from peers.
	configSyncer *syncer
	entrySyncer  *syncer
	// configWatcher and upstreamWatcher watch the store.
	configWatcher   *storeWatcher
	upstreamWatcher *storeWatcher
	packed          packedConfig
	transferSlots   *semaphore.Weighted // limits concurrent transfers of the configuration to peers
	newestConfig    atomic.Uint64       // the newest configuration that peers reported, as logged
	// assignedGateways holds the gateways of each group that has dedicated ones.
	assignedGateways atomic.Pointer[map[string][]string]
	servers          []*http.Server
	// The bound addresses, also where the settings leave the port open.
	readyAddr     netip.AddrPort
	operatorsAddr netip.AddrPort
	gatewayAddr   netip.AddrPort
	load          atomic.Pointer[loader.Choices]
	started       chan struct{}
	once          sync.Once
}

// Started returns a channel that is closed when callers can connect.
func (p *Proxier) Started() <-chan struct{} {
	p.once.Do(func() { p.started = make(chan struct{}) })
	return p.started
}

// Reload applies settings that were read again. Only the stop timeout and the choices under
// load change in a running process; addresses are bound, and everything else comes from the
// store.
func (p *Proxier) Reload(s loader.Settings) {
	p.stopTimeout.Store(int64(s.Stop))
	p.setLoad(&s)
	p.Log.Info("proxier: settings reloaded", zap.Duration("stop", s.Stop))
}

// CallersAddr returns the address that callers connect to, after Started.
func (p *Proxier) CallersAddr() netip.AddrPort { return p.receiver.Bound() }

// ReadyAddr returns the address that the load balancer checks, after Started.
func (p *Proxier) ReadyAddr() netip.AddrPort { return p.readyAddr }

// OperatorsAddr returns the address of the operators' HTTP server, after Started.
func (p *Proxier) OperatorsAddr() netip.AddrPort { return p.operatorsAddr }

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
	running.Go(func() { p.configWatcher.run(inner) })
	running.Go(func() { p.upstreamWatcher.run(inner) })
	running.Go(func() { p.runChecks(inner, p.configWatcher, configCheckInterval) })
	running.Go(func() { p.runChecks(inner, p.upstreamWatcher, upstreamsCheckInterval) })
	running.Go(func() { p.configSyncer.run(inner) })
	running.Go(func() { p.entrySyncer.run(inner) })
	running.Go(func() { p.enroll(inner) })
	running.Go(func() { p.overseer.Run(inner) })
	running.Go(func() { p.runMaintenance(inner) })
	running.Go(func() { p.runLoans(inner) })
	running.Go(func() { p.quotas.run(inner, p.knowsPeers, p.knowsFleet, p.leaving.Load) })
	<-ctx.Done()
	p.stop()
	cancel()
	running.Wait()
	return nil
}

// build creates the components and connects them.
func (p *Proxier) build() {
	s := &p.Settings
	p.incarnation = time.Now().UnixNano()
	p.startedAt = bootClock()
	p.divisionDue = make(chan struct{}, 1)
	p.droppedLogLimit = rate.Sometimes{First: 1, Interval: time.Second}
	p.transferSlots = semaphore.NewWeighted(maxTransfers)
	p.stopTimeout.Store(int64(s.Stop))
	p.setLoad(s)
	p.registry = metrics.NewRegistry()
	p.meter = &meter.Meter{Registry: p.registry}
	p.workspaces, p.forwards = &meter.Workspaces{Registry: p.registry}, &meter.Forwards{Registry: p.registry}
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout, DisableCompression: true}}
	p.store = &keeper.Client{Addrs: s.Platform, Transport: &translator.Transport{Base: translator.Base()}, Renewed: p.onStoreRestored, Dropped: p.onAnswerDropped}
	dialer := &connector.Connector{Name: s.Name, Log: p.Log}
	p.carrier = &carrier.Registry{Zone: s.Zone, LeaveTimeout: s.Leave, Dial: dialer.Dial, Features: p.features, Now: bootClock, Log: p.Log}
	p.gossip = &gossiper.Gossiper{Address: s.Peers, Self: p.ownState, OnState: p.onPeerState, OnForgotten: p.deleteEntry, Now: bootClock, Log: p.Log}
	p.quotas = &quotaLimiter{
		gossip: p.gossip, transmit: p.gossip.Send, view: p.View, increment: p.incrementCounter, now: bootClock, log: p.Log, millicores: int(p.millicores()),
		node:          throttler.Node{Self: s.Name, StartedAt: p.startedAt, Tolerance: throttler.Tolerance{Window: s.Quota.Window, Excess: s.Quota.Excess, Slack: s.Quota.Slack}},
		lastRequestID: uint64(p.incarnation), pending: map[uint64]chan throttler.Verdict{}, inquiries: map[uint64]*inquiry{},
		ranked: func() bool { return p.loadChoices().Quota == loader.Ranked },
	}
	p.gossip.OnDatagram = p.quotas.receive
	p.cache = &stateCache{carrier: p.carrier, fleetSize: p.fleetSize, invalidLimit: rate.Sometimes{First: 1, Interval: time.Second}, log: p.Log}
	p.buildStoreSync()
	orders := &orderer.Orderer{Address: s.Orders, Holder: s.Name}
	p.overseer = &overseer.Overseer{
		Name: s.Name, Start: p.incarnation, Gateways: p.carrier.Gateways, Store: p.store, Era: p.storeEra, LivePeers: p.gossip.LivePeers, IsPartitioned: p.gossip.IsPartitioned,
		Promote: orders.Promote, NotifyPeers: p.gossip.NotifyPeers, Leaving: p.leaving.Load, Now: bootClock, Log: p.Log,
	}
	p.forward = &forwarder.Forwarder{Local: p.carrier.Group, Gateways: p.gateways, LeaderFault: p.overseer.LeaderFault, Send: p.forwardToPeer, Name: s.Name, Zone: s.Zone, Now: bootClock, Log: p.Log}
	p.forward.IsStopping = p.rejectsNew.Load
	p.forward.CancelsWaiting = func() bool { return p.features().FairAdmission }
	p.forward.BoundsLoad = func() bool { return p.features().FairConnections }
	p.forward.CountSpread = func() { p.incrementCounter(spreadStatements, 1) }
	p.meter.Gauge(p.forward.SpreadWorkspaces, spreadWorkspaces)
	p.buildLoans()
	p.carrier.RequestSample = p.forward.Sample
	p.carrier.CountPlacement = p.meter.Route
	p.carrier.CountOpening = p.countOpening
	p.carrier.ConnectionShares = p.shares
	p.cache.onChange = p.gossip.NotifySuccessors
	p.meter.Gauge(func() int64 { return int64(p.receiver.Count()) }, "basildale_callers")
	p.meter.Gauge(p.gossip.DecodeErrors, "basildale_datagrams_unread")
	p.meter.Gauge(func() int64 { return int64(p.cache.current().Config.Version) }, "basildale_configuration_version")
	p.meter.Gauge(func() int64 { return int64(p.newestConfig.Load()) }, "basildale_configuration_heard")
	p.meter.Gauge(func() int64 { return p.receiver.Interrupted() }, "basildale_requests_cut")
	p.receiver = &receiver.Receiver{Address: s.Listen, Open: p.openSession, Now: bootClock, Log: p.Log}
}

func (p *Proxier) listen() error {
	var err error
	probes := &prober.Prober{Ready: p.isReady}
	if p.readyAddr, err = p.serve(p.Settings.Ready, probes.Handler()); err != nil {
		return err
	}
	if p.operatorsAddr, err = p.serve(p.Settings.Operators, p.operatorsHandler()); err != nil {
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

// serve serves HTTP on an address, and returns the bound one.
func (p *Proxier) serve(addr netip.AddrPort, h http.Handler) (netip.AddrPort, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return addr, errors.Wrapf(err, "proxier: listen on %s", addr)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("proxier: HTTP server ended", zap.Stringer("address", addr), zap.Error(err))
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort(), nil
}

// operatorsHandler serves metrics and health checks, and the requests of peers for this
// process's state.
func (p *Proxier) operatorsHandler() http.Handler {
	r := &reporter.Reporter{
		Registry: p.registry,
		Health:   func(context.Context) error { return nil },
		Ready:    p.readinessError,
		Log:      p.Log,
	}
	mux := http.NewServeMux()
	mux.Handle("/", r.Handler())
	mux.HandleFunc("GET /known", p.serveKnown)
	mux.HandleFunc("GET /configuration", p.serveConfiguration)
	mux.Handle("GET /usage", p.newUsageQuery())
	return mux
}

// isReady reports whether the load balancer may send callers.
func (p *Proxier) isReady() bool { return !p.leaving.Load() && p.cache.isServable() }

func (p *Proxier) readinessError(context.Context) error {
	if p.isReady() {
		return nil
	}
	return errors.New("proxier: leaving, or no configuration or upstreams yet")
}

// openSession creates a caller's session.
func (p *Proxier) openSession(database string, key cataloger.Fingerprint) (*conductor.Session, carrier.Code, string) {
	if p.rejectsNew.Load() {
		return nil, carrier.Busy, "the process is stopping; come back in 0s"
	}
	view := p.cache.awaitConfig(firstConfigTimeout)
	if view.Config.Version == 0 {
		p.Log.Info("proxier: caller refused before the first configuration", zap.String("database", database))
		return nil, carrier.Busy, "no configuration yet; come back in 1s"
	}
	route, ok := view.Route(database)
	if !ok {
		p.Log.Info("proxier: caller refused", zap.String("database", database), zap.Uint64("configuration", view.Config.Version))
		return nil, carrier.NoDatabase, "no route to the database " + database
	}
	if _, ok := view.Authorize(&route, key); !ok {
		p.Log.Info("proxier: caller refused, key unknown", zap.String("database", database), zap.Stringer("key", key), zap.Uint64("configuration", view.Config.Version))
		return nil, carrier.Forbidden, "the key is unknown"
	}
	s := &conductor.Session{Process: p.Settings.Name, Database: database, Key: key, View: p.cache.current, Group: p.group, Now: bootClock, Admit: p.quotas.admit, Observe: p.recordRequest, IsStopping: p.rejectsNew.Load, Fields: &p.lineFields, Log: p.Log}
	return s, carrier.OK, ""
}

// buildStoreSync creates the watchers of the store, and the syncers that fetch newer versions
// from peers.
func (p *Proxier) buildStoreSync() {
	p.configWatcher = p.newStoreWatcher(translator.Configuration, p.cache.applyConfigObjects, p.cache.applyConfigObjects)
	p.upstreamWatcher = p.newStoreWatcher(translator.Upstreams, p.cache.replaceUpstreams, p.cache.applyUpstreamChanges)
	p.upstreamWatcher.awaitPeers = p.awaitUpstreams
	p.configWatcher.isDelivered = func() bool { return p.cache.current().Config.Version > 0 }
	p.upstreamWatcher.isDelivered = func() bool {
		complete, _ := p.cache.completeVersion()
		return complete != versioner.Version{}
	}
	for _, w := range []*storeWatcher{p.configWatcher, p.upstreamWatcher} {
		w.awaitTurn = func(ctx context.Context) bool { return p.awaitTurn(ctx, w.kind, w.isDelivered) }
	}
	p.configWatcher.shouldWatch = func() bool { return p.shouldWatch(translator.Configuration, configCheckInterval) }
	p.upstreamWatcher.shouldWatch = func() bool { return p.shouldWatch(translator.Upstreams, upstreamsCheckInterval) }
	p.configSyncer = &syncer{
		currentVersion: func() versioner.Version {
			return versioner.Version{Revision: p.cache.current().Config.Version}
		},
		fetchFromPeer: p.fetchConfiguration,
		readStore:     func(ctx context.Context) error { return p.readFromStore(ctx, p.configWatcher) },
		wake:          make(chan struct{}, 1),
	}
	p.entrySyncer = &syncer{
		currentVersion: func() versioner.Version {
			complete, _ := p.cache.completeVersion()
			return complete
		},
		fetchFromPeer: p.fetchKnown,
		readStore:     func(ctx context.Context) error { return p.readFromStore(ctx, p.upstreamWatcher) },
		wake:          make(chan struct{}, 1),
	}
}

// newStoreWatcher returns a watcher of one kind of the store's objects.
func (p *Proxier) newStoreWatcher(kind string, onList, onChange func([]keeper.Object, versioner.Version)) *storeWatcher {
	// The first list counts as a check too. Without that, all processes that start together
	// watch until the first check and list again after it, which made up most of a calm
	// fleet's calls to the store.
	onFullRead := func(at time.Time) { p.fullReads.record(kind, at) }
	return &storeWatcher{store: p.store, kind: kind, onList: onList, onChange: onChange, onFullRead: onFullRead, storeBack: &p.storeBack, storeRestored: &p.storeRestored, log: p.Log}
}

// runMaintenance maintains the upstreams and the shares of their connections.
func (p *Proxier) runMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-p.divisionDue:
			p.divideConnections()
			continue
		case <-ticker.C:
		}
		p.cache.expireUnlisted(bootClock())
		p.carrier.CheckUpstreams()
		if n%ticksPerDivision == 0 {
			p.divideConnections()
		}
	}
}

// divideConnections divides the upstreams' connections again if the inputs of the shares in
// force have changed.
func (p *Proxier) divideConnections() {
	inputs := p.divisionInputs()
	if last := p.dividedBy.Load(); last == nil || !last.equal(inputs) {
		p.carrier.DivideConnections(inputs.proxies, p.cache.current().Config.Groups)
	}
	if p.loggedDivision != nil && p.loggedDivision.equal(inputs) {
		return
	}
	p.loggedDivision = inputs
	p.Log.Info("proxier: connections divided", zap.Int("proxies", inputs.proxies), zap.Bool("known", inputs.knowsFleet), zap.Strings("alone", inputs.isolated))
}

// divisionInputs is what shares of connections depend on besides the configuration.
type divisionInputs struct {
	names       []string
	proxies     int // for which the shares were computed
	isolated    []string
	knowsFleet  bool
	mayHaveLent bool
}

func (d *divisionInputs) equal(o *divisionInputs) bool {
	return d.proxies == o.proxies && d.knowsFleet == o.knowsFleet && d.mayHaveLent == o.mayHaveLent &&
		slices.Equal(d.names, o.names) && slices.Equal(d.isolated, o.isolated)
}

func (p *Proxier) divisionInputs() *divisionInputs {
	names := p.sharingProxies()
	return &divisionInputs{names: names, proxies: len(names), isolated: p.isolatedGroups(), knowsFleet: p.knowsFleet(), mayHaveLent: p.mayHaveLent()}
}

// sharingProxies returns the processes that share the upstreams' connections, this one first:
// all those on the list of the fleet, whether they answer or not. If only those that answer
// counted, a process that has just started, and has received nothing from any peer yet, would
// take all connections: after a power loss everywhere, upstreams would then refuse most
// connections for seconds.
func (p *Proxier) sharingProxies() []string {
	names := []string{p.Settings.Name}
	for _, s := range p.gossip.Fleet() {
		names = append(names, s.Name)
	}
	return names
}

func (p *Proxier) fleetSize() int { return len(p.gossip.Fleet()) + 1 }

// View returns the configuration in force.
func (p *Proxier) View() *cataloger.View { return p.cache.current() }
