package dispatcher

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/confirmer"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/finder"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/meter"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

// Control is what the dispatcher needs of the control side. The functions never
// wait.
type Control struct {
	// Config returns the configuration in force; nil before the first.
	Config func() *controller.Reconfigured
	// Offer hands the controller an event unless it is too busy.
	Offer func(controller.Event) bool
	// Used returns a function that tells that a group has traffic.
	Used func(group string) func(now time.Time)
}

// Dispatcher joins sessions with decisions. Set the exported fields before the
// first call.
type Dispatcher struct {
	Control Control
	// Upstreams carries out polls, samples and settling.
	Upstreams *commander.Commander
	// Marks finds the marks of sessions.
	Marks *finder.Finder
	// Recorder keeps the router's decisions for explanations; nil: nobody does.
	Recorder *router.Recorder
	// Accounts finds a caller; see [Login].
	Accounts Accounts
	// Policy bounds retries, Budget their share of all requests.
	Policy retrier.Policy
	Budget retrier.BudgetRate
	// Meter counts and times; nil: nobody does.
	Meter *meter.Meter
	// Patience is how long a read may wait for a replica to pass its mark while
	// the primary could answer it at once. Zero means DefaultPatience.
	Patience time.Duration
	// Seed makes choices between equals repeatable.
	Seed uint64
	// Log gets the lines of the process; nil means none.
	Log *zap.Logger

	once    sync.Once
	groups  sync.Map // name to *group
	random  atomic.Uint64
	start   time.Time
	series  sync.Map // seriesKey to *meter.Series
	tenants tenants
}

// DefaultPatience lets a read wait for a replica as long as the replicas usually
// lag: it gives up some latency of a session's first read after a write for a
// primary that has room for writes.
const DefaultPatience = 100 * time.Millisecond

// slotsUnknown is how many statements an upstream is taken to run at a time
// where no configuration says it.
const slotsUnknown = 5

// group is what the traffic of one database group shares.
type group struct {
	name     string
	view     atomic.Pointer[view]
	confirm  confirmer.Shared
	budget   *retrier.Budget
	used     func(now time.Time)
	breakers breakers
	heard    sync.Map // netip.AddrPort to *atomic.Int64: when the promoter was last told
	gates    gates
}

// view is a published view with what belongs to its list of upstreams.
type view struct {
	*controller.Published
	load    *router.Load
	gates   []*limiter.Gate // of the upstreams
	changed chan struct{}   // closed when the next view is there
}

func (d *Dispatcher) prepare() {
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	if d.Patience == 0 {
		d.Patience = DefaultPatience
	}
	d.start = time.Now()
	d.random.Store(d.Seed)
}

// OnView takes a view that the controller has published. The control goroutine
// calls it.
func (d *Dispatcher) OnView(p *controller.Published) {
	d.once.Do(d.prepare)
	g := d.group(p.Name)
	next := &view{Published: p, changed: make(chan struct{})}
	old := g.view.Load()
	next.load = d.load(old, p)
	limits := d.limitsOf(p.Name)
	for _, u := range p.Upstreams {
		next.gates = append(next.gates, g.gates.get(u.Address, limits))
	}
	g.show(next)
	if old != nil {
		close(old.changed)
	}
	d.inform(g, old, next)
}

// OnConfig takes a configuration that is in force from now on. The control
// goroutine calls it.
func (d *Dispatcher) OnConfig(*controller.Reconfigured) {
	d.once.Do(d.prepare)
	d.groups.Range(func(name, g any) bool {
		g.(*group).gates.apply(d.limitsOf(name.(string)))
		return true
	})
}

// load returns the load of a view's upstreams; it goes on counting while the
// list of upstreams is the same.
func (d *Dispatcher) load(old *view, p *controller.Published) *router.Load {
	if old != nil && sameUpstreams(old.Upstreams, p.Upstreams) {
		return old.load
	}
	slots := slotsUnknown
	if r := d.Control.Config(); r != nil && r.Config != nil {
		if conf := r.Config.Groups[p.Name]; conf != nil {
			slots = conf.Slots
		}
	}
	return router.NewLoad(len(p.Upstreams), slots, time.Now())
}

func sameUpstreams(a, b []controller.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// inform tells the confirmer of the term and the replicas' states.
func (d *Dispatcher) inform(g *group, old, next *view) {
	snap := next.Snapshot
	replicas := make([]netip.AddrPort, 0, len(next.Upstreams))
	for i, u := range next.Upstreams {
		if i != snap.Primary {
			replicas = append(replicas, u.Address)
		}
	}
	if old == nil || old.Snapshot.Term != snap.Term || old.Snapshot.Primary != snap.Primary || !sameUpstreams(old.Upstreams, next.Upstreams) {
		g.confirm.Change(confirmer.Change{Term: snap.Term, Replicas: replicas})
	}
	for i, u := range snap.Upstreams {
		if i != snap.Primary && u.Role == tracker.Replica {
			g.confirm.Polled(confirmer.Polled{Upstream: next.Upstreams[i].Address, State: u.State})
		}
	}
}

// group returns what a group's traffic shares, made at the first call.
func (d *Dispatcher) group(name string) *group {
	if g, ok := d.groups.Load(name); ok {
		return g.(*group)
	}
	g := &group{name: name, budget: retrier.NewBudget(d.Budget), used: d.Control.Used(name)}
	g.confirm = confirmer.Shared{
		Now:   time.Now,
		Order: func(cmd confirmer.Command) { d.order(g, cmd) },
		Wake:  newAlarm(func() { g.confirm.Tick() }).set,
	}
	actual, _ := d.groups.LoadOrStore(name, g)
	return actual.(*group)
}

// draw returns a number for choices between equals.
func (d *Dispatcher) draw() uint64 {
	// A splitmix64 step: cheap, without a lock, and repeatable from the seed.
	z := d.random.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// alarm calls a function at the time it was last set to.
type alarm struct {
	mu    sync.Mutex
	timer *time.Timer
	call  func()
}

func newAlarm(call func()) *alarm { return &alarm{call: call} }

func (a *alarm) set(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	wait := max(0, time.Until(at))
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.call)
		return
	}
	a.timer.Reset(wait)
}
