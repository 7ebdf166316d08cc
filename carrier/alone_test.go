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

// stuckGroup is a group of three upstreams with three slots each. Writes make the
// leader's log longer; the replicas b and c hang in one commit and apply nothing more.
type stuckGroup struct {
	mu     sync.Mutex
	term   uint32
	leader string
	end    uint64            // of the leader's log
	hangs  map[string]uint64 // the position at which a replica hangs
	slots  map[string]chan struct{}
}

func newStuckGroup() *stuckGroup {
	s := &stuckGroup{term: 1, leader: "a", end: 100, hangs: map[string]uint64{"b": 100, "c": 100}, slots: map[string]chan struct{}{}}
	for _, id := range []string{"a", "b", "c"} {
		s.slots[id] = make(chan struct{}, 3)
	}
	return s
}

// promote makes b the leader, which leads with all that it has received. The former
// leader has all of that too and follows without delay.
func (s *stuckGroup) promote() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.leader = 2, "b"
	delete(s.hangs, "b")
}

func (s *stuckGroup) mark(id string) tracker.Mark {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, hangs := s.hangs[id]; hangs {
		return mark(1, at)
	}
	return mark(s.term, s.end)
}

func (s *stuckGroup) leads(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader == id
}

func (s *stuckGroup) dial(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
	return &stuckLink{s, u.ID}, nil
}

type stuckLink struct {
	s  *stuckGroup
	id string
}

func (l *stuckLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, c := range commands {
		answers[i] = l.answer(deadline, c)
		answers[i].Mark = l.s.mark(l.id)
	}
	return answers, true, nil
}

func (l *stuckLink) answer(deadline time.Time, c Command) Answer {
	switch {
	case c.Verb == Begin && !l.s.leads(l.id):
		return Answer{Code: ReadOnly}
	case c.Verb == Begin:
		return Answer{Signature: "-", State: Open}
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

func (l *stuckLink) Abort()                    {}
func (l *stuckLink) Alive() bool               { return true }
func (l *stuckLink) InitialMark() tracker.Mark { return l.s.mark(l.id) }
func (l *stuckLink) Close() error              { return nil }

// playStuck offers a session's reads to the group by way of three processes for 12
// seconds, at 1.4 times what one upstream can do, while its log grows. With relief the
// leader is changed once a process has seen it alone for a second.
func playStuck(t *testing.T, relief bool) load {
	t.Helper()
	const perSecond, aim, timeout, whole = 230, 250 * time.Millisecond, 800 * time.Millisecond, 12 * time.Second
	rng := rand.New(rand.NewPCG(9, 10))
	var got load
	synctest.Test(t, func(*testing.T) {
		s := newStuckGroup()
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
			c.Apply(list)
			g, _ := c.Group("g")
			groups = append(groups, g)
		}
		var mu sync.Mutex
		var calls sync.WaitGroup
		began := time.Now()
		var alone time.Time
		for time.Since(began) < whole {
			for _, g := range groups {
				g.carrier.Tick()
			}
			s.mu.Lock()
			s.end++
			s.mu.Unlock()
			switch {
			case !groups[0].Observe().LeaderOverloaded:
				alone = time.Time{}
			case alone.IsZero():
				alone = time.Now()
			case relief && time.Since(alone) > time.Second:
				s.promote()
			}
			g := groups[rng.IntN(len(groups))]
			calls.Go(func() {
				job := &Job{Freshness: cataloger.ReadYourWrites, MaxAge: 2500 * time.Millisecond, Arrived: time.Now()}
				job.ObjectiveAt, job.Deadline = job.Arrived.Add(aim), job.Arrived.Add(timeout)
				a := g.Run(job, Command{Verb: Read, ID: "r"})
				mu.Lock()
				defer mu.Unlock()
				got.count(a, time.Since(job.Arrived), aim)
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

// Symptom: for 10 s a third of a group's reads are refused, though two of its three
// upstreams do nothing. Sequence: both replicas hang in one commit that they apply
// late, the leader gets 1.4 times what it can do. Cause: nobody asks why the replicas
// can't help. With a planned change of leader, the former one is a replica that isn't
// late, and two upstreams serve.
func TestALeaderAloneWithLateReplicasIsSeen(t *testing.T) {
	is := is.New(t)
	without := playStuck(t, false)
	with := playStuck(t, true)
	t.Logf("without a change of leader: %+v", without)
	t.Logf("with one: %+v", with)
	is.True(without.inTime*100 < 85*without.asked) // so the load is one that shows the fault
	is.True(with.inTime*100 >= 90*with.asked)
}

// The leader counts as alone only while it refuses work and every replica that
// answers is later than any read may be.
func TestWhenALeaderIsAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(g *Group)
		want   bool
	}{
		{"both replicas are late", func(*Group) {}, true},
		{"one is out of reach", func(g *Group) { g.members[1].barred = true }, true},
		{"both are", func(g *Group) { g.members[1].barred, g.members[2].barred = true, true }, false},
		{"one keeps up", func(g *Group) { g.members[1].lag = lag{} }, false},
		{"one is a little late", func(g *Group) { g.members[1].lag.had = now.Add(-time.Second) }, false},
		{"one was late a while ago", func(g *Group) { g.members[1].lag.seen = now.Add(-2 * time.Second) }, false},
		{"the leader does what it is asked", func(g *Group) { g.members[0].turned = time.Time{} }, false},
		{"there is no leader", func(g *Group) { g.leader = nil }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop()}
			c.Apply([]cataloger.Upstream{startedAt("a", 1), startedAt("b", 1), startedAt("c", 1)})
			g, _ := c.Group("g")
			g.leader = g.members[0]
			g.ages.add(2500 * time.Millisecond)
			g.members[0].turned = now
			for _, m := range g.members[1:] {
				m.lag.refused(now, now.Add(-4*time.Second))
			}
			test.change(g)
			is.Equal(g.Observe().LeaderOverloaded, test.want)
		})
	}
}
