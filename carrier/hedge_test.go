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
)

// pacedLink is a connection to an upstream that answers after a time.
type pacedLink struct {
	laggingLink
	takes *atomic.Int64 // a duration
	ran   *atomic.Int64
}

func (l *pacedLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, c := range commands {
		answers[i] = Answer{Mark: mark(1, 100)}
		if c.Verb == Read || c.Verb == Write {
			l.ran.Add(1)
			time.Sleep(time.Duration(l.takes.Load()))
		}
	}
	return answers, true, nil
}

// Guards against reads that wait for an upstream that has become slow while another one is
// idle, and against a write or a read that only the leader may run that is sent twice.
func TestReadIsSentOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		takes, ran := map[string]*atomic.Int64{}, map[string]*atomic.Int64{}
		var list []cataloger.Upstream
		for _, id := range []string{"a", "b"} {
			takes[id], ran[id] = &atomic.Int64{}, &atomic.Int64{}
			takes[id].Store(int64(20 * time.Millisecond))
			list = append(list, cataloger.Upstream{ID: id, Group: "g", Slots: 3, Leads: id == "a"})
		}
		f := withExpected()
		c := &Registry{
			Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
				return &pacedLink{laggingLink{newLaggingGroup(), u.ID}, takes[u.ID], ran[u.ID]}, nil
			},
			Now: time.Now, Features: func() Features { return f }, Log: zap.NewNop(),
		}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
		c.SetUpstreams(list)
		defer c.Stop()
		g, _ := c.Group("g")
		run := func(j *Job, verb Verb) time.Duration {
			g.recordLeader(g.upstreams[0], time.Now(), mark(1, 100))
			j.Arrived, j.MaxStaleness, j.Deadline = time.Now(), time.Second, time.Now().Add(2*time.Second)
			is.Equal(g.Run(j, Command{Verb: verb, ID: "r"}).Code, OK)
			return time.Since(j.Arrived)
		}
		for range 200 {
			run(&Job{Freshness: cataloger.BoundedStaleness}, Read)
		}
		first, open := ran["a"].Load(), g.upstreams[1].pool.Stats().Open
		takes["b"].Store(int64(200 * time.Millisecond))
		is.True(run(&Job{Freshness: cataloger.BoundedStaleness}, Read) < 60*time.Millisecond)
		is.Equal(ran["a"].Load(), first+1)
		time.Sleep(time.Second) // the dropped answer arrives
		synctest.Wait()
		is.Equal(len(g.upstreams[1].running), 0)
		is.Equal(g.upstreams[1].pool.Stats().Open, open) // its connection is used again

		takes["a"].Store(int64(200 * time.Millisecond))
		before := ran["a"].Load() + ran["b"].Load()
		run(&Job{Writes: true}, Write)
		run(&Job{Freshness: cataloger.Latest}, Read)
		synctest.Wait()
		f = Features{}
		run(&Job{Freshness: cataloger.BoundedStaleness}, Read)
		is.Equal(ran["a"].Load()+ran["b"].Load(), before+3)
	})
}
