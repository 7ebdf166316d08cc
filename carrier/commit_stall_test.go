package carrier

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// firstWriteLost is an upstream that leads and answers each write at once, except the
// first.
type firstWriteLost struct{ writes atomic.Int32 }

func (f *firstWriteLost) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	last := commands[len(commands)-1]
	if last.Verb == Write {
		if f.writes.Add(1) == 1 {
			time.Sleep(time.Until(deadline))
			return nil, true, context.DeadlineExceeded
		}
	}
	answers := make([]Answer, len(commands))
	for i := range answers {
		answers[i] = Answer{Signature: "s", Mark: mark(1, 1)}
	}
	return answers, true, nil
}

func (f *firstWriteLost) Abort()                    {}
func (f *firstWriteLost) Alive() bool               { return true }
func (f *firstWriteLost) InitialMark() tracker.Mark { return mark(1, 1) }
func (f *firstWriteLost) Close() error              { return nil }

// Guards against replacing a healthy leader as a dead one, which leaves its group without a
// leader for 1.9 s. It loses the answer of one write in five; the processes' writes time
// out after 0.8 s, at about the same time. A write that timed out must not make the leader
// count as stalled if it has answered others since that one was sent.
func TestLostAnswerIsNotCommitStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &firstWriteLost{}
		c := &Registry{Now: time.Now, Log: zap.NewNop(), Dial: func(context.Context, cataloger.Upstream, string) (Link, error) { return f, nil }}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		leader := upstreamAtPort("a", 1)
		leader.Leads = true
		c.SetUpstreams([]cataloger.Upstream{leader})
		g, _ := c.Group("g")
		write := func() Code {
			now := time.Now()
			return g.Run(&Job{Writes: true, Arrived: now, ObjectiveAt: now.Add(150 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)},
				Command{Verb: Write, ID: "w"}).Code
		}
		lostWrite := make(chan Code)
		go func() { lostWrite <- write() }()
		time.Sleep(600 * time.Millisecond)
		is.Equal(write(), OK)
		is.Equal(<-lostWrite, InDoubt)
		is.True(!g.Observe().CommitStalled)

		// With no write answered, commits are stalled.
		f.writes.Store(0)
		time.Sleep(time.Second)
		is.Equal(write(), InDoubt)
		is.True(g.Observe().CommitStalled)
		c.Stop()
		time.Sleep(time.Second)
	})
}
