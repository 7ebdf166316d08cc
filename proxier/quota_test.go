package proxier

import (
	"fmt"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/throttler"
)

// limiters are the quota limiters of some processes, with datagrams that take 1 ms.
type limiters struct {
	all    []*quotaLimiter
	ended  []atomic.Bool
	ranked []atomic.Bool
	done   chan struct{}
}

// newLimiters starts n limiters of a workspace with a quota. Run it in a bubble of synctest.
func newLimiters(t *testing.T, n int, quota cataloger.Quota) *limiters {
	t.Helper()
	l := &limiters{ended: make([]atomic.Bool, n), ranked: make([]atomic.Bool, n), done: make(chan struct{})}
	catalog := &cataloger.Catalog{}
	catalog.Configure(cataloger.Config{Version: 1, Workspaces: []cataloger.Workspace{{Name: "w", Quota: &quota}}})
	view := catalog.View()
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7440)
	}
	members := make([]throttler.Member, n)
	for i := range n {
		members[i] = throttler.Member{Name: fmt.Sprint("p", i), Address: address(i)}
		l.ranked[i].Store(true)
	}
	for i := range n {
		q := &quotaLimiter{
			view: func() *cataloger.View { return view }, increment: func(string, int64) {}, now: time.Now, log: zap.NewNop(), ranked: l.ranked[i].Load,
			node:    throttler.Node{Self: members[i].Name, StartedAt: time.Now(), IsFleetKnown: true, Tolerance: throttler.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}},
			pending: map[uint64]chan throttler.Verdict{}, inquiries: map[uint64]*inquiry{},
		}
		q.transmit = func(b []byte, to netip.AddrPort) error {
			time.AfterFunc(time.Millisecond, func() {
				if j := to.Addr().As4()[3]; !l.ended[i].Load() && !l.ended[j].Load() {
					l.all[j].receive(b, address(i))
				}
			})
			return nil
		}
		var others []throttler.Member
		for j := range n {
			if j != i {
				others = append(others, members[j])
			}
		}
		q.node.SetFleet(members[i], others, n, time.Now())
		l.all = append(l.all, q)
	}
	for _, q := range l.all {
		go l.tick(q)
	}
	return l
}

func (l *limiters) tick(q *quotaLimiter) {
	for {
		select {
		case <-l.done:
			return
		case <-time.After(quotaTickInterval):
		}
		q.mu.Lock()
		q.node.Ranked = q.isRanked()
		q.mu.Unlock()
		q.tick()
	}
}

// owner returns the index of the owner of the workspace.
func (l *limiters) owner() int {
	l.all[0].mu.Lock()
	defer l.all[0].mu.Unlock()
	owner, _ := l.all[0].node.Owner("w")
	return int(owner.Name[1] - '0')
}

func submission(arrived time.Time) *carrier.Job {
	return &carrier.Job{Workspace: "w", Arrived: arrived, ObjectiveAt: arrived.Add(150 * time.Millisecond), Deadline: arrived.Add(800 * time.Millisecond)}
}

// Guards against a statement that waits for its verdict beyond its objective because the shard
// owner has ended: it was asked four times with 60 ms each.
func TestRankedVerdictWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiters(t, 7, cataloger.Quota{Rate: 100, Burst: 100})
		defer close(l.done)
		core, log := observer.New(zap.InfoLevel)
		time.Sleep(3 * time.Second)
		owner := l.owner()
		l.ended[owner].Store(true)
		for i, q := range l.all {
			q.mu.Lock()
			if i != owner {
				q.log = zap.New(core)
			}
			q.mu.Unlock()
		}
		for i, q := range l.all {
			if i == owner {
				continue
			}
			arrived := time.Now()
			is.Equal(q.admit(submission(arrived)).Code, carrier.OK)
			is.True(time.Since(arrived) < maxVerdictTime)
			is.Equal(len(q.inquiries), 0) // no operation is kept
		}
		time.Sleep(time.Second)
		lines := log.FilterMessage("proxier: shard owner of workspaces' quotas does not answer")
		is.Equal(lines.Len(), len(l.all)-1)
		is.Equal(lines.FilterField(zap.String("holder", fmt.Sprint("p", owner))).Len(), len(l.all)-1)
	})
}

// Guards against an answer after the objective, or none, when no process can decide: all have
// just started, or the statement has waited long before, or its caller has left.
func TestRankedVerdictOfNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiters(t, 3, cataloger.Quota{Rate: 100, Burst: 100})
		defer close(l.done)
		for i := range l.ended {
			l.ended[i].Store(true)
		}
		arrived := time.Now()
		a := l.all[0].admit(submission(arrived))
		is.Equal(a.Code, carrier.Busy)
		is.True(strings.Contains(a.Text, "isn't known"))
		is.Equal(time.Since(arrived), maxVerdictTime)
		late := time.Now()
		l.all[0].admit(submission(late.Add(-time.Second)))
		is.Equal(time.Since(late), time.Duration(0)) // its deadline has passed
		job := submission(time.Now())
		gone := make(chan struct{})
		close(gone)
		job.CallerGone = gone
		left := time.Now()
		for _, q := range l.all {
			is.True(strings.HasPrefix(q.admit(job).Text, "what is left of the workspace's quota isn't known")) // not that it is used up
		}
		is.Equal(time.Since(left), time.Duration(0))
		is.Equal(len(l.all[0].inquiries), 0)
	})
}

// Guards against statements that are lost while the setting is switched: those that wait end
// by the rule that they began with, and processes of both rules answer each other.
func TestRankedSwitchedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiters(t, 5, cataloger.Quota{Rate: 100, Burst: 100})
		defer close(l.done)
		time.Sleep(3 * time.Second)
		var admitted atomic.Int64
		for i := range 200 {
			if i%20 == 0 {
				l.ranked[i/20%5].Store(i%40 == 0)
			}
			go func() {
				if l.all[i%5].admit(submission(time.Now())).Code == carrier.OK {
					admitted.Add(1)
				}
			}()
			time.Sleep(12 * time.Millisecond)
		}
		time.Sleep(time.Second)
		is.Equal(admitted.Load(), int64(200))
		for _, q := range l.all {
			is.Equal(len(q.inquiries)+len(q.pending), 0)
		}
	})
}

// Guards against refusals that name a time after the caller's deadline, or the same time for
// all: a workspace at ten times its quota.
func TestRankedRefusalNamesTheTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLimiters(t, 3, cataloger.Quota{Rate: 20, Burst: 20})
		defer close(l.done)
		time.Sleep(3 * time.Second)
		var delays []time.Duration
		withoutTurn := 0
		for range 120 {
			a := l.all[0].admit(submission(time.Now()))
			if a.Code == carrier.OK {
				continue
			}
			cause, delay, _ := strings.Cut(a.Text, "; come back in ")
			d, err := time.ParseDuration(delay)
			is.NoErr(err)
			is.True(d <= 800*time.Millisecond)
			if strings.HasSuffix(cause, "no turn before the deadline") {
				withoutTurn++
				continue
			}
			delays = append(delays, d)
		}
		is.True(withoutTurn > 10)
		is.True(len(delays) > 10)
		is.True(delays[len(delays)-1]-delays[0] > 400*time.Millisecond) // successive turns
	})
}
