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

// startWith plays processes that start together before one upstream with six slots,
// while callers come back at twice the rate that it can do for 1.5 s, and at half
// that rate then. least, when set, is how many statements each may have there.
func startWith(t *testing.T, carriers, least int) load {
	t.Helper()
	const objective, timeout = 400 * time.Millisecond, time.Second
	const high, usual, highFor, whole = 320, 100, 1500 * time.Millisecond, 4 * time.Second
	rng := rand.New(rand.NewPCG(5, 6))
	var got load
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		s := &slots{free: make(chan struct{}, 6)}
		var groups []*Group
		for range carriers {
			g := before(s, false)
			if least > 0 {
				g.members[0].gate.Queue.Window.Min = least
			}
			groups = append(groups, g)
		}
		var calls sync.WaitGroup
		began := time.Now()
		for time.Since(began) < whole {
			rate := float64(usual)
			if time.Since(began) < highFor {
				rate = high
			}
			g := groups[rng.IntN(carriers)]
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

// Symptom: after a loss of power everywhere most of what callers get for a second is
// late, though as much could be in time as at any overload. Sequence: ten processes
// start and have two statements each at an upstream with six slots, while callers come
// back. Cause: what waits in the upstream is taken for work, since nothing shorter was
// ever seen.
func TestProcessesThatStartUnderOverloadServeWhatTheyCan(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct{ carriers, least, share int }{
		{3, 3, 16}, // of 49 connections
		{10, 1, 4},
		{20, 1, 2},
	} {
		is.Equal(part(6, test.share, 49), test.least)
		got, two := startWith(t, test.carriers, test.least), startWith(t, test.carriers, 2)
		t.Logf("%d processes: %+v; with two statements each: %+v", test.carriers, got, two)
		is.True(got.inTime*100 >= 65*got.asked)
		is.True(got.inTime >= two.inTime-10)
		is.True(got.late*10 <= got.asked)
	}
}

// A process has as large a part of the slots as of the connections, one statement at
// least, and never more than its window may grow to.
func TestPartsOfTheSlots(t *testing.T) {
	is := is.New(t)
	is.Equal(part(0, 3, 30), leastWindow) // slots aren't known
	is.Equal(part(5, 3, 30), 1)
	is.Equal(part(6, 6, 49), 2)
	is.Equal(part(6, 49, 49), 9)
	is.Equal(part(64, 49, 49), mostWindow)
	is.Equal(part(6, 1, 0), leastWindow)
}

// Symptom: after a loss of power everywhere, while the store was away, two thirds of
// the requests of two seconds are refused. Sequence: a process learns its
// configuration and, half a second later, its upstreams; callers are refused at once
// and have used up their tries by then. Cause: a group without upstreams isn't known.
func TestAStatementWaitsForTheFirstUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slots{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		g, known := c.Group("g")
		is.True(known)
		is.True(!g.HasUpstreams())
		answers := make(chan Answer)
		began := time.Now()
		for _, job := range []*Job{{}, {Freshness: cataloger.BoundedStaleness, MaxAge: time.Second}} {
			job.Arrived, job.Deadline = began, began.Add(time.Second)
			go func() { answers <- g.Run(job, Command{Verb: Read, ID: "r", Text: "1ms"}) }()
		}
		time.Sleep(500 * time.Millisecond)
		c.Apply([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
		is.Equal((<-answers).Code, OK)
		is.Equal((<-answers).Code, OK)
		is.True(time.Since(began) < 700*time.Millisecond)
		is.True(g.HasUpstreams())
		c.Stop()
	})
}
