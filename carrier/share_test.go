package carrier

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/limiter"
)

// Guards against statements that are refused only a second after their arrival, for want of
// a connection, after a power failure of the whole fleet. A starting process has one
// connection to each upstream; one statement uses it and another one waits; then the
// process learns of its peers and has no share any more. Statements that wait must be
// refused at that point.
func TestWaitingStatementsAreRefusedWhenShareEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		share := 1
		s := &slotUpstream{free: make(chan struct{}, 6)}
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": share} }}
		settings := []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}}
		c.DivideConnections(1, settings)
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}})
		g, _ := c.Group("g")
		answers := make(chan Answer, 2)
		run := func(work string) {
			answers <- g.Run(&Job{Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}, Command{Verb: Read, ID: "r", Text: work})
		}
		began := time.Now()
		go run("300ms")
		synctest.Wait()
		go run("1ms")
		time.Sleep(100 * time.Millisecond)
		share = 0
		c.DivideConnections(2, settings)
		is.Equal((<-answers).Code, Unavailable)
		is.Equal(time.Since(began), 100*time.Millisecond)
		is.Equal((<-answers).Code, OK) // what is running continues
		is.Equal(g.upstreams[0].pool.Stats().Open, 0)
	})
}

// Guards against a process that is busy with one refused read until the read's deadline.
// The gates of two upstreams reject the read, and the third upstream is leaving. The
// leaving one must not count as an alternative, or the read is placed on an upstream that
// has rejected it.
func TestReadIsNotOfferedTwiceToSameGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &slotUpstream{free: make(chan struct{}, 6)}
		choices := 0
		c := &Registry{Dial: s.dial, Now: time.Now, Log: zap.NewNop(), CountPlacement: func(string) { choices++ }}
		c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 53}})
		c.SetUpstreams([]cataloger.Upstream{{ID: "a", Group: "g", Leads: true}, {ID: "b", Group: "g"}, {ID: "c", Group: "g", Leaving: true}})
		g, _ := c.Group("g")
		for _, u := range g.upstreams {
			u.gate.Queue.InitialServiceTime = time.Minute // nothing can be in time
			u.gate.Queue.Window = limiter.Window{Min: 1, Max: 1, Fixed: true}
		}
		g.samples.add(time.Now(), mark(1, 1))
		job := &Job{Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Second, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}
		is.Equal(g.Run(job, Command{Verb: Read, ID: "r", Text: "1ms"}).Code, Busy)
		is.Equal(choices, 2)
		c.Stop()
	})
}
