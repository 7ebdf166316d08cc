package carrier

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/limiter"
	"basildale.example/basildale/tracker"
)

// slotUpstream simulates an upstream that runs a few statements at a time, in the order of
// arrival, as those of the platform do.
type slotUpstream struct {
	free chan struct{}
}

func (s *slotUpstream) dial(context.Context, cataloger.Upstream, string) (Link, error) {
	return &slotLink{s}, nil
}

type slotLink struct{ s *slotUpstream }

func (l *slotLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, c := range commands {
		answers[i] = Answer{Signature: "-", Mark: mark(1, 1)}
		switch c.Verb {
		case Begin:
			answers[i].State = InTransaction
		case Read:
			select {
			case l.s.free <- struct{}{}:
			case <-time.After(time.Until(deadline)):
				return nil, true, context.DeadlineExceeded
			}
			work, err := time.ParseDuration(c.Text) // the text gives the time that it takes
			time.Sleep(work)
			<-l.s.free
			if err != nil {
				return nil, true, err
			}
		}
	}
	return answers, true, nil
}

func (l *slotLink) Abort()                    {}
func (l *slotLink) Alive() bool               { return true }
func (l *slotLink) InitialMark() tracker.Mark { return mark(1, 1) }
func (l *slotLink) Close() error              { return nil }

// loadResult counts what callers get from an upstream with six slots under overload.
type loadResult struct {
	requests, inTime, late, refused int
	refusedLate                     int // refused later than a quarter of the objective
}

// offerLoad sends reads that must see every commit to one upstream through six processes,
// for five seconds, and returns what callers got within the objective.
func offerLoad(t *testing.T, perSecond float64, ungated bool) loadResult {
	t.Helper()
	return offerMixedLoad(t, perSecond, 0, ungated)[false]
}

// offerMixedLoad does the same with a proportion of bookings, which take less time and have
// an objective of 200 ms. Their results are under true.
func offerMixedLoad(t *testing.T, perSecond, bookings float64, ungated bool) map[bool]loadResult {
	t.Helper()
	const gateways, objective, timeout = 6, 400 * time.Millisecond, time.Second
	rng := rand.New(rand.NewPCG(3, 4))
	got := map[bool]loadResult{}
	synctest.Test(t, func(*testing.T) {
		var mu sync.Mutex
		s := &slotUpstream{free: make(chan struct{}, 6)}
		var groups []*Group
		for range gateways {
			groups = append(groups, newGatedGroup(s, ungated))
		}
		var calls sync.WaitGroup
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
			g := groups[rng.IntN(gateways)]
			job := &Job{Freshness: cataloger.ReadYourWrites, Writes: true}
			mean, callObjective, booking := 37*time.Millisecond, objective, rng.Float64() < bookings
			if booking {
				job, mean, callObjective = &Job{}, 11*time.Millisecond, objective/2
			}
			work := time.Duration((0.3 + 1.4*rng.Float64()) * float64(mean))
			cmd := Command{Verb: Read, ID: "r", Text: work.String()}
			calls.Go(func() {
				job.Arrived = time.Now()
				job.ObjectiveAt, job.Deadline = job.Arrived.Add(callObjective), job.Arrived.Add(timeout)
				a := g.Run(job, cmd)
				took := time.Since(job.Arrived)
				mu.Lock()
				defer mu.Unlock()
				result := got[booking]
				result.count(a, took, callObjective)
				got[booking] = result
			})
			time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		calls.Wait()
		for _, g := range groups {
			g.apply(nil)
		}
	})
	return got
}

func (l *loadResult) count(a Answer, took, objective time.Duration) {
	l.requests++
	switch {
	case a.Code == OK && took <= objective:
		l.inTime++
	case a.Code == OK:
		l.late++
	default:
		l.refused++
		if took > objective/4 {
			l.refusedLate++
		}
	}
}

// newGatedGroup returns one process's group with one upstream, the leader.
func newGatedGroup(s *slotUpstream, ungated bool) *Group {
	c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
	c.DivideConnections(6, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Address: netip.MustParseAddrPort("10.0.0.1:1"), Leads: true}})
	g, _ := c.Group("g")
	if ungated {
		g.upstreams[0].gate.Queue.Window = limiter.Window{Max: 64, Fixed: true}
		g.upstreams[0].gate.Queue.MaxLength = 1 << 12
	}
	return g
}

// Guards against late answers to all statements of a group for six seconds, though two
// thirds of them could be in time. The replicas lag by more than the reads allow, so that
// one upstream gets 240 statements a second and can serve 160. What is sent beyond its
// slots waits there in the order of arrival.
func TestOverloadedUpstreamServesItsCapacity(t *testing.T) {
	is := is.New(t)
	got := offerLoad(t, 240, false)
	t.Logf("with admission control: %+v", got)
	is.True(got.inTime*100 >= 55*got.requests) // of the 67 % that six slots can serve
	is.True(got.refusedLate*100 <= 15*got.requests)
	without := offerLoad(t, 240, true)
	t.Logf("without admission control: %+v", without)
	is.True(without.inTime*100 < 30*without.requests) // so this load does show the fault
}

// Guards against refusing more of the bookings than of other statements, though three
// bookings take the time of one of those. An upstream gets half as much again as it can
// serve, a sixth of it bookings. Bookings were assumed to take as long as the rest, and
// have the shorter objective.
func TestBookingsAreTheLastToBeRefused(t *testing.T) {
	is := is.New(t)
	got := offerMixedLoad(t, 270, 0.17, false)
	bookings, rest := got[true], got[false]
	t.Logf("bookings: %+v; the rest: %+v", bookings, rest)
	is.True(bookings.inTime*100 >= 90*bookings.requests)
	is.True(rest.inTime*100 >= 50*rest.requests)
}

// A load within the upstream's capacity is not refused.
func TestGateAdmitsLoadWithinCapacity(t *testing.T) {
	is := is.New(t)
	got := offerLoad(t, 80, false)
	t.Logf("%+v", got)
	is.True(got.inTime*1000 >= 995*got.requests)
}
