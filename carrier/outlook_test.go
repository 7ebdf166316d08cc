package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
)

// leaderless returns a group of three whose leader, a, has been lost for some time.
func leaderless(lost time.Duration) *Group {
	c := &Registry{Now: time.Now, Log: zap.NewNop()}
	c.Apply([]cataloger.Upstream{startedAt("a", 1), startedAt("b", 1), startedAt("c", 1)})
	g, _ := c.Group("g")
	g.led, g.leaderless = "a", time.Now().Add(-lost)
	for _, m := range g.members {
		m.asked = true // nobody can be asked in this test
	}
	return g
}

// Symptom: callers are held for the whole of their statement's time and then refused.
// Sequence: a partition leaves the leader and this process on one side, both replicas on
// the other, for seconds. Cause: who has no leader waits for the next one, also where
// that can't be reached from here.
func TestAStatementThatNoNextLeaderCanTakeIsRefusedAtOnce(t *testing.T) {
	for _, test := range []struct {
		name   string
		barred []int
		lost   time.Duration
		held   time.Duration
	}{
		{"both others are out of reach", []int{1, 2}, time.Second, 0},
		{"and so is the last leader", []int{0, 1, 2}, time.Second, 0},
		{"one of them answers, and may lead next", []int{0, 1}, time.Second, 800 * time.Millisecond},
		{"both answer, and none leads for long", []int{0}, 5 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := leaderless(test.lost)
				for _, i := range test.barred {
					g.members[i].barred = true
				}
				began := time.Now()
				answer := g.Run(&Job{Writes: true, Deadline: began.Add(800 * time.Millisecond), Arrived: began}, Command{Verb: Write})
				is.Equal(answer.Code, Busy)
				is.Equal(time.Since(began), test.held)
			})
		})
	}
}

// A write isn't sent to a leader that acknowledges nothing while nobody else can be
// reached: it would end in doubt, where one that isn't sent can be tried elsewhere.
// Reads still run there.
func TestAWriteIsNotSentToALeaderThatIsCutOff(t *testing.T) {
	is := is.New(t)
	g := leaderless(0)
	now := time.Now()
	g.leader, g.leaderless = g.members[0], time.Time{}
	g.members[0].starved = now
	is.True(!g.starves(&Job{Writes: true})) // a replica may confirm it
	g.members[1].barred, g.members[2].barred = true, true
	is.True(g.starves(&Job{Writes: true}))
	is.True(!g.starves(&Job{}))
	is.True(g.Observe().CommitStalled)
}
