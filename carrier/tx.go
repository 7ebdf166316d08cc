package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Tx is a caller's transaction on one connection. It must be used by one goroutine.
type Tx struct {
	group    *Group
	upstream *upstream
	run      *run
	wrote    bool
	// ungated is set after the first statement: the later ones pass no gate.
	ungated bool
	state   State
	// outOfStep is set once the answer to a statement has shown that the transaction may not
	// be open at the upstream: what the statement wrote may be kept.
	outOfStep bool
	// beginRequestedAt is when the transaction was begun on the leader; zero once a signed answer
	// has shown that it was.
	beginRequestedAt time.Time
}

// Start begins a transaction and runs its first statement. If that fails for a reason that
// another attempt may avoid, the transaction is begun again on another upstream: the caller
// has not seen a result, and what the transaction wrote is rolled back. The transaction is
// nil when the answer is not OK.
func (g *Group) Start(j *Job, readOnly bool, cmd Command) (Transaction, Answer) {
	answer := refusal(Busy, "out of time")
	for n := 0; n < maxAttempts && time.Until(j.Deadline) > 0; n++ {
		u, since, refused := g.place(j)
		if u == nil {
			return nil, refused
		}
		begin := Command{Verb: Begin}
		if readOnly && j.Freshness != cataloger.Latest {
			begin = Command{Verb: BeginRead, Since: since}
		}
		ticket, admission := g.admit(u, j)
		if ticket == 0 {
			answer = admission
			if !g.isAbandoned(j) && g.hasAlternative(u, j, since) {
				continue
			}
			return nil, answer
		}
		var tx *Tx
		tx, answer = g.startTx(u, j, begin, cmd)
		answer.Queued = admission.Queued
		u.gate.Release(ticket, answer.Code == OK)
		if tx != nil {
			tx.ungated = true
			return tx, answer
		}
		if !g.shouldRetry(u, j, answer) {
			return nil, answer
		}
		if answer.Code == Overloaded && j.CanForward != nil && j.CanForward() {
			return nil, refusal(Unavailable, answer.Text) // a peer may have connections there
		}
		if answer.Code == Overloaded || answer.Code == Busy {
			n-- // nothing was run; the deadline bounds these retries
		}
		g.log().Info("carrier: retrying transaction", zap.String("request", j.Request), zap.String("group", g.name),
			zap.String("upstream", u.id), zap.Uint64("connection", answer.Connection), zap.Stringer("code", answer.Code), zap.String("cause", answer.Text), zap.Int("attempt", n+1))
	}
	return nil, answer
}

// startTx begins a transaction on an upstream and runs its first statement. The later
// statements do not pass the upstream's gate: the transaction already has a connection, and
// a refusal would lose what it has done.
func (g *Group) startTx(u *upstream, j *Job, begin, cmd Command) (*Tx, Answer) {
	tx, answer := g.beginTx(u, j, begin)
	if tx == nil {
		return nil, answer
	}
	answer = tx.Do(j, cmd)
	if answer.Code == OK {
		return tx, answer
	}
	tx.Rollback()
	return nil, answer
}

// beginTx begins a transaction on an upstream.
func (g *Group) beginTx(u *upstream, j *Job, begin Command) (*Tx, Answer) {
	r, refused := g.acquireConn(u, j)
	if r == nil {
		return nil, refused
	}
	g.addRun(u, r)
	requestedAt := g.registry.Now()
	answer, _, err := g.applyState(u, r, j, begin)
	if errors.Is(err, ErrTooLong) {
		g.removeRun(u, r)
		g.release(u, r.conn, true) // nothing was sent
		return nil, tooLarge()
	}
	if err != nil {
		g.removeRun(u, r)
		g.release(u, r.conn, false)
		j.markTried(u)
		return nil, refusal(Aborted, "connection lost before the transaction began")
	}
	if answer.Code != OK {
		g.removeRun(u, r)
		g.release(u, r.conn, answer.State == Idle)
		return nil, answer
	}
	tx := &Tx{group: g, upstream: u, run: r, state: InTransaction}
	if begin.Verb == Begin {
		tx.beginRequestedAt = requestedAt
	}
	return tx, Answer{}
}

// Do runs a statement inside the transaction. An answer that is not OK means that the
// transaction has failed and nothing of it is kept.
func (t *Tx) Do(j *Job, cmd Command) Answer {
	if t.state != InTransaction {
		return refusal(Aborted, "the transaction has failed")
	}
	t.wrote = t.wrote || j.Writes
	for {
		answer := t.runOnce(j, cmd)
		busy := answer.Code == Busy && answer.State == InTransaction && t.run.conn.isUsable()
		if !busy || !pause(j, busyRetryDelay) {
			return t.applyAnswer(answer)
		}
	}
}

// runOnce sends a statement of the transaction once.
func (t *Tx) runOnce(j *Job, cmd Command) Answer {
	started := t.group.registry.Now()
	answer, err := t.send(j, cmd)
	t.charge(j, started)
	if errors.Is(err, ErrTooLong) {
		return tooLarge()
	}
	if err != nil {
		j.markTried(t.upstream)
		if time.Until(j.Deadline) > 0 && !errors.Is(err, errNoShare) {
			t.group.recordFailure(t.upstream, true)
		}
		return Answer{Code: Aborted, Text: "connection lost inside the transaction", State: InFailedTransaction}
	}
	answer.Upstream, answer.Connection, answer.Led = t.upstream.id, t.run.conn.number, t.group.reachableLeader() == t.upstream
	t.group.recordOutcome(t.upstream, answer)
	if answer.Code == OK {
		t.recordBegun(answer.Mark)
		answer.Ran = t.group.registry.Now().Sub(started)
		t.group.recordAnswerTime(t.upstream, answer.Ran)
		t.group.recordService(t.upstream, j, answer.Ran)
	}
	return answer
}

// recordBegun records that the upstream led when the transaction was begun there, once a signed
// answer shows it. The answer to the beginning may be that of an earlier one.
func (t *Tx) recordBegun(mark tracker.Mark) {
	if !t.beginRequestedAt.IsZero() {
		t.group.recordLeader(t.upstream, t.beginRequestedAt, mark)
		t.beginRequestedAt = time.Time{}
	}
}

// send gives the connection the session's state and sends a statement of the transaction.
func (t *Tx) send(j *Job, cmd Command) (Answer, error) {
	t.run.request = j.Request
	answer, _, err := t.group.applyState(t.upstream, t.run, j)
	if err != nil || answer.Code != OK {
		return answer, err
	}
	answers, sent, err := t.group.exchange(t.upstream, t.run, j.Deadline, cmd)
	if err != nil {
		t.outOfStep = sent && errors.Is(err, ErrOutOfStep)
		return Answer{}, err
	}
	return answers[0], nil
}

// applyAnswer updates the state of the transaction by the answer of a statement. After a
// refusal the transaction counts as failed even if the upstream keeps it open, because the
// caller treats it as failed.
func (t *Tx) applyAnswer(a Answer) Answer {
	switch {
	case a.Code == OK && a.State == InTransaction:
	case a.Code == OK:
		t.state = InFailedTransaction
	case t.outOfStep && t.wrote:
		t.state = InFailedTransaction
		return Answer{Code: InDoubt, Text: "the upstream had no open transaction", State: InFailedTransaction}
	case a.Code == TooLarge:
		t.state = InFailedTransaction
	default:
		t.state = InFailedTransaction
		if !a.Code.GuaranteesNoEffect() {
			// Nothing of a transaction that was never sent a commit is kept, whatever the
			// outcome of the statement.
			a.Code, a.Text = Aborted, a.Code.String()+": "+a.Text
			a.Rows, a.Signature = nil, ""
		}
	}
	return a
}

// Commit commits the transaction. If the commit was sent and its answer is lost, the
// outcome of a transaction that wrote is in doubt.
func (t *Tx) Commit(j *Job, cmd Command) Answer {
	if t.state != InTransaction {
		t.Rollback()
		return refusal(Aborted, "the transaction has failed")
	}
	t.run.request = j.Request
	started := t.group.registry.Now()
	applied, _, err := t.group.applyState(t.upstream, t.run, j)
	if err != nil || applied.Code != OK {
		t.charge(j, started)
		t.Rollback()
		return refusal(Aborted, "the session's state was not accepted before the commit")
	}
	if t.wrote && t.group.isBarred(t.upstream) {
		t.Rollback()
		return refusal(Aborted, "the leader is being replaced")
	}
	t.run.inDoubtIfLost = t.wrote
	answers, sent, err := t.group.exchange(t.upstream, t.run, j.Deadline, cmd)
	t.charge(j, started)
	t.group.removeRun(t.upstream, t.run)
	if err != nil {
		t.group.release(t.upstream, t.run.conn, false)
		t.state = Idle
		switch {
		case sent && t.wrote:
			return refusal(InDoubt, "connection lost after the commit was sent")
		case t.wrote && errors.Is(err, errNoShare):
			return refusal(Aborted, "connection lost before the commit was sent")
		}
		return refusal(Aborted, "connection lost at the commit of a transaction that wrote nothing")
	}
	t.state = Idle
	answer := answers[0]
	if t.wrote && answer.Doubtful {
		answer = doubtfulOutcome(answer)
	} else if t.wrote {
		t.group.recordWrite(t.upstream)
	}
	t.group.release(t.upstream, t.run.conn, answer.State == Idle)
	answer.State = Idle
	if answer.Code == OK && t.wrote && !t.group.awaitSuccessor(t.upstream, answer.Mark, j.Deadline) {
		return t.group.lostToSuccessor(answer)
	}
	if answer.Code != OK && !answer.Code.GuaranteesNoEffect() && !t.wrote {
		return refusal(Aborted, answer.Code.String()+": "+answer.Text)
	}
	return answer
}

// Rollback ends the transaction and discards what it wrote. The caller need not wait for
// it: a connection that cannot be rolled back is closed, which has the same effect.
func (t *Tx) Rollback() {
	if t.state == Idle {
		return
	}
	t.state = Idle
	usable := false
	if t.run.conn.isUsable() {
		answers, _, err := t.group.exchange(t.upstream, t.run, time.Now().Add(probeTimeout), Command{Verb: Rollback})
		usable = err == nil && answers[0].State == Idle
	}
	t.group.removeRun(t.upstream, t.run)
	t.group.release(t.upstream, t.run.conn, usable)
}

// CommitEmpty commits a transaction without statements on an upstream, for the upstream's
// signature.
func (g *Group) CommitEmpty(j *Job, readOnly bool, cmd Command) Answer {
	for n := 0; n < maxAttempts && time.Until(j.Deadline) > 0; n++ {
		u, since, refused := g.place(j)
		if u == nil {
			return refused
		}
		begin := Command{Verb: Begin}
		if readOnly && j.Freshness != cataloger.Latest {
			begin = Command{Verb: BeginRead, Since: since}
		}
		tx, answer := g.beginTx(u, j, begin)
		if tx != nil {
			return tx.Commit(j, cmd)
		}
		if !g.shouldRetry(u, j, answer) {
			return answer
		}
	}
	return refusal(Busy, "out of time")
}
