package conductor

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/tracker"
)

// Bounds of a session.
const (
	// maxValues and maxPrepared bound the memory that a caller can make a process hold: a few
	// kilobytes each.
	maxValues   = 64
	maxPrepared = 256
	// idleTimeoutSlack is added to the idle timeout of a transaction, so that a caller right at
	// the bound does not lose the transaction.
	idleTimeoutSlack = 200 * time.Millisecond
	// defaultIdleTimeout applies when the configuration sets no idle timeout.
	defaultIdleTimeout = 10 * time.Second
)

// Session is the session of one caller. Set the exported fields before the first statement.
type Session struct {
	// Process is the name of this process. It is stated as the gateway of requests that were
	// not forwarded.
	Process  string
	Database string
	// Key is the fingerprint of the key that the caller presented.
	Key cataloger.Fingerprint
	// View returns the configuration in force.
	View func() *cataloger.View
	// Group returns a database group by its name.
	Group func(name string) (carrier.Runner, bool)
	// Now is the clock of package carrier.
	Now func() time.Time
	// Admit, when set, charges the operation that a job begins to the quota of its
	// workspace, and returns a refusal when the quota is used up.
	Admit func(job *carrier.Job) carrier.Answer
	// Observe, when set, is called with the answer to each request.
	Observe func(o Outcome)
	// IsStopping, when set, reports whether this process stops so soon that work that begins
	// now might not be finished. Such work is rejected; a transaction may still be committed.
	IsStopping func() bool
	// Fields, when set, holds slices of log fields that the sessions of a process share, so
	// that a line costs no new one and an idle session keeps none.
	Fields *sync.Pool
	Log    *zap.Logger

	mu       sync.Mutex      // held while a statement runs
	values   []carrier.Value // replaced, never changed: jobs refer to them
	prepared map[string]carrier.Prepared
	// stateNumber counts the changes of values and prepared, and stateChangedAt is when the
	// last one was answered.
	stateNumber    uint64
	stateChangedAt time.Time
	mark           tracker.Mark // furthest position answered to a write or commit of the session

	state            carrier.State
	readOnly         bool
	scope            scope     // of the open transaction
	began            time.Time // when the BEGIN of the open transaction arrived
	tx               carrier.Transaction
	inDoubt          bool                  // something of the failed transaction may be kept
	pendingRollbacks []carrier.Transaction // rolled back once the caller has its answer
	idleTimer        *time.Timer
	statementCount   uint64 // so that an outdated idle timer does not end a newer transaction

	closed     bool // no statement is run any more
	callerGone chan struct{}
	closeOnce  sync.Once
	setup      sync.Once
}

func (s *Session) initialize() {
	s.callerGone = make(chan struct{})
}

// State returns the transaction state. It may be called from any goroutine that does not run a
// statement.
func (s *Session) State() carrier.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Handle executes one statement that arrived at the given time of the session's clock.
func (s *Session) Handle(st Statement, arrived time.Time) Reply {
	s.setup.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		// Its transaction has been rolled back, so it would run outside of it.
		return errorReply(carrier.Aborted, "the session is closed")
	}
	s.statementCount++
	s.stopIdleTimer()
	reply := s.dispatch(st, arrived)
	reply.State = s.state
	s.startIdleTimer()
	return reply
}

// RollbackEnded rolls back transactions that have ended. It is called after the reply was
// sent, so that the caller does not wait for it.
func (s *Session) RollbackEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.pendingRollbacks {
		tx.Rollback()
	}
	s.pendingRollbacks = s.pendingRollbacks[:0]
}

// Close ends the session because the caller has disconnected. Requests that wait for an
// upstream are cancelled, an open transaction is rolled back, and later statements are refused.
func (s *Session) Close() {
	s.Cancel()
	s.mu.Lock()
	s.closed = true
	s.stopIdleTimer()
	s.detachTransaction()
	s.state = carrier.Idle
	s.mu.Unlock()
	s.RollbackEnded()
}

// Cancel lets a statement that waits for an upstream be rejected. One that was sent goes on.
func (s *Session) Cancel() {
	s.setup.Do(s.initialize)
	s.closeOnce.Do(func() { close(s.callerGone) })
}

// CodeWithoutResult returns the code of the answer to a statement whose result cannot be
// awaited. It must be called before Handle: it depends on the state before the statement.
func (s *Session) CodeWithoutResult(st Statement) carrier.Code {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case st.Verb == Commit && s.state == carrier.InTransaction && s.mayWrite(st):
		return carrier.InDoubt
	case s.state != carrier.Idle:
		return carrier.Aborted // without a commit nothing of the transaction is kept
	case s.mayWrite(st):
		return carrier.InDoubt
	default:
		return carrier.Failed
	}
}

func (s *Session) dispatch(st Statement, arrived time.Time) Reply {
	if s.state == carrier.InFailedTransaction && st.Verb != Rollback && st.Verb != Commit {
		return errorReply(carrier.Malformed, "the transaction has failed; end it first")
	}
	switch st.Verb {
	case Begin, BeginReadOnly, Read, Write, Execute:
		if s.IsStopping != nil && s.IsStopping() {
			return s.reject(st)
		}
	}
	switch st.Verb {
	case Begin, BeginReadOnly:
		return s.begin(st, arrived)
	case Commit:
		return s.commit(st)
	case Rollback:
		return s.rollback()
	case Set:
		return s.set(st)
	case Prepare:
		return s.prepare(st)
	case Deallocate:
		return s.deallocate(st)
	case Read, Write, Execute:
		return s.execute(st, arrived)
	default:
		return errorReply(carrier.Malformed, "not a statement")
	}
}

// reject rejects a statement because the process stops. The caller may return at once: other
// processes serve it.
func (s *Session) reject(st Statement) Reply {
	s.Log.Info("conductor: statement rejected by the stop", zap.String("request", st.ID), zap.String("database", s.Database), zap.Bool("transaction", s.state != carrier.Idle))
	const text = "the process is stopping; come back in 0s"
	if s.state == carrier.Idle {
		return errorReply(carrier.Busy, text)
	}
	return s.failTransaction(errorReply(carrier.Aborted, text))
}

func errorReply(code carrier.Code, text string) Reply { return Reply{Code: code, Text: text} }

func okReply() Reply { return Reply{Signature: "-"} }

func (s *Session) begin(st Statement, arrived time.Time) Reply {
	if s.state != carrier.Idle {
		return errorReply(carrier.Malformed, "a transaction is open")
	}
	scope, refused := s.resolveScope()
	if refused.Code != carrier.OK {
		return refused
	}
	s.scope = scope
	s.readOnly = st.Verb == BeginReadOnly
	s.began = arrived
	s.state = carrier.InTransaction
	return okReply()
}

func (s *Session) set(st Statement) Reply {
	v := carrier.Value{Name: st.Name, Data: st.Value}
	i := slices.IndexFunc(s.values, func(o carrier.Value) bool { return o.Name == v.Name })
	switch {
	case i >= 0:
		s.values = slices.Clone(s.values)
		s.values[i] = v
	case len(s.values) >= maxValues:
		return errorReply(carrier.TooLarge, "too many session values")
	default:
		s.values = append(slices.Clip(s.values), v)
	}
	return s.stateChanged()
}

func (s *Session) prepare(st Statement) Reply {
	if s.prepared == nil {
		s.prepared = map[string]carrier.Prepared{}
	}
	if _, has := s.prepared[st.Name]; !has && len(s.prepared) >= maxPrepared {
		return errorReply(carrier.TooLarge, "too many prepared statements")
	}
	s.prepared[st.Name] = carrier.Prepared{Shape: st.Value, Writes: st.Writes}
	return s.stateChanged()
}

func (s *Session) deallocate(st Statement) Reply {
	if _, has := s.prepared[st.Name]; !has {
		return errorReply(carrier.NoStatement, "no prepared statement "+st.Name)
	}
	delete(s.prepared, st.Name)
	return s.stateChanged()
}

// stateChanged returns the answer to a statement that has changed the session's state.
func (s *Session) stateChanged() Reply {
	s.stateNumber++
	s.stateChangedAt = s.Now()
	return okReply()
}

// command returns the command for the upstream, the prepared statement that it uses, whether it
// may change data, and whether that prepared statement exists.
func (s *Session) command(st Statement) (carrier.Command, *carrier.Prepared, bool, bool) {
	cmd := carrier.Command{ID: st.ID, Text: st.Text}
	switch st.Verb {
	case Write:
		cmd.Verb = carrier.Write
		return cmd, nil, true, true
	case Execute:
		p, ok := s.prepared[st.Name]
		cmd.Verb = carrier.Execute
		cmd.Value = st.Value
		cmd.Name = p.Alias()
		return cmd, &p, p.Writes, ok
	default:
		cmd.Verb = carrier.Read
		return cmd, nil, false, true
	}
}

func (s *Session) execute(st Statement, arrived time.Time) Reply {
	cmd, prepared, writes, ok := s.command(st)
	if !ok {
		return s.failTransaction(errorReply(carrier.NoStatement, "no prepared statement "+st.Name))
	}
	if s.state == carrier.InTransaction {
		return s.executeInTransaction(st, cmd, prepared, writes, arrived)
	}
	scope, refused := s.resolveScope()
	if refused.Code != carrier.OK {
		return refused
	}
	group, ok := s.Group(scope.route.Group)
	if !ok {
		return errorReply(carrier.Busy, "no upstream of the group is known")
	}
	job := s.newJob(st, scope, arrived)
	job.Prepared = prepared
	job.Writes = writes
	answer := s.admit(job)
	if answer.Code == carrier.OK {
		answer = s.atGateway(group.Run(job, cmd))
	}
	s.recordOutcome(st, &Outcome{Route: scope.route, Job: job, Answer: answer, Took: s.Now().Sub(arrived)})
	if answer.Code == carrier.OK && writes {
		s.advanceMark(answer.Mark)
	}
	return replyFrom(answer)
}

// executeInTransaction runs a statement of the open transaction. The first one starts the
// transaction at an upstream.
func (s *Session) executeInTransaction(st Statement, cmd carrier.Command, prepared *carrier.Prepared, writes bool, arrived time.Time) Reply {
	job := s.newJob(st, s.scope, arrived)
	job.Prepared = prepared
	job.Writes = writes
	var answer carrier.Answer
	switch {
	case s.isKeyRevoked():
		answer = forbiddenAnswer()
	case s.tx != nil:
		answer = s.atGateway(s.tx.Do(job, cmd))
	default:
		answer = s.startTransaction(job, cmd)
	}
	s.recordOutcome(st, &Outcome{Route: s.scope.route, Job: job, Answer: answer, Took: s.Now().Sub(arrived)})
	if answer.Code != carrier.OK {
		s.detachTransaction()
		s.state = carrier.InFailedTransaction
		s.inDoubt = answer.Code == carrier.InDoubt
	}
	return replyFrom(answer)
}

func (s *Session) startTransaction(job *carrier.Job, cmd carrier.Command) carrier.Answer {
	group, ok := s.Group(s.scope.route.Group)
	if !ok {
		return carrier.Answer{Code: carrier.Busy, Text: "no upstream of the group is known"}
	}
	job.Arrived = s.began
	if !s.readOnly {
		job.Writes = true
	}
	if refused := s.admit(job); refused.Code != carrier.OK {
		return refused
	}
	tx, answer := group.Start(job, s.readOnly, cmd)
	s.tx = tx
	return s.atGateway(answer)
}

func (s *Session) newJob(st Statement, in scope, arrived time.Time) *carrier.Job {
	route := &in.route
	job := &carrier.Job{
		Request:      st.ID,
		Workspace:    in.workspace,
		Priority:     carrier.ClampPriority(route.Priority),
		Freshness:    route.Freshness,
		MaxStaleness: route.MaxStaleness,
		Arrived:      arrived,
		ObjectiveAt:  arrived.Add(route.Objective),
		Deadline:     time.Now().Add(route.Timeout - s.Now().Sub(arrived)),
		Values:       s.values,
		SessionState: s.stateNumber,
		CallerGone:   s.callerGone,
	}
	if route.Freshness == cataloger.ReadYourWrites {
		job.LastWrite = s.mark
	}
	return job
}

func (s *Session) commit(st Statement) Reply {
	if s.state == carrier.Idle {
		return errorReply(carrier.Malformed, "no transaction is open")
	}
	if s.state == carrier.InFailedTransaction && s.inDoubt {
		s.endTransaction()
		return errorReply(carrier.InDoubt, "the transaction has failed and something of it may be kept")
	}
	if s.state == carrier.InFailedTransaction {
		s.endTransaction()
		return errorReply(carrier.Aborted, "the transaction has failed and was rolled back")
	}
	if s.isKeyRevoked() {
		s.endTransaction()
		return replyFrom(forbiddenAnswer())
	}
	arrived := s.Now()
	job := s.newJob(st, s.scope, arrived)
	cmd := carrier.Command{ID: st.ID, Verb: carrier.Commit, Text: st.Text}
	if s.tx == nil {
		return s.commitEmpty(st, job, cmd)
	}
	answer := s.atGateway(s.tx.Commit(job, cmd))
	s.tx = nil
	s.endTransaction()
	s.recordOutcome(st, &Outcome{Route: s.scope.route, Job: job, Answer: answer, Took: s.Now().Sub(arrived)})
	if answer.Code == carrier.OK {
		s.advanceMark(answer.Mark)
	}
	return replyFrom(answer)
}

// commitEmpty commits a transaction without statements. The caller still expects the signature
// of an upstream.
func (s *Session) commitEmpty(st Statement, job *carrier.Job, cmd carrier.Command) Reply {
	answer := carrier.Answer{Code: carrier.Busy, Text: "no upstream of the group is known"}
	if group, ok := s.Group(s.scope.route.Group); ok {
		job.Writes = !s.readOnly
		if answer = s.admit(job); answer.Code == carrier.OK {
			answer = s.atGateway(group.CommitEmpty(job, s.readOnly, cmd))
		}
	}
	s.endTransaction()
	s.recordOutcome(st, &Outcome{Route: s.scope.route, Job: job, Answer: answer, Took: s.Now().Sub(s.began)})
	return replyFrom(answer)
}

func (s *Session) rollback() Reply {
	if s.state == carrier.Idle {
		return errorReply(carrier.Malformed, "no transaction is open")
	}
	s.endTransaction()
	return okReply()
}

// endTransaction ends the transaction. If it is still open at an upstream, it is rolled back
// there after the reply.
func (s *Session) endTransaction() {
	s.detachTransaction()
	s.state = carrier.Idle
	s.inDoubt = false
}

// detachTransaction leaves the rollback of the transaction to RollbackEnded, if it is open at an
// upstream.
func (s *Session) detachTransaction() {
	if s.tx != nil {
		s.pendingRollbacks = append(s.pendingRollbacks, s.tx)
		s.tx = nil
	}
}

// failTransaction marks an open transaction as failed and passes the reply on.
func (s *Session) failTransaction(r Reply) Reply {
	if s.state == carrier.InTransaction {
		s.detachTransaction()
		s.state = carrier.InFailedTransaction
	}
	return r
}

func (s *Session) advanceMark(m tracker.Mark) {
	if s.mark.Less(m) {
		s.mark = m
	}
}

func replyFrom(a carrier.Answer) Reply {
	return Reply{Rows: a.Rows, Signature: a.Signature, Code: a.Code, Text: a.Text, Mark: a.Mark}
}

// startIdleTimer starts a timer that ends the open transaction when its caller leaves it idle
// for too long: it occupies a connection that others wait for.
func (s *Session) startIdleTimer() {
	if s.state != carrier.InTransaction || s.tx == nil {
		return
	}
	idleTimeout := s.View().Config.IdleTransactionTimeout
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	count := s.statementCount
	s.idleTimer = time.AfterFunc(idleTimeout+idleTimeoutSlack, func() { s.expireIdle(count) })
}

func (s *Session) stopIdleTimer() {
	if s.idleTimer != nil {
		s.idleTimer.Stop()
		s.idleTimer = nil
	}
}

func (s *Session) expireIdle(count uint64) {
	s.mu.Lock()
	if s.statementCount == count && s.state == carrier.InTransaction {
		s.Log.Info("conductor: idle transaction ended", zap.String("database", s.Database))
		s.detachTransaction()
		s.state = carrier.InFailedTransaction
	}
	s.mu.Unlock()
	s.RollbackEnded()
}
