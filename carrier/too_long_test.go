package carrier

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// longGroup is a group whose upstream accepts no read, write or preparation of a statement.
func longGroup() *scriptedGroup {
	return newScriptedGroup(func(_ int, cmd Command) (Answer, error) {
		if cmd.Verb == Read || cmd.Verb == Prepare || cmd.Verb == Write && cmd.Text == "long" {
			return Answer{}, ErrTooLong
		}
		return accept(cmd), nil
	})
}

// Guards against retrying a statement that no upstream accepts, at a connection for each attempt.
func TestTooLongStatementIsRefusedAtOnce(t *testing.T) {
	prepared := &Prepared{Shape: "long"}
	for _, c := range []struct {
		name  string
		job   func(j *Job) *Job
		cmd   Command
		tried []Verb
	}{
		{"read", func(j *Job) *Job { return j }, Command{Verb: Read, ID: "r"}, []Verb{Begin, Read, Rollback}},
		{"write", func(j *Job) *Job { j.Writes = true; return j }, Command{Verb: Write, ID: "w", Text: "long"}, []Verb{Write}},
		{"shape", func(j *Job) *Job { j.Writes, j.Prepared = true, prepared; return j }, Command{Verb: Execute, ID: "w"}, []Verb{Prepare}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := longGroup()
				is.Equal(s.Run(c.job(s.job(false)), c.cmd).Code, TooLarge)
				synctest.Wait()
				is.Equal(s.ran, c.tried)
				is.Equal(s.closed, nil)
			})
		})
	}
}

// Guards against the same in a transaction, and against a promise in place of the reason.
func TestTooLongStatementFailsItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := longGroup()
		j := s.job(true)
		tx, answer := s.Start(j, false, Command{Verb: Write, ID: "w", Text: "long"})
		is.True(tx == nil)
		is.Equal(answer.Code, TooLarge)
		tx, answer = s.Start(j, false, inTransaction)
		is.Equal(answer.Code, OK)
		is.Equal(tx.Do(j, Command{Verb: Write, ID: "w", Text: "long"}).Code, TooLarge)
		is.Equal(tx.Do(j, inTransaction).Code, Aborted)
		tx.Rollback()
		j.Prepared = &Prepared{Shape: "long"}
		tx, answer = s.Start(j, false, Command{Verb: Execute, ID: "w"})
		is.True(tx == nil)
		is.Equal(answer.Code, TooLarge)
		synctest.Wait()
		is.Equal(s.closed, nil)
	})
}
