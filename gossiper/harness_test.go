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

// fleet is a set of processes that send each other datagrams in virtual time, and the
// store's list. What a process knows of the fleet comes from these alone.
type fleet struct {
	modeler.Clock
	rng    *rand.Rand
	procs  []*proc
	at     map[netip.AddrPort]*proc
	listed []*proc
	groups []assigner.Group
	// assignments caches the gateways of each group, by the hash of the fleet that they
	// were computed from.
	assignments map[uint64]map[string][]string

	loss  float64
	isCut func(from, to *proc) bool
	// counts of what was sent: datagrams, updates in them, lists, and datagrams to ring
	// successors
	datagramsSent, updatesSent, listsSent, successorDatagrams int
	entriesSent                                               int // in lists
}

// proc is one process. Its machine can be without power, or partitioned from the others.
type proc struct {
	Roster
	name          string
	zone          string
	start         int64
	addr          netip.AddrPort
	up            bool
	boots         int
	startupUntil  time.Time // until when it sends more often
	knowsFleet    bool
	groups        map[string]GroupState
	configuration uint64 // the version that it has
	groupsFrom    uint64 // hash of the fleet that its groups were computed from
}

const networkDelay = time.Millisecond

func newTestFleet(n int, loss float64) *fleet {
	f := &fleet{
		Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(uint64(n), 7)),
		at: map[netip.AddrPort]*proc{}, assignments: map[uint64]map[string][]string{}, loss: loss,
	}
	for i := range max(3, n/10) {
		f.groups = append(f.groups, assigner.Group{Name: fmt.Sprint("g", i), MaxGateways: 10})
	}
	for range n {
		f.addMachine()
	}
	return f
}

// addMachine adds a machine without a process.
func (f *fleet) addMachine() *proc {
	i := len(f.procs)
	p := &proc{name: fmt.Sprint("proxy-", i), zone: fmt.Sprint("zone-", i%5), addr: at(i)}
	f.procs = append(f.procs, p)
	f.at[p.addr] = p
	return p
}

// boot starts a process: it reads the store's list, writes its entry if there is none, and
// reads the list again.
func (f *fleet) boot(p *proc, store bool) {
	p.boots++
	bootCount := p.boots
	p.Roster, p.up, p.knowsFleet = Roster{}, true, false
	p.start = f.Now.UnixNano()
	p.groups, p.groupsFrom = nil, 0
	p.startupUntil = f.Now.Add(startupPhase)
	p.SetSelf(Member{Name: p.name, Zone: p.zone, GossipAddr: p.addr, GatewayAddr: p.addr, Millicores: 192, Start: p.start})
	f.After(time.Duration(f.rng.Int64N(int64(RoundInterval))), func() { f.round(p, bootCount) })
	if !store {
		return
	}
	f.After(20*time.Millisecond, func() {
		f.readStore(p)
		if slices.Contains(f.listed, p) {
			return
		}
		f.listed = append(f.listed, p)
		f.After(JoinWindow, func() { f.readStore(p) })
	})
}

func (f *fleet) readStore(p *proc) {
	p.knowsFleet = true
	for _, o := range f.listed {
		p.AddListed(State{Name: o.name, Zone: o.zone, GossipAddr: o.addr, GatewayAddr: o.addr, Millicores: 192, Start: o.start}, f.Now)
	}
}

// assign computes the groups that a process is a gateway of.
func (f *fleet) assign(p *proc) {
	members := append(p.Fleet(), p.self)
	var from uint64
	for _, m := range members {
		from ^= xxhash.Sum64String(m.Name)
	}
	if p.groupsFrom == from {
		return
	}
	p.groupsFrom = from
	gateways := f.assignments[from]
	if gateways == nil {
		var proxies []assigner.Proxy
		for _, m := range members {
			proxies = append(proxies, assigner.Proxy{Name: m.Name, Zone: m.Zone, Millicores: int(m.Millicores)})
		}
		gateways = new(assigner.Assigner).Assign(f.groups, proxies)
		f.assignments[from] = gateways
	}
	p.groups = map[string]GroupState{}
	var peers []string
	for group, names := range gateways {
		if slices.Contains(names, p.name) {
			p.groups[group] = GroupState{IsGateway: true}
			peers = append(peers, names...)
		}
	}
	p.SetGroupPeers(slices.DeleteFunc(peers, func(name string) bool { return name == p.name }))
}

func (f *fleet) round(p *proc, bootCount int) {
	if !p.up || p.boots != bootCount {
		return
	}
	interval := RoundInterval
	if f.Now.Before(p.startupUntil) {
		interval = startupInterval
	}
	f.After(interval, func() { f.round(p, bootCount) })
	p.Sweep(f.Now)
	if p.knowsFleet {
		f.assign(p)
	}
	targets := p.Targets(State{Groups: p.groups}, f.rng)
	s := f.state(p)
	for _, to := range targets {
		f.datagramsSent++
		f.updatesSent += len(s.Updates)
		f.send(p, f.at[to], func(to *proc) { f.receive(p, to, s) })
	}
}

// send delivers something to a process, unless it is lost on the way.
func (f *fleet) send(from, to *proc, what func(to *proc)) {
	if to == nil || f.rng.Float64() < f.loss || f.isCut != nil && f.isCut(from, to) {
		return
	}
	f.After(networkDelay, func() {
		if to.up {
			what(to)
		}
	})
}

func (f *fleet) receive(from, to *proc, s State) {
	to.Receive(s, f.Now)
	if s.Configuration > to.configuration {
		f.setConfiguration(to, s.Configuration)
	}
	if !to.ShouldRequestList(s.FleetDigest, f.Now) && to.knowsFleet || f.isCut != nil && f.isCut(from, to) {
		return
	}
	f.listsSent++
	ranges := to.Ranges()
	f.After(2*networkDelay, func() {
		if from.up && to.up {
			to.knowsFleet = true
			members := from.MembersDiffering(ranges)
			f.entriesSent += len(members)
			to.Merge(members, f.Now)
		}
	})
}

// setConfiguration gives a process a version of the configuration. The process sends it to
// its ring successors once it has fetched it.
func (f *fleet) setConfiguration(p *proc, version uint64) {
	p.configuration = version
	f.After(2*networkDelay, func() {
		for _, to := range p.Successors(f.rng) {
			f.successorDatagrams++
			f.send(p, f.at[to], func(to *proc) { f.receive(p, to, f.state(p)) })
		}
	})
}

// state returns the state that a process sends.
func (f *fleet) state(p *proc) State {
	s := State{
		Name: p.name, Zone: p.zone, Start: p.start, GossipAddr: p.addr, GatewayAddr: p.addr, Millicores: 192,
		Configuration: p.configuration, Groups: p.groups,
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

// timeToAgree returns how long it takes until all agree, at most the limit.
func (f *fleet) timeToAgree(n int, limit time.Duration) time.Duration {
	began := f.Now
	for !f.agreed(n) && f.Now.Sub(began) < limit {
		f.RunFor(100 * time.Millisecond)
	}
	return f.Now.Sub(began)
}
