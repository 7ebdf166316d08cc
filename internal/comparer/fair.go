package comparer

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/limiter"
)

// The world of the fair policy: one upstream with four slots that 86 workspaces share, three
// of them large, and gateways that report their use to each other.
const (
	fairSlots = 4
	fairFill  = 1.5 // statements that all gateways always have there, for each slot
	// fairConnections are shared by the gateways.
	fairConnections = 52
	workspaces      = 86
	largeCount      = 3
	largePart       = 0.08 // of the requests, for each large workspace
	hotWorkspace    = 0
	hotFactor       = 7.5
	fairLoad        = 0.73 // usual part of the slots in use
	reportInterval  = 500 * time.Millisecond
	reportTTL       = 2 * time.Second
	fairRetries     = 2
	fairFor         = 16 * time.Second
)

// kind is one row of the table of requests.
type kind struct {
	name                string
	class               limiter.Class
	priority            uint8
	rate                float64 // a second, of the whole deployment
	service             time.Duration
	objective, deadline time.Duration
	value, late         float64
}

func kinds() []kind {
	return []kind{
		{"submissions", limiter.Booking, 0, 145, 4500 * time.Microsecond, 150 * time.Millisecond, 800 * time.Millisecond, 3.5, 0.43},
		{"waves", limiter.Session, 1, 679, 14 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond, 1.9, 0.28},
		{"dashboards", limiter.Lookup, 2, 252, 22 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 0.47, 0.21},
	}
}

// FairCase is one load with one state of the policy and of the reports.
type FairCase struct {
	Name     string
	Fair     bool
	Gateways int
	// HotAtOne sends all requests of the hot workspace to the first gateway.
	HotAtOne bool
	// Surges plays the least urgent kind at 2.4 times its rate for 7 s, then the most urgent
	// at 1.7 times.
	Surges bool
	// Calm leaves the hot workspace at its usual rate.
	Calm bool
	// Report, when set, returns how often a report arrives: 0 when it is lost.
	Report func(from, to int, at time.Duration) int
	// Wrong makes the last gateway report nonsense.
	Wrong bool
	// Dies is when the last gateway ends; its callers go to the others.
	Dies time.Duration
	// Switched turns the policy over every so often.
	Switched time.Duration
}

// FairCount counts what callers of one kind and one group of workspaces get.
type FairCount struct {
	Asked, InTime, Late, Refused int
	Attempts                     int
	Value                        float64
	Waits                        []time.Duration // in the queue, of the statements that ran
}

// fairWorld plays one case.
type fairWorld struct {
	FairCase
	clock    *modeler.Clock
	server   *modeler.Server
	gateways []*fairGateway
	counts   map[string]*FairCount
	kinds    []kind
}

// fairGateway is one gateway of the upstream.
type fairGateway struct {
	world   *fairWorld
	number  int
	dead    bool
	queue   limiter.Queue
	waiting map[limiter.Ticket]*fairCall
	reports map[int]fairReport
	cut     uint8 // the highest of all gateways
}

type fairReport struct {
	load limiter.Load
	at   time.Time
}

// fairCall is one request of a caller with its attempts.
type fairCall struct {
	kind      *kind
	workspace int
	gateway   int
	arrived   time.Time
	offered   time.Time
	service   time.Duration
	attempts  int
	spread    uint32
}

// PlayFair plays a case and returns counts by kind and group of workspaces, and how many items
// wait or hold a slot after all callers are done.
func PlayFair(c FairCase, seed uint64) (counts map[string]*FairCount, left int) {
	w := &fairWorld{FairCase: c, clock: &modeler.Clock{Now: start()}, counts: map[string]*FairCount{}, kinds: kinds()}
	w.server = &modeler.Server{Clock: w.clock, Slots: fairSlots, Network: network}
	for i := range c.Gateways {
		g := &fairGateway{world: w, number: i, waiting: map[limiter.Ticket]*fairCall{}, reports: map[int]fairReport{}}
		g.queue = limiter.Queue{MaxLength: 256, InitialServiceTime: 33 * time.Millisecond, Window: limiter.Window{Min: g.equalWindow(), Max: 16}, LostThreshold: 8}
		g.queue.SetFair(w.clock.Now, c.Fair)
		w.gateways = append(w.gateways, g)
		w.clock.After(time.Duration(i)*reportInterval/time.Duration(c.Gateways), g.report)
		w.clock.After(0, g.update)
	}
	if c.Dies > 0 {
		w.clock.After(c.Dies, func() { w.gateways[c.Gateways-1].dead = true })
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	for i := range w.kinds {
		w.draw(&w.kinds[i], rng)
	}
	w.clock.RunFor(fairFor + 3*time.Second)
	for _, g := range w.gateways {
		left += g.queue.Waiting() + g.queue.Running() + len(g.waiting)
	}
	return w.counts, left
}

// equalWindow is the window of a gateway by its share of the connections, which don't divide
// evenly by six.
func (g *fairGateway) equalWindow() int {
	share := fairConnections / g.world.Gateways
	if g.number < fairConnections%g.world.Gateways {
		share++
	}
	return int(math.Ceil(fairFill * fairSlots * float64(share) / fairConnections))
}

// draw puts the requests of one kind on the clock.
func (w *fairWorld) draw(k *kind, rng *rand.Rand) {
	work := 0.0
	for _, o := range w.kinds {
		work += o.rate * o.service.Seconds()
	}
	usual := k.rate * fairLoad * fairSlots / work
	hot := hotFactor
	if w.Calm {
		hot = 1
	}
	for i := range workspaces {
		rate := usual * (1 - largeCount*largePart) / (workspaces - largeCount)
		if i < largeCount {
			rate = usual * largePart
		}
		for at := time.Duration(0); at < fairFor; {
			factor := w.surge(k, at)
			if i == hotWorkspace && at > 2*time.Second {
				factor *= hot
			}
			at += time.Duration(rng.ExpFloat64() / (rate * factor) * float64(time.Second))
			if at >= fairFor {
				break
			}
			c := &fairCall{kind: k, workspace: i, gateway: rng.IntN(w.Gateways), service: time.Duration((0.5 + rng.Float64()) * float64(k.service)), spread: rng.Uint32()}
			if i == hotWorkspace && w.HotAtOne {
				c.gateway = 0
			}
			w.clock.After(at, func() {
				c.arrived = w.clock.Now
				w.count(c).Asked++
				w.offer(c)
			})
		}
	}
}

func (w *fairWorld) surge(k *kind, at time.Duration) float64 {
	switch {
	case w.Surges && k.priority == 2 && at >= 2*time.Second && at < 9*time.Second:
		return 2.4
	case w.Surges && k.priority == 0 && at >= 9*time.Second:
		return 1.7
	default:
		return 1
	}
}

func (w *fairWorld) count(c *fairCall) *FairCount {
	group := "small"
	switch {
	case c.workspace == hotWorkspace && !w.Calm:
		group = "hot"
	case c.workspace < largeCount:
		group = "large"
	}
	key := fmt.Sprintf("%d %-11s %s", c.kind.priority, c.kind.name, group)
	if w.counts[key] == nil {
		w.counts[key] = &FairCount{}
	}
	return w.counts[key]
}

// offer offers a request to its gateway, or to another one if that is dead.
func (w *fairWorld) offer(c *fairCall) {
	g := w.gateways[c.gateway]
	if g.dead {
		c.gateway = (c.gateway + 1) % w.Gateways
		g = w.gateways[c.gateway]
	}
	now := w.clock.Now
	c.offered = now
	c.attempts++
	w.count(c).Attempts++
	item := limiter.Item{
		Class: c.kind.class, Deadline: c.arrived.Add(c.kind.objective), Priority: c.kind.priority,
		Account: uint32(c.workspace + 1), Spread: c.spread * uint32(c.attempts),
	}
	if item.Deadline.Sub(now) < g.queue.MeanServiceTime(c.kind.class) {
		item.Deadline = c.arrived.Add(c.kind.deadline)
	}
	t, refusal := g.queue.Offer(now, item)
	if t == 0 {
		w.refuse(c, refusal)
	} else {
		g.waiting[t] = c
	}
	g.pump()
}

// refuse lets a caller come back when it was told to, at most twice.
func (w *fairWorld) refuse(c *fairCall, e limiter.Event) {
	back := w.clock.Now.Add(max(e.RetryAt.Sub(w.clock.Now), 8*time.Millisecond))
	if c.attempts > fairRetries || back.After(c.arrived.Add(c.kind.deadline)) {
		w.count(c).Refused++
		return
	}
	w.clock.At(back, func() { w.offer(c) })
}

func (g *fairGateway) pump() {
	w := g.world
	for e, ok := g.queue.Next(w.clock.Now); ok; e, ok = g.queue.Next(w.clock.Now) {
		c := g.waiting[e.Ticket]
		delete(g.waiting, e.Ticket)
		if !e.Granted {
			w.refuse(c, e)
			continue
		}
		n := w.count(c)
		n.Waits = append(n.Waits, w.clock.Now.Sub(c.offered))
		w.server.Serve(c.service, func() {
			w.answered(c)
			g.queue.Done(w.clock.Now, e.Ticket, true)
			g.pump()
		})
	}
}

func (w *fairWorld) answered(c *fairCall) {
	n, took := w.count(c), w.clock.Now.Sub(c.arrived)
	switch {
	case took <= c.kind.objective:
		n.InTime++
		n.Value += c.kind.value
	case took <= c.kind.deadline:
		n.Late++
		n.Value += c.kind.late
	default:
		n.Refused++
	}
}

// load returns what the gateway reports: six workspaces by name and the sum of the others.
func (g *fairGateway) load() limiter.Load {
	uses := g.queue.AppendUsage(g.world.clock.Now, g.cut, nil)
	named := min(len(uses), 6)
	l := limiter.Load{Used: uses[:named], Others: len(uses) - named, Cut: g.queue.Cut()}
	for _, u := range uses[named:] {
		l.Rest += u.Busy
		l.RestUrgent += u.Urgent
	}
	return l
}

// report sends the gateway's load to the others.
func (g *fairGateway) report() {
	w := g.world
	if g.dead {
		return
	}
	defer w.clock.After(reportInterval, g.report)
	l := g.load()
	if w.Wrong && g.number == w.Gateways-1 {
		l = limiter.Load{Used: []limiter.Usage{{Account: 7, Busy: 16 * time.Second, Waiting: 256}, {Account: 7, Busy: 16 * time.Second}}, Rest: 16 * time.Second, Others: 1 << 30}
	}
	for _, to := range w.gateways {
		times := 1
		if w.Report != nil {
			times = w.Report(g.number, to.number, w.clock.Now.Sub(start()))
		}
		for range times {
			if to != g {
				w.clock.After(network, func() { to.reports[g.number] = fairReport{l, w.clock.Now} })
			}
		}
	}
}

// update applies the reports, as package carrier does ten times a second.
func (g *fairGateway) update() {
	w := g.world
	w.clock.After(100*time.Millisecond, g.update)
	now := w.clock.Now
	if w.Switched > 0 {
		g.queue.SetFair(now, now.Sub(start())/w.Switched%2 == 0)
	}
	if !g.queue.Fair() {
		g.queue.Window.Min = g.equalWindow()
		return
	}
	g.cut = g.queue.Cut()
	for _, r := range g.reports {
		if now.Sub(r.at) < reportTTL {
			g.cut = max(g.cut, r.load.Cut)
		}
	}
	loads := []limiter.Load{g.load()}
	peers := map[uint32]time.Duration{}
	mean := g.queue.MeanServiceTime(limiter.Lookup)
	for i := range w.Gateways {
		if r, ok := g.reports[i]; ok && now.Sub(r.at) < reportTTL {
			loads = append(loads, r.load)
			for _, u := range r.load.Used {
				peers[u.Account] += u.Demand(mean)
			}
		}
	}
	g.queue.SetPeers(peers)
	d := limiter.Division{
		Slots: fairSlots, Stretch: g.queue.Stretch(), Total: fairFill * fairSlots, Equal: g.equalWindow(), Mean: mean,
		Weight: func(uint32) float64 { return 1 },
	}
	window, less, share := d.Window(loads)
	g.queue.Window.Min = min(window, 16)
	g.queue.SetLessUrgent(less)
	g.queue.SetShare(share)
	g.pump()
}

// FairReport returns the counts as a table.
func FairReport(c FairCase, counts map[string]*FairCount) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%-22s %6s %8s %6s %8s %9s %9s\n", c.Name, "", "asked", "in time", "late", "refused", "tries", "wait 99%")
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		n := counts[k]
		part := func(x int) float64 { return 100 * float64(x) / float64(max(n.Asked, 1)) }
		fmt.Fprintf(&b, "%-22s %6d %7.1f%% %5.1f%% %7.1f%% %9.2f %9s\n", k, n.Asked, part(n.InTime), part(n.Late), part(n.Refused),
			float64(n.Attempts)/float64(max(n.Asked, 1)), n.Wait(0.99).Round(time.Millisecond))
	}
	fmt.Fprintf(&b, "value %.1f%%\n\n", 100*Value(counts))
	return b.String()
}

// Value returns the value of all answers as a part of that of all requests answered in time.
func Value(counts map[string]*FairCount) float64 {
	value, possible := 0.0, 0.0
	for _, k := range slices.Sorted(maps.Keys(counts)) { // the sum depends on the order
		n := counts[k]
		value += n.Value
		for _, o := range kinds() {
			if strings.Contains(k, o.name) {
				possible += float64(n.Asked) * o.value
			}
		}
	}
	return value / possible
}

// Wait returns a quantile of the time in the queue of the statements that ran.
func (n *FairCount) Wait(quantile float64) time.Duration {
	if len(n.Waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(n.Waits))
	return sorted[int(quantile*float64(len(sorted)-1))]
}
