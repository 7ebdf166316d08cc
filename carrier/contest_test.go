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
	"basildale.example/basildale/limiter"
)

// contestants is a group of a leader, a, and a replica, b, and what happens there.
type contestants struct {
	group      *Group
	takes, ran map[string]*atomic.Int64
	dialTakes  atomic.Int64
}

// newContestants returns a group whose upstreams answer in 20 ms and whose reads may be sent
// once more.
func newContestants() *contestants {
	s := &contestants{takes: map[string]*atomic.Int64{}, ran: map[string]*atomic.Int64{}}
	var list []cataloger.Upstream
	for _, id := range []string{"a", "b"} {
		s.takes[id], s.ran[id] = &atomic.Int64{}, &atomic.Int64{}
		s.takes[id].Store(int64(20 * time.Millisecond))
		list = append(list, cataloger.Upstream{ID: id, Group: "g", Slots: 3, Leads: id == "a"})
	}
	c := &Registry{
		Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
			time.Sleep(time.Duration(s.dialTakes.Load()))
			return &pacedLink{laggingLink{newLaggingGroup(), u.ID}, s.takes[u.ID], s.ran[u.ID]}, nil
		},
		Now: time.Now, Features: withExpected, Log: zap.NewNop(),
	}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	c.SetUpstreams(list)
	s.group, _ = c.Group("g")
	for range 100 {
		s.group.expected.hedge.Record(int(limiter.Lookup), 20*time.Millisecond)
	}
	return s
}

// attempt runs a read that is sent to b first.
func (s *contestants) attempt(j *Job) (*upstream, Answer, time.Duration) {
	began := time.Now()
	s.group.recordLeader(s.group.upstreams[0], began, mark(1, 100))
	j.Freshness, j.MaxStaleness, j.Arrived, j.Deadline = cataloger.BoundedStaleness, time.Second, began, began.Add(time.Second)
	u, answer, _ := s.group.attemptRead(s.group.upstreams[1], j, Command{Verb: Read, ID: "r"}, mark(1, 1))
	return u, answer, time.Since(began)
}

// Guards against a refusal of the second attempt, by the admission queue or for the upstream's
// connections, that reaches the caller while the first attempt is about to be answered.
func TestRefusedSecondAttemptDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newContestants()
		defer s.group.registry.Stop()
		s.takes["b"].Store(int64(100 * time.Millisecond))
		s.group.upstreams[0].pool.SetLimit(0) // the share is lost before it is seen in the choice
		s.group.upstreams[0].gate.SetWindowMin(3)
		u, answer, took := s.attempt(&Job{})
		is.Equal(answer.Code, OK)
		is.Equal(u.id, "b")
		is.Equal(took, 100*time.Millisecond)
	})
}

// Guards against a statement of a dropped attempt that is sent all the same, after it has waited
// for a connection, and against a second attempt for a caller that has disconnected.
func TestDroppedAttemptIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newContestants()
		defer s.group.registry.Stop()
		_, _, _ = s.attempt(&Job{}) // opens a connection to b
		s.takes["b"].Store(int64(100 * time.Millisecond))
		s.dialTakes.Store(int64(300 * time.Millisecond))
		u, answer, _ := s.attempt(&Job{})
		is.Equal(answer.Code, OK)
		is.Equal(u.id, "b")
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(s.ran["a"].Load(), int64(0))
		is.Equal(len(s.group.upstreams[0].running), 0)

		gone := make(chan struct{})
		close(gone)
		_, _, _ = s.attempt(&Job{CallerGone: gone})
		time.Sleep(time.Second)
		is.Equal(s.ran["a"].Load(), int64(0))
	})
}
