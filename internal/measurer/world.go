package measurer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"basildale.example/basildale/internal/modeler"
	"basildale.example/basildale/marker"
	"basildale.example/basildale/router"
	"basildale.example/basildale/tracker"
)

// The sizes of the model.
const (
	proxies       = 9
	zones         = 3
	warmUp        = 3 * time.Second // until homes are believed
	length        = 6 * time.Second // measured
	share         = 2               // slots of one proxy at an upstream; they may add up to more
	between       = time.Millisecond
	within        = 100 * time.Microsecond
	defaultSample = 50 * time.Millisecond
	defaultSize   = 180
)

// world is one run.
type world struct {
	c         Case
	clock     modeler.Clock
	random    *rand.Rand
	upstreams []*upstream
	proxies   []*proxy
	log       []entry
	ids       uint64
	half      time.Time // when the trouble begins
	end       time.Time
	result    Result
}

// Run plays a case.
func Run(c Case) *Result {
	if c.Sessions == 0 {
		c.Sessions = defaultSize
	}
	if c.Sample == 0 {
		c.Sample = defaultSample
	}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{c: c, random: rand.New(rand.NewPCG(c.Seed, 1)), result: Result{Case: c, Length: length}}
	w.clock.Now = start
	w.half = start.Add(warmUp + length/2)
	w.end = start.Add(warmUp + length)
	w.build()
	for i := range c.Sessions {
		w.newSession(i)
	}
	w.clock.After(0, w.replicate)
	w.clock.At(start.Add(warmUp), func() { w.result.Pings, w.result.Checks = 0, 0 })
	w.clock.At(w.half, w.trouble)
	w.clock.RunUntil(w.end.Add(bookingLimit))
	return &w.result
}

// build makes upstreams and proxies.
func (w *world) build() {
	for i := range zones {
		u := &upstream{w: w, index: i, role: tracker.Replica, term: tracker.Term{Epoch: 1}, slow: 1}
		u.redraw()
		w.upstreams = append(w.upstreams, u)
	}
	w.upstreams[0].role = tracker.Primary
	for i := range proxies {
		p := &proxy{w: w, index: i, name: fmt.Sprint("p", i), zone: i % zones, hand: make(map[uint64]*statement)}
		p.marker.Settings = marker.Settings{Self: p.name, Seed: uint64(i+1) << 40}
		p.group.Local = make([]bool, zones)
		p.group.Local[p.zone] = true
		p.load = router.NewLoad(zones, share, w.clock.Now)
		p.snap = p.group.Snapshot()
		w.proxies = append(w.proxies, p)
	}
	w.list(1)
	for i, p := range w.proxies {
		w.clock.After(w.c.Sample*time.Duration(i)/proxies, p.sample)
	}
}

// list gives the live proxies to all of them.
func (w *world) list(version uint64) {
	var names []string
	for _, p := range w.proxies {
		if !p.dead {
			names = append(names, p.name)
		}
	}
	for _, p := range w.proxies {
		p.step(marker.Viewed{Version: version, Members: names})
	}
}

// sample asks all upstreams for their state, again and again.
func (p *proxy) sample() {
	for _, u := range p.w.upstreams {
		p.ask(u, func(tracker.State) {})
	}
	p.w.clock.After(p.w.c.Sample, p.sample)
}

// replicate moves the replicas on, again and again.
func (w *world) replicate() {
	redraw := w.clock.Now.UnixNano()%int64(lagTime) == 0
	for _, u := range w.upstreams {
		if redraw {
			u.redraw()
		}
		u.apply()
	}
	w.clock.After(replicate, w.replicate)
}

// trouble lets go wrong what is to go wrong.
func (w *world) trouble() {
	switch w.c.Trouble {
	case ProxyDies:
		w.proxies[4].dead = true
		w.clock.After(2*time.Second, func() { w.list(2) })
	case Promotion:
		w.kill(w.upstreams[0])
		w.clock.After(1500*time.Millisecond, w.promote)
	case PeerSilent:
		w.proxies[4].cut = true
		w.clock.After(3*time.Second, func() { w.proxies[4].cut = false })
	case ReplicaSlow:
		w.upstreams[1].slow = 5
	case ReplicaLags:
		w.upstreams[1].stuck = true
		w.clock.After(3*time.Second, func() { w.upstreams[1].stuck = false })
	}
}

// kill ends an upstream: its connections break.
func (w *world) kill(u *upstream) {
	u.dead = true
	queue := u.queue
	u.queue = nil
	for _, j := range queue {
		j.done(u, tracker.Mark{}, false)
	}
	for _, p := range w.proxies {
		p.group.Lost(u.index)
		p.snap = p.group.Snapshot()
	}
}

// way returns how the mark of a session's reads is found.
func (w *world) way(s *session) Way {
	if w.c.Way != Mix {
		return w.c.Way
	}
	if s.use == Alternate || s.use == Double {
		return Home
	}
	return Mix
}

func (w *world) named(name string) *proxy {
	for _, p := range w.proxies {
		if p.name == name {
			return p
		}
	}
	return nil
}

// hop returns the time of one way between two zones.
func (w *world) hop(a, b int) time.Duration {
	if a == b {
		return within
	}
	return between
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * w.random.ExpFloat64())
}

// quantile returns a quantile of the latencies of lookups in time.
func (r *Result) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}
