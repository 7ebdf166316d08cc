package upstream

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"basildale.example/basildale/tracker"
)

// errHangup ends the session without an answer.
var errHangup = errors.New("upstream: connection dropped on purpose")

// query runs a simple query. Several statements outside a transaction are one.
func (s *session) query(sql string) bool {
	s.observe(sql)
	delete(s.stmts, "")
	list, err := parse(sql)
	if err == nil && len(list) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	if err != nil {
		s.spoil()
	}
	for _, st := range list {
		var res *result
		if res, err = s.run(st, nil); err != nil {
			break
		}
		s.sendResult(res, nil)
	}
	return s.finish(err)
}

// finish ends an implicit transaction and tells that the session is ready.
func (s *session) finish(err error) bool {
	if s.implicit {
		if endErr := s.end(err == nil); err == nil {
			err = endErr
		}
	}
	if errors.Is(err, errHangup) {
		return false
	}
	if err != nil {
		s.sendError(err)
	}
	return s.ready()
}

// spoil makes the open transaction fail.
func (s *session) spoil() {
	if s.state == stateOpen {
		s.state = stateFailed
	}
}

// run runs one statement in the session's transaction, which it starts if need
// be.
func (s *session) run(st statement, params []value) (*result, error) {
	res, err := s.dispatch(st, params)
	if err != nil && !errors.Is(err, errHangup) {
		s.spoil()
	}
	return res, err
}

func (s *session) dispatch(st statement, params []value) (*result, error) {
	switch st.(type) {
	case commitStmt:
		return s.commit()
	case rollbackStmt:
		return &result{tag: "ROLLBACK"}, s.end(false)
	}
	if st, ok := st.(savepointStmt); ok {
		return s.savepoint(st)
	}
	if s.state == stateFailed {
		return nil, fail(codeAborted, "current transaction is aborted, commands ignored until end of transaction block")
	}
	switch st := st.(type) {
	case beginStmt:
		s.begin(false)
		return &result{tag: "BEGIN"}, nil
	case setStmt:
		return s.set(st)
	case showStmt:
		v := textValue(s.settings.now[st.name])
		return &result{columns: []column{{st.name, kindText}}, rows: [][]value{{v}}, tag: "SHOW"}, nil
	case resetStmt:
		s.resetSetting(st.name)
		return &result{tag: "RESET"}, nil
	case plainStmt:
		s.reset(st.tag)
		return &result{tag: st.tag}, nil
	case controlStmt:
		return s.control(st, params)
	default:
		return s.work(st, params)
	}
}

func (s *session) control(st controlStmt, params []value) (*result, error) {
	s.up.counts.control.Add(1)
	c := call{store: s.up.store, tx: newTx(), params: params}
	args, err := c.cells(st.args)
	if err != nil {
		return nil, err
	}
	ctx, done := s.interruptible()
	defer done()
	return s.up.control(ctx, st.name, args)
}

// work runs a statement in one of the upstream's slots.
func (s *session) work(st statement, params []value) (*result, error) {
	ctx, done := s.interruptible()
	defer done()
	select {
	case s.up.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fail(codeCancelled, "canceling statement due to user request")
	}
	defer func() { <-s.up.slots }()
	s.up.counts.statements.Add(1)
	if isWrite(st) {
		s.up.counts.writes.Add(1)
	}
	c := call{store: s.up.store, params: params, term: s.term}
	pause := s.up.scaled(s.up.options.Service)
	if v, ok := st.(valuesStmt); ok {
		c.tx = newTx()
		more, err := c.pause(v)
		if err != nil {
			return nil, err
		}
		pause += more
	}
	if err := s.rest(ctx, pause); err != nil {
		return nil, err
	}
	if !s.up.pass(s.from, s.gone) {
		return nil, errHangup
	}
	if v, ok := st.(valuesStmt); ok {
		c.set = func(st setStmt) {
			s.change()
			s.settings.set(st)
		}
		return c.values(v)
	}
	if s.tx == nil {
		s.begin(true)
	}
	c.tx = s.tx
	return c.data(st)
}

func (s *session) rest(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fail(codeCancelled, "canceling statement due to user request")
	}
}

// interruptible returns a context that a cancel request or the end of the
// connection ends.
func (s *session) interruptible() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	select {
	case <-s.gone:
		cancel()
	default:
	}
	return ctx, func() {
		s.mu.Lock()
		s.cancel = nil
		s.mu.Unlock()
		cancel()
	}
}

func (s *session) begin(implicit bool) {
	if s.tx == nil {
		s.tx = newTx()
	}
	s.implicit = implicit
	if !implicit {
		s.state = stateOpen
	}
}

func (s *session) commit() (*result, error) {
	if s.state == stateFailed {
		return &result{tag: "ROLLBACK"}, s.end(false)
	}
	return &result{tag: "COMMIT"}, s.end(true)
}

// end commits or rolls back the open transaction, if there is one.
func (s *session) end(keep bool) error {
	t, request := s.tx, s.request
	s.tx, s.implicit, s.state = nil, false, stateIdle
	s.settings.end(keep)
	if t == nil || !keep || !t.wrote() {
		if t != nil && !keep {
			s.request = ""
		}
		return nil
	}
	s.request = ""
	mark, err := s.up.store.commit(t, s.term, request)
	if err != nil {
		return err
	}
	s.up.counts.commits.Add(1)
	if s.up.losing() {
		return errHangup
	}
	s.be.Send(&pgproto3.ParameterStatus{Name: "basildale.mark", Value: mark.String()})
	return nil
}

func (s *session) set(st setStmt) (*result, error) {
	if st.value == refusedValue {
		return nil, fail(codeBadParameter, "invalid value for parameter \""+st.name+"\"")
	}
	s.change()
	s.settings.set(st)
	if st.name == "datestyle" {
		s.be.Send(&pgproto3.ParameterStatus{Name: "DateStyle", Value: st.value})
	}
	switch st.name {
	case "basildale.request":
		s.request = st.value
	case "basildale.term":
		s.term = nil
		if st.value == "" {
			break
		}
		term, err := tracker.ParseTerm(st.value)
		if err != nil {
			return nil, fail(codeBadParameter, "not a term")
		}
		s.term = &term
	}
	return &result{tag: "SET"}, nil
}

// reset carries out DISCARD ALL and DEALLOCATE ALL.
func (s *session) reset(tag string) {
	switch tag {
	case "DISCARD ALL":
		clear(s.stmts)
		s.settings = settings{}
		s.term, s.request = nil, ""
	case "DEALLOCATE ALL":
		clear(s.stmts)
	}
}

func (s *session) observe(sql string) {
	if s.up.Observe != nil {
		s.up.Observe(s.pid, sql)
	}
}
