package carrier

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// scriptedGroup is a group of one upstream, which leads. It must be used by one goroutine.
type scriptedGroup struct {
	*Group
	registry *Registry
	// answer answers a command on one of the links, which are numbered from 0.
	answer func(link int, cmd Command) (Answer, error)
	ran    []Verb // what was sent
	opened int
	closed []int
}

type scriptedLink struct {
	group *scriptedGroup
	n     int
}

func (l *scriptedLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	answers := make([]Answer, len(commands))
	for i, cmd := range commands {
		l.group.ran = append(l.group.ran, cmd.Verb)
		a, err := l.group.answer(l.n, cmd)
		if err != nil {
			return nil, true, err
		}
		answers[i] = a
	}
	return answers, true, nil
}

func (l *scriptedLink) Abort()                    {}
func (l *scriptedLink) Alive() bool               { return true }
func (l *scriptedLink) InitialMark() tracker.Mark { return mark(1, 1) }
func (l *scriptedLink) Close() error              { l.group.closed = append(l.group.closed, l.n); return nil }

// accept answers a command with success.
func accept(cmd Command) Answer {
	a := Answer{Signature: "s", Mark: mark(1, 9)}
	if cmd.Verb == Begin || cmd.Verb == Write && cmd.Name == "in transaction" {
		a.State = InTransaction
	}
	return a
}

// doubt answers the commands of a kind with a doubtful error.
func doubt(v Verb, code Code, state State) func(int, Command) (Answer, error) {
	return func(_ int, cmd Command) (Answer, error) {
		if cmd.Verb == v {
			return Answer{Code: code, State: state, Doubtful: true, Mark: mark(1, 2)}, nil
		}
		return accept(cmd), nil
	}
}

func newScriptedGroup(answer func(int, Command) (Answer, error)) *scriptedGroup {
	s := &scriptedGroup{answer: answer}
	s.registry = &Registry{Now: time.Now, Log: zap.NewNop(), Dial: func(context.Context, cataloger.Upstream, string) (Link, error) {
		s.opened++
		return &scriptedLink{s, s.opened - 1}, nil
	}}
	s.registry.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	leader := upstreamAtPort("a", 1)
	leader.Leads = true
	s.registry.SetUpstreams([]cataloger.Upstream{leader})
	s.Group, _ = s.registry.Group("g")
	return s
}

func (s *scriptedGroup) job(writes bool) *Job {
	now := time.Now()
	return &Job{Writes: writes, Arrived: now, ObjectiveAt: now.Add(150 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)}
}

func (s *scriptedGroup) count(v Verb) int {
	n := 0
	for _, ran := range s.ran {
		if ran == v {
			n++
		}
	}
	return n
}

var inTransaction = Command{Verb: Write, ID: "w", Name: "in transaction"}

// Guards against a promise for a write that ran, and against running it twice, when a refusal
// comes again.
func TestDoubtfulRefusalOfWritePromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(doubt(Write, Busy, Idle))
		is.Equal(s.Run(s.job(true), Command{Verb: Write, ID: "w"}).Code, InDoubt)
		synctest.Wait()
		is.Equal(s.count(Write), 1)
		is.Equal(s.closed, []int{0})
	})
}

// Guards against the same at the commit of a transaction.
func TestDoubtfulRefusalOfCommitPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(doubt(Commit, ReadOnly, Idle))
		j := s.job(true)
		tx, answer := s.Start(j, false, inTransaction)
		is.Equal(answer.Code, OK)
		is.Equal(tx.Commit(j, Command{Verb: Commit, ID: "c"}).Code, InDoubt)
		synctest.Wait()
		is.Equal(s.closed, []int{0})
	})
}

// Guards against using a connection on which the answers may be one behind.
func TestDoubtfulErrorEndsTheTransactionsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refuse := false
		doubted := doubt(Write, Busy, InTransaction)
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			if refuse {
				return doubted(n, cmd)
			}
			return accept(cmd), nil
		})
		j := s.job(true)
		tx, answer := s.Start(j, false, inTransaction)
		is.Equal(answer.Code, OK)
		refuse = true
		is.True(tx.Do(j, inTransaction).Code.GuaranteesNoEffect()) // closing rolls back
		tx.Rollback()
		synctest.Wait()
		is.Equal(s.ran, []Verb{Begin, Write, Write})
		is.Equal(s.closed, []int{0})
	})
}

// Guards against a promise for a write that ran outside of a transaction, because its
// beginning was refused and a repeat of an earlier answer hid that.
func TestWriteOutsideOfATransactionIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(_ int, cmd Command) (Answer, error) {
			if cmd.Verb == Write {
				return Answer{}, errors.Mark(errors.New("state"), ErrOutOfStep)
			}
			return accept(cmd), nil
		})
		tx, answer := s.Start(s.job(true), false, inTransaction)
		is.True(tx == nil)
		is.Equal(answer.Code, InDoubt)
		is.Equal(s.count(Write), 1)
	})
}

// Guards against doubt where none is: nothing of a transaction is kept whose connection is out
// of step before a statement is sent.
func TestOutOfStepBeforeAStatementAborts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(_ int, cmd Command) (Answer, error) {
			if cmd.Verb == Set {
				return Answer{}, errors.Mark(errors.New("state"), ErrOutOfStep)
			}
			return accept(cmd), nil
		})
		j := s.job(true)
		tx, answer := s.Start(j, false, inTransaction)
		is.Equal(answer.Code, OK)
		j.Values = []Value{{Name: "a", Data: "b"}}
		is.Equal(tx.Do(j, inTransaction).Code, Aborted)
		is.Equal(s.ran, []Verb{Begin, Write, Set})
	})
}

// Guards against a write whose refusal could be that of an earlier command.
func TestWritesUseConnectionsWithoutErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		links := map[int]bool{}
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			switch {
			case cmd.Verb == Read && n == 0:
				return Answer{Code: NoDatabase}, nil
			case cmd.Verb == Write:
				links[n] = true
			}
			return accept(cmd), nil
		})
		is.Equal(s.Run(s.job(false), Command{Verb: Read, ID: "r"}).Code, NoDatabase)
		is.Equal(s.opened, 1)
		is.Equal(s.Run(s.job(true), Command{Verb: Write, ID: "w"}).Code, OK)
		synctest.Wait()
		is.Equal(links, map[int]bool{1: true})
		is.Equal(s.closed, []int{0})
	})
}

// Guards against taking a healthy leader for a former one, by the refusal of an earlier time.
func TestDoubtfulErrorIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(doubt(Begin, ReadOnly, Idle))
		u := s.reachableLeader()
		is.True(!s.checkLeader(u))
		is.Equal(s.reachableLeader(), u)
		is.Equal(s.closed, []int{0, 1})
		refusals := []Code{ReadOnly, Lagging, Busy, Failed}
		for _, code := range refusals {
			is.True(s.shouldRetry(u, s.job(false), Answer{Code: code, Doubtful: true}))
		}
		s.recordOutcome(u, Answer{Code: Failed, Doubtful: true})
		is.Equal(s.reachableLeader(), u)
		is.Equal(u.lag, lag{})
		is.Equal(u.failures, failureRate{})
		is.True(u.latencyUpdatedAt.IsZero())
	})
}

// Guards against a former leader that is never noticed, because its refusals on a connection are
// all doubtful.
func TestDoubtfulRefusalOfLeaderIsAskedForAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			if cmd.Verb == Begin {
				return Answer{Code: ReadOnly, Doubtful: n == 0, Mark: mark(1, 2)}, nil
			}
			return accept(cmd), nil
		})
		u := s.reachableLeader()
		is.True(!s.checkLeader(u))
		is.True(s.reachableLeader() == nil)
		synctest.Wait()
		is.Equal(s.closed, []int{0})
	})
}

// Guards against a new connection for each check of a replica.
func TestDoubtfulRefusalOfReplicaCostsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(doubt(Begin, ReadOnly, Idle))
		u := s.reachableLeader()
		s.recordReplica(u)
		is.True(!s.checkLeader(u))
		is.True(!s.checkLeader(u))
		synctest.Wait()
		is.Equal(s.opened, 1)
		is.Equal(s.closed, nil) // the rollback has ended whatever was begun
	})
}

// Guards against reads with bounded staleness on a log that is older than they accept: the
// position in the repeated answer to a beginning is an old one.
func TestSamplesAreOfAnswersThatAreNoRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		repeat := true
		s := newScriptedGroup(func(_ int, cmd Command) (Answer, error) {
			a := accept(cmd)
			if cmd.Verb == Begin {
				a.Mark, a.Doubtful = mark(1, 5), repeat
			}
			if cmd.Verb == Read {
				a.State = InTransaction
			}
			return a, nil
		})
		is.True(!s.checkLeader(s.reachableLeader()))
		_, known := s.samples.last()
		is.True(!known)
		repeat = false // or one that cannot be told from the answer
		is.Equal(s.Run(s.job(false), Command{Verb: Read, ID: "r"}).Code, OK)
		newest, _ := s.samples.last()
		is.Equal(newest.mark, mark(1, 9))
		tx, answer := s.Start(s.job(true), false, inTransaction)
		is.Equal(answer.Code, OK)
		is.True(!slices.ContainsFunc(s.samples.ring, func(e sample) bool { return e.mark == mark(1, 5) }))
		tx.Rollback()
	})
}

// Guards against believing a report that a repeat of an earlier one could be.
func TestConnectionCarriesOneReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		links := map[int]int{}
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			if cmd.Verb == Status {
				links[n]++
			}
			return accept(cmd), nil
		})
		ask := func() {
			_, err := s.Control("a", time.Now().Add(time.Second), Command{Verb: Status})
			is.NoErr(err)
		}
		ask()
		is.Equal(s.Run(s.job(false), Command{Verb: Read, ID: "r"}).Code, OK)
		is.Equal(s.opened, 1) // statements may still use it
		ask()
		synctest.Wait()
		is.Equal(links, map[int]int{0: 1, 1: 1})
		is.Equal(s.closed, []int{0})
	})
}

// Guards against a new connection for each refusal of a replica, whose transaction has ended.
func TestDoubtfulRefusalOfReplicaKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(doubt(Begin, ReadOnly, Idle))
		u := s.reachableLeader()
		s.recordReplica(u)
		for range 3 {
			is.True(!s.checkLeader(u))
		}
		is.Equal(s.opened, 1)
		is.Equal(s.closed, nil)
	})
}

// Guards against a former leader that stays the leader, because each check uses the connection
// on which its refusals are doubtful.
func TestFormerLeaderIsFoundDespiteDoubtfulRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			if cmd.Verb == Begin {
				return Answer{Code: ReadOnly, State: Idle, Mark: mark(1, 2), Doubtful: n == 0}, nil
			}
			return accept(cmd), nil
		})
		is.True(!s.checkLeader(s.reachableLeader()))
		is.True(s.reachableLeader() == nil)
	})
}

// Guards against a leader without writes whose every second check fails: the answer to the
// beginning equals an earlier one.
func TestDoubtfulBeginIsAskedAgainOnAnotherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(n int, cmd Command) (Answer, error) {
			a := accept(cmd)
			a.Doubtful = cmd.Verb == Begin && n == 0
			return a, nil
		})
		is.True(s.checkLeader(s.reachableLeader()))
		is.Equal(s.closed, []int{0})
	})
}

// Guards against an old position for a peer, when the end of the check gets a repeated answer.
func TestSampleForPeerIsAsLateAsTheBeginning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newScriptedGroup(func(_ int, cmd Command) (Answer, error) {
			a := accept(cmd)
			if cmd.Verb == Rollback {
				a.Mark = mark(1, 2)
			}
			return a, nil
		})
		sampled, ok := s.SampleLeader()
		is.True(ok)
		is.Equal(sampled, mark(1, 9))
	})
}
