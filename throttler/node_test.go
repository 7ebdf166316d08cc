package throttler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/cataloger"
)

// histories is the number of random histories that are simulated; run by hand with more.
var histories = flag.Int("histories", 150, "drawn histories of a fleet")

var (
	tolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	small     = cataloger.Quota{Rate: 5, Burst: 5}
	large     = cataloger.Quota{Rate: 117, Burst: 117}
)

// A workspace below its quota is served, whichever processes its operations arrive at, and
// one above it gets its quota.
func TestQuotasFollowTheLoad(t *testing.T) {
	t.Parallel()
	for _, quota := range []cataloger.Quota{small, large} {
		for _, n := range []int{1, 9, 83} {
			for _, at := range []int{1, 5, n} {
				t.Run(fmt.Sprint(quota.Rate, " a second, ", min(at, n), " of ", n), func(t *testing.T) {
					is := is.New(t)
					f := newFleet(n, tolerance, quota, 1)
					f.run(4 * time.Second)
					f.load(0.625*quota.Rate, all(min(at, n)), 20*time.Second)
					f.run(21 * time.Second)
					is.Equal(f.refused, 0)
					f.load(4*quota.Rate, all(min(at, n)), 20*time.Second)
					f.run(21 * time.Second)
					is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
					is.True(float64(f.maxGranted(20*time.Second)) >= 0.95*20*quota.Rate)
				})
			}
		}
	}
}

// disturb injects a random fault.
func disturb(f *fleet, rng *rand.Rand, kinds int) {
	p := f.processes[rng.IntN(len(f.processes))]
	forSome := func(action func(*process)) {
		share := rng.Float64()
		for _, p := range f.processes {
			if rng.Float64() < share {
				action(p)
			}
		}
	}
	span := time.Duration(rng.IntN(4000)) * time.Millisecond
	switch rng.IntN(kinds) {
	case 0: // it ends, and is back
		p.down = true
		f.after(span, func() { f.start(p) })
	case 1: // many end at once
		forSome(func(p *process) {
			p.down = true
			f.after(span, func() { f.start(p) })
		})
	case 2: // the fleet is partitioned
		forSome(func(p *process) { p.partition = 1 })
		f.after(span, func() {
			for _, p := range f.processes {
				p.partition = 0
			}
		})
	case 3: // the owner ends
		owner, _ := p.node.Owner("w")
		for _, p := range f.processes {
			if f.name(p) == owner.Name {
				p.down = true
				f.after(span, func() { f.start(p) })
			}
		}
	case 4: // messages get lost
		f.lossRate = rng.Float64() / 2
		f.after(span, func() { f.lossRate = 0 })
	case 5: // messages are slow
		f.maxDelay = time.Duration(1+rng.IntN(800)) * time.Millisecond
		f.after(span, func() { f.maxDelay = 2 * time.Millisecond })
	case 6: // a process restarts without a pause
		f.start(p)
	case 7: // the settings of some change
		ranked := rng.IntN(2) == 0
		forSome(func(p *process) { p.node.Ranked = ranked })
	case 8: // the owner is paused, and back with what it had
		owner, _ := p.node.Owner("w")
		for _, p := range f.processes {
			if f.name(p) == owner.Name {
				p.paused = true
				f.after(span, func() { f.resume(p) })
			}
		}
	case 9: // all lose power
		for _, p := range f.processes {
			p.down = true
			f.after(span, func() { f.start(p) })
		}
	}
}

// Guards against more operations than a quota allows, in any window: while processes end,
// are partitioned or restart, and messages are lost or late, at any moment.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*histories) {
		rng := rand.New(rand.NewPCG(seed, 2))
		playHistory(t, seed, rng, 7, nil)
	}
}

// Guards against more operations than a quota allows, in any window, with the messages and
// decisions of ranked processes: all of them, some beside others with the plain rule, and
// while the setting is switched.
func TestRankedQuotaHoldsInEveryWindow(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*histories) {
		rng := rand.New(rand.NewPCG(seed, 3))
		share := []float64{1, 1, 0.5}[seed%3]
		playHistory(t, seed, rng, []int{7, 10, 10}[seed%3], func(*process) bool { return rng.Float64() < share })
	}
}

// playHistory plays one random history with some kinds of faults.
func playHistory(t *testing.T, seed uint64, rng *rand.Rand, kinds int, ranked func(*process) bool) {
	t.Helper()
	quota := cataloger.Quota{Rate: float64(1 + rng.IntN(150))}
	quota.Burst = quota.Rate * (0.2 + 2*rng.Float64())
	n := 1 + rng.IntN(9)
	f := newFleet(n, tolerance, quota, seed)
	if ranked != nil {
		f.ranked = ranked
		for _, p := range f.processes {
			p.node.Ranked = ranked(p)
		}
	}
	f.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
	f.load(quota.Rate*(0.5+6*rng.Float64()), all(n), 12*time.Second)
	for range 1 + rng.IntN(6) {
		f.after(time.Duration(rng.IntN(12000))*time.Millisecond, func() { disturb(f, rng, kinds) })
	}
	f.run(14 * time.Second)
	if float64(f.maxGranted(tolerance.Window)) > f.allowed() {
		t.Fatalf("seed %d: %d processes, %+v: %s", seed, n, quota, f)
	}
}

// Guards against a process that starts with a burst: a fleet that loses power again and
// again would spend one each time.
func TestRestartGrantsNoBurst(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, tolerance, large, 1)
	f.run(5 * time.Second)
	f.load(8*large.Rate, all(9), 20*time.Second)
	for range 10 {
		f.run(2 * time.Second)
		for _, p := range f.processes {
			f.start(p)
		}
	}
	is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
}

// Guards against a workspace that gets nothing after its owner has ended: the other
// processes credit their time to the next owner.
func TestNextOwnerGrants(t *testing.T) {
	is := is.New(t)
	f := newFleet(83, tolerance, small, 1)
	f.run(5 * time.Second)
	owner, _ := f.processes[0].node.Owner("w")
	f.load(0.625*small.Rate, all(83), 10*time.Second)
	f.run(2 * time.Second)
	for _, p := range f.processes {
		p.down = f.name(p) == owner.Name
	}
	before := len(f.granted)
	f.run(2 * time.Second)
	is.True(len(f.granted)-before >= 3) // of some six in two seconds
	f.run(7 * time.Second)
	is.True(f.refused <= 4)
}

// Guards against a process without peers that takes the whole quota for its own.
func TestNodeWithoutFleetGrantsNothing(t *testing.T) {
	is := is.New(t)
	n := Node{Self: "a", Tolerance: tolerance}
	now := time.Unix(1000, 0)
	for range 100 {
		is.Equal(len(n.Tick(now)), 0)
		v, _ := n.Take("w", small, now)
		is.True(!v.Granted)
		now = now.Add(tickInterval)
	}
}

// Guards against a fleet that starts for the first time, in which each process takes
// itself for the only one and grants the whole quota.
func TestNodeWithPartialFleetCreditsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := Node{Self: "a", Tolerance: tolerance, StartedAt: now}
	n.SetFleet(Member{Name: "a"}, nil, 1, now)
	for range 10 {
		n.Tick(now)
		v, _ := n.Take("w", small, now)
		is.True(!v.Granted && v.Undecided)
		now = now.Add(tickInterval)
	}
	n.IsFleetKnown = true
	n.SetFleet(Member{Name: "a"}, nil, 5, now)
	n.Tick(now.Add(CreditInterval))
	granted := 0
	for v, _ := n.Take("w", small, now); v.Granted; v, _ = n.Take("w", small, now) {
		granted++
	}
	is.True(granted <= 2) // its fifth of what can be spent at once
}

// Guards against one half of a partitioned fleet that stops counting the other half, which
// still grants tokens.
func TestFleetSizeIsRemembered(t *testing.T) {
	is := is.New(t)
	var h sizeHistory
	now := time.Unix(1000, 0)
	is.Equal(h.update(83, now), 83)
	is.Equal(h.update(40, now.Add(time.Minute)), 83)
	is.Equal(h.update(40, now.Add(9*time.Minute)), 83)
	is.Equal(h.update(40, now.Add(11*time.Minute)), 40)
	is.Equal(h.update(90, now.Add(11*time.Minute)), 90)
}

// Guards against a lowered limit that takes effect late.
func TestLoweredQuotaAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, tolerance, large, 1)
	f.run(4 * time.Second)
	f.load(2*large.Rate, all(9), 30*time.Second)
	f.run(10 * time.Second)
	f.quota = small
	f.run(tolerance.Window)
	f.granted = nil
	f.run(15 * time.Second)
	is.True(float64(f.maxGranted(tolerance.Window)) <= f.allowed())
}

func TestMessageRoundTrip(t *testing.T) {
	is := is.New(t)
	m := Message{
		Kind: Reply, From: NewID("a"), To: NewID("b"), ID: 7, Shard: 3, Workspace: "w", Span: time.Second, Fleet: 9, OwnerClock: 5, ClockAge: time.Minute,
		Verdict: Verdict{Undecided: true, RetryAfter: time.Second}, Leaving: true,
	}
	b, err := Encode(&m)
	is.NoErr(err)
	got, err := Decode(b)
	is.NoErr(err)
	is.Equal(got, m)
	for _, bad := range [][]byte{nil, {0xff}, {0xa0}, {0x80}, b[:len(b)/2]} {
		_, err := Decode(bad)
		is.True(err != nil) // not a message
	}
	m.Shard = Shards
	b, err = Encode(&m)
	is.NoErr(err)
	_, err = Decode(b)
	is.True(err != nil) // no such shard
}

// Guards against a reply that is lost or late and costs the workspace two tokens.
func TestRepeatedRequestCostsOneToken(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	n := Node{Self: "a", Tolerance: tolerance, StartedAt: now.Add(-time.Minute), IsFleetKnown: true}
	n.SetFleet(Member{Name: "a"}, nil, 1, now)
	n.Tick(now)
	quota := func(string) *cataloger.Quota { return &small }
	request := func(id uint64) Verdict {
		m := Message{Kind: Request, From: NewID("b"), To: NewID("a"), ID: id, Workspace: "w"}
		out := n.Receive(&m, netip.AddrPort{}, quota, now)
		return out[len(out)-1].Message.Verdict
	}
	granted := 0
	for request(uint64(granted)).Granted {
		granted++
	}
	is.True(granted > 2)
	is.True(request(0).Granted) // a repeated request
	is.True(!request(99).Granted)
}
