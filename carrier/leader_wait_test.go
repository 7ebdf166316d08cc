package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// newLeaderlessGroup returns a group of three whose leader, a, has been lost for some time.
func newLeaderlessGroup(lost time.Duration) *Group {
	c := &Registry{Now: time.Now, Log: zap.NewNop()}
	c.SetUpstreams([]cataloger.Upstream{upstreamStartedAt("a", 1), upstreamStartedAt("b", 1), upstreamStartedAt("c", 1)})
	g, _ := c.Group("g")
	g.lastLeader, g.leaderlessSince = "a", time.Now().Add(-lost)
	for _, u := range g.upstreams {
		u.checkingLeader = true // no upstream can be asked in this test
	}
	return g
}

// Guards against holding callers for the whole time of their statement and then refusing
// them. For some seconds a partition separates the leader and this process from both
// replicas. A statement must not wait for the next leader where that cannot be reached from
// here.
func TestStatementIsRefusedAtOnceWhenNoLeaderIsExpected(t *testing.T) {
	for _, test := range []struct {
		name    string
		ejected []int
		lost    time.Duration
		held    time.Duration
	}{
		{"both replicas are ejected", []int{1, 2}, time.Second, 0},
		{"all three are ejected", []int{0, 1, 2}, time.Second, 0},
		{"one replica answers and may lead next", []int{0, 1}, time.Second, 800 * time.Millisecond},
		{"both replicas answer and none has led for long", []int{0}, 5 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newLeaderlessGroup(test.lost)
				for _, i := range test.ejected {
					g.upstreams[i].ejected = true
				}
				began := time.Now()
				answer := g.Run(&Job{Writes: true, Deadline: began.Add(800 * time.Millisecond), Arrived: began}, Command{Verb: Write})
				is.Equal(answer.Code, Busy)
				is.Equal(time.Since(began), test.held)
			})
		})
	}
}

// A write is not sent to a leader that acknowledges nothing while no other upstream can be
// reached: it would end in doubt, and one that was not sent can be retried elsewhere. Reads
// still run there.
func TestWriteIsNotSentToStalledLeader(t *testing.T) {
	is := is.New(t)
	g := newLeaderlessGroup(0)
	now := time.Now()
	g.leader, g.leaderlessSince = g.upstreams[0], time.Time{}
	g.upstreams[0].writeTimedOutAt = now
	is.True(!g.wouldStall(&Job{Writes: true})) // a replica may confirm it
	g.upstreams[1].ejected, g.upstreams[2].ejected = true, true
	is.True(g.wouldStall(&Job{Writes: true}))
	is.True(!g.wouldStall(&Job{}))
	is.True(g.Observe().CommitStalled)
}
