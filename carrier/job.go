package carrier

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/placer"
	"basildale.example/basildale/tracker"
)

// Bounds of running one statement.
const (
	// maxAttempts bounds how often a statement is sent or a transaction is begun: once to
	// each upstream of a group of three, and once more to the best one.
	maxAttempts = 4
	// busyRetryDelay is how long a statement waits before it is sent again to the only
	// upstream that may run it, when that upstream was busy: about the time in which one of
	// five slots becomes free.
	busyRetryDelay = 8 * time.Millisecond
	// failurePenalty is the latency that counts for a failed or lost answer, as a multiple
	// of the default latency. Given the smoothing of the mean, an upstream that fails four
	// statements of ten then costs three times as much as the others.
	failurePenalty = 6
	// connLimitRetryDelay is how long a statement waits before it tries again to get a
	// connection to the only upstream that may run it, when that upstream was at its
	// connection limit.
	connLimitRetryDelay = 120 * time.Millisecond
	// clockErrorMargin is subtracted from the maximum age of a sample for the error of the
	// clock.
	clockErrorMargin = 20 * time.Millisecond
	// resampleDivisor sets when a new sample is requested while the old one still serves:
	// after the route's maximum age divided by it.
	resampleDivisor = 3
	// retryAfter is how long a refusal asks callers to wait before they retry.
	retryAfter = time.Second
)

// Job is what the statements of one operation have in common.
type Job struct {
	// Request is the id of the caller's request, for the log.
	Request string
	// Workspace is the workspace of the statement; empty if it belongs to none.
	Workspace string
	// Priority is that of the route, from 0, the most urgent, to MaxPriority.
	Priority     int
	Freshness    cataloger.Freshness
	MaxStaleness time.Duration
	// LastWrite is the furthest position of the session's own writes.
	LastWrite tracker.Mark
	// Writes is true if the job may change data, so that only the leader may run it.
	Writes bool
	// Arrived is when the first byte of the operation arrived, by the Registry's clock;
	// ages count from it.
	Arrived time.Time
	// ObjectiveAt is when the operation should have been answered, by the Registry's clock;
	// zero where there is no objective.
	ObjectiveAt time.Time
	// Deadline is when the time of the statement is up, by the clock of time.Now.
	Deadline time.Time
	// Values are the session's values. Nobody changes them: copies of the statement may outlast
	// its answer.
	Values []Value
	// SessionState is the number of the session's changes to its values and prepared
	// statements so far, for the log.
	SessionState uint64
	// Prepared is the prepared statement to execute, if any.
	Prepared *Prepared
	// CanForward, when set, reports whether another process could run the job now, so that
	// waiting here for a leader or a sample is of no use.
	CanForward func() bool
	// CallerGone is closed when the caller has disconnected; it may be nil.
	CallerGone <-chan struct{}

	tried map[*upstream]bool
	// markWaitUntil is until when the job may wait for a replica to get a position; zero
	// before the first placement by expected time.
	markWaitUntil time.Time
	// over is closed when another attempt of the same read has been answered; nil where
	// there is no other.
	over <-chan struct{}
}

// MaxPriority is the priority of the least urgent work.
const MaxPriority = 15

// ClampPriority returns the nearest priority that a Job can have.
func ClampPriority(p int) int { return min(max(p, 0), MaxPriority) }

// RequiresLeader reports whether only the current leader may run the job.
func (j *Job) RequiresLeader() bool { return j.Writes || j.Freshness == cataloger.Latest }

// callerGone reports whether the caller has disconnected.
func (j *Job) callerGone() bool {
	select {
	case <-j.CallerGone:
		return true
	default:
		return false
	}
}

// markTried records that the job failed on an upstream.
func (j *Job) markTried(u *upstream) {
	if j.tried == nil {
		j.tried = map[*upstream]bool{}
	}
	j.tried[u] = true
}

// refusal returns the answer to a job of which nothing was run.
func refusal(code Code, text string) Answer { return Answer{Code: code, Text: text} }

// exchange runs commands on a connection and records what the answers show about the
// upstream. It reports whether any byte may have reached the upstream.
func (g *Group) exchange(u *upstream, r *run, deadline time.Time, commands ...Command) ([]Answer, bool, error) {
	g.mu.Lock()
	g.endExpiredLoans(u)
	if r.conn.cut || !g.mayUse(u) {
		g.mu.Unlock()
		return nil, false, errNoShare
	}
	r.exchangeStartedAt = g.registry.Now()
	account := u.usage.begin(r.workspace, r.exchangeStartedAt)
	g.mu.Unlock()
	answers, sent, err := r.conn.Exchange(deadline, commands...)
	g.mu.Lock()
	now := g.registry.Now()
	took := now.Sub(r.exchangeStartedAt)
	account.end(took, now)
	if err != nil && r.conn.cut {
		err = errors.Mark(err, errNoShare) // closed by this process: it shows nothing of the upstream
	} else if err != nil && r.inDoubtIfLost && took > commitStallThreshold && u.wroteAt.Before(r.exchangeStartedAt) {
		u.writeTimedOutAt = now
	}
	r.exchangeStartedAt = time.Time{}
	if err == nil {
		g.boundRoundTrip(u, took)
	}
	g.mu.Unlock()
	if errors.Is(err, ErrTooLong) {
		return nil, false, err
	}
	if err != nil {
		r.conn.lost = true
		g.log().Info("carrier: connection to upstream lost", zap.String("group", g.name), zap.String("upstream", u.id), zap.Uint64("connection", r.conn.number), zap.String("request", r.request),
			zap.Duration("took", took), zap.Bool("sent", sent), zap.Error(err))
		return nil, sent, err
	}
	r.conn.recordAnswers(commands, answers)
	g.recordAnswer(u, latestMark(answers))
	return answers, sent, nil
}

// latestMark returns the latest position in answers. One that repeats an earlier answer has an
// earlier position than those before it.
func latestMark(answers []Answer) tracker.Mark {
	var latest tracker.Mark
	for i := range answers {
		latest = laterMark(latest, answers[i].Mark)
	}
	return latest
}

// acquireConn gets a connection to an upstream for a job, or returns a refusal and no run.
func (g *Group) acquireConn(u *upstream, j *Job) (*run, Answer) {
	c, err := u.getConnFor(j.Workspace, j.Deadline)
	for err == nil && j.Writes && c.refused {
		g.release(u, c, false)
		c, err = u.getConnFor(j.Workspace, j.Deadline)
	}
	if err == nil && g.hasDrainEnded(u) {
		g.release(u, c, true)
		return nil, refusal(Busy, string(placer.LeaderDrained))
	}
	if err != nil {
		g.handleOpenError(u, err)
		switch {
		case errors.Is(err, errNoShare):
			return nil, refusal(Unavailable, err.Error())
		case errors.Is(err, ErrConnectionLimit):
			return nil, refusal(Overloaded, "upstream has too many connections")
		}
		j.markTried(u)
		return nil, refusal(Busy, "no connection to the upstream: "+err.Error())
	}
	return &run{conn: c, request: j.Request, workspace: j.Workspace, replicasMayServe: !j.RequiresLeader()}, Answer{}
}

// Run runs one statement outside of a transaction.
func (g *Group) Run(j *Job, cmd Command) Answer {
	answer := refusal(Busy, "out of time")
	for n := 0; n < maxAttempts && time.Until(j.Deadline) > 0; n++ {
		u, since, refused := g.place(j)
		if u == nil {
			return refused
		}
		var again bool
		u, answer, again = g.attemptRead(u, j, cmd, since)
		if !again {
			return answer
		}
		if answer.Code == Overloaded && j.CanForward != nil && j.CanForward() {
			return refusal(Unavailable, answer.Text) // a peer may have connections there
		}
		if answer.Code == Overloaded || answer.Code == Busy {
			n-- // nothing was run; the deadline bounds these retries
		}
		g.log().Info("carrier: retrying statement", zap.String("request", j.Request), zap.String("group", g.name),
			zap.String("upstream", u.id), zap.Uint64("connection", answer.Connection), zap.Stringer("code", answer.Code), zap.String("cause", answer.Text), zap.Int("attempt", n+1))
	}
	return answer
}

// attempt sends a statement to an upstream once. It reports whether the statement may and
// should be sent again.
func (g *Group) attempt(u *upstream, j *Job, cmd Command, since tracker.Mark) (Answer, bool) {
	ticket, admission := g.admit(u, j)
	if ticket == 0 {
		return admission, !g.isAbandoned(j) && g.hasAlternative(u, j, since)
	}
	answer, again := g.runAdmitted(u, j, cmd, since)
	answer.Queued = admission.Queued
	u.gate.Release(ticket, answer.Code == OK)
	if !again {
		return answer, false
	}
	return answer, g.shouldRetry(u, j, answer)
}

// runAdmitted runs an attempt that the upstream's gate admitted. It reports whether the
// answer is a refusal after which the statement may be sent again.
func (g *Group) runAdmitted(u *upstream, j *Job, cmd Command, since tracker.Mark) (Answer, bool) {
	if j.isOver() {
		return refusal(Busy, "another attempt was answered"), false
	}
	if g.isEjected(u) {
		return refusal(Busy, "upstream barred while the statement waited for it"), true
	}
	r, refused := g.acquireConn(u, j)
	if r == nil {
		return refused, true
	}
	if j.isOver() { // while it waited for the connection
		g.release(u, r.conn, true)
		return refusal(Busy, "another attempt was answered"), false
	}
	if j.Writes && !r.conn.Alive() {
		g.release(u, r.conn, false)
		return refusal(Busy, "connection was dead before the write"), true
	}
	g.addRun(u, r)
	started := g.registry.Now()
	answer, progress, err := g.send(u, r, j, cmd, since)
	g.removeRun(u, r) // before the release: heldConns counts a connection that is cut as closed
	if errors.Is(err, ErrTooLong) {
		g.release(u, r.conn, answer.State == Idle)
		return tooLarge(), false
	}
	if err != nil {
		g.release(u, r.conn, false)
		j.markTried(u)
		if progress != nothingSent && time.Until(j.Deadline) > 0 && !errors.Is(err, errNoShare) {
			g.recordFailure(u, true) // lost before the deadline: an overloaded upstream, which is only late, does not count as failing
		}
		answer, again := lostAnswer(j, progress)
		if !again || progress == stateSent {
			g.recordAnswerTime(u, failurePenalty*defaultLatency)
		}
		return answer, again
	}
	usable := answer.State == Idle && answer.Code != NoStatement
	g.release(u, r.conn, usable)
	answer.State = Idle
	answer.Upstream, answer.Connection, answer.Led = u.id, r.conn.number, g.reachableLeader() == u
	if answer.Doubtful && j.Writes && progress == statementSent {
		return doubtfulOutcome(answer), false
	}
	g.recordOutcome(u, answer)
	if answer.Code == OK {
		answer.Ran = g.registry.Now().Sub(started)
		answer.Waited = started.Sub(j.Arrived)
		g.recordAnswerTime(u, answer.Ran)
		g.recordService(u, j, answer.Ran)
		if !j.RequiresLeader() {
			g.recordReadServed(u, since)
		}
		return answer, false
	}
	if progress == statementSent {
		return answer, answer.Code != Aborted
	}
	return answer, !j.isOver()
}

// tooLarge returns the answer to a statement that is longer with what the upstream needs beside
// it than the upstream accepts.
func tooLarge() Answer { return refusal(TooLarge, "the statement is too long for the upstream") }

// doubtfulOutcome returns the answer to a write or a commit whose error may be the repeat of
// an earlier one: it may have run.
func doubtfulOutcome(a Answer) Answer {
	a.Code, a.Text, a.Doubtful = InDoubt, "an answer that may be an earlier one: "+a.Text, false
	return a
}

// progress is how far an attempt came.
type progress uint8

const (
	nothingSent progress = iota
	// stateSent means that bytes may have reached the upstream, and none of the statement.
	stateSent
	// statementSent means that bytes of the statement may have reached the upstream.
	statementSent
)

// progressOf returns reached if bytes were sent.
func progressOf(sent bool, reached progress) progress {
	if !sent {
		return nothingSent
	}
	return reached
}

// lostAnswer returns the answer to a statement whose connection broke, and whether the
// statement may be sent again.
func lostAnswer(j *Job, p progress) (Answer, bool) {
	switch {
	case p == nothingSent:
		return refusal(Busy, "connection lost before the statement was sent"), true
	case p == stateSent:
		return refusal(Aborted, "connection lost before the statement was sent"), true
	case j.Writes:
		return refusal(InDoubt, "connection lost after the statement was sent"), false
	case time.Until(j.Deadline) <= 0:
		return refusal(Timeout, "no answer in time"), false
	default:
		return refusal(Failed, "connection lost"), true
	}
}

// send runs the exchanges of one attempt and reports how far it came. The statement is sent
// once the upstream has accepted the session's state: it would run with another session's
// values if one of them were refused ahead of it in the same write.
func (g *Group) send(u *upstream, r *run, j *Job, cmd Command, since tracker.Mark) (Answer, progress, error) {
	if !j.Writes && j.Freshness == cataloger.Latest {
		return g.sendLeaderRead(u, r, j, cmd)
	}
	if j.Writes && g.isBarred(u) {
		return leaderReplaced(), nothingSent, nil
	}
	answer, sent, err := g.applyState(u, r, j)
	if err != nil || answer.Code != OK {
		return answer, progressOf(sent, stateSent), err
	}
	if j.isOver() {
		return refusal(Busy, "another attempt was answered"), stateSent, nil
	}
	if j.Writes {
		return g.sendWrite(u, r, j, cmd)
	}
	cmd.Since = since
	answers, sent, err := g.exchange(u, r, j.Deadline, cmd)
	if err != nil {
		return Answer{}, progressOf(sent, statementSent), err
	}
	return answers[0], statementSent, nil
}

func leaderReplaced() Answer { return refusal(ReadOnly, "the leader is being replaced") }

// sendWrite sends a write on a connection that has its session's state.
func (g *Group) sendWrite(u *upstream, r *run, j *Job, cmd Command) (Answer, progress, error) {
	g.mu.Lock()
	barred := g.fence.bars(u.id)
	r.inDoubtIfLost = !barred
	g.mu.Unlock()
	if barred {
		return leaderReplaced(), stateSent, nil
	}
	requestedAt := g.registry.Now()
	answers, sent, err := g.exchange(u, r, j.Deadline, cmd)
	if err != nil {
		return Answer{}, progressOf(sent, statementSent), err
	}
	answer := answers[0]
	if answer.Doubtful {
		return answer, statementSent, nil
	}
	g.recordWrite(u)
	if answer.Code == OK {
		g.recordLeader(u, requestedAt, answer.Mark)
		if !g.awaitSuccessor(u, answer.Mark, j.Deadline) {
			return g.lostToSuccessor(answer), statementSent, nil
		}
	}
	return answer, statementSent, nil
}

// applyState gives the connection the session's state. The beginning of a transaction may
// share the write, since it runs nothing for the caller; its answer is returned. After a
// refusal the connection is not used again.
func (g *Group) applyState(u *upstream, r *run, j *Job, begin ...Command) (Answer, bool, error) {
	setup := r.conn.setupCommands(j.Values, j.Prepared)
	commands := append(setup, begin...)
	if len(commands) == 0 {
		return Answer{}, false, nil
	}
	answers, sent, err := g.exchange(u, r, j.Deadline, commands...)
	if err != nil {
		return Answer{}, sent, err
	}
	last := answers[len(answers)-1]
	for i, cmd := range setup {
		code := answers[i].Code
		if code == OK {
			continue
		}
		g.log().Info("carrier: session state refused", zap.String("group", g.name), zap.String("upstream", u.id), zap.Uint64("connection", r.conn.number),
			zap.String("request", j.Request), zap.String("name", cmd.Name), zap.Stringer("code", code))
		switch {
		case code == ReadOnly, len(begin) > 0 && last.Code == ReadOnly:
			code = ReadOnly // it has lost the lead
		default:
			code = Aborted
		}
		return Answer{Code: code, Text: "session state refused: " + answers[i].Text, State: InFailedTransaction, Doubtful: answers[i].Doubtful}, true, nil
	}
	return last, true, nil
}

// shouldRetry records what an answer other than OK shows about the upstream, waits where
// that may help, and reports whether the job should be sent again.
func (g *Group) shouldRetry(u *upstream, j *Job, a Answer) bool {
	switch a.Code {
	case Lagging:
		if !a.Doubtful {
			g.recordLag(u)
		}
		j.markTried(u)
	case ReadOnly:
		if !a.Doubtful {
			g.handleReadOnly(u)
		}
		if j.RequiresLeader() {
			return true
		}
		j.markTried(u)
	case Overloaded:
		tryOthers := !j.RequiresLeader() && !j.tried[u]
		j.markTried(u)
		if !tryOthers && (j.CanForward == nil || !j.CanForward()) {
			return pause(j, connLimitRetryDelay)
		}
	case Busy:
		if !a.Doubtful {
			g.recordAnswerTime(u, 4*defaultLatency)
			g.recordShed(u)
		}
		if j.RequiresLeader() {
			return pause(j, busyRetryDelay)
		}
		j.markTried(u)
	case NoStatement:
	case Aborted:
		if !j.RequiresLeader() {
			j.markTried(u)
		}
	case Failed, Timeout:
		// An upstream that fails part of its work counts as slow, so that it gets less of
		// it until it answers well again.
		if !a.Doubtful {
			g.recordAnswerTime(u, failurePenalty*defaultLatency)
		}
		if j.Writes {
			return false
		}
		j.markTried(u)
	default:
		return false
	}
	return true
}
