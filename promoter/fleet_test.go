package promoter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/promoter"
	"basildale.example/basildale/tracker"
)

const (
	ms = time.Millisecond
	// deathSeen is how long membership takes to see a death.
	deathSeen = 1500 * ms
	// writeEvery is the time between the writes of one proxy.
	writeEvery = 50 * ms
	// allowed is the time a write has.
	allowed = 2 * time.Second
	proxies = 9
)

// options are what a run varies besides its faults.
type options struct {
	settings  promoter.Settings
	noConfirm bool
	// statement and spread shape the lognormal latency of an upstream.
	statement time.Duration
	spread    float64
	allowed   time.Duration
	// zones is the number of availability zones, 3 if zero.
	zones int
}

// world is one group with its proxies in virtual time.
type world struct {
	clock
	options
	upstreams []*fakeUpstream
	proxies   []*fakeProxy
	platform  fakePlatform
	// side tells the halves of a partition apart, by zone.
	side  map[string]int
	cutAt time.Time
	loss  float64
	// onStep sees each step command before it is carried out.
	onStep func(p *fakeProxy, c promoter.Command)
	hidden map[string]string

	nextID   int
	acked    map[int]time.Time
	ackTimes []time.Time
	delays   []time.Duration
	notRun   int
	unknown  int
	lost     int
	// promoted is who was promoted in each term; promotions counts them.
	promoted   map[tracker.Term]netip.AddrPort
	promotions int
	// promotedAt is the time of the last promotion, learnedIn how long it took
	// until the last proxy on its side had heard.
	promotedAt time.Time
	learnedIn  time.Duration
	healed     bool
	violations []string
	moved      []promoter.Moved
}

func newWorld(seed uint64, o options) *world {
	w := &world{
		clock:    clock{Clock: modeler.Clock{Now: epochStart}, rng: rand.New(rand.NewPCG(seed, 7))},
		options:  o,
		side:     make(map[string]int),
		hidden:   make(map[string]string),
		acked:    make(map[int]time.Time),
		promoted: make(map[tracker.Term]netip.AddrPort),
	}
	if w.statement == 0 {
		w.statement, w.spread = 2*ms, 0.3
	}
	if w.zones == 0 {
		w.zones = 3
	}
	if w.allowed == 0 {
		w.allowed = allowed
	}
	first := tracker.Term{Epoch: 1}
	for i := range 3 {
		u := &fakeUpstream{
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 5432),
			zone: w.zone(i), slow: 1, state: tracker.State{Role: tracker.Replica, Term: first},
		}
		w.upstreams = append(w.upstreams, u)
		u.follows = w.upstreams[0].addr
	}
	w.upstreams[0].state.Role = tracker.Primary
	w.promoted[first] = w.upstreams[0].addr
	for i := range proxies {
		w.proxies = append(w.proxies, newProxy(w, i))
	}
	w.After(0, w.resync)
	w.announceMembers()
	for _, p := range w.proxies {
		p.handle(promoter.Upstreams{List: w.addrs()})
		w.After(w.uniform(writeEvery), p.writeLoop)
	}
	return w
}

func (w *world) zone(i int) string { return fmt.Sprintf("zone-%d", i%w.zones) }

func (w *world) addrs() []netip.AddrPort {
	var list []netip.AddrPort
	for _, u := range w.upstreams {
		list = append(list, u.addr)
	}
	return list
}

func (w *world) upstream(a netip.AddrPort) *fakeUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *fakeUpstream) bool { return u.addr == a })
	return w.upstreams[i]
}

// primary returns the upstream that leads in the highest term.
func (w *world) primary() *fakeUpstream {
	var best *fakeUpstream
	for _, u := range w.upstreams {
		if u.state.Role == tracker.Primary && (best == nil || best.state.Term.Less(u.state.Term)) {
			best = u
		}
	}
	return best
}

// send runs f after the way from one zone to another, if it gets there.
func (w *world) send(from, to string, f func()) {
	d := 250*time.Microsecond + w.uniform(ms/10)
	if from != to {
		d = ms + w.uniform(ms/5)
	}
	if w.side[from] != w.side[to] || w.rng.Float64() < w.loss {
		return
	}
	w.After(d, func() {
		if w.side[from] == w.side[to] {
			f()
		}
	})
}

// service is the time a statement takes in an upstream.
func (w *world) service(u *fakeUpstream) time.Duration {
	return time.Duration(float64(w.statement) * u.slow * math.Exp(w.spread*w.rng.NormFloat64()))
}

// resync lets replicas take what they missed.
func (w *world) resync() {
	for _, u := range w.upstreams {
		w.pull(u)
	}
	w.After(10*ms, w.resync)
}

func (w *world) pull(u *fakeUpstream) {
	if u.dead || !u.follows.IsValid() {
		return
	}
	if p := w.upstream(u.follows); !p.dead && w.side[p.zone] == w.side[u.zone] {
		u.pull(p, w.Now)
	}
}

// append runs a write on a primary and ships it.
func (w *world) append(u *fakeUpstream, id int) tracker.Mark {
	u.log = append(u.log, logEntry{term: u.state.Term, id: id, at: w.Now})
	u.refreshMark()
	for _, r := range w.upstreams {
		if r != u {
			w.send(u.zone, r.zone, func() { w.After(r.lag, func() { w.pull(r) }) })
		}
	}
	return u.state.Mark
}

// notePromotion checks that a term has one primary, with all acknowledged so far.
func (w *world) notePromotion(u *fakeUpstream, t tracker.Term) {
	if other, ok := w.promoted[t]; ok {
		if other != u.addr {
			w.violate("two primaries in term %v", t)
		}
		return
	}
	w.promoted[t] = u.addr
	w.promotions++
	w.promotedAt = w.Now
	w.checkAcked(u, "promoted")
}

func (w *world) checkAcked(u *fakeUpstream, when string) {
	held := make(map[int]int)
	for _, e := range u.log {
		held[e.id]++
	}
	for id := range w.acked {
		if held[id] == 0 {
			w.lost++
			if !w.noConfirm {
				w.violate("acknowledged write %d is missing when %s", id, when)
			}
			delete(w.acked, id)
		}
	}
	for id, n := range held {
		if n > 1 {
			w.violate("write %d is there %d times", id, n)
		}
	}
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// acknowledge notes an acknowledgement. A primary of a later term must have it.
func (w *world) acknowledge(id int, term tracker.Term, begun time.Time) {
	w.acked[id] = w.Now
	w.ackTimes = append(w.ackTimes, w.Now)
	w.delays = append(w.delays, w.Now.Sub(begun))
	u := w.primary()
	if u != nil && term.Less(u.state.Term) &&
		!slices.ContainsFunc(u.log, func(e logEntry) bool { return e.id == id }) {
		w.lost++
		if !w.noConfirm {
			w.violate("write %d acknowledged in %v is not in %v", id, term, u.state.Term)
		}
		delete(w.acked, id)
	}
}

// announceMembers tells each proxy who lives, as membership would.
func (w *world) announceMembers() {
	for _, p := range w.proxies {
		var live []promoter.Member
		for _, o := range w.proxies {
			if !w.goneFor(p, o) && w.hidden[p.id] != o.id {
				live = append(live, promoter.Member{ID: o.id, Zone: o.zone})
			}
		}
		p.deliver(func() { p.handle(promoter.Members{Live: live}) })
	}
}

// goneFor reports whether membership at p has o for dead.
func (w *world) goneFor(p, o *fakeProxy) bool {
	stopped := o.dead || o.pausedUntil.After(w.Now)
	cut := w.side[p.zone] != w.side[o.zone]
	return stopped && w.Now.Sub(o.stoppedAt) >= deathSeen || cut && w.Now.Sub(w.cutAt) >= deathSeen
}

// kill ends a proxy; the others hear of it later.
func (w *world) kill(p *fakeProxy) {
	p.dead = true
	p.stoppedAt = w.Now
	w.After(deathSeen, w.announceMembers)
}

// pause stops a proxy for a while, unknown to itself.
func (w *world) pause(p *fakeProxy, d time.Duration) {
	p.pausedUntil = w.Now.Add(d)
	p.stoppedAt = w.Now
	w.After(deathSeen, w.announceMembers)
	w.After(d, w.announceMembers)
}

// cut separates a zone from the others.
func (w *world) cut(zone string) {
	w.side[zone] = 1
	w.cutAt = w.Now
	w.After(deathSeen, w.announceMembers)
}

// heal ends all faults but those of proxies. A crashed upstream comes back as it
// was, so a replaced primary still believes that it leads.
func (w *world) heal() {
	clear(w.side)
	clear(w.hidden)
	w.loss = 0
	w.onStep = nil
	w.platform.mode = platformUp
	for _, u := range w.upstreams {
		u.dead, u.silent, u.lag, u.slow = false, false, 0, 1
	}
	w.announceMembers()
}

// checkEnd checks that the group is whole again.
func (w *world) checkEnd() {
	u := w.primary()
	w.checkAcked(u, "all is over")
	for _, r := range w.upstreams {
		if r != u && (r.state.Role != tracker.Replica || r.state.Term != u.state.Term || r.follows != u.addr) {
			w.violate("%v is %v at %v behind %v", r.addr, r.state.Role, r.state.Term, r.follows)
		}
	}
	for _, p := range w.proxies {
		if !p.dead && (p.primary != u.addr || p.term != u.state.Term) {
			w.violate("%s uses %v at %v", p.id, p.primary, p.term)
		}
	}
	if last := w.ackTimes[len(w.ackTimes)-1]; w.Now.Sub(last) > 100*ms {
		w.violate("no write for %v", w.Now.Sub(last))
	}
}

// gap returns the longest time without an acknowledged write since then.
func (w *world) gap(since time.Time) time.Duration {
	var longest time.Duration
	last := since
	for _, t := range append(slices.Clone(w.ackTimes), w.Now) {
		if t.Before(since) {
			last = t
			continue
		}
		longest = max(longest, t.Sub(last))
		last = t
	}
	return longest
}

// call carries a request from a proxy to an upstream and its answer back.
func (w *world) call(p *fakeProxy, u *fakeUpstream, do, answer, refused func()) {
	w.send(p.zone, u.zone, func() {
		switch {
		case u.silent:
		case u.dead:
			w.send(u.zone, p.zone, func() { p.deliver(refused) })
		default:
			w.After(w.service(u), func() {
				if u.dead {
					return
				}
				do()
				w.send(u.zone, p.zone, func() { p.deliver(answer) })
			})
		}
	})
}
