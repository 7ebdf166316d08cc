package carrier

import "github.com/cockroachdb/errors"

// sendLeaderRead runs a read that must see every commit. It is wrapped in a transaction that
// only the leader accepts: a former leader refuses its begin. The read is sent only after the
// begin was accepted. Sent together with a refused begin, it would run outside of a
// transaction, on a log that may lack the newest commits.
func (g *Group) sendLeaderRead(u *upstream, r *run, j *Job, cmd Command) (Answer, progress, error) {
	requestedAt := g.registry.Now()
	began, sent, err := g.applyState(u, r, j, Command{Verb: Begin})
	if err != nil || began.Code != OK {
		return began, progressOf(sent, stateSent), err
	}
	answers, sent, err := g.exchange(u, r, j.Deadline, cmd, Command{Verb: Rollback})
	if errors.Is(err, ErrTooLong) {
		return g.endTooLong(u, r, j, err)
	}
	if err != nil {
		return Answer{}, progressOf(sent, statementSent), err
	}
	answer := answers[0]
	if answer.Code == OK {
		// The answer to the beginning may be that of an earlier one, which a signed answer
		// cannot be.
		g.recordLeader(u, requestedAt, answer.Mark)
	}
	answer.State = answers[1].State
	return answer, statementSent, nil
}

// endTooLong ends the transaction of a read that is too long to be sent.
func (g *Group) endTooLong(u *upstream, r *run, j *Job, tooLong error) (Answer, progress, error) {
	answers, sent, err := g.exchange(u, r, j.Deadline, Command{Verb: Rollback})
	if err != nil {
		return Answer{}, progressOf(sent, stateSent), err
	}
	return answers[0], stateSent, tooLong
}
