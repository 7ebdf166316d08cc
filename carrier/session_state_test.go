package carrier

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// statefulGroup is a group of a leader, a, and a replica, b, that keep the session state of their
// connections and compare it with that of the session whose statement they run.
type statefulGroup struct {
	*Group
	registry *Registry

	mu sync.Mutex
	// want is the session state of each statement, by its id.
	want  map[string]string
	ran   int
	dials int
	last  string   // id of the statement that ran last
	wrong []string // what ran with another state
	// refuse, when set, returns the code that a command is answered with. Session state is applied
	// all the same if the code is Failed.
	refuse func(cmd Command) Code
	// fail, when set, returns whether an exchange fails, and whether its commands were sent.
	fail func(commands []Command) (fails, sent bool)
}

// statefulLink is a connection to one of the upstreams.
type statefulLink struct {
	group    *statefulGroup
	id       string
	state    State
	values   map[string]string
	prepared map[string]string
	failed   bool
}

var errLinkFailed = errors.New("link failed")

func (l *statefulLink) Exchange(_ time.Time, commands ...Command) ([]Answer, bool, error) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	if l.failed {
		l.group.wrong = append(l.group.wrong, "a link was used after an error")
	}
	fails, sent := false, true
	if l.group.fail != nil {
		fails, sent = l.group.fail(commands)
	}
	l.failed = fails
	if fails && !sent {
		return nil, false, errLinkFailed
	}
	answers := make([]Answer, len(commands))
	for i, cmd := range commands {
		answers[i] = l.run(cmd)
	}
	if fails {
		return nil, true, errLinkFailed
	}
	return answers, true, nil
}

// run runs one command. The caller must hold the group's lock.
func (l *statefulLink) run(cmd Command) Answer {
	code := OK
	if l.group.refuse != nil {
		code = l.group.refuse(cmd)
	}
	if l.id == "b" && cmd.Verb == Begin {
		code = ReadOnly
	}
	refused := Answer{Code: code, State: l.state, Mark: mark(1, 20)}
	if code != OK && code != Failed {
		return refused
	}
	switch cmd.Verb {
	case Set:
		l.values[cmd.Name] = cmd.Value
	case Prepare:
		l.prepared[cmd.Name] = cmd.Value
	case Reset:
		clear(l.values)
		clear(l.prepared)
	}
	if code != OK {
		return refused
	}
	switch cmd.Verb {
	case Begin, BeginRead:
		l.state = InTransaction
	case Commit:
		l.compare(cmd)
		l.state = Idle
	case Rollback:
		l.state = Idle
	case Execute:
		if _, ok := l.prepared[cmd.Name]; !ok {
			return Answer{Code: NoStatement, State: l.state, Mark: mark(1, 20)}
		}
		l.compare(cmd)
	case Read, Write:
		l.compare(cmd)
	}
	return Answer{Signature: "s", State: l.state, Mark: mark(1, 20), Report: Report{Leads: l.id == "a"}}
}

// compare records whether a statement runs with its session's state. The caller must hold the
// group's lock.
func (l *statefulLink) compare(cmd Command) {
	l.group.ran++
	l.group.last = cmd.ID
	got := make([]string, 0, len(l.values))
	for _, name := range slices.Sorted(maps.Keys(l.values)) {
		got = append(got, name+"="+l.values[name])
	}
	if has, want := strings.Join(got, " "), l.group.want[cmd.ID]; has != want {
		l.group.wrong = append(l.group.wrong, fmt.Sprintf("%s at %s ran with %q, its session has %q", cmd.ID, l.id, has, want))
	}
}

func (l *statefulLink) Abort()                    {}
func (l *statefulLink) Alive() bool               { return true }
func (l *statefulLink) InitialMark() tracker.Mark { return mark(1, 20) }
func (l *statefulLink) Close() error              { return nil }

func newStatefulGroup() *statefulGroup {
	s := &statefulGroup{want: map[string]string{}}
	s.registry = &Registry{Now: time.Now, Log: zap.NewNop(), Dial: func(_ context.Context, u cataloger.Upstream, _ string) (Link, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.dials++
		return &statefulLink{group: s, id: u.ID, values: map[string]string{}, prepared: map[string]string{}}, nil
	}}
	s.registry.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 23}})
	leader := upstreamAtPort("a", 1)
	leader.Leads = true
	s.registry.SetUpstreams([]cataloger.Upstream{leader, upstreamAtPort("b", 2)})
	s.Group, _ = s.registry.Group("g")
	return s
}

// statement returns a job and the command of a session with these values, sorted by name.
func (s *statefulGroup) statement(verb Verb, id string, values ...Value) (*Job, Command) {
	words := make([]string, 0, len(values))
	for _, v := range values {
		words = append(words, v.Name+"="+v.Data)
	}
	s.mu.Lock()
	s.want[id] = strings.Join(words, " ")
	s.mu.Unlock()
	now := time.Now()
	j := &Job{
		Request: id, Freshness: cataloger.BoundedStaleness, MaxStaleness: time.Hour, Writes: verb == Write,
		Arrived: now, ObjectiveAt: now.Add(150 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond), Values: values,
	}
	return j, Command{Verb: verb, ID: id, Text: id}
}

// runAtLeader sends a statement to the upstream a once.
func (s *statefulGroup) runAtLeader(verb Verb, id string, values ...Value) Answer {
	j, cmd := s.statement(verb, id, values...)
	answer, _ := s.attempt(s.upstreams[0], j, cmd, tracker.Mark{})
	return answer
}

// beginAtLeader begins a transaction at the upstream a with a write.
func (s *statefulGroup) beginAtLeader(t *testing.T, id string, values ...Value) *Tx {
	t.Helper()
	j, cmd := s.statement(Write, id, values...)
	tx, answer := s.startTx(s.upstreams[0], j, Command{Verb: Begin}, cmd)
	is.New(t).Equal(answer.Code, OK)
	return tx
}

// Guards against statements that run with the values of another session, because a write that was
// not sent left its values in the record of the connection.
func TestUnsentWriteLeavesNoSessionState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		is.Equal(s.runAtLeader(Write, "w1", Value{"tz", "utc"}).Code, OK)
		s.SetFence(Fence{Leader: "a", Successor: "b"})
		is.Equal(s.runAtLeader(Write, "w2", Value{"lang", "da"}, Value{"tz", "cet"}).Code, ReadOnly)
		is.Equal(s.runAtLeader(Read, "r", Value{"lang", "da"}, Value{"tz", "cet"}).Code, OK) // a is a replica now
		is.Equal(s.ran, 2)
		is.Equal(s.wrong, nil)
	})
}

// Guards against a late answer that is taken for that of a rollback, on a connection whose statement
// got no answer.
func TestLostConnectionIsNotUsedForRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		tx := s.beginAtLeader(t, "w1", Value{"tz", "utc"})
		s.fail = func([]Command) (bool, bool) { return true, true }
		j, cmd := s.statement(Write, "w2", Value{"tz", "utc"})
		is.Equal(tx.Do(j, cmd).Code, Aborted)
		tx.Rollback()
		is.Equal(s.wrong, nil)
	})
}

// refuseVerb makes the upstreams answer commands of a kind with a code.
func (s *statefulGroup) refuseVerb(verb Verb, code Code) {
	s.refuse = func(cmd Command) Code {
		if cmd.Verb == verb {
			return code
		}
		return OK
	}
}

// Guards against the same after a transaction in which the upstream refused a value, or had lost
// the lead.
func TestRefusedValueOfTransactionLeavesNoSessionState(t *testing.T) {
	for _, code := range []Code{Busy, Failed, ReadOnly} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newStatefulGroup()
			defer s.registry.Stop()
			tx := s.beginAtLeader(t, "w1", Value{"tz", "utc"})
			s.refuseVerb(Set, code)
			j, cmd := s.statement(Write, "w2", Value{"tz", "cet"})
			is.True(tx.Do(j, cmd).Code.GuaranteesNoEffect())
			s.refuse = nil
			tx.Rollback()
			is.Equal(s.runAtLeader(Read, "r", Value{"tz", "cet"}).Code, OK)
			is.Equal(s.wrong, nil)
		})
	}
}

// Guards against a commit that runs with the values that its session had before it.
func TestCommitRunsWithItsSessionsState(t *testing.T) {
	for _, code := range []Code{OK, Failed} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newStatefulGroup()
			defer s.registry.Stop()
			tx := s.beginAtLeader(t, "w", Value{"tz", "utc"})
			s.refuseVerb(Set, code)
			j, cmd := s.statement(Commit, "c", Value{"tz", "cet"})
			answer := tx.Commit(j, cmd)
			is.Equal(answer.Code == OK, code == OK)
			is.True(code == OK || answer.Code.GuaranteesNoEffect() && s.last == "w")
			is.Equal(s.wrong, nil)
		})
	}
}

// Guards against a statement that stays unknown on a connection that counts as having it.
func TestUnknownStatementOfTransactionClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		execute := func(id string) (*Job, Command) {
			j, cmd := s.statement(Execute, id)
			j.Prepared = &Prepared{Shape: "q"}
			cmd.Name = j.Prepared.Alias()
			return j, cmd
		}
		tx := s.beginAtLeader(t, "w")
		s.refuseVerb(Execute, NoStatement)
		j, cmd := execute("e1")
		is.True(tx.Do(j, cmd).Code != OK)
		s.refuse = nil
		tx.Rollback()
		dials := s.dials
		j, cmd = execute("e2")
		answer, _ := s.attempt(s.upstreams[0], j, cmd, tracker.Mark{})
		is.Equal(answer.Code, OK)
		is.Equal(s.dials, dials+1)
	})
}

// Guards against a record of the session state that changes before the upstream has accepted it.
func TestComposingCommandsRecordsNothing(t *testing.T) {
	is := is.New(t)
	var c conn
	p := &Prepared{Shape: "q"}
	for range 2 {
		is.Equal(len(c.setupCommands([]Value{{"tz", "utc"}}, p)), 2)
	}
	c.setValue(Value{"lang", "da"})
	for range 2 {
		is.Equal(len(c.setupCommands([]Value{{"tz", "utc"}}, p)), 3) // with a reset
	}
}

// Guards against a write that is in doubt, or counts as one that the leader leaves unanswered, though
// only its values were sent.
func TestLostValuesAreNoLostWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		s.fail = func(commands []Command) (bool, bool) {
			if commands[0].Verb != Set {
				return false, true
			}
			s.mu.Unlock()
			time.Sleep(commitStallThreshold + time.Millisecond)
			is.True(!s.Observe().CommitStalled)
			s.mu.Lock()
			return true, true
		}
		is.Equal(s.runAtLeader(Write, "w", Value{"tz", "utc"}).Code, Aborted)
		is.True(!s.Observe().CommitStalled)
	})
}

// Guards against an upstream that counts as fast though it leaves session state unanswered.
func TestLostValuesCountAsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		s.fail = func(commands []Command) (bool, bool) { return commands[0].Verb == Set, true }
		before := s.upstreams[0].expectedLatency(time.Now())
		is.Equal(s.runAtLeader(Read, "r", Value{"tz", "utc"}).Code, Aborted)
		is.True(s.upstreams[0].expectedLatency(time.Now()) > before)
	})
}

// Guards against a leader that leaves writes unanswered and counts as one that answers them, because
// it answered a value of a write that was not sent.
func TestRefusedValueIsNoAnsweredWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		is.Equal(s.runAtLeader(Write, "w1").Code, OK)
		time.Sleep(time.Millisecond)
		s.addRun(s.upstreams[0], &run{conn: &conn{}, inDoubtIfLost: true, exchangeStartedAt: time.Now()})
		time.Sleep(commitStallThreshold + time.Millisecond)
		is.True(s.Observe().CommitStalled)
		s.refuseVerb(Set, Busy)
		is.True(s.runAtLeader(Write, "w2", Value{"tz", "utc"}).Code != OK)
		is.True(s.Observe().CommitStalled)
	})
}

// Guards against a write that is sent to a leader whose replacement was announced while the write's
// values were sent.
func TestWriteIsNotSentOnceLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		s.fail = func([]Command) (bool, bool) {
			s.SetFence(Fence{Leader: "a", Successor: "b"})
			return false, true
		}
		is.Equal(s.runAtLeader(Write, "w", Value{"tz", "utc"}).Code, ReadOnly)
		is.Equal(s.ran, 0)
	})
}

// Guards against a read that is sent though another attempt was answered while its values were.
func TestReadIsNotSentOnceAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStatefulGroup()
		defer s.registry.Stop()
		over := make(chan struct{})
		s.refuse = func(cmd Command) Code {
			if cmd.Verb == Set {
				close(over)
			}
			return OK
		}
		j, cmd := s.statement(Read, "r", Value{"tz", "utc"})
		j.over = over
		_, again := s.attempt(s.upstreams[0], j, cmd, tracker.Mark{})
		is.True(!again)
		is.Equal(s.ran, 0)
	})
}

// Guards against a statement that runs though the upstream refused a value of its session, which
// was sent ahead of it in the same write.
func TestStatementBehindRefusedValueIsNotRun(t *testing.T) {
	for _, verb := range []Verb{Read, Write} {
		for _, refused := range []Verb{Set, Reset} {
			for _, inTransaction := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newStatefulGroup()
					defer s.registry.Stop()
					is.Equal(s.runAtLeader(verb, "1", Value{"lang", "da"}, Value{"tz", "utc"}).Code, OK)
					refuse := func(cmd Command) Code {
						if cmd.Verb == refused {
							return Busy
						}
						return OK
					}
					j, cmd := s.statement(verb, "2", Value{"tz", "cet"})
					if inTransaction {
						first, firstCmd := s.statement(verb, "0", Value{"lang", "da"}, Value{"tz", "utc"})
						tx, answer := s.startTx(s.upstreams[0], first, Command{Verb: Begin}, firstCmd)
						is.Equal(answer.Code, OK)
						s.refuse = refuse
						is.True(tx.Do(j, cmd).Code != OK)
						tx.Rollback()
					} else {
						s.refuse = refuse
						answer, _ := s.attempt(s.upstreams[0], j, cmd, tracker.Mark{})
						is.True(answer.Code != OK)
					}
					is.Equal(s.wrong, nil)
				})
			}
		}
	}
}

// Guards against connections that are opened again and again for a statement whose values no
// upstream accepts or answers.
func TestRefusedValuesEndStatement(t *testing.T) {
	for _, verb := range []Verb{Read, Write} {
		for _, inTransaction := range []bool{false, true} {
			for _, lost := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newStatefulGroup()
					defer s.registry.Stop()
					is.Equal(s.runAtLeader(Write, "w").Code, OK)
					s.refuseVerb(Set, Busy)
					s.fail = func(commands []Command) (bool, bool) { return lost && commands[0].Verb == Set, true }
					j, cmd := s.statement(verb, "1", Value{"tz", "cet"})
					before := s.dials
					var answer Answer
					if inTransaction {
						_, answer = s.Start(j, false, cmd)
					} else {
						answer = s.Run(j, cmd)
					}
					is.True(answer.Code.GuaranteesNoEffect())
					is.True(s.dials-before <= maxAttempts)
					is.Equal(s.wrong, nil)
				})
			}
		}
	}
}
