package proxier

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/fetcher"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/versioner"
)

const (
	linkDelay = time.Millisecond
	// linkRate is the rate of a process's link in bytes per second, 10 Mbit/s.
	linkRate = 1.25e6
	// storeLatency is how long the store takes for a call, and leaseCheckInterval the time
	// between two checks of a lease holder.
	storeLatency       = 4 * time.Millisecond
	leaseCheckInterval = 50 * time.Millisecond
	// groupPeers is how many processes are gateways of the same groups as a given one.
	groupPeers = 20
)

// fleetModel simulates the processes of a fleet in virtual time, and the links over which they
// send one another the configuration.
type fleetModel struct {
	modeler.Clock
	rng       *rand.Rand
	procs     []*modelProcess
	byAddr    map[netip.AddrPort]*modelProcess
	size      float64 // of the configuration between peers, in bytes
	loss      float64 // share of lost datagrams
	abandoned int     // transfers that timed out
	refused   int
	sent      float64 // in bytes
}

// modelProcess is one process, and the transfers that its link carries.
type modelProcess struct {
	roster       gossiper.Roster
	fetch        fetcher.Fetcher
	state        gossiper.State
	configuredAt time.Time // when it received the configuration
	flows        []*flow
	advancedAt   time.Time // up to when the progress of the flows is computed
	timerID      int
}

// flow is one transfer.
type flow struct {
	left   float64 // in bytes
	onDone func()
	closed bool
}

func newFleetModel(n, size int, loss float64) *fleetModel {
	f := &fleetModel{
		Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(uint64(n), 30)),
		byAddr: map[netip.AddrPort]*modelProcess{}, size: float64(size), loss: loss,
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7440)
		p := &modelProcess{state: gossiper.State{Name: fmt.Sprint("proxy-", i), Zone: fmt.Sprint("zone-", i%3), GossipAddr: addr, GatewayAddr: addr, OperatorsAddr: addr}}
		f.procs = append(f.procs, p)
		f.byAddr[addr] = p
	}
	for _, p := range f.procs {
		p.roster.SetSelf(gossiper.Member{Name: p.state.Name, Zone: p.state.Zone, GossipAddr: p.state.GossipAddr, GatewayAddr: p.state.GatewayAddr})
		for _, o := range f.procs {
			p.roster.AddListed(o.state, f.Now)
		}
		var names []string
		for range groupPeers {
			names = append(names, f.procs[f.rng.IntN(n)].state.Name)
		}
		p.roster.SetGroupPeers(names)
		f.After(time.Duration(f.rng.Int64N(int64(gossiper.RoundInterval))), func() { f.gossip(p) })
		f.After(time.Duration(f.rng.Int64N(int64(maintenanceInterval))), func() { f.maintain(p) })
	}
	return f
}

func (f *fleetModel) gossip(p *modelProcess) {
	f.After(gossiper.RoundInterval, func() { f.gossip(p) })
	p.roster.Sweep(f.Now)
	f.sendState(p, p.roster.Targets(p.state, f.rng))
}

func (f *fleetModel) maintain(p *modelProcess) {
	f.After(maintenanceInterval, func() { f.maintain(p) })
	f.requestNext(p)
}

// sendState sends a process's state.
func (f *fleetModel) sendState(p *modelProcess, targets []netip.AddrPort) {
	state := p.state
	p.roster.FillState(&state)
	for _, to := range targets {
		o := f.byAddr[to]
		if o == p || f.rng.Float64() < f.loss {
			continue
		}
		f.After(linkDelay, func() {
			o.roster.Receive(state, f.Now)
			o.fetch.SetHeld(atRevision(o.state.Configuration))
			o.fetch.AddOffer(state.OperatorsAddr, atRevision(state.Configuration), f.Now)
			f.requestNext(o)
		})
	}
}

// setConfiguration gives a process the configuration, and has it report that to its
// successors.
func (f *fleetModel) setConfiguration(p *modelProcess, version uint64) {
	if version <= p.state.Configuration {
		return
	}
	p.state.Configuration, p.configuredAt = version, f.Now
	f.sendState(p, p.roster.Successors(f.rng))
}

// requestNext sends the next request that a process's fetcher wants to make.
func (f *fleetModel) requestNext(p *modelProcess) {
	p.fetch.SetHeld(atRevision(p.state.Configuration))
	source, ok := p.fetch.Next(f.Now)
	if !ok {
		return
	}
	if source.IsStore() { // the store answers only the watchers in this model
		f.After(linkDelay, func() { f.finishRequest(p, source, fetcher.Failed) })
		return
	}
	o := f.byAddr[source.Peer]
	version := o.state.Configuration
	f.After(2*linkDelay, func() { f.transfer(p, o, version, source) })
}

// transfer sends a configuration from one process to another, unless it takes longer than the
// receiver's timeout.
func (f *fleetModel) transfer(p, from *modelProcess, version uint64, source fetcher.Source) {
	if version <= p.state.Configuration {
		f.finishRequest(p, source, fetcher.Delivered)
		return
	}
	if len(from.flows) >= maxTransfers {
		f.refused++
		f.finishRequest(p, source, fetcher.Busy)
		return
	}
	t := &flow{left: f.size}
	t.onDone = func() {
		f.setConfiguration(p, version)
		f.finishRequest(p, source, fetcher.Delivered)
	}
	f.advanceFlows(from)
	from.flows = append(from.flows, t)
	f.scheduleNext(from)
	f.After(peerFetchTimeout, func() {
		if t.closed {
			return
		}
		f.advanceFlows(from)
		t.closed = true
		f.abandoned++
		f.scheduleNext(from)
		f.finishRequest(p, source, fetcher.Failed)
	})
}

func (f *fleetModel) finishRequest(p *modelProcess, source fetcher.Source, outcome fetcher.Outcome) {
	p.fetch.SetHeld(atRevision(p.state.Configuration))
	p.fetch.Done(source, outcome, f.Now)
	f.requestNext(p)
}

// advanceFlows divides the time since the last update among a link's transfers.
func (f *fleetModel) advanceFlows(p *modelProcess) {
	perFlow := f.Now.Sub(p.advancedAt).Seconds() * linkRate / max(1, float64(len(p.flows)))
	p.advancedAt = f.Now
	for _, t := range p.flows {
		f.sent += min(perFlow, t.left)
		t.left -= perFlow
	}
}

// scheduleNext removes the transfers that have ended, and schedules the end of the next one.
func (f *fleetModel) scheduleNext(p *modelProcess) {
	var open []*flow
	minLeft := f.size
	for _, t := range p.flows {
		if !t.closed {
			open = append(open, t)
			minLeft = min(minLeft, t.left)
		}
	}
	p.flows = open
	p.timerID++
	timer := p.timerID
	if len(open) == 0 {
		return
	}
	wait := time.Duration(max(0, minLeft)*float64(len(open))/linkRate*float64(time.Second)) + time.Microsecond
	f.After(wait, func() {
		if p.timerID == timer {
			f.completeFlows(p)
		}
	})
}

// completeFlows ends the transfers that have delivered everything.
func (f *fleetModel) completeFlows(p *modelProcess) {
	f.advanceFlows(p)
	var done []*flow
	for _, t := range p.flows {
		if t.left <= 0 {
			t.closed = true
			done = append(done, t)
		}
	}
	f.scheduleNext(p)
	for _, t := range done {
		t.onDone()
	}
}

// largeConfig returns a configuration as large as a store object of 1 MiB can hold, whose
// names have nothing in common.
func largeConfig() cataloger.Config {
	const routes = 4800 // of some 220 bytes each in the store
	rng := rand.New(rand.NewPCG(30, 1))
	c := cataloger.Config{Version: 2, IdleTransactionTimeout: 3 * time.Second}
	for i := range 20 {
		c.Groups = append(c.Groups, cataloger.GroupSettings{Name: fmt.Sprint("group-", i), MaxConnections: 53, SyncReplicas: 1})
	}
	for range routes {
		name := make([]byte, 8)
		for i := range name {
			name[i] = byte('a' + rng.IntN(26))
		}
		c.Routes = append(c.Routes, cataloger.Route{
			Database: string(name), Group: c.Groups[rng.IntN(len(c.Groups))].Name, Freshness: cataloger.Freshness(rng.IntN(3)),
			MaxStaleness: 1500 * time.Millisecond, Timeout: time.Second, Objective: 200 * time.Millisecond, Priority: 1 + rng.IntN(2),
		})
	}
	return c
}

// Guards against large configurations that saturate slow links and come into force late.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	const (
		bound    = 5 * time.Second // from the store's acknowledgement
		readTime = 840 * time.Millisecond
	)
	config := largeConfig()
	body, err := pack(&config)
	is.New(t).NoErr(err)
	for _, n := range []int{9, 91, 195} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newFleetModel(n, len(body), 0.1)
			f.RunFor(3 * time.Second)
			acknowledged := f.Now
			f.RunFor(readTime) // the two watchers read 1 MiB
			for i := range minWatchers {
				f.setConfiguration(f.procs[i], config.Version)
			}
			f.RunUntil(acknowledged.Add(bound))
			lacking, last := 0, time.Duration(0)
			for _, p := range f.procs {
				if p.state.Configuration < config.Version {
					lacking++
					continue
				}
				last = max(last, p.configuredAt.Sub(acknowledged))
			}
			t.Logf("%d bytes each; %d of %d lack it after %s, the last of the others had it after %s; %d transfers timed out, %d refused, %.1f MB sent",
				len(body), lacking, n, bound, last, f.abandoned, f.refused, f.sent/1e6)
			is.Equal(lacking, 0)
		})
	}
}

// Guards against a fleet that takes long to agree on a restored store, or requests as much from
// it as there are processes.
func TestStoreRestoreReachesAllProcesses(t *testing.T) {
	const (
		bound    = upstreamsCheckInterval // as for any other change
		maxDelay = maxRetryDelay          // a watcher finds the store this long after its return at the latest
	)
	for _, n := range []int{9, 91, 195} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			groups := max(3, n/10)
			var entries []cataloger.Upstream
			for i := range 3 * groups {
				entries = append(entries, cataloger.Upstream{
					ID: fmt.Sprintf("i-%010x", i), Version: versioner.Version{Era: 2, Revision: uint64(i)}, Group: fmt.Sprint("group-", i/3),
					Address: netip.MustParseAddrPort("10.1.64.33:8102"), Zone: "vejle-hal", Slots: 5, Born: time.UnixMilli(1_785_262_487_014),
				})
			}
			body, err := json.Marshal(peerUpdate{Entries: cataloger.Changes{Upstreams: entries}})
			is.NoErr(err)
			f := newFleetModel(n, len(body), 0.1)
			f.RunFor(3 * time.Second)
			backAt := f.Now
			var found time.Duration
			for i := range minWatchers {
				delay := maxDelay/2 + time.Duration(f.rng.Int64N(int64(maxDelay/2)))
				if i == 0 || delay < found {
					found = delay
				}
				f.After(delay, func() { f.setConfiguration(f.procs[i], 2) })
			}
			f.RunUntil(backAt.Add(bound))
			last, leases := time.Duration(0), time.Duration(0)
			for i, p := range f.procs {
				is.Equal(p.state.Configuration, uint64(2))
				took := p.configuredAt.Sub(backAt)
				last = max(last, took)
				if i < groups { // it holds the lease of one group, and checks it at each interval
					checkDelay := time.Duration(f.rng.Int64N(int64(leaseCheckInterval)))
					leases = max(leases, took+checkDelay+2*(storeLatency+2*linkDelay))
				}
			}
			calls := 2*minWatchers + 2*n + 2*groups // lists of two kinds, own entries twice, lease claims
			t.Logf("%d groups: found after %s, known to all after %s, leases taken again after %s, %.2f MB between processes, %d calls to the store",
				groups, found, last, leases, f.sent/1e6, calls)
		})
	}
}
