package gossiper

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"basildale.example/basildale/assigner"
	"basildale.example/basildale/internal/modeler"
)

// fleet is processes that send each other datagrams in virtual time, and the store's
// list. What a process knows of the fleet it has from these alone.
type fleet struct {
	modeler.Clock
	rng    *rand.Rand
	procs  []*proc
	at     map[netip.AddrPort]*proc
	listed []*proc
	groups []assigner.Group
	// divided caches who carries, by the fleet that it was worked out from.
	divided map[uint64]map[string][]string

	loss float64
	cut  func(from, to *proc) bool
	// What was sent: datagrams, statements in them, and whole lists.
	datagrams, statements, lists, passed int
}

// proc is one process. Its machine can be without power, or cut off.
type proc struct {
	Roster
	name   string
	zone   string
	start  int64
	addr   netip.AddrPort
	up     bool
	run    int
	greets time.Time // until when it sends more often
	knows  bool
	groups map[string]GroupState
	config uint64 // the version that it has
	from   uint64 // the fleet that its groups come from
}

const delay = time.Millisecond

func newTestFleet(n int, loss float64) *fleet {
	f := &fleet{
		Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(uint64(n), 7)),
		at: map[netip.AddrPort]*proc{}, divided: map[uint64]map[string][]string{}, loss: loss,
	}
	for i := range max(3, n/10) {
		f.groups = append(f.groups, assigner.Group{Name: fmt.Sprint("g", i), MaxGateways: 10})
	}
	for range n {
		f.machine()
	}
	return f
}

// machine adds a machine without a process.
func (f *fleet) machine() *proc {
	i := len(f.procs)
	p := &proc{name: fmt.Sprint("proxy-", i), zone: fmt.Sprint("zone-", i%5), addr: at(i)}
	f.procs = append(f.procs, p)
	f.at[p.addr] = p
	return p
}

// boot starts a process: it lists, writes its entry if there is none, and lists again.
func (f *fleet) boot(p *proc, store bool) {
	p.run++
	run := p.run
	p.Roster, p.up, p.knows = Roster{}, true, false
	p.start = f.Now.UnixNano()
	p.groups, p.from = nil, 0
	p.greets = f.Now.Add(greetFor)
	p.SetSelf(Member{Name: p.name, Zone: p.zone, GossipAddr: p.addr, GatewayAddr: p.addr, Millicores: 192, Start: p.start})
	f.After(time.Duration(f.rng.Int64N(int64(RoundInterval))), func() { f.round(p, run) })
	if !store {
		return
	}
	f.After(20*time.Millisecond, func() {
		f.learn(p)
		if slices.Contains(f.listed, p) {
			return
		}
		f.listed = append(f.listed, p)
		f.After(JoinWindow, func() { f.learn(p) })
	})
}

func (f *fleet) learn(p *proc) {
	p.knows = true
	for _, o := range f.listed {
		p.AddListed(State{Name: o.name, Zone: o.zone, GossipAddr: o.addr, GatewayAddr: o.addr, Millicores: 192, Start: o.start}, f.Now)
	}
}

// divide works out for whom a process carries.
func (f *fleet) divide(p *proc) {
	members := append(p.Fleet(), p.self)
	var from uint64
	for _, m := range members {
		from ^= xxhash.Sum64String(m.Name)
	}
	if p.from == from {
		return
	}
	p.from = from
	carriers := f.divided[from]
	if carriers == nil {
		var proxies []assigner.Proxy
		for _, m := range members {
			proxies = append(proxies, assigner.Proxy{Name: m.Name, Zone: m.Zone, Millicores: int(m.Millicores)})
		}
		carriers = assigner.Assign(f.groups, proxies)
		f.divided[from] = carriers
	}
	p.groups = map[string]GroupState{}
	var near []string
	for group, names := range carriers {
		if slices.Contains(names, p.name) {
			p.groups[group] = GroupState{IsGateway: true}
			near = append(near, names...)
		}
	}
	p.SetGroupPeers(slices.DeleteFunc(near, func(name string) bool { return name == p.name }))
}

func (f *fleet) round(p *proc, run int) {
	if !p.up || p.run != run {
		return
	}
	period := RoundInterval
	if f.Now.Before(p.greets) {
		period = greetEvery
	}
	f.After(period, func() { f.round(p, run) })
	p.Sweep(f.Now)
	if p.knows {
		f.divide(p)
	}
	targets := p.Targets(State{Groups: p.groups}, f.rng)
	s := f.state(p)
	for _, to := range targets {
		f.datagrams++
		f.statements += len(s.News)
		f.send(p, f.at[to], func(to *proc) { f.hear(p, to, s) })
	}
}

// send brings something to a process, unless it is lost on the way.
func (f *fleet) send(from, to *proc, what func(to *proc)) {
	if to == nil || f.rng.Float64() < f.loss || f.cut != nil && f.cut(from, to) {
		return
	}
	f.After(delay, func() {
		if to.up {
			what(to)
		}
	})
}

func (f *fleet) hear(from, to *proc, s State) {
	to.Receive(s, f.Now)
	if s.Configuration > to.config {
		f.take(to, s.Configuration)
	}
	if !to.Lacks(s.FleetDigest, f.Now) && to.knows || f.cut != nil && f.cut(from, to) {
		return
	}
	f.lists++
	f.After(2*delay, func() {
		if from.up && to.up {
			to.knows = true
			to.Take(from.Members(), f.Now)
		}
	})
}

// take gives a process a version of the configuration, which it passes on once it has
// asked for it.
func (f *fleet) take(p *proc, version uint64) {
	p.config = version
	f.After(2*delay, func() {
		for _, to := range p.Successors(f.rng) {
			f.passed++
			f.send(p, f.at[to], func(to *proc) { f.hear(p, to, f.state(p)) })
		}
	})
}

// state is what a process says.
func (f *fleet) state(p *proc) State {
	s := State{
		Name: p.name, Zone: p.zone, Start: p.start, GossipAddr: p.addr, GatewayAddr: p.addr, Millicores: 192,
		Configuration: p.config, Groups: p.groups,
	}
	p.FillState(&s)
	return s
}

// bootAll starts all processes within 0.3 s.
func (f *fleet) bootAll() {
	for _, p := range f.procs {
		f.After(time.Duration(f.rng.Int64N(int64(300*time.Millisecond))), func() { f.boot(p, true) })
	}
}

// agreed reports whether all processes that are up hold the same list, of n processes.
func (f *fleet) agreed(n int) bool {
	var digest uint32
	for _, p := range f.procs {
		if !p.up {
			continue
		}
		if digest == 0 {
			digest = p.digest
		}
		if p.digest != digest || len(p.Fleet())+1 != n {
			return false
		}
	}
	return true
}

// whenAgreed returns how long it takes until all agree, at most the limit.
func (f *fleet) whenAgreed(n int, limit time.Duration) time.Duration {
	began := f.Now
	for !f.agreed(n) && f.Now.Sub(began) < limit {
		f.RunFor(100 * time.Millisecond)
	}
	return f.Now.Sub(began)
}
