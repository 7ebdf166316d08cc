package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/delegator"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/tracker"
)

const (
	gatewayCount = 6
	nodeShare    = 6
	nodeCount    = 14
	messageDelay = time.Millisecond
	workTime     = 3 * time.Millisecond
	silence      = 400 * time.Millisecond // until a peer that does not answer counts as lost
)

var errUnreachable = errors.New("unreachable")

// node is one process of a reach fleet.
type node struct {
	r       *reachFleet
	index   int
	f       Forwarder
	reg     *carrier.Registry
	address netip.AddrPort
	// The fields below are guarded by the fleet's lock.
	cut     bool // it does not reach the leader
	dead    bool
	old     bool          // a process without loans
	resumed chan struct{} // closed while the process runs
	isOn    bool
	gateway bool
	leaving bool
}

// reachFleet is six gateways and eight other processes before a group, in virtual time.
type reachFleet struct {
	mu       sync.Mutex
	nodes    []*node
	leader   string
	open     map[*fakeLink]bool
	maxOpen  int // connections of processes that run to one upstream
	maxLoan  int // connections of one process that is no gateway
	cutLinks map[[2]int]bool
	asks     map[int][]time.Time // loan messages without an echo, by gateway
	stopped  chan struct{}
	running  sync.WaitGroup
	applied  map[string]int // how often a write took effect
	divides  bool           // connections by demand
	core     zapcore.Core
	logs     *observer.ObservedLogs // about loans
}

func newReachFleet(on bool) *reachFleet {
	r := &reachFleet{leader: "a", open: map[*fakeLink]bool{}, cutLinks: map[[2]int]bool{}, asks: map[int][]time.Time{}, stopped: make(chan struct{}), applied: map[string]int{}}
	r.core, r.logs = observer.New(zap.InfoLevel)
	for i := range nodeCount {
		n := &node{r: r, index: i, address: at(byte(i)), resumed: make(chan struct{}), isOn: on, gateway: i < gatewayCount}
		close(n.resumed)
		r.nodes = append(r.nodes, n)
		n.start()
	}
	return r
}

func (n *node) name() string { return fmt.Sprint("p", n.index) }

// start gives a process its parts, as after a start without state.
func (n *node) start() {
	n.reg = &carrier.Registry{
		Now: time.Now, Log: zap.NewNop(), Dial: n.dial, ConnectionShares: n.shares,
		Features: func() carrier.Features {
			return carrier.Features{ShortRetries: n.on(), DemandDivision: n.get(&n.r.divides)}
		},
	}
	n.reg.DivideConnections(nodeCount, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	n.list()
	loans := &Loans{
		Name: n.name(), Start: time.Now().UnixNano(), Gateways: n.reg.Gateways, Local: n.reg.Group, Enabled: n.on,
		Leaving: func() bool { return n.get(&n.leaving) }, Peers: n.peers, Send: n.send, Now: time.Now, Log: zap.New(n.r.core),
	}
	loans.Divides, loans.Division = func() bool { return n.get(&n.r.divides) }, n.division
	n.f = Forwarder{
		Local: n.reg.Group, Gateways: n.gateways, LeaderFault: n.fault, Send: n.send, Substitutes: n.on, Loans: loans,
		Name: n.name(), Now: time.Now, Log: zap.NewNop(),
	}
	if n.old {
		n.f.Loans, n.f.Substitutes = nil, nil
	}
	n.r.running.Go(func() { n.run(n.reg, loans) })
}

func (n *node) get(v *bool) bool {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	return *v
}

func (n *node) set(v *bool, to bool) {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	*v = to
}

func (n *node) on() bool { return n.get(&n.isOn) }

func (n *node) shares(map[string]int, int) map[string]int {
	if n.get(&n.gateway) {
		return map[string]int{"g": nodeShare}
	}
	return map[string]int{"g": 0}
}

// list gives the process the group's upstreams.
func (n *node) list() {
	n.reg.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: n.r.leader == "a", Slots: 4}, {ID: "b", Group: "g", Leads: n.r.leader == "b", Slots: 4}})
}

// await waits while the process is paused, and reports whether it runs.
func (n *node) await() bool {
	n.r.mu.Lock()
	resumed := n.resumed
	n.r.mu.Unlock()
	<-resumed
	return !n.get(&n.dead)
}

func (n *node) run(reg *carrier.Registry, loans *Loans) {
	for i := 0; ; i++ {
		select {
		case <-n.r.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if !n.await() {
			return
		}
		if !n.old {
			loans.Tick()
		}
		if i%2 == 0 {
			reg.CheckUpstreams()
		}
		if i%10 == 0 && n.get(&n.r.divides) {
			n.report()
		}
	}
}

func (n *node) gateways(string) []Candidate {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	var out []Candidate
	for _, o := range n.r.nodes {
		if o != n && o.gateway && !o.dead {
			out = append(out, Candidate{Name: o.name(), Address: o.address})
		}
	}
	return out
}

func (n *node) peers(string) []delegator.Peer {
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	var out []delegator.Peer
	for i := range n.r.nodes { // each gateway begins with another process
		if o := n.r.nodes[(i+n.index)%nodeCount]; !o.gateway && !o.dead {
			out = append(out, delegator.Peer{Name: o.name(), Address: o.address})
		}
	}
	return out
}

func (n *node) fault(string) gossiper.LeaderFault {
	g, _ := n.reg.Group("g")
	if g.IsGateway() && !g.Observe().LeaderAnswers {
		return gossiper.Unreachable
	}
	return gossiper.NoFault
}

func (n *node) send(ctx context.Context, to netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
	i := slices.IndexFunc(n.r.nodes, func(o *node) bool { return o.address == to })
	n.countAsk(payload)
	type result struct {
		answer json.RawMessage
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if n.pass(i) {
			answer, err := n.r.nodes[i].f.Serve(context.Background(), n.name(), payload)
			if n.pass(i) {
				done <- result{answer, err}
				return
			}
		}
		time.Sleep(silence)
		done <- result{nil, errLost}
	}()
	select {
	case res := <-done:
		return res.answer, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pass lets a message travel between two processes, and reports whether it arrives.
func (n *node) pass(i int) bool {
	time.Sleep(messageDelay)
	n.r.mu.Lock()
	cut := n.r.cutLinks[[2]int{n.index, i}] || n.r.cutLinks[[2]int{i, n.index}]
	n.r.mu.Unlock()
	return !cut && n.r.nodes[i].await() && n.await()
}

func (n *node) countAsk(payload json.RawMessage) {
	var q request
	if json.Unmarshal(payload, &q) == nil && q.Action == lend && q.Lend.Echo == (delegator.Token{}) {
		n.r.mu.Lock()
		defer n.r.mu.Unlock()
		n.r.asks[n.index] = append(n.r.asks[n.index], time.Now())
	}
}

// fakeLink is a connection of a process to an upstream.
type fakeLink struct {
	n        *node
	upstream string
	state    carrier.State
	aborted  chan struct{}
	once     sync.Once
}

func (n *node) dial(ctx context.Context, u cataloger.Upstream, _ string) (carrier.Link, error) {
	time.Sleep(2 * messageDelay)
	if n.get(&n.cut) && u.ID == "a" {
		<-ctx.Done()
		return nil, errUnreachable
	}
	l := &fakeLink{n: n, upstream: u.ID, aborted: make(chan struct{})}
	n.r.mu.Lock()
	defer n.r.mu.Unlock()
	n.r.open[l] = true
	count, own := 0, 0
	for o := range n.r.open {
		if o.n == n && o.upstream == l.upstream {
			own++
		}
		if o.upstream == l.upstream && !o.n.dead && !o.n.isPaused() {
			count++
		}
	}
	n.r.maxOpen = max(n.r.maxOpen, count)
	if !n.gateway {
		n.r.maxLoan = max(n.r.maxLoan, own)
	}
	return l, nil
}

func (n *node) isPaused() bool {
	select {
	case <-n.resumed:
		return false
	default:
		return true
	}
}

func (l *fakeLink) Exchange(deadline time.Time, commands ...carrier.Command) ([]carrier.Answer, bool, error) {
	if l.n.get(&l.n.cut) && l.upstream == "a" {
		select {
		case <-l.aborted:
		case <-time.After(time.Until(deadline)):
		}
		return nil, true, errUnreachable
	}
	select {
	case <-time.After(workTime):
	case <-l.aborted:
		return nil, true, errUnreachable
	}
	l.n.r.mu.Lock()
	defer l.n.r.mu.Unlock()
	answers := make([]carrier.Answer, len(commands))
	leads := l.n.r.leader == l.upstream
	for i, c := range commands {
		switch c.Verb {
		case carrier.Begin:
			l.state = carrier.InTransaction
		case carrier.Rollback, carrier.Commit:
			l.state = carrier.Idle
		}
		answers[i] = carrier.Answer{State: l.state, Mark: tracker.Mark{Term: tracker.Term{Seq: 1}}}
		if !leads {
			l.state = carrier.Idle
			answers[i] = carrier.Answer{Code: carrier.ReadOnly}
		} else if c.Text == "write" {
			l.n.r.applied[c.ID]++
		}
	}
	return answers, true, nil
}

func (l *fakeLink) Abort()                    { l.once.Do(func() { close(l.aborted) }) }
func (l *fakeLink) Alive() bool               { return true }
func (l *fakeLink) InitialMark() tracker.Mark { return tracker.Mark{} }

func (l *fakeLink) Close() error {
	l.n.r.mu.Lock()
	defer l.n.r.mu.Unlock()
	delete(l.n.r.open, l)
	return nil
}
