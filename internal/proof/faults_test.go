package proof

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/generator"
	"basildale.example/basildale/internal/faker/upstream"
)

// step is something that happens when a share of the requests has ended.
type step struct {
	at float64
	do func(f *fleet, l *load)
}

// Symptom, in each case: a booking that was acknowledged is gone or there twice,
// a session misses its own booking, a request ends without an answer, or an
// answer is somebody else's. Sequence: as the case says, under load. Cause: what
// the case is named after.
func TestFaults(t *testing.T) {
	runCases(t, []faultCase{
		{"killed", 3, generator.Move, nil, []step{{0.3, killProxy(0)}}},
		{"paused", 3, generator.Alternate, nil, []step{{0.3, pauseOverFailover}}},
		{"isolated primary", 3, generator.Move, lags(0, 20, 40), []step{{0.2, loseReplication}, {0.26, isolate}, {0.7, heal}}},
		{"replicas behind", 3, generator.Alternate, lags(0, 5, 120), []step{{0.5, swapLags}}},
		{"isolated primary, platform down", 3, generator.Move, lags(0, 20, 40), []step{{0.1, platformDown}, {0.2, loseReplication}, {0.26, isolate}, {0.7, heal}, {0.8, platformUp}}},
		{"paused, isolated primary", 3, generator.Alternate, lags(0, 20, 40), []step{{0.3, pauseOverIsolation}}},
	})
}

// Symptom: a request ends without an answer while a proxy stops gracefully.
// Sequence: the proxy ends a session that rests, with 57P01, while the caller's
// next request is on its way. Cause: the protocol has no way to end a session
// without that moment; the request has not run, but its caller isn't told so.
func TestStopsUnderLoad(t *testing.T) {
	runCases(t, []faultCase{
		{"one after the other", 4, generator.Move, lags(0, 5, 10), []step{{0.2, stopProxy(0)}, {0.4, stopProxy(1)}, {0.6, stopProxy(2)}}},
		{"beside a killed one", 4, generator.Move, lags(0, 5, 10), []step{{0.3, killProxy(0)}, {0.3, stopProxy(1)}}},
	})
}

// faultCase is a load and what happens under it.
type faultCase struct {
	name    string
	proxies int
	moves   generator.Movement
	lags    []time.Duration // of the upstreams in their order
	steps   []step
}

func runCases(t *testing.T, cases []faultCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, options{proxies: c.proxies, upstream: upstream.Options{Service: 3 * time.Millisecond}})
			for i, lag := range c.lags {
				f.group.Upstreams[i].SetLag(lag)
			}
			l := f.begin(c.moves)
			for _, s := range c.steps {
				l.reach(s.at)
				s.do(f, l)
			}
			l.audit()
		})
	}
}

func lags(ms ...int) []time.Duration {
	list := make([]time.Duration, len(ms))
	for i, n := range ms {
		list[i] = time.Duration(n) * time.Millisecond
	}
	return list
}

// killProxy ends a process at once. What its callers had in flight is theirs to
// ask about.
func killProxy(i int) func(*fleet, *load) {
	return func(f *fleet, l *load) {
		l.ledger.Excuse(f.proxies[i].callers.String())
		f.kill(f.proxies[i])
	}
}

// stopProxy stops a process gracefully.
func stopProxy(i int) func(*fleet, *load) {
	return func(f *fleet, _ *load) {
		f.signal(f.proxies[i], syscall.SIGTERM)
		is.New(f.t).NoErr(f.proxies[i].wait()) // exit code 0
	}
}

// loseReplication cuts the primary off from its replicas only: what callers book
// there from now on can be lost with it.
func loseReplication(f *fleet, _ *load) {
	f.group.Primary().Cut(upstream.Cut{Open: true, Replicas: true})
}

// isolate cuts the primary off from callers and replicas alike; it goes on
// believing that it leads.
func isolate(f *fleet, _ *load) {
	old := f.group.Primary()
	term := old.State().Term
	old.Cut(upstream.Cut{Silent: true, Replicas: true})
	f.awaitReplaced(f.proxies[len(f.proxies)-1], term)
}

// heal ends all cuts, so that what a replaced primary still has in hand arrives.
func heal(f *fleet, _ *load) {
	for _, u := range f.group.Upstreams {
		u.Restore()
	}
}

func platformDown(f *fleet, _ *load) { f.platform.Down() }

func platformUp(f *fleet, _ *load) { f.platform.Up() }

// swapLags makes the replica that was close the one that is far behind.
func swapLags(f *fleet, _ *load) {
	f.group.Upstreams[1].SetLag(150 * time.Millisecond)
	f.group.Upstreams[2].SetLag(time.Millisecond)
}

// pauseOverFailover stops a proxy's execution until the others have given it up,
// loses the primary meanwhile, and lets it go on with what it had in hand.
func pauseOverFailover(f *fleet, _ *load) {
	f.pause(0)
	old := f.group.Primary()
	term := old.State().Term
	old.Crash()
	f.awaitReplaced(f.proxies[1], term)
	f.awaitGivenUp(0)
	f.signal(f.proxies[0], syscall.SIGCONT)
	f.awaitReplaced(f.proxies[0], term)
	old.Restore()
}

// pauseOverIsolation is the same with a primary that is only cut off, and that
// answers the paused proxy before all else when the cut ends.
func pauseOverIsolation(f *fleet, l *load) {
	f.pause(0)
	old := f.group.Primary()
	term := old.State().Term
	old.Cut(upstream.Cut{Silent: true, Replicas: true})
	f.awaitReplaced(f.proxies[1], term)
	f.awaitGivenUp(0)
	heal(f, l)
	f.signal(f.proxies[0], syscall.SIGCONT)
	f.awaitReplaced(f.proxies[0], term)
}

func (f *fleet) pause(i int) { f.signal(f.proxies[i], syscall.SIGSTOP) }

// awaitGivenUp waits until the other proxies don't take one for live any more:
// every lease is shorter than that.
func (f *fleet) awaitGivenUp(i int) {
	for k, p := range f.proxies {
		if k != i && !p.ended {
			f.await(p.name+" gives "+f.proxies[i].name+" up", func() bool {
				n := f.live(p)
				return n > 0 && n < len(f.proxies)
			})
		}
	}
}
