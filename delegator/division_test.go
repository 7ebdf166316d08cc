package delegator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/internal/modeler"
)

const (
	divisionGateways = 6
	divisionShare    = 7
	divisionTime     = 2 * time.Minute
	divisionRuns     = 5
	holdTime         = 150 * time.Millisecond // of a connection, by a transaction
)

// divided is gateways of three zones before one upstream, in virtual time. Callers of each
// arrive at random and hold a connection for some time.
type divided struct {
	modeler.Clock
	swing float64 // of the demand of a zone, in 15 s
	mean  float64 // connections in use by a gateway
	begun time.Time
	all   []*dividedGateway
	lent  int // connections
	kinds map[ReportKind]int
}

type dividedGateway struct {
	name     string
	rng      *rand.Rand // its callers are the same whatever is lent
	phase    float64
	lender   *SpareLender
	taker    *SpareBorrower
	own      int // limit of own connections
	extras   []Extra
	busy     int
	peak     int
	queue    []caller
	waits    int
	waited   time.Duration
	reported [2]int // running, waiting
}

type caller struct {
	at    time.Time
	holds time.Duration
}

func newDivided(seed uint64, swing, mean float64, on bool) *divided {
	d := &divided{swing: swing, mean: mean, begun: time.Unix(1_800_000_000, 0), kinds: map[ReportKind]int{}}
	d.Now = d.begun
	for i := range divisionGateways {
		g := &dividedGateway{name: fmt.Sprint("p", i), rng: rand.New(rand.NewPCG(seed, uint64(i))), phase: 2 * math.Pi * float64(i%3) / 3, own: divisionShare}
		g.lender, g.taker = &SpareLender{Self: g.name, Upstream: "a"}, &SpareBorrower{Start: int64(i + 1), Upstream: "a"}
		d.all = append(d.all, g)
		d.arrive(g)
		if on {
			d.tick(g, time.Duration(i)*7*time.Millisecond)
		}
	}
	return d
}

// arrive has callers of a gateway arrive.
func (d *divided) arrive(g *dividedGateway) {
	at := d.Now.Sub(d.begun).Seconds()
	rate := d.mean / holdTime.Seconds() * (1 + d.swing*math.Sin(2*math.Pi*at/15+g.phase))
	d.After(time.Duration(g.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		g.queue = append(g.queue, caller{d.Now, time.Duration(g.rng.ExpFloat64() * float64(holdTime))})
		d.serve(g)
		if n := len(g.queue); n > 0 && g.queue[n-1].at.Equal(d.Now) {
			g.waits++
		}
		d.arrive(g)
	})
}

func (d *divided) serve(g *dividedGateway) {
	for len(g.queue) > 0 && g.busy < g.limit(d.Now) {
		c := g.queue[0]
		g.waited += d.Now.Sub(c.at)
		g.queue = g.queue[1:]
		g.busy++
		g.peak = max(g.peak, g.busy)
		d.After(c.holds, func() {
			g.busy--
			d.serve(g)
		})
	}
}

func (g *dividedGateway) limit(now time.Time) int {
	n := g.own
	for _, e := range g.extras {
		if e.Serving && now.Before(e.Until) {
			n += e.Count
		}
	}
	return n
}

// tick lets time pass in a gateway, and has it report twice a second.
func (d *divided) tick(g *dividedGateway, after time.Duration) {
	d.After(after, func() {
		if d.Now.Sub(d.begun)/(50*time.Millisecond)%10 == 0 {
			g.reported = [2]int{g.busy, len(g.queue)}
		}
		d.execute(g, g.taker.Handle(Passed{}, d.situation(g), d.Now), nil)
		v := SpareView{Basis: Basis{Leader: "a", Share: divisionShare}, Open: max(g.busy, g.limit(d.Now)), Peak: g.peak, Waiting: len(g.queue)}
		if !g.taker.IsIdle() {
			v.Obstacle = "has borrowed"
		}
		for _, o := range d.all {
			if o != g {
				v.Peers = append(v.Peers, SparePeer{Peer: Peer{Name: o.name}, Running: o.reported[0], Waiting: o.reported[1]})
			}
		}
		g.peak = g.busy
		d.execute(g, g.lender.Handle(SpareTick{v}, d.Now), nil)
		d.tick(g, 50*time.Millisecond)
	})
}

func (d *divided) situation(g *dividedGateway) SpareSituation {
	s := SpareSituation{Basis: Basis{Leader: "a", Share: divisionShare}, Held: max(g.busy, g.limit(d.Now)), Busy: g.busy, Waiting: len(g.queue)}
	if !g.lender.IsIdle() {
		s.Refusal = "has lent"
	}
	return s
}

func (d *divided) execute(g *dividedGateway, commands []Command, respond func(Reply)) {
	for _, cmd := range commands {
		switch c := cmd.(type) {
		case Limit:
			g.own = c.Count
		case Unlimit:
			g.own = divisionShare
		case Extend:
			g.extras = c.Extras
		case Respond:
			respond(c.Reply)
		case Report:
			d.kinds[c.Kind]++
			if c.Kind == Accepted {
				d.lent += c.Count
			}
		case Send:
			d.send(g, c)
		}
	}
	d.serve(g)
}

func (d *divided) send(g *dividedGateway, c Send) {
	var event any
	if c.Lend != nil {
		event = Lent{*c.Lend}
	} else {
		event = Returned{*c.Return}
	}
	for _, o := range d.all {
		if o.name == c.To.Name {
			d.After(2*time.Millisecond, func() {
				d.execute(o, o.taker.Handle(event, d.situation(o), d.Now), func(r Reply) {
					d.After(2*time.Millisecond, func() { d.execute(g, g.lender.Handle(Answered{Seq: c.Seq, Reply: r}, d.Now), nil) })
				})
			})
		}
	}
}

// What callers wait for a connection while the peak of the demand moves over three zones, and
// that nothing moves while the demand is even.
func TestDivisionFollowsMovingPeak(t *testing.T) {
	is := is.New(t)
	var golden strings.Builder
	for _, c := range []struct{ swing, mean float64 }{{0.55, 4.5}, {0.55, 3.5}, {0.55, 2.5}, {0, 4.5}, {0, 3.5}, {0, 2.5}, {0, 1}} {
		for _, on := range []bool{false, true} {
			fmt.Fprintf(&golden, "swing %.2f, mean %.1f of %d in use, demand %-5t:", c.swing, c.mean, divisionShare, on)
			var waits [divisionGateways]int
			var waited time.Duration
			lent, kinds := 0, map[ReportKind]int{}
			for seed := range uint64(divisionRuns) {
				d := newDivided(seed, c.swing, c.mean, on)
				d.RunFor(divisionTime)
				for i, g := range d.all {
					waits[i] += g.waits
					waited += g.waited
				}
				lent += d.lent
				for k, n := range d.kinds {
					kinds[k] += n
				}
			}
			fmt.Fprintf(&golden, " waits %d, together %.1f s; loans %d of %d connections, refused %d, recalled %d\n", waits, waited.Seconds(), kinds[Accepted], lent, kinds[Refused], kinds[Recalled])
			if c.swing == 0 {
				is.Equal(lent, 0)
			}
		}
	}
	matcher.Golden(t, "testdata/division.golden", golden.String())
}
