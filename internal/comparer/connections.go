package comparer

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/pooler"
)

// ConnectionsCase is a load of workspaces at one upstream of four slots, through gateways
// that have few connections each. A workspace's requests go to one gateway.
type ConnectionsCase struct {
	Name string
	// Workspaces is the number of workspaces. With 86 the largest has 12 % of the requests and
	// the median one 0.66 %.
	Workspaces int
	// Gateways is the number of gateways, and Connections that of the connections of each.
	Gateways, Connections int
	// Rate is the number of requests per second.
	Rate float64
	// Hot multiplies the requests of the largest workspace; zero stands for 1.
	Hot float64
	// Fair is whether connections are divided by demand, and switches with each SwitchEvery
	// unless that is zero.
	Fair        bool
	SwitchEvery time.Duration
	// ResetEvery is the time between two resets of all connections; zero for none.
	ResetEvery time.Duration
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// Slots is the number of statements that the upstream runs at a time; zero stands for 4.
	Slots int
	// Forwarders is the number of processes that forward requests to the gateways; zero where
	// the loads of gateways play no part. Spread is whether large workspaces are divided over
	// gateways.
	Forwarders int
	Spread     bool
}

// ConnectionsResult is what became of a load.
type ConnectionsResult struct {
	Requests, Openings int
	// Least is the number of openings that a clairvoyant eviction needs when requests are
	// served in their order and take no time.
	Least int
	// MaxOpening is the most openings at a time.
	MaxOpening int
	// OthersOpenings is the number of openings for workspaces other than the largest.
	OthersOpenings int
	// Waits are the times that requests waited for a connection, by group.
	Waits map[string][]time.Duration
	// InTime and Asked count requests by kind and group.
	InTime, Asked map[string]int
}

// connectionKind is a kind of requests.
type connectionKind struct {
	name      string
	rate      float64
	service   time.Duration
	objective time.Duration
	deadline  time.Duration
}

// connectionKinds returns the kinds of requests of Trinacria.
func connectionKinds() []connectionKind {
	return []connectionKind{
		{"submissions", 145, 4500 * time.Microsecond, 150 * time.Millisecond, 800 * time.Millisecond},
		{"waves", 679, 14 * time.Millisecond, 250 * time.Millisecond, 800 * time.Millisecond},
		{"dashboards", 252, 22 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond},
	}
}

const (
	connectionOpening = 12 * time.Millisecond
	connectionSlots   = 4
	// skew gives 86 workspaces shares of 12 % for the largest and 0.66 % for the median one.
	skew = 0.771
)

// connectionRequest is one request of a load.
type connectionRequest struct {
	at        time.Duration
	workspace int
	kind      int
	service   time.Duration
}

func (c *ConnectionsCase) requests(seed uint64) []connectionRequest {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out []connectionRequest
	sum, all := 0.0, 0.0
	for w := range c.Workspaces {
		sum += math.Pow(float64(w+1), -skew)
	}
	for _, k := range connectionKinds() {
		all += k.rate
	}
	for w := range c.Workspaces {
		for kind, k := range connectionKinds() {
			rate := c.Rate * math.Pow(float64(w+1), -skew) / sum * k.rate / all
			if w == 0 && c.Hot > 0 {
				rate *= c.Hot
			}
			for at := rng.ExpFloat64() / rate; at < c.Duration.Seconds(); at += rng.ExpFloat64() / rate {
				service := time.Duration(float64(k.service) * (0.5 + rng.Float64()))
				out = append(out, connectionRequest{time.Duration(at * float64(time.Second)), w, kind, service})
			}
		}
	}
	slices.SortFunc(out, func(a, b connectionRequest) int { return cmp.Compare(a.at, b.at) })
	return out
}

// gateway returns the gateway with the highest affinity for a workspace.
func (c *ConnectionsCase) gateway(workspace int) int {
	best, most := 0, uint64(0)
	for g := range c.Gateways {
		if score := xxhash.Sum64String(fmt.Sprint(workspace, " ", g)); score >= most {
			best, most = g, score
		}
	}
	return best
}

// least returns the openings of a clairvoyant eviction: of the connections that are open,
// the one whose workspace comes back last is closed.
func (c *ConnectionsCase) least(requests []connectionRequest) int {
	next := make([]int, len(requests)) // the workspace's next request
	coming := map[int]int{}
	for i := len(requests) - 1; i >= 0; i-- {
		w := requests[i].workspace
		next[i] = len(requests)
		if n, ok := coming[w]; ok {
			next[i] = n
		}
		coming[w] = i
	}
	openings := 0
	open := make([]map[int]int, c.Gateways) // the next request of each workspace with a connection
	for i, r := range requests {
		g := c.gateway(r.workspace)
		if open[g] == nil {
			open[g] = map[int]int{}
		}
		if _, ok := open[g][r.workspace]; !ok {
			openings++
			if len(open[g]) >= c.Connections {
				last := -1
				for w, n := range open[g] {
					if last < 0 || n > open[g][last] || n == open[g][last] && w < last {
						last = w
					}
				}
				delete(open[g], last)
			}
		}
		open[g][r.workspace] = next[i]
	}
	return openings
}

// slotQueue is an upstream that runs a few statements at a time, in the order of arrival.
type slotQueue struct {
	mu      sync.Mutex
	slots   int
	running int
	waiting []chan struct{}
}

func (q *slotQueue) run(d time.Duration) {
	q.mu.Lock()
	if q.running < cmp.Or(q.slots, connectionSlots) {
		q.running++
		q.mu.Unlock()
	} else {
		turn := make(chan struct{})
		q.waiting = append(q.waiting, turn)
		q.mu.Unlock()
		<-turn
	}
	time.Sleep(d)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.running--
		return
	}
	close(q.waiting[0]) // the next one takes the slot over
	q.waiting = q.waiting[1:]
}

// permits lets a gateway open two connections at a time.
type permits struct {
	mu               sync.Mutex
	wanted, inFlight int
	permit           func() bool
}

func (p *permits) change(wanted, inFlight int) {
	p.mu.Lock()
	p.wanted += wanted
	p.inFlight += inFlight
	p.mu.Unlock()
	for p.start() {
		if !p.permit() {
			p.mu.Lock()
			p.inFlight--
			p.mu.Unlock()
		}
	}
}

func (p *permits) start() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wanted == 0 || p.inFlight >= 2 {
		return false
	}
	p.wanted--
	p.inFlight++
	return true
}

// connection is a connection of a workspace.
type connection struct {
	owner  string
	opened time.Time
}

// connectionsPlay is the state of one run.
type connectionsPlay struct {
	ConnectionsCase
	upstream slotQueue
	pools    []*pooler.Pool[connection]
	began    time.Time
	spread   *spreading // nil without forwarders

	mu      sync.Mutex
	opening int
	result  ConnectionsResult
}

// PlayConnections plays a load by the clock of package time, for use in virtual time.
func PlayConnections(c ConnectionsCase, seed uint64) ConnectionsResult {
	r, _ := playSpreading(c, seed)
	return r
}

// playSpreading is PlayConnections, and returns the choice of gateways too, where there are
// forwarders.
func playSpreading(c ConnectionsCase, seed uint64) (ConnectionsResult, *spreading) {
	requests := c.requests(seed)
	p := &connectionsPlay{ConnectionsCase: c, began: time.Now()}
	p.result = ConnectionsResult{
		Requests: len(requests), Least: c.least(requests), Waits: map[string][]time.Duration{}, InTime: map[string]int{}, Asked: map[string]int{},
	}
	p.upstream.slots = c.Slots
	if c.Forwarders > 0 {
		p.spread = newSpreading(c, seed)
		defer p.spread.measure()()
	}
	for range c.Gateways {
		p.pools = append(p.pools, p.pool())
	}
	var all sync.WaitGroup
	for i, r := range requests {
		all.Go(func() { p.play(i, r) })
	}
	all.Wait()
	return p.result, p.spread
}

// fair reports whether connections are divided by demand now.
func (p *connectionsPlay) fair() bool {
	if p.SwitchEvery == 0 {
		return p.Fair
	}
	return time.Since(p.began)/p.SwitchEvery%2 == 1
}

func (p *connectionsPlay) pool() *pooler.Pool[connection] {
	opener := &permits{}
	pool := &pooler.Pool[connection]{
		Limit: p.Connections,
		Dial: func(_ context.Context, owner string) (connection, error) {
			p.countOpening(owner, 1)
			p.upstream.run(connectionOpening)
			p.countOpening(owner, -1)
			opener.change(0, -1)
			return connection{owner, time.Now()}, nil
		},
		Close:         func(connection) {},
		Owner:         func(c connection) string { return c.owner },
		RequestPermit: func() { opener.change(1, 0) },
		Sharing: &pooler.Sharing{
			On: p.fair, Now: time.Now,
			After:       func(d time.Duration, f func()) { time.AfterFunc(d, f) },
			OpeningTime: func() time.Duration { return connectionOpening },
		},
	}
	opener.permit = pool.Permit
	return pool
}

func (p *connectionsPlay) countOpening(owner string, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening += n
	p.result.MaxOpening = max(p.result.MaxOpening, p.opening)
	if n > 0 {
		p.result.Openings++
		if owner != "0" {
			p.result.OthersOpenings++
		}
	}
}

// isReset reports whether all connections were reset since one was opened.
func (p *connectionsPlay) isReset(c connection) bool {
	return p.ResetEvery > 0 && time.Since(p.began)/p.ResetEvery != c.opened.Sub(p.began)/p.ResetEvery
}

func (p *connectionsPlay) play(i int, r connectionRequest) {
	kind := connectionKinds()[r.kind]
	// No two requests do anything at the same nanosecond, so that a run can be repeated.
	distinct := time.Duration(i + 1)
	time.Sleep(r.at + distinct)
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(kind.deadline))
	defer cancel()
	gateway := p.gateway(r.workspace)
	if p.spread != nil {
		var end func()
		gateway, end = p.spread.begin(&r)
		defer end()
	}
	pool := p.pools[gateway]
	c, err := pool.GetFor(ctx, fmt.Sprint(r.workspace))
	for err == nil && p.isReset(c) {
		pool.Discard(c)
		pool.Sweep(func(c connection) bool { return !p.isReset(c) })
		c, err = pool.GetFor(ctx, fmt.Sprint(r.workspace))
	}
	wait := time.Since(began)
	if err == nil {
		time.Sleep(distinct)
		p.upstream.run(r.service)
		pool.Put(c)
	}
	group := "others"
	if r.workspace == 0 {
		group = "largest"
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Waits[group] = append(p.result.Waits[group], wait)
	p.result.Asked[kind.name+" "+group]++
	if err == nil && time.Since(began) <= kind.objective {
		p.result.InTime[kind.name+" "+group]++
	}
}

// String returns the result as lines.
func (r *ConnectionsResult) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %d requests, %d openings (%d for others than the largest), least %d, at most %d at a time\n",
		r.Requests, r.Openings, r.OthersOpenings, r.Least, r.MaxOpening)
	for _, group := range []string{"largest", "others"} {
		waits := slices.Clone(r.Waits[group])
		slices.Sort(waits)
		n := len(waits)
		if n == 0 {
			continue
		}
		fmt.Fprintf(&b, "  %-8s wait for a connection: 90 %% %6.1f ms, 99 %% %6.1f ms; in time:", group, ms(waits[n*9/10]), ms(waits[n*99/100]))
		for _, k := range connectionKinds() {
			key := k.name + " " + group
			fmt.Fprintf(&b, " %s %.1f %%", k.name, 100*float64(r.InTime[key])/float64(max(r.Asked[key], 1)))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
