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
	wayDelay = time.Millisecond
	// narrow is the rate of a process's link in bytes a second, 10 Mbit/s.
	narrow = 1.25e6
	// storeAnswer is how long the store takes for a call, and controlPeriod the time
	// between two looks of a holder at its duties.
	storeAnswer   = 4 * time.Millisecond
	controlPeriod = 50 * time.Millisecond
	// beside is how many processes carry for the same groups as one of them.
	beside = 20
)

// spread is the processes of a fleet in virtual time, whose links carry what they send
// each other of a configuration.
type spread struct {
	modeler.Clock
	rng     *rand.Rand
	procs   []*spreader
	at      map[netip.AddrPort]*spreader
	size    float64 // bytes of the configuration between peers
	loss    float64 // of datagrams
	given   int     // transfers that were given up
	refused int
	sent    float64 // bytes
}

// spreader is one process, and the transfers that its link carries.
type spreader struct {
	roster  gossiper.Roster
	fetch   fetcher.Fetcher
	state   gossiper.State
	began   time.Time // when it had the configuration
	flows   []*flow
	changed time.Time // up to when the flows are accounted for
	timer   int
}

// flow is one transfer.
type flow struct {
	left   float64 // bytes
	done   func()
	closed bool
}

func newSpread(n, size int, loss float64) *spread {
	f := &spread{
		Clock: modeler.Clock{Now: time.Unix(1_800_000_000, 0)}, rng: rand.New(rand.NewPCG(uint64(n), 30)),
		at: map[netip.AddrPort]*spreader{}, size: float64(size), loss: loss,
	}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7440)
		p := &spreader{state: gossiper.State{Name: fmt.Sprint("proxy-", i), Zone: fmt.Sprint("zone-", i%3), GossipAddr: addr, GatewayAddr: addr, OperatorsAddr: addr}}
		f.procs = append(f.procs, p)
		f.at[addr] = p
	}
	for _, p := range f.procs {
		p.roster.SetSelf(gossiper.Member{Name: p.state.Name, Zone: p.state.Zone, GossipAddr: p.state.GossipAddr, GatewayAddr: p.state.GatewayAddr})
		for _, o := range f.procs {
			p.roster.AddListed(o.state, f.Now)
		}
		var near []string
		for range beside {
			near = append(near, f.procs[f.rng.IntN(n)].state.Name)
		}
		p.roster.SetGroupPeers(near)
		f.After(time.Duration(f.rng.Int64N(int64(gossiper.RoundInterval))), func() { f.round(p) })
		f.After(time.Duration(f.rng.Int64N(int64(upkeep))), func() { f.upkeep(p) })
	}
	return f
}

func (f *spread) round(p *spreader) {
	f.After(gossiper.RoundInterval, func() { f.round(p) })
	p.roster.Sweep(f.Now)
	f.tell(p, p.roster.Targets(p.state, f.rng))
}

func (f *spread) upkeep(p *spreader) {
	f.After(upkeep, func() { f.upkeep(p) })
	f.ask(p)
}

// tell sends a process's state.
func (f *spread) tell(p *spreader, targets []netip.AddrPort) {
	state := p.state
	p.roster.FillState(&state)
	for _, to := range targets {
		o := f.at[to]
		if o == p || f.rng.Float64() < f.loss {
			continue
		}
		f.After(wayDelay, func() {
			o.roster.Receive(state, f.Now)
			o.fetch.SetHeld(at(o.state.Configuration))
			o.fetch.AddOffer(state.OperatorsAddr, at(state.Configuration), f.Now)
			f.ask(o)
		})
	}
}

// take gives a process the configuration, and has it pass on that it does.
func (f *spread) take(p *spreader, version uint64) {
	if version <= p.state.Configuration {
		return
	}
	p.state.Configuration, p.began = version, f.Now
	f.tell(p, p.roster.Successors(f.rng))
}

// ask has a process ask whom it is to ask now.
func (f *spread) ask(p *spreader) {
	p.fetch.SetHeld(at(p.state.Configuration))
	source, ok := p.fetch.Next(f.Now)
	if !ok {
		return
	}
	if source.IsStore() { // it serves only those that watch
		f.After(wayDelay, func() { f.end(p, source, fetcher.Failed) })
		return
	}
	o := f.at[source.Peer]
	version := o.state.Configuration
	f.After(2*wayDelay, func() { f.transfer(p, o, version, source) })
}

// transfer brings a configuration from one process to another, unless it takes longer
// than the receiver waits.
func (f *spread) transfer(p, from *spreader, version uint64, source fetcher.Source) {
	if version <= p.state.Configuration {
		f.end(p, source, fetcher.Delivered)
		return
	}
	if len(from.flows) >= mostTransfers {
		f.refused++
		f.end(p, source, fetcher.Busy)
		return
	}
	t := &flow{left: f.size}
	t.done = func() {
		f.take(p, version)
		f.end(p, source, fetcher.Delivered)
	}
	f.account(from)
	from.flows = append(from.flows, t)
	f.schedule(from)
	f.After(relayTimeout, func() {
		if t.closed {
			return
		}
		f.account(from)
		t.closed = true
		f.given++
		f.schedule(from)
		f.end(p, source, fetcher.Failed)
	})
}

func (f *spread) end(p *spreader, source fetcher.Source, outcome fetcher.Outcome) {
	p.fetch.SetHeld(at(p.state.Configuration))
	p.fetch.Done(source, outcome, f.Now)
	f.ask(p)
}

// account shares the time since the last change out among a link's transfers.
func (f *spread) account(p *spreader) {
	each := f.Now.Sub(p.changed).Seconds() * narrow / max(1, float64(len(p.flows)))
	p.changed = f.Now
	for _, t := range p.flows {
		f.sent += min(each, t.left)
		t.left -= each
	}
}

// schedule drops the transfers that have ended, and waits for the next one to end.
func (f *spread) schedule(p *spreader) {
	var open []*flow
	least := f.size
	for _, t := range p.flows {
		if !t.closed {
			open = append(open, t)
			least = min(least, t.left)
		}
	}
	p.flows = open
	p.timer++
	timer := p.timer
	if len(open) == 0 {
		return
	}
	wait := time.Duration(max(0, least)*float64(len(open))/narrow*float64(time.Second)) + time.Microsecond
	f.After(wait, func() {
		if p.timer == timer {
			f.finish(p)
		}
	})
}

// finish ends the transfers that have brought everything.
func (f *spread) finish(p *spreader) {
	f.account(p)
	var done []*flow
	for _, t := range p.flows {
		if t.left <= 0 {
			t.closed = true
			done = append(done, t)
		}
	}
	f.schedule(p)
	for _, t := range done {
		t.done()
	}
}

// many returns a configuration as large as a store's object of 1 MiB may hold, whose
// names have nothing in common.
func many() cataloger.Config {
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
			MaxAge: 1500 * time.Millisecond, Timeout: time.Second, Objective: 200 * time.Millisecond, Priority: 1 + rng.IntN(2),
		})
	}
	return c
}

// Guards against large configurations that fill narrow links and come into force late.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	const (
		bound = 5 * time.Second // from the store's acknowledgement
		read  = 840 * time.Millisecond
	)
	config := many()
	body, err := pack(&config)
	is.New(t).NoErr(err)
	for _, n := range []int{9, 91, 195} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			f := newSpread(n, len(body), 0.1)
			f.RunFor(3 * time.Second)
			acknowledged := f.Now
			f.RunFor(read) // the two that watch read 1 MiB
			for i := range watchers {
				f.take(f.procs[i], config.Version)
			}
			f.RunUntil(acknowledged.Add(bound))
			lacking, last := 0, time.Duration(0)
			for _, p := range f.procs {
				if p.state.Configuration < config.Version {
					lacking++
					continue
				}
				last = max(last, p.began.Sub(acknowledged))
			}
			t.Logf("%d bytes each; %d of %d lack it after %s, the last of the others had it after %s; %d transfers given up, %d refused, %.1f MB sent",
				len(body), lacking, n, bound, last, f.given, f.refused, f.sent/1e6)
			is.Equal(lacking, 0)
		})
	}
}

// Guards against a fleet that takes long to agree on a restored store, or asks it for as
// much as there are processes.
func TestARestoredStoreIsKnownToAllSoon(t *testing.T) {
	const (
		bound  = upstreamsCheck // as of any other change
		latest = lastRetry      // after the store's return one of those that watch finds it
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
			body, err := json.Marshal(bundle{Entries: cataloger.Changes{Upstreams: entries}})
			is.NoErr(err)
			f := newSpread(n, len(body), 0.1)
			f.RunFor(3 * time.Second)
			back := f.Now
			var found time.Duration
			for i := range watchers {
				at := latest/2 + time.Duration(f.rng.Int64N(int64(latest/2)))
				if i == 0 || at < found {
					found = at
				}
				f.After(at, func() { f.take(f.procs[i], 2) })
			}
			f.RunUntil(back.Add(bound))
			last, duties := time.Duration(0), time.Duration(0)
			for i, p := range f.procs {
				is.Equal(p.state.Configuration, uint64(2))
				took := p.began.Sub(back)
				last = max(last, took)
				if i < groups { // it has the duty for one, and looks at it each period
					look := time.Duration(f.rng.Int64N(int64(controlPeriod)))
					duties = max(duties, took+look+2*(storeAnswer+2*wayDelay))
				}
			}
			calls := 2*watchers + 2*n + 2*groups // lists of two kinds, own entries twice, claims
			t.Logf("%d groups: found after %s, known to all after %s, duties taken anew after %s, %.2f MB between processes, %d calls to the store",
				groups, found, last, duties, f.sent/1e6, calls)
		})
	}
}
