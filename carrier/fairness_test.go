package carrier

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/gossiper"
	"basildale.example/basildale/limiter"
)

// newFairGroup returns a group with one upstream of four slots, through one process whose
// policy can be switched.
func newFairGroup(fair *atomic.Bool) *Group {
	s := &slotUpstream{free: make(chan struct{}, 4)}
	c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), Features: func() Features { return Features{FairAdmission: fair.Load()} }}
	c.DivideConnections(6, []cataloger.GroupSettings{{Name: "g", MaxConnections: 56}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 4, Address: netip.MustParseAddrPort("10.0.0.1:1"), Leads: true}})
	g, _ := c.Group("g")
	g.upstreams[0].gate.Queue.Window = limiter.Window{Min: 1, Max: 1, Fixed: true}
	return g
}

func switchedOn() *atomic.Bool {
	b := &atomic.Bool{}
	b.Store(true)
	return b
}

// newFairJob returns a job of a workspace that starts now.
func newFairJob(request, workspace string, timeout time.Duration) *Job {
	now := time.Now()
	return &Job{Request: request, Workspace: workspace, Writes: true, Arrived: now, ObjectiveAt: now.Add(timeout), Deadline: now.Add(timeout)}
}

var slowRead = Command{Verb: Read, ID: "r", Text: "33ms"} //nolint:gochecknoglobals // a test's constant

// Guards against refusals without the time in the queue and the place there, and against a
// promise of a turn after the caller's deadline.
func TestFairRefusalStatesPlaceAndTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFairGroup(switchedOn())
		var calls sync.WaitGroup
		queued := make([]time.Duration, 4)
		for i := range queued {
			calls.Go(func() {
				a := g.Run(newFairJob(fmt.Sprint(i), "hot", 10*time.Second), slowRead)
				is.Equal(a.Code, OK)
				queued[i] = a.Queued
			})
			synctest.Wait()
		}
		late := newFairJob("r", "hot", 10*time.Second)
		late.Priority = 1
		late.ObjectiveAt = time.Now().Add(60 * time.Millisecond)
		a := g.Run(late, slowRead)
		is.Equal(a.Code, Busy)
		is.Equal(a.Place, 3)
		delay, err := time.ParseDuration(a.Text[strings.LastIndex(a.Text, " ")+1:])
		is.NoErr(err)
		is.True(delay >= 99*time.Millisecond && delay <= 124*time.Millisecond) // three service times and up to a quarter
		a = g.Run(newFairJob("r", "hot", 30*time.Millisecond), slowRead)
		is.Equal(a.Text, "upstream is overloaded; no turn within the 30ms until the deadline")
		calls.Wait()
		is.Equal(queued, []time.Duration{0, 33 * time.Millisecond, 66 * time.Millisecond, 99 * time.Millisecond})
		g.apply(nil)
	})
}

// Guards against a statement whose caller has gone and that keeps its place in the queue.
func TestGoneCallerFreesPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFairGroup(switchedOn())
		var calls sync.WaitGroup
		calls.Go(func() { is.Equal(g.Run(newFairJob("1", "w", 10*time.Second), slowRead).Code, OK) })
		synctest.Wait()
		gone := make(chan struct{})
		calls.Go(func() {
			j := newFairJob("2", "w", 10*time.Second)
			j.CallerGone = gone
			is.Equal(g.Run(j, slowRead).Code, Busy) // nothing has run
		})
		synctest.Wait()
		is.Equal(g.upstreams[0].gate.Waiting(), 1)
		close(gone)
		synctest.Wait()
		is.Equal(g.upstreams[0].gate.Waiting(), 0)
		calls.Wait()
		g.apply(nil)
	})
}

// Guards against statements that are lost, or left waiting, when a reload switches the feature
// off and on under load.
func TestSwitchUnderLoadLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fair := &atomic.Bool{}
		g := newFairGroup(fair)
		var calls sync.WaitGroup
		answered := make(chan Code, 400)
		for i := range 400 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				answered <- g.Run(newFairJob(fmt.Sprint(i), fmt.Sprint(i%9), 400*time.Millisecond), slowRead).Code
			})
		}
		for i := range 20 {
			fair.Store(i%2 == 0)
			g.registry.CheckUpstreams()
			is.Equal(g.upstreams[0].gate.Queue.Fair(), fair.Load())
			synctest.Wait()
			time.Sleep(200*time.Millisecond + time.Microsecond)
			synctest.Wait()
		}
		calls.Wait()
		is.Equal(len(answered), 400)
		served := 0
		for range 400 {
			if <-answered == OK {
				served++
			}
		}
		is.True(served > 100) // one slot of 33 ms for 4 s
		is.Equal(g.upstreams[0].gate.Waiting(), 0)
		g.mu.Lock()
		is.Equal(g.upstreams[0].fairness.on, false)
		g.mu.Unlock()
		g.apply(nil)
	})
}

// A report names the six workspaces with the most use, by hash, and sums up the others; it is
// empty where the feature is off.
func TestReportOfUses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fair := switchedOn()
		g := newFairGroup(fair)
		for i := range 8 {
			is.Equal(g.Run(newFairJob("r", fmt.Sprint("w", i), time.Second), Command{Verb: Read, ID: "r", Text: fmt.Sprint(10+i, "ms")}).Code, OK)
		}
		loads := g.Loads(time.Now())
		is.Equal(len(loads), 1)
		is.Equal(len(loads[0].Used), 6)
		is.Equal(loads[0].Used[0], gossiper.WorkspaceUse{ID: workspaceID("w7"), Busy: 17})
		is.Equal(loads[0].Others, 2)
		is.Equal(loads[0].Rest, 21)
		fair.Store(false)
		is.Equal(len(g.Loads(time.Now())), 0)
		g.apply(nil)
	})
}

// openTxLink keeps a transaction open after each statement.
type openTxLink struct{ Link }

func (l openTxLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	answers, sent, err := l.Link.Exchange(deadline, commands...)
	for i := range answers {
		if commands[i].Verb != Commit {
			answers[i].State = InTransaction
		}
	}
	return answers, sent, err
}

// Guards against statements of a transaction after its first one, which pass no gate, that
// aren't counted to the workspace, or are counted where the feature is off.
func TestLaterStatementsCountAsUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fair := switchedOn()
		g := newFairGroup(fair)
		dial := g.registry.Dial
		g.registry.Dial = func(ctx context.Context, u cataloger.Upstream, name string) (Link, error) {
			l, err := dial(ctx, u, name)
			return openTxLink{l}, err
		}
		j := newFairJob("r", "w", time.Second)
		tx, a := g.Start(j, false, slowRead)
		is.Equal(a.Code, OK)
		used := func() int { return g.Loads(time.Now())[0].Used[0].Busy }
		is.Equal(used(), 33)
		is.Equal(tx.Do(j, slowRead).Code, OK)
		is.Equal(used(), 66)
		fair.Store(false)
		is.Equal(tx.Do(j, slowRead).Code, OK)
		fair.Store(true)
		is.Equal(used(), 66)
		is.Equal(tx.Commit(j, Command{Verb: Commit}).Code, OK)
		g.apply(nil)
	})
}

// Guards against reports that take a process's slots or end it: whatever a peer reports, the
// window has its bounds, and reports that are too old don't count.
func FuzzReportsOfPeers(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, uint8(3))
	f.Fuzz(func(t *testing.T, data []byte, copies uint8) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop(), Features: func() Features { return Features{FairAdmission: true} }}
		c.DivideConnections(6, []cataloger.GroupSettings{{Name: "g", MaxConnections: 56}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 4}})
		g, _ := c.Group("g")
		number := func() int {
			if len(data) == 0 {
				return math.MaxInt
			}
			n := min(len(data), 8)
			var b [8]byte
			copy(b[:], data[:n])
			data = data[n:]
			return int(binary.LittleEndian.Uint64(b[:]))
		}
		for i := range copies {
			l := gossiper.UpstreamLoad{ID: "a", Running: number(), Waiting: number(), Rest: number(), Others: number(), Cut: number(), RestUrgent: number()}
			for range i {
				l.Used = append(l.Used, gossiper.WorkspaceUse{ID: uint32(number()), Busy: number(), Waiting: number(), Urgent: number()})
			}
			c.SetPeerLoads(fmt.Sprint("p", i), "g", []gossiper.UpstreamLoad{l, l}, now)
		}
		u := g.upstreams[0]
		g.applyFairness(u, c.features())
		is.True(u.gate.Queue.Window.Min >= 1 && u.gate.Queue.Window.Min <= maxWindow)
		now = now.Add(peerLoadTTL)
		g.applyFairness(u, c.features())
		is.Equal(u.gate.Queue.Window.Min, c.minWindow("g", 4)) // the equal part
	})
}

// Guards against a gateway that keeps the window of its whole share at an upstream whose
// connections it has lent.
func TestFairWindowFollowsLoan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Registry{Now: func() time.Time { return now }, Log: zap.NewNop(), Features: func() Features { return Features{FairAdmission: true} }}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 56}})
	c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Slots: 4}})
	g, _ := c.Group("g")
	u := g.upstreams[0]
	g.applyFairness(u, c.features())
	is.Equal(u.gate.Queue.Window.Min, 6) // one and a half times the slots
	g.LimitConns("a", 2)
	now = now.Add(fairnessInterval)
	g.applyFairness(u, c.features())
	is.Equal(u.gate.Queue.Window.Min, 1)
}
