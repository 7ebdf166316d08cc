package configurator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"basildale.example/basildale/internal/modeler"
)

// envelope is what a request between proxies costs around its message: the
// JSON-RPC fields of request and empty answer, and the headers of two packets
// with their acknowledgements, in bytes.
const envelope = 360

// tellSize is a Message with a Tell of a long life, as JSON.
const tellSize = len(`{"tell":{"version":1000000,"want":1}}`)

const tickEvery = 250 * time.Millisecond

// proxy is one member with its relay.
type proxy struct {
	Relay
	region int
	dead   bool
	calls  int // to the platform
	bytes  int // sent and received
	joined time.Time
	at     map[uint64]time.Time // when each version was adopted
}

type waiting struct {
	p   *proxy
	cmd Watch
}

// fleet is the relays of many proxies, a platform and the delays between them,
// in virtual time. The zero values of the faults are no faults.
type fleet struct {
	t *testing.T
	modeler.Clock
	rng     *rand.Rand
	proxies []*proxy
	byAddr  map[netip.AddrPort]*proxy
	history Store // of the platform
	watches []waiting

	loss float64                        // share of messages lost
	cut  func(p *proxy) bool            // whether p can't reach the platform
	slow time.Duration                  // of each answer of the platform
	part func(a, b *proxy) (split bool) // whether two proxies can't reach each other
}

// newFleet returns n proxies spread over zones, which are spread over regions.
// All know each other, and have joined when it returns.
func newFleet(t *testing.T, seed uint64, n, zones, regions int, objects []Object) *fleet {
	f := &fleet{
		t: t, Clock: modeler.Clock{Now: time.Unix(1_000_000, 0)}, rng: rand.New(rand.NewPCG(seed, 7)),
		byAddr: make(map[netip.AddrPort]*proxy),
		cut:    func(*proxy) bool { return false },
		part:   func(_, _ *proxy) bool { return false },
	}
	for _, o := range objects {
		f.history.take(o)
	}
	for i := range n {
		f.add(i, i%zones, i%zones%regions)
	}
	f.tellMembers()
	f.RunFor(3 * time.Second)
	return f
}

func (f *fleet) add(i, zone, region int) *proxy {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(zone), byte(i >> 8), byte(i)}), 7400)
	p := &proxy{region: region, at: make(map[uint64]time.Time)}
	p.Self = Member{Address: addr, Zone: fmt.Sprintf("zone-%d", zone)}
	f.proxies = append(f.proxies, p)
	f.byAddr[addr] = p
	f.After(time.Duration(f.rng.Int64N(int64(tickEvery))), func() { f.tick(p) })
	return p
}

// tellMembers tells every proxy who lives, dead ones that nobody has noticed too.
func (f *fleet) tellMembers() {
	members := make([]Member, len(f.proxies))
	for i, p := range f.proxies {
		members[i] = p.Self
	}
	for _, p := range f.proxies {
		f.After(0, func() { f.handle(p, MembersChanged{Members: members}) })
	}
}

func (f *fleet) tick(p *proxy) {
	f.handle(p, Ticked{})
	f.After(tickEvery, func() { f.tick(p) })
}

// handle gives a relay an event and carries out its commands. It is here that a
// version that falls is seen.
func (f *fleet) handle(p *proxy, ev Event) {
	if p.dead {
		return
	}
	before := p.Version()
	commands := p.Handle(ev, f.Now)
	if p.Version() < before {
		f.t.Fatalf("%s: version fell from %d to %d by %T", p.Self.Address, before, p.Version(), ev)
	}
	for _, c := range commands {
		switch c := c.(type) {
		case Watch:
			f.watch(p, c)
		case TellPeer:
			f.send(p, c.Peer, c.Message())
		case SendPeer:
			f.send(p, c.Peer, c.Message())
		case Adopted:
			p.at[c.Version] = f.Now
		case Joined:
			p.joined = f.Now
		}
	}
}

func (f *fleet) send(from *proxy, to netip.AddrPort, m Message) {
	p := f.byAddr[to]
	size := envelope + tellSize
	if m.Delta != nil {
		b, err := json.Marshal(m)
		if err != nil {
			f.t.Fatal(err)
		}
		size = envelope + len(b)
	}
	from.bytes += size
	if f.rng.Float64() < f.loss || f.part(from, p) {
		return
	}
	f.After(f.delay(from, p), func() {
		if !p.dead {
			p.bytes += size
			f.handle(p, m.Event(from.Self.Address))
		}
	})
}

// delay is one way between two proxies: 0.5 ms within a zone, 1 ms within a
// region, 40 to 80 ms between regions, and up to 2 ms until the receiver runs.
func (f *fleet) delay(a, b *proxy) time.Duration {
	work := time.Duration(f.rng.Int64N(int64(2 * time.Millisecond)))
	switch {
	case a.Self.Zone == b.Self.Zone:
		return work + 500*time.Microsecond
	case a.region == b.region:
		return work + time.Millisecond
	default:
		return work + 40*time.Millisecond + time.Duration(f.rng.Int64N(int64(40*time.Millisecond)))
	}
}

// platformDelay is one way to the platform, which stands in region 0.
func (f *fleet) platformDelay(p *proxy) time.Duration {
	d := 2*time.Millisecond + time.Duration(f.rng.Int64N(int64(4*time.Millisecond)))
	if p.region != 0 {
		d += 60 * time.Millisecond
	}
	return d
}

func (f *fleet) watch(p *proxy, c Watch) {
	p.calls++
	wait := c.Until.Sub(f.Now)
	f.After(f.platformDelay(p), func() {
		if f.cut(p) {
			f.After(f.platformDelay(p), func() { f.handle(p, WatchFailed{Seq: c.Seq}) })
			return
		}
		if wait <= 0 || f.history.Version() > c.After {
			f.answer(p, c)
			return
		}
		f.watches = append(f.watches, waiting{p, c})
		f.After(wait, func() { f.expire(c.Seq, p) })
	})
}

func (f *fleet) expire(seq uint64, p *proxy) {
	for i, w := range f.watches {
		if w.p == p && w.cmd.Seq == seq {
			f.watches = append(f.watches[:i], f.watches[i+1:]...)
			f.answer(p, w.cmd)
			return
		}
	}
}

func (f *fleet) answer(p *proxy, c Watch) {
	d := f.history.Since(c.After, 1<<20)
	f.After(f.slow+f.platformDelay(p), func() {
		f.handle(p, WatchAnswered{Seq: c.Seq, After: c.After, Items: d.Items, More: !d.whole()})
	})
}

// put stores an object in the platform and returns its version.
func (f *fleet) put(o Object) uint64 {
	o.Version = f.history.Version() + 1
	f.history.take(o)
	woken := f.watches
	f.watches = nil
	for _, w := range woken {
		if f.cut(w.p) {
			f.handle(w.p, WatchFailed{Seq: w.cmd.Seq})
			continue
		}
		f.answer(w.p, w.cmd)
	}
	return o.Version
}
