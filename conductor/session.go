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
	// maxValues and maxPrepared bound what a caller can make a process hold: some
	// kilobytes each.
	maxValues   = 64
	maxPrepared = 256
	// restSlack is added to the time that a transaction may be left idle, so that
	// a caller at the very bound isn't cut.
	restSlack = 200 * time.Millisecond
	// restDefault holds where the configuration says nothing.
	restDefault = 10 * time.Second
)

// Session is one caller's session. Set the exported fields before the first
// statement.
type Session struct {
	Database string
	// Key is the one that the caller has shown.
	Key cataloger.Fingerprint
	// View returns the configuration in force.
	View func() *cataloger.View
	// Group finds a database group.
	Group func(name string) (carrier.Runner, bool)
	// Now is the clock of package carrier.
	Now func() time.Time
	// Admit, when set, takes one operation off a workspace's quota, and says what the
	// caller is told if it has none left.
	Admit func(workspace string, deadline time.Time) carrier.Answer
	// Observe, when set, is told how each request ended.
	Observe func(route cataloger.Route, a carrier.Answer, took time.Duration)
	Log     *zap.Logger

	mu       sync.Mutex // held while a statement runs
	values   []carrier.Value
	prepared map[string]carrier.Prepared
	mark     tracker.Mark

	state    carrier.State
	readOnly bool
	scope    scope // of the open transaction
	began    time.Time
	tx       carrier.Transaction
	ended    []carrier.Transaction // to be rolled back once the caller has its answer
	rest     *time.Timer
	turn     uint64 // counts statements, so that an old timer ends nothing newer

	gone     chan struct{}
	goneOnce sync.Once
	setup    sync.Once
}

func (s *Session) prepare() {
	s.gone = make(chan struct{})
}

// State returns the transaction state. It may be called from any goroutine that
// doesn't run a statement.
func (s *Session) State() carrier.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Handle carries out one statement that arrived at a moment of the session's
// clock.
func (s *Session) Handle(st Statement, arrived time.Time) Reply {
	s.setup.Do(s.prepare)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn++
	s.stopRest()
	reply := s.dispatch(st, arrived)
	reply.State = s.state
	s.startRest()
	return reply
}

// RollbackEnded does what needn't keep the caller waiting for its answer.
func (s *Session) RollbackEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tx := range s.ended {
		tx.Rollback()
	}
	s.ended = s.ended[:0]
}

// Close ends the session: the caller has left. What waits for an upstream
// gives up, and an open transaction is rolled back.
func (s *Session) Close() {
	s.setup.Do(s.prepare)
	s.goneOnce.Do(func() { close(s.gone) })
	s.mu.Lock()
	s.stopRest()
	s.drop()
	s.state = carrier.Idle
	s.mu.Unlock()
	s.RollbackEnded()
}

func (s *Session) dispatch(st Statement, arrived time.Time) Reply {
	if s.state == carrier.Broken && st.Verb != Rollback && st.Verb != Commit {
		return failure(carrier.Malformed, "the transaction has failed; end it first")
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
		return s.keep(st)
	case Deallocate:
		return s.deallocate(st)
	case Read, Write, Execute:
		return s.execute(st, arrived)
	default:
		return failure(carrier.Malformed, "not a statement")
	}
}

func failure(code carrier.Code, text string) Reply { return Reply{Code: code, Text: text} }

func done() Reply { return Reply{Signature: "-"} }

func (s *Session) begin(st Statement, arrived time.Time) Reply {
	if s.state != carrier.Idle {
		return failure(carrier.Malformed, "a transaction is open")
	}
	scope, refused := s.enter()
	if refused.Code != carrier.OK {
		return refused
	}
	s.scope = scope
	s.readOnly = st.Verb == BeginReadOnly
	s.began = arrived
	s.state = carrier.Open
	return done()
}

func (s *Session) set(st Statement) Reply {
	v := carrier.Value{Name: st.Name, Data: st.Value}
	i := slices.IndexFunc(s.values, func(o carrier.Value) bool { return o.Name == v.Name })
	switch {
	case i >= 0:
		s.values[i] = v
	case len(s.values) >= maxValues:
		return failure(carrier.TooLarge, "too many session values")
	default:
		s.values = append(s.values, v)
	}
	return done()
}

func (s *Session) keep(st Statement) Reply {
	if s.prepared == nil {
		s.prepared = map[string]carrier.Prepared{}
	}
	if _, has := s.prepared[st.Name]; !has && len(s.prepared) >= maxPrepared {
		return failure(carrier.TooLarge, "too many prepared statements")
	}
	s.prepared[st.Name] = carrier.Prepared{Shape: st.Value, Writes: st.Writes}
	return done()
}

func (s *Session) deallocate(st Statement) Reply {
	if _, has := s.prepared[st.Name]; !has {
		return failure(carrier.NoStatement, "no prepared statement "+st.Name)
	}
	delete(s.prepared, st.Name)
	return done()
}

// command returns what goes to the upstream, and whether it may change data.
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
		return s.broken(failure(carrier.NoStatement, "no prepared statement "+st.Name))
	}
	if s.state == carrier.Open {
		return s.inside(st, cmd, prepared, writes, arrived)
	}
	scope, refused := s.enter()
	if refused.Code != carrier.OK {
		return refused
	}
	group, ok := s.Group(scope.route.Group)
	if !ok {
		return failure(carrier.Busy, "no upstream of the group is known")
	}
	job := s.job(st, scope, arrived)
	job.Prepared = prepared
	job.Writes = writes
	answer := s.admit(job)
	if answer.Code == carrier.OK {
		answer = group.Run(job, cmd)
	}
	s.note(st, scope.route, answer, arrived)
	if answer.Code == carrier.OK && writes {
		s.advance(answer.Mark)
	}
	return reply(answer)
}

// inside runs a statement of the open transaction, the first of which begins it
// at an upstream.
func (s *Session) inside(st Statement, cmd carrier.Command, prepared *carrier.Prepared, writes bool, arrived time.Time) Reply {
	job := s.job(st, s.scope, arrived)
	job.Prepared = prepared
	job.Writes = writes
	var answer carrier.Answer
	switch {
	case s.revoked():
		answer = forbidden()
	case s.tx != nil:
		answer = s.tx.Do(job, cmd)
	default:
		answer = s.start(job, cmd)
	}
	s.note(st, s.scope.route, answer, arrived)
	if answer.Code != carrier.OK {
		s.drop()
		s.state = carrier.Broken
	}
	return reply(answer)
}

func (s *Session) start(job *carrier.Job, cmd carrier.Command) carrier.Answer {
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
	return answer
}

func (s *Session) job(st Statement, in scope, arrived time.Time) *carrier.Job {
	route := &in.route
	job := &carrier.Job{
		Request:     st.ID,
		Workspace:   in.workspace,
		Freshness:   route.Freshness,
		MaxAge:      route.MaxAge,
		Arrived:     arrived,
		ObjectiveAt: arrived.Add(route.Objective),
		Deadline:    time.Now().Add(route.Timeout - s.Now().Sub(arrived)),
		Values:      s.values,
		CallerGone:  s.gone,
	}
	if route.Freshness == cataloger.ReadYourWrites {
		job.LastWrite = s.mark
	}
	return job
}

func (s *Session) commit(st Statement) Reply {
	if s.state == carrier.Idle {
		return failure(carrier.Malformed, "no transaction is open")
	}
	if s.state == carrier.Broken {
		s.finish()
		return failure(carrier.Aborted, "the transaction has failed and was rolled back")
	}
	if s.revoked() {
		s.finish()
		return reply(forbidden())
	}
	arrived := s.Now()
	job := s.job(st, s.scope, arrived)
	cmd := carrier.Command{ID: st.ID, Verb: carrier.Commit, Text: st.Text}
	if s.tx == nil {
		return s.commitEmpty(st, job, cmd)
	}
	answer := s.tx.Commit(job, cmd)
	s.tx = nil
	s.finish()
	s.note(st, s.scope.route, answer, arrived)
	if answer.Code == carrier.OK {
		s.advance(answer.Mark)
	}
	return reply(answer)
}

// commitEmpty commits a transaction without statements. The caller expects the
// signature of an upstream all the same.
func (s *Session) commitEmpty(st Statement, job *carrier.Job, cmd carrier.Command) Reply {
	answer := carrier.Answer{Code: carrier.Busy, Text: "no upstream of the group is known"}
	if group, ok := s.Group(s.scope.route.Group); ok {
		job.Writes = !s.readOnly
		if answer = s.admit(job); answer.Code == carrier.OK {
			answer = group.CommitEmpty(job, s.readOnly, cmd)
		}
	}
	s.finish()
	s.note(st, s.scope.route, answer, s.began)
	return reply(answer)
}

func (s *Session) rollback() Reply {
	if s.state == carrier.Idle {
		return failure(carrier.Malformed, "no transaction is open")
	}
	s.finish()
	return done()
}

// finish ends the transaction; what is left of it at an upstream is rolled back
// after the answer.
func (s *Session) finish() {
	s.drop()
	s.state = carrier.Idle
}

func (s *Session) drop() {
	if s.tx != nil {
		s.ended = append(s.ended, s.tx)
		s.tx = nil
	}
}

// broken fails an open transaction.
func (s *Session) broken(r Reply) Reply {
	if s.state == carrier.Open {
		s.drop()
		s.state = carrier.Broken
	}
	return r
}

func (s *Session) advance(m tracker.Mark) {
	if s.mark.Less(m) {
		s.mark = m
	}
}

func reply(a carrier.Answer) Reply {
	return Reply{Rows: a.Rows, Signature: a.Signature, Code: a.Code, Text: a.Text, Mark: a.Mark}
}

// writes reports whether a statement may change what is stored: a write, or the commit
// of a transaction that isn't read only.
func (s *Session) writes(st Statement) bool {
	switch st.Verb {
	case Write:
		return true
	case Execute:
		return s.prepared[st.Name].Writes
	case Commit:
		return !s.readOnly
	default:
		return false
	}
}

// note logs how a request ended, with what decided it, and counts it.
func (s *Session) note(st Statement, route cataloger.Route, a carrier.Answer, arrived time.Time) {
	took := s.Now().Sub(arrived)
	if s.Observe != nil {
		s.Observe(route, a, took)
	}
	if ce := s.Log.Check(zap.InfoLevel, "conductor: request ended"); ce != nil {
		ce.Write(zap.String("request", st.ID), zap.String("database", s.Database), zap.String("group", route.Group),
			zap.String("upstream", a.Upstream), zap.Bool("led", a.Led), zap.Stringer("freshness", route.Freshness),
			zap.Bool("writes", s.writes(st)), zap.Stringer("code", a.Code), zap.String("cause", a.Text),
			zap.Duration("took", took), zap.Duration("waited", a.Waited), zap.Duration("objective", route.Objective),
			zap.Duration("timeout", route.Timeout), zap.Uint64("configuration", s.View().Config.Version))
	}
}

// startRest ends the open transaction when its caller leaves it idle for too
// long: it holds a connection that others wait for.
func (s *Session) startRest() {
	if s.state != carrier.Open || s.tx == nil {
		return
	}
	rest := s.View().Config.IdleTransactionTimeout
	if rest == 0 {
		rest = restDefault
	}
	turn := s.turn
	s.rest = time.AfterFunc(rest+restSlack, func() { s.expire(turn) })
}

func (s *Session) stopRest() {
	if s.rest != nil {
		s.rest.Stop()
		s.rest = nil
	}
}

func (s *Session) expire(turn uint64) {
	s.mu.Lock()
	if s.turn == turn && s.state == carrier.Open {
		s.Log.Info("conductor: idle transaction ended", zap.String("database", s.Database))
		s.drop()
		s.state = carrier.Broken
	}
	s.mu.Unlock()
	s.RollbackEnded()
}
