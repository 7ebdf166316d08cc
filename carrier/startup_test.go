package carrier

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// runStartupLoad simulates processes that start together in front of one upstream with six
// slots. Callers come back at 320 statements a second, twice what it can serve, for 1.5 s,
// and at 100 a second after that. minWindow, when set, is how many statements each process
// may always have there.
func runStartupLoad(t *testing.T, processes, minWindow int) loadResult {
	t.Helper()
	const objective, timeout = 400 * time.Millisecond, time.Second
	const high, usual, highFor, duration = 320, 100, 1500 * time.Millisecond, 4 * time.Second
	rng := rand.New(rand.NewPCG(5, 6))
	var got loadResult
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		s := &slotUpstream{free: make(chan struct{}, 6)}
		var groups []*Group
		for range processes {
			g := newGatedGroup(s, false)
			if minWindow > 0 {
				g.upstreams[0].gate.Queue.Window.Min = minWindow
			}
			groups = append(groups, g)
		}
		var calls sync.WaitGroup
		began := time.Now()
		for time.Since(began) < duration {
			rate := float64(usual)
			if time.Since(began) < highFor {
				rate = high
			}
			g := groups[rng.IntN(processes)]
			work := time.Duration((0.3 + 1.4*rng.Float64()) * float64(37*time.Millisecond))
			cmd := Command{Verb: Read, ID: "r", Text: work.String()}
			calls.Go(func() {
				job := &Job{Freshness: cataloger.ReadYourWrites, Writes: true, Arrived: time.Now()}
				job.ObjectiveAt, job.Deadline = job.Arrived.Add(objective), job.Arrived.Add(timeout)
				a := g.Run(job, cmd)
				mu.Lock()
				defer mu.Unlock()
				got.count(a, time.Since(job.Arrived), objective)
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		calls.Wait()
		for _, g := range groups {
			g.apply(nil)
		}
	})
	return got
}

// Guards against late answers to most callers for a second after a power failure of the
// whole fleet, though as many could be in time as under any overload. Ten processes start
// and have two statements each at an upstream with six slots, while callers come back. The
// processes take queueing in the upstream for work, since they never saw a shorter time.
func TestStartupUnderOverloadServesCapacity(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ processes, minWindow, share int }{
		{3, 3, 16}, // of 49 connections
		{10, 1, 4},
		{20, 1, 2},
	} {
		is.Equal(windowShare(6, test.share, 49), test.minWindow)
		got, withTwo := runStartupLoad(t, test.processes, test.minWindow), runStartupLoad(t, test.processes, 2)
		t.Logf("%d processes: %+v; with two statements each: %+v", test.processes, got, withTwo)
		is.True(got.inTime*100 >= 65*got.requests)
		is.True(got.inTime >= withTwo.inTime-10)
		is.True(got.late*10 <= got.requests)
	}
}

// A process gets the same proportion of the slots as of the connections, at least one
// statement, and never more than its window may grow to.
func TestWindowShare(t *testing.T) {
	is := is.New(t)
	is.Equal(windowShare(0, 3, 30), defaultMinWindow) // the number of slots is unknown
	is.Equal(windowShare(5, 3, 30), 1)
	is.Equal(windowShare(6, 6, 49), 2)
	is.Equal(windowShare(6, 49, 49), 9)
	is.Equal(windowShare(64, 49, 49), maxWindow)
	is.Equal(windowShare(6, 1, 0), defaultMinWindow)
}

// Guards against refusing two thirds of the requests for two seconds after a power failure
// of the whole fleet with the store away. A process learns its configuration and, half a
// second later, its upstreams. Callers that are refused at once because the group has no
// upstreams have used up their retries by then.
func TestStatementWaitsForFirstUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slotUpstream{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		g, known := c.Group("g")
		is.True(known)
		is.True(!g.HasUpstreams())
		answers := make(chan Answer)
		began := time.Now()
		for _, job := range []*Job{{}, {Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second}} {
			job.Arrived, job.Deadline = began, began.Add(time.Second)
			go func() { answers <- g.Run(job, Command{Verb: Read, ID: "r", Text: "1ms"}) }()
		}
		time.Sleep(500 * time.Millisecond)
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
		is.Equal((<-answers).Code, OK)
		is.Equal((<-answers).Code, OK)
		is.True(time.Since(began) < 700*time.Millisecond)
		is.True(g.HasUpstreams())
		c.Stop()
	})
}
