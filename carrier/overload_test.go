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
	"basildale.example/basildale/tracker"
)

// laggingGroup simulates a group of three upstreams with three slots each. Writes extend
// the leader's log; the replicas b and c hang in one commit and apply nothing more.
type laggingGroup struct {
	mu        sync.Mutex
	term      uint32
	leader    string
	end       uint64            // end of the leader's log
	stoppedAt map[string]uint64 // the position at which a replica hangs
	slots     map[string]chan struct{}
}

func newLaggingGroup() *laggingGroup {
	s := &laggingGroup{term: 1, leader: "a", end: 100, stoppedAt: map[string]uint64{"b": 100, "c": 100}, slots: map[string]chan struct{}{}}
	for _, id := range []string{"a", "b", "c"} {
		s.slots[id] = make(chan struct{}, 3)
	}
	return s
}

// promote makes b the leader. It leads with everything that it has received. The former
// leader has all of that too and follows without delay.
func (s *laggingGroup) promote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.leader = 2, "b"
	delete(s.stoppedAt, "b")
}

func (s *laggingGroup) mark(id string) tracker.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, hangs := s.stoppedAt[id]; hangs {
		return mark(1, at)
	}
	return mark(s.term, s.end)
}

func (s *laggingGroup) leads(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader == id
}

func (s *laggingGroup) dial(_ context.Context, listed cataloger.Upstream, _ string) (Link, error) {
	return &laggingLink{s, listed.ID}, nil
}

type laggingLink struct {
	s  *laggingGroup
	id string
}

func (l *laggingLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, c := range commands {
		answers[i] = l.answer(deadline, c)
		answers[i].Mark = l.s.mark(l.id)
	}
	return answers, true, nil
}

func (l *laggingLink) answer(deadline time.Time, c Command) Answer {
	switch {
	case c.Verb == Begin && !l.s.leads(l.id):
		return Answer{Code: ReadOnly}
	case c.Verb == Begin:
		return Answer{Signature: "-", State: InTransaction}
	case c.Verb == Read && l.s.mark(l.id).Less(c.Since):
		return Answer{Code: Lagging}
	case c.Verb != Read:
		return Answer{Signature: "-"}
	}
	select {
	case l.s.slots[l.id] <- struct{}{}:
	case <-time.After(time.Until(deadline)):
		return Answer{Code: Timeout}
	}
	time.Sleep(18 * time.Millisecond)
	<-l.s.slots[l.id]
	return Answer{Signature: "s"}
}

func (l *laggingLink) Abort()                    {}
func (l *laggingLink) Alive() bool               { return true }
func (l *laggingLink) InitialMark() tracker.Mark { return l.s.mark(l.id) }
func (l *laggingLink) Close() error              { return nil }

// runLaggingLoad sends a session's reads to the group through three processes for 12
// seconds, at 1.4 times the capacity of one upstream, while its log grows. With relief the
// leader is changed once a process has seen it overloaded for a second.
func runLaggingLoad(t *testing.T, relief bool) loadResult {
	t.Helper()
	const perSecond, objective, timeout, duration = 230, 250 * time.Millisecond, 800 * time.Millisecond, 12 * time.Second
	rng := rand.New(rand.NewPCG(9, 10))
	var got loadResult
	synctest.Test(t, func(*testing.T) {
		s := newLaggingGroup()
		var groups []*Group
		for range 3 {
			c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop()}
			c.DivideConnections(3, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
			var list []cataloger.Upstream
			for i, id := range []string{"a", "b", "c"} {
				list = append(list, cataloger.Upstream{
					ID: id, Group: "g", Slots: 3, Leads: id == "a", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)),
				})
			}
			c.SetUpstreams(list)
			g, _ := c.Group("g")
			groups = append(groups, g)
		}
		var mu sync.Mutex
		var calls sync.WaitGroup
		began := time.Now()
		var overloadedSince time.Time
		for time.Since(began) < duration {
			for _, g := range groups {
				g.registry.CheckUpstreams()
			}
			s.mu.Lock()
			s.end++
			s.mu.Unlock()
			switch {
			case !groups[0].Observe().LeaderOverloaded:
				overloadedSince = time.Time{}
			case overloadedSince.IsZero():
				overloadedSince = time.Now()
			case relief && time.Since(overloadedSince) > time.Second:
				s.promote()
			}
			g := groups[rng.IntN(len(groups))]
			calls.Go(func() {
				job := &Job{Freshness: cataloger.ReadYourWrites, MaxStaleness: 2500 * time.Millisecond, Arrived: time.Now()}
				job.ObjectiveAt, job.Deadline = job.Arrived.Add(objective), job.Arrived.Add(timeout)
				a := g.Run(job, Command{Verb: Read, ID: "r"})
				mu.Lock()
				defer mu.Unlock()
				got.count(a, time.Since(job.Arrived), objective)
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

// Guards against refusing a third of a group's reads for 10 s while two of its three
// upstreams are idle. Both replicas hang in one commit that they apply late, and the leader
// gets 1.4 times the load that it can serve. After a planned change of leader the former
// leader is a replica that does not lag, and two upstreams serve.
func TestOverloadedLeaderWithLaggingReplicasIsReported(t *testing.T) {
	is := is.New(t)
	without := runLaggingLoad(t, false)
	with := runLaggingLoad(t, true)
	t.Logf("without a change of leader: %+v", without)
	t.Logf("with one: %+v", with)
	is.True(without.inTime*100 < 85*without.requests) // so this load does show the fault
	is.True(with.inTime*100 >= 90*with.requests)
}

// The leader counts as overloaded only while it rejects work and every replica that answers
// lags by more than any read allows.
func TestLeaderOverloaded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(g *Group)
		want   bool
	}{
		{"both replicas lag", func(*Group) {}, true},
		{"one is ejected", func(g *Group) { g.upstreams[1].ejected = true }, true},
		{"both are ejected", func(g *Group) { g.upstreams[1].ejected, g.upstreams[2].ejected = true, true }, false},
		{"one does not lag", func(g *Group) { g.upstreams[1].lag = lag{} }, false},
		{"one lags a little", func(g *Group) { g.upstreams[1].lag.completeTo = now.Add(-time.Second) }, false},
		{"one lagged a while ago", func(g *Group) { g.upstreams[1].lag.observedAt = now.Add(-2 * time.Second) }, false},
		{"the leader rejects nothing", func(g *Group) { g.upstreams[0].rejectedAt = time.Time{} }, false},
		{"there is no leader", func(g *Group) { g.leader = nil }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
			c.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 1), upstreamStartedAt("c", 1)})
			g, _ := c.Group("g")
			g.leader = g.upstreams[0]
			g.ages.add(2500 * time.Millisecond)
			g.upstreams[0].rejectedAt = now
			for _, u := range g.upstreams[1:] {
				u.lag.recordRefused(now, now.Add(-4*time.Second))
			}
			test.change(g)
			is.Equal(g.Observe().LeaderOverloaded, test.want)
		})
	}
}
