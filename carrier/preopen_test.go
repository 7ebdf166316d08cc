package carrier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// leaderChange is a gateway with statements of 14 workspaces while the leader changes from a to
// b. A connection takes 12 ms to open.
type leaderChange struct {
	*Registry
	on              atomic.Bool
	refuses         atomic.Bool // b refuses connections
	leader          atomic.Value
	opened, ahead   atomic.Int64
	opening, most   atomic.Int64 // at b
	waited, started atomic.Int64 // statements, and those that waited for a connection
}

func newLeaderChange() *leaderChange {
	l := &leaderChange{}
	l.on.Store(true)
	l.Registry = &Registry{
		Dial: l.dial, Now: time.Now, Log: zap.NewNop(),
		ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 8} },
		Features:         func() Features { return Features{FairConnections: l.on.Load()} },
		CountOpening: func(ahead bool) {
			l.opened.Add(1)
			if ahead {
				l.ahead.Add(1)
			}
		},
	}
	l.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 56}})
	l.lead("a")
	return l
}

func (l *leaderChange) dial(_ context.Context, u cataloger.Upstream, workspace string) (Link, error) {
	if u.ID == "b" && l.refuses.Load() {
		return nil, errors.New("refused")
	}
	if u.ID == "b" {
		l.most.Store(max(l.most.Load(), l.opening.Add(1)))
		defer l.opening.Add(-1)
	}
	time.Sleep(12 * time.Millisecond)
	return &leaderLink{workspaceLink{workspace: workspace, onForeign: func(string, string) {}}, func() bool { return l.leader.Load() == u.ID }}, nil
}

// leaderLink is a link to an upstream that runs statements while it leads.
type leaderLink struct {
	workspaceLink
	leads func() bool
}

func (o *leaderLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers, sent, err := o.workspaceLink.Exchange(deadline, commands...)
	if !o.leads() {
		answers[0] = Answer{Code: ReadOnly}
	}
	return answers, sent, err
}

// lead makes an upstream the leader; without one there is none.
func (l *leaderChange) lead(id string) {
	l.leader.Store(id)
	l.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: id == "a", Slots: 4}, {ID: "b", Group: "g", Leads: id == "b", Slots: 4}})
}

// run sends statements at a rate for an amount of time; the largest workspace has 30 % of them.
// Those that arrive before an amount of time are not counted.
func (l *leaderChange) run(rate float64, d, uncounted time.Duration, seed uint64) {
	g, _ := l.Group("g")
	rng := rand.New(rand.NewPCG(seed, 1))
	weights := make([]float64, 14)
	sum := 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	l.waited.Store(0)
	l.started.Store(0)
	var all sync.WaitGroup
	for at := rng.ExpFloat64() / rate; at < d.Seconds(); at += rng.ExpFloat64() / rate {
		x, w := rng.Float64()*sum, 0
		for ; x > weights[w]; w++ {
			x -= weights[w]
		}
		all.Go(func() {
			time.Sleep(time.Duration(at * float64(time.Second)))
			a := g.Run(&Job{Workspace: fmt.Sprint(w), Arrived: time.Now(), Deadline: time.Now().Add(2 * time.Second), Writes: true}, Command{ID: fmt.Sprint(w), Verb: Read})
			if at < uncounted.Seconds() {
				return
			}
			l.started.Add(1)
			if a.Waited > 0 {
				l.waited.Add(1)
			}
		})
	}
	all.Wait()
}

// Guards against callers that all wait for an opening after a change of the leader although the
// gateway knows which workspaces will need connections. A leader that is missed for half a
// second has callers waiting when it is found, and these go first. The numbers vary a little from
// run to run, since callers that wake at the same moment do so in any order.
func TestLeaderChangeFindsConnectionsOpen(t *testing.T) {
	is := is.New(t)
	for _, gap := range []time.Duration{0, 500 * time.Millisecond} {
		var waited [2]int64
		for n, preopens := range []bool{false, true} {
			var asked, ahead, openings int64
			for seed := range uint64(40) {
				synctest.Test(t, func(*testing.T) {
					l := newLeaderChange()
					l.run(22, 10*time.Second, 0, 2*seed)
					before := l.opened.Load()
					l.on.Store(preopens) // without the demand nothing is opened ahead
					l.lead("")
					l.on.Store(true)
					var after sync.WaitGroup
					after.Go(func() { l.run(22, gap+time.Second, gap, 2*seed+1) })
					time.Sleep(gap)
					l.lead("b")
					after.Wait()
					time.Sleep(time.Second)
					waited[n] += l.waited.Load()
					asked += l.started.Load()
					ahead += l.ahead.Load()
					openings += l.opened.Load() - before
					is.True(l.most.Load() <= maxConcurrentOpenings)
					l.Stop()
				})
			}
			t.Logf("no leader for %v, opened ahead %v: %d of %d callers waited in the second after it, %d connections opened, %d of them ahead", gap, preopens, waited[n], asked, openings, ahead)
			is.Equal(ahead > 0, preopens)
		}
		if gap == 0 {
			is.True(10*waited[1] <= 8*waited[0])
		} else {
			is.True(waited[1] < waited[0])
		}
	}
}

// Guards against openings for nobody: at the start of all processes, without the setting, at a
// leader that comes back, at one that is leaving, and at one that refuses connections.
func TestNothingIsOpenedAheadInVain(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(l *leaderChange)
		ahead  int64
	}{
		{"changed", func(l *leaderChange) { l.lead("b") }, 4},
		{"changed twice", func(l *leaderChange) { l.lead("b"); time.Sleep(5 * time.Millisecond); l.lead("a") }, 2}, // those that had begun
		{"the same again", func(l *leaderChange) { l.lead(""); time.Sleep(time.Second); l.lead("a") }, 0},
		{"long without a leader", func(l *leaderChange) { l.lead(""); time.Sleep(formerLeaderTTL); l.lead("b") }, 0},
		{"plain", func(l *leaderChange) { l.on.Store(false); l.lead("b") }, 0},
		{"switched off meanwhile", func(l *leaderChange) { l.lead(""); l.on.Store(false); l.lead("b") }, 0},
		{"refuses", func(l *leaderChange) { l.refuses.Store(true); l.lead("b") }, 0},
		{"leaving", func(l *leaderChange) {
			l.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g"}, {ID: "b", Group: "g", Leads: true, Leaving: true}})
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := newLeaderChange()
				time.Sleep(time.Second)
				is.Equal(l.opened.Load(), int64(0)) // a start opens nothing
				l.run(40, 5*time.Second, 0, 7)
				c.change(l)
				time.Sleep(3 * time.Second)
				is.Equal(l.ahead.Load(), c.ahead)
				l.Stop()
			})
		})
	}
}
