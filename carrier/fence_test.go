package carrier

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// replacedGroup is a group of a leader, a, whose commits all have position 1.20, and a replica,
// b, that is to lead next.
type replacedGroup struct {
	*Group
	registry *Registry

	mu       sync.Mutex
	received tracker.Mark // at b
	writes   []string     // the upstreams that ran a write
	reports  int          // that were requested
	stalled  bool         // commits wait until the connection is aborted
}

// replacedLink is a connection to one of the upstreams.
type replacedLink struct {
	group   *replacedGroup
	id      string
	state   State
	aborted chan struct{}
	once    sync.Once
}

func (l *replacedLink) Exchange(deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	l.group.mu.Lock()
	received, stalled := l.group.received, l.group.stalled
	l.group.mu.Unlock()
	answers := make([]Answer, len(commands))
	for i, cmd := range commands {
		switch cmd.Verb {
		case Begin:
			l.state = InTransaction
		case Commit, Rollback:
			l.state = Idle
		}
		answers[i] = Answer{Signature: "s", Mark: mark(1, 20), State: l.state}
		switch {
		case cmd.Verb == Status:
			l.group.mu.Lock()
			l.group.reports++
			l.group.mu.Unlock()
			answers[i].Report = Report{Leads: l.id == "a", Term: received.Term, Received: received}
		case l.id == "b" && cmd.Verb == Begin:
			answers[i].Code, answers[i].State = ReadOnly, Idle
			l.state = Idle
		case cmd.Verb == Write:
			l.group.mu.Lock()
			l.group.writes = append(l.group.writes, l.id)
			l.group.mu.Unlock()
			if stalled {
				select {
				case <-l.aborted:
				case <-time.After(time.Until(deadline)):
				}
				return nil, true, context.DeadlineExceeded
			}
		}
	}
	return answers, true, nil
}

func (l *replacedLink) Abort()                    { l.once.Do(func() { close(l.aborted) }) }
func (l *replacedLink) Alive() bool               { return true }
func (l *replacedLink) InitialMark() tracker.Mark { return mark(1, 10) }
func (l *replacedLink) Close() error              { return nil }

func newReplacedGroup() *replacedGroup {
	s := &replacedGroup{received: mark(1, 10)}
	s.registry = &Registry{Now: time.Now, Log: zap.NewNop(), Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
		return &replacedLink{group: s, id: u.ID, aborted: make(chan struct{})}, nil
	}}
	s.registry.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	leader := upstreamAtPort("a", 1)
	leader.Leads = true
	s.registry.SetUpstreams([]cataloger.Upstream{leader, upstreamAtPort("b", 2)})
	s.Group, _ = s.registry.Group("g")
	return s
}

func (s *replacedGroup) write() Answer {
	now := time.Now()
	return s.Run(&Job{Writes: true, Arrived: now, ObjectiveAt: now.Add(150 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)},
		Command{Verb: Write, ID: "w"})
}

// Guards against acknowledged commits that a promoted replica lacks: the former leader is back
// under another id before the order takes effect, and a replica that joins confirms its
// commits.
func TestFormerLeaderIsNotUsedWhileAnOrderIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		is.Equal(s.write().Code, OK)
		s.SetFence(Fence{Leader: "a", Successor: "b"})
		is.True(!s.Observe().LeaderAnswers)
		returned := upstreamAtPort("d", 1)
		returned.Leads = true
		s.registry.SetUpstreams([]cataloger.Upstream{returned, upstreamAtPort("b", 2)})
		is.True(!s.Observe().LeaderAnswers)
		s.checkLeader(s.upstreams[0]) // it proves that it leads
		is.True(!s.Observe().LeaderAnswers)
		is.True(s.write().Code.GuaranteesNoEffect())
		is.Equal(s.writes, []string{"a"})
		s.SetFence(Fence{}) // the order was rejected
		is.Equal(s.write().Code, OK)
	})
}

// Guards against the same in a transaction that began before the change.
func TestTransactionAtFormerLeaderIsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		j := &Job{Writes: true, Arrived: time.Now(), ObjectiveAt: time.Now().Add(time.Second), Deadline: time.Now().Add(time.Second)}
		tx, answer := s.beginTx(s.upstreams[0], j, Command{Verb: Begin})
		is.Equal(answer.Code, OK)
		is.Equal(tx.Do(j, Command{Verb: Write, ID: "w"}).Code, OK)
		s.SetFence(Fence{Leader: "a", Successor: "b"})
		is.Equal(tx.Commit(j, Command{Verb: Commit, ID: "c"}).Code, Aborted)
	})
}

// Guards against commits that wait at the former leader until a replica joins and confirms
// them.
func TestWaitingCommitIsAbortedWhenLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		s.stalled = true
		answered := make(chan Code)
		go func() { answered <- s.write().Code }()
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		s.SetFence(Fence{Leader: "a"})
		is.Equal(<-answered, InDoubt)
		is.True(time.Since(began) < 50*time.Millisecond)
	})
}

// Guards against acknowledged commits that a promoted replica lacks in a planned change: the
// successor receives nothing any more while the order is out, and a replica that joins confirms
// commits.
func TestCommitWaitsForSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		s.SetFence(Fence{Successor: "b", LeaderServes: true})
		setReceived := func(m tracker.Mark) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.received = m
		}
		time.AfterFunc(30*time.Millisecond, func() { setReceived(mark(1, 20)) })
		began := time.Now()
		is.Equal(s.write().Code, OK)
		is.True(time.Since(began) >= 30*time.Millisecond)
		began = time.Now()
		is.Equal(s.write().Code, OK) // known to be received
		is.Equal(time.Since(began), time.Duration(0))

		s.SetFence(Fence{})
		s.SetFence(Fence{Successor: "b", LeaderServes: true})
		setReceived(mark(1, 19))
		is.Equal(s.write().Code, InDoubt)
		time.AfterFunc(30*time.Millisecond, func() { setReceived(mark(2, 0)) }) // it leads, without the commit
		is.Equal(s.write().Code, InDoubt)
		s.SetFence(Fence{})
		is.Equal(s.write().Code, OK)
	})
}

// Guards against needless doubt: a planned change that is called off loses nothing.
func TestCommitIsAcknowledgedWhenChangeIsCalledOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		s.SetFence(Fence{Successor: "b", LeaderServes: true})
		time.AfterFunc(30*time.Millisecond, func() { s.SetFence(Fence{}) })
		is.Equal(s.write().Code, OK)
	})
}

// Guards against a storm of connections, one for each report, while many commits wait.
func TestWaitingCommitsShareReportsOfSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newReplacedGroup()
		defer s.registry.Stop()
		is.Equal(s.write().Code, OK)
		s.SetFence(Fence{Successor: "b", LeaderServes: true})
		const commits = 10
		answered := make(chan Code, commits)
		for range commits {
			go func() { answered <- s.write().Code }()
		}
		const wait = 50 * time.Millisecond
		time.Sleep(wait)
		synctest.Wait()
		s.mu.Lock()
		s.received = mark(1, 20)
		reports := s.reports
		s.mu.Unlock()
		for range commits {
			is.Equal(<-answered, OK)
		}
		is.True(reports <= int(wait/successorPollInterval)+2) // one at each end
	})
}
