package carrier

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// txLink is a slotLink whose answers state whether a transaction is open.
type txLink struct {
	slotLink
	inTx bool
}

func (l *txLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers, sent, err := l.slotLink.Exchange(deadline, commands...)
	for i := range answers {
		switch commands[i].Verb {
		case Begin:
			l.inTx = true
		case Commit, Rollback:
			l.inTx = false
		}
		if l.inTx {
			answers[i].State = InTransaction
		}
	}
	return answers, sent, err
}

// runStartupShare simulates the six gateways of a group that start together in front of a
// leader with four slots, of which opening a connection takes one for 12 ms. Each has share
// connections for the first 1.5 s in which they serve, and seven after that. Callers of 86
// workspaces come back at a rate for these 1.5 s, a part of them of one workspace at one
// gateway; one in five statements is a transaction of two. Results are those of the statements that arrive in the 1.5 s.
func runStartupShare(t *testing.T, rate, hot float64, share int) (got loadResult) {
	t.Helper()
	const gateways, objective, timeout, startup = 6, 250 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(7, 8))
		s := &slotUpstream{free: make(chan struct{}, 4)}
		dial := func(context.Context, cataloger.Upstream, string) (Link, error) {
			s.free <- struct{}{}
			time.Sleep(12 * time.Millisecond)
			<-s.free
			return &txLink{slotLink: slotLink{s}}, nil
		}
		current := share
		settings := []cataloger.GroupSettings{{Name: "g", MaxConnections: 56}}
		var registries []*Registry
		for range gateways {
			c := &Registry{Dial: dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": current} }}
			c.DivideConnections(88, settings)
			c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
			registries = append(registries, c)
		}
		var calls sync.WaitGroup
		for began := time.Now(); time.Since(began) < startup; {
			gateway, workspace := rng.IntN(gateways), strconv.Itoa(rng.IntN(86))
			if rng.Float64() < hot {
				gateway, workspace = 0, "hot"
			}
			g, _ := registries[gateway].Group("g")
			work := time.Duration((0.3 + 1.4*rng.Float64()) * float64(14*time.Millisecond))
			isTx := rng.IntN(5) == 0
			calls.Go(func() {
				job := func() *Job {
					now := time.Now()
					return &Job{Workspace: workspace, Writes: true, Arrived: now, ObjectiveAt: now.Add(objective), Deadline: now.Add(timeout)}
				}
				cmd, arrived := Command{Verb: Read, ID: "r", Text: work.String()}, time.Now()
				var a Answer
				if isTx {
					var tx Transaction
					if tx, a = g.Start(job(), false, cmd); a.Code == OK {
						time.Sleep(6 * time.Millisecond) // a round trip to the caller
						tx.Do(job(), cmd)
						a = tx.Commit(job(), Command{Verb: Commit})
					}
				} else {
					a = g.Run(job(), cmd)
				}
				mu.Lock()
				defer mu.Unlock()
				got.count(a, time.Since(arrived), objective)
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		}
		current = 7
		for _, c := range registries {
			c.DivideConnections(87, settings)
		}
		calls.Wait()
		for _, c := range registries {
			c.Stop()
		}
	})
	return got
}

// Guards against a rise of what it costs callers that a gateway uses delegator.Kept connections
// to each upstream until loans of its earlier start have ended: with two nobody is late at the
// usual rate of a group, and at twice that rate nine in ten of those that are served with
// the whole share, here seven, are in time.
func TestStartupShare(t *testing.T) {
	is := is.New(t)
	const kept, whole = 2, 7
	for _, hot := range []float64{0, 0.3} {
		for _, rate := range []float64{50, 100, 150, 200} {
			var inTime [whole + 1]int
			for _, share := range []int{1, kept, whole} {
				got := runStartupShare(t, rate, hot, share)
				inTime[share] = got.inTime
				t.Logf("%.0f statements/s, %.0f %% of one workspace, %d connections: %+v", rate, 100*hot, share, got)
			}
			if rate <= 100 {
				is.Equal(inTime[kept], inTime[whole])
			}
			is.True(10*inTime[kept] >= 9*inTime[whole])
		}
	}
}
