package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/adapter/messenger"
	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/coordinator"
	"basildale.example/basildale/dispatcher"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/leaver"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/membership"
	"basildale.example/basildale/meter"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/router"
	"basildale.example/basildale/server"
	"basildale.example/basildale/sharer"
)

// Daemon is one proxy process. Set the exported fields before Run.
type Daemon struct {
	Settings loader.Settings
	// Sampling, Membership, Lease and Seed are for tests and demonstrations; their
	// zero values take the defaults and a seed from the clock. Lease is that of
	// the promises about sessions' marks.
	Sampling   coordinator.Sampling
	Membership membership.Settings
	Lease      time.Duration
	Seed       uint64
	// Leave has the times of a graceful stop; its zero value takes the defaults,
	// and Settings.Stop as the limit.
	Leave leaver.Process
	// Return gives the connection shares back at the end of a stop; nil: there is
	// nothing to give back.
	Return func() error
	// Log gets the lines of the process; nil means none.
	Log *zap.Logger

	once        sync.Once
	started     chan struct{}
	drained     chan struct{}
	hastened    chan struct{}
	listings    chan leaver.Listed
	left        atomic.Bool
	drain       sync.Once
	registry    metrics.Registry
	meter       *meter.Meter
	upstreams   *commander.Commander
	platform    *keeper.Client
	peers       *messenger.Messenger
	peersAt     net.Listener
	operators   net.Listener
	coordinator *coordinator.Coordinator
	dispatcher  *dispatcher.Dispatcher
	finder      *finder.Finder
	sharer      *sharer.Sharer
	recorder    *router.Recorder
	server      *server.Server
	http        *http.Server
}

func (d *Daemon) prepare() {
	d.started = make(chan struct{})
	d.drained = make(chan struct{})
	d.hastened = make(chan struct{}, 1)
	d.listings = make(chan leaver.Listed, 1)
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Seed == 0 {
		d.Seed = uint64(time.Now().UnixNano())
	}
}

// Started is closed when callers can connect.
func (d *Daemon) Started() <-chan struct{} {
	d.once.Do(d.prepare)
	return d.started
}

// Callers returns the address that callers connect to, after Started.
func (d *Daemon) Callers() netip.AddrPort { return d.server.Bound() }

// Operators returns the address of the operators' HTTP, after Started.
func (d *Daemon) Operators() netip.AddrPort { return bound(d.operators) }

// Peers returns the address of the process among the fleet, after Listen.
func (d *Daemon) Peers() netip.AddrPort { return bound(d.peersAt) }

func bound(ln net.Listener) netip.AddrPort {
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// Drain begins a graceful stop, as the end of Run's context does. It reports
// false when one runs already.
func (d *Daemon) Drain() bool {
	d.once.Do(d.prepare)
	first := false
	d.drain.Do(func() {
		first = true
		close(d.drained)
	})
	return first
}

// Listen opens the listeners of peers and operators, so that their addresses are
// known before Run. Run does it unless it has been done.
func (d *Daemon) Listen() error {
	d.once.Do(d.prepare)
	if d.peersAt != nil {
		return nil
	}
	peers, err := net.Listen("tcp", d.Settings.Peers.String())
	if err != nil {
		return errors.Wrap(err, "daemon: peers")
	}
	operators, err := net.Listen("tcp", d.Settings.Operators.String())
	if err != nil {
		peers.Close()
		return errors.Wrap(err, "daemon: operators")
	}
	d.peersAt, d.operators = peers, operators
	return nil
}

// Run serves until ctx ends or Drain is called, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Listen(); err != nil {
		return err
	}
	if err := d.assemble(); err != nil {
		return err
	}
	control, stop := context.WithCancel(context.Background())
	defer stop()
	roster, enrolled := d.roster()
	defer enrolled()
	var parts sync.WaitGroup
	parts.Go(func() { d.coordinator.Run(control) })
	parts.Go(func() { d.finder.Run(control) })
	parts.Go(func() { d.runShares(control) })
	if d.platform != nil || len(d.peers.Keys) > 0 || d.peers.TLS != nil {
		parts.Go(d.serve("peers", func() error { return d.peers.Serve(d.peersAt) }))
	} else {
		d.peersAt.Close() // it is alone: no peer could prove that it is one
	}
	parts.Go(d.serve("operators", func() error { return d.http.Serve(d.operators) }))
	err := d.traffic(ctx)
	d.leaveShares()
	enrolled()
	roster.Wait()
	stop()
	d.peers.Close()
	err = errors.CombineErrors(err, d.http.Close())
	parts.Wait()
	d.upstreams.Close()
	return err
}

// roster keeps this run on the roster until the function returned is called. It
// has to outlast the traffic: a run that has left the roster can't acknowledge.
func (d *Daemon) roster() (*sync.WaitGroup, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	ended.Go(func() { d.enrol(ctx) })
	return &ended, cancel
}

// serve runs one listener's loop and logs how it ended.
func (d *Daemon) serve(what string, run func() error) func() {
	return func() {
		if err := run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			d.Log.Error("daemon: listener ended", zap.String("listener", what), zap.Error(err))
		}
	}
}

// traffic serves callers from the moment that groups are known.
func (d *Daemon) traffic(signal context.Context) error {
	ctx, cancel := context.WithCancel(signal)
	defer cancel()
	go func() {
		select {
		case <-d.drained:
			cancel()
		case <-ctx.Done():
		}
	}()
	select {
	case <-d.coordinator.Ready():
	case <-ctx.Done():
		return nil
	}
	d.awaitRoster(ctx)
	d.awaitShares(ctx)
	return d.callers(signal)
}

const (
	// rosterWithin bounds the wait for a place on the roster. While the platform
	// is down there is none to be had, and unnamed sessions can be served
	// without.
	rosterWithin = 5 * time.Second
	rosterLook   = 20 * time.Millisecond
)

// awaitRoster waits until writes of named sessions can be acknowledged. Callers
// that came earlier would be refused for a second, in each start of a proxy.
func (d *Daemon) awaitRoster(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rosterWithin)
	defer cancel()
	ticker := time.NewTicker(rosterLook)
	defer ticker.Stop()
	for !d.finder.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.Log.Warn("daemon: not on the roster of the fleet; writes of named sessions are refused until it is")
			return
		}
	}
}

// controlDatabase is the database that control connections name.
const controlDatabase = "basildale"

func (d *Daemon) assemble() error {
	d.registry = metrics.NewRegistry()
	d.meter = &meter.Meter{Registry: d.registry}
	credentials, err := d.credentials()
	if err != nil {
		return err
	}
	secure, err := d.secure()
	if err != nil {
		return err
	}
	d.upstreams = &commander.Commander{
		User: d.Settings.Login.User, Password: credentials.password, Database: controlDatabase, TLS: secure.upstreams,
	}
	if len(d.Settings.Platform) > 0 {
		d.platform = &keeper.Client{Addrs: d.Settings.Platform}
	}
	d.peers = &messenger.Messenger{
		Self:    messenger.Peer{Addr: d.Peers(), Start: d.Seed},
		Keys:    credentials.keys,
		TLS:     secure.peers,
		Metrics: d.registry,
		Log:     d.Log,
	}
	d.coordinator = d.control()
	d.finder = d.marks()
	d.recorder = &router.Recorder{}
	d.dispatcher = &dispatcher.Dispatcher{
		Control:   dispatcher.Control{Config: d.coordinator.Config, Offer: d.coordinator.Offer, Used: d.coordinator.Used},
		Upstreams: d.upstreams,
		Marks:     d.finder,
		Recorder:  d.recorder,
		Meter:     d.meter,
		Seed:      d.Seed,
		Log:       d.Log,
	}
	if d.platform == nil {
		d.dispatcher.Accounts.Find = d.declared
	}
	seams := d.dispatcher.Seams()
	seams.ForwardCancel = d.forwardCancel
	d.server = &server.Server{
		Listen: d.Settings.Listen,
		Zone:   d.Settings.Zone,
		Index:  indexOf(d.Peers()),
		TLS:    secure.callers,
		Limits: relayer.Limits{
			Message:   d.Settings.Limits.Message,
			Strangers: d.Settings.Limits.Pending,
			Callers:   d.Settings.Limits.Callers,
		},
		Buffer:  d.Settings.Limits.Buffer,
		Control: seams,
		Grace:   d.Settings.Stop,
		Log:     d.Log,
	}
	d.coordinator.OnListed = d.onListed
	d.coordinator.OnView = d.onView()
	d.coordinator.OnConfig = func(r *controller.Reconfigured) {
		d.server.Configure(d.groups(r))
		d.dispatcher.OnConfig(r)
	}
	d.peers.Handler = d.coordinator.Handler()
	d.peers.Handler.Marks = d.marked
	d.peers.Handler.Cancel = d.cancelled
	if d.sharer = d.sharing(); d.sharer != nil {
		d.peers.Handler.Share = d.heardShare
	}
	d.http = &http.Server{Handler: d.reporter().Handler(), ReadHeaderTimeout: reporter.HeaderTimeout}
	return nil
}

func (d *Daemon) control() *coordinator.Coordinator {
	return &coordinator.Coordinator{
		Control: controller.Controller{
			Self:       membership.Member{Addr: d.Peers(), Start: d.Seed, Zone: d.Settings.Zone},
			Workspace:  d.Settings.Workspace,
			Seed:       d.Seed,
			Membership: d.Membership,
		},
		Platform:  d.platform,
		Static:    d.static(),
		Peers:     d.peers,
		Upstreams: d.upstreams,
		Sampling:  d.Sampling,
		Log:       d.Log,
	}
}
