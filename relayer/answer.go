package relayer

import (
	"bytes"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
	"basildale.example/basildale/tracker"
)

const markParameter = "basildale.mark"

// answer gathers the answer of the attempt under way and passes on what may
// leave. The error is that of the caller's connection.
func (s *Session) answer(u *unit) (retrier.Outcome, error) {
	for {
		if s.ownAnswers(u) {
			return s.finish(u), nil
		}
		h, err := s.up.Head()
		if err != nil {
			return s.lost(u, false), nil //nolint:nilerr // the loss is an outcome
		}
		if h.Size > bufferSize && h.Type == 'D' && u.swallow == 0 && u.fits('D') {
			if err := s.stream(h.Size); err != nil && !s.cutOff {
				return retrier.Outcome{}, err
			}
			if s.cutOff {
				return s.lost(u, false), nil //nolint:nilerr // the loss is an outcome
			}
			continue
		}
		f, err := s.up.Frame(h)
		if err != nil {
			return s.lost(u, false), nil //nolint:nilerr // the loss is an outcome
		}
		ended, err := s.frame(u, f)
		if err != nil {
			return retrier.Outcome{}, err
		}
		if s.up == nil {
			return u.refused, nil
		}
		if ended {
			return s.finish(u), nil
		}
	}
}

// frame handles one frame of an answer. ended is true after the last.
func (s *Session) frame(u *unit, f framer.Frame) (ended bool, err error) {
	if u.swallow > 0 {
		return false, s.preludeFrame(u, f)
	}
	if !s.inStep(u, f) {
		u.refused = s.outOfStep(u, f.Type)
		return false, nil
	}
	switch f.Type {
	case 'Z':
		s.tx = f.Body()[0]
		if u.request.Statement.Unclear && !u.failed {
			s.up.spoiled.Store(true) // it may have changed settings
		}
		s.atReady()
		return true, nil
	case 'E':
		return s.errorFrame(u, f)
	case 'S':
		s.noteMark(u, f)
		return false, s.gather(f)
	case 'A':
		return false, nil // a notification: it may be meant for an earlier caller
	case 'G', 'H', 'W':
		u.refused = s.lost(u, false) // a COPY that was not seen in the text
		return false, nil
	case 'C':
		u.completed++
		s.completedNext(u, f.Body())
	case 'I':
		u.completed++
	}
	if u.waits() && u.advance(f.Type) {
		return false, nil
	}
	return false, s.gather(f)
}

// preludeFrame handles the answer to the proxy's own statements.
func (s *Session) preludeFrame(u *unit, f framer.Frame) error {
	switch f.Type {
	case 'Z':
		if !bytes.Equal(f.Body(), []byte{txIdle}) {
			u.refused = s.outOfStep(u, f.Type)
			return nil
		}
		u.swallow--
	case 'S':
		if !isMark(f) {
			return s.gather(f)
		}
	case 'C':
		if !bytes.Equal(f.Body(), []byte("SET\x00")) {
			u.refused = s.outOfStep(u, f.Type)
		}
	case 'E':
		// The unit has been sent with the prelude and has run without its
		// term. What it did is not known.
		message := "setting up the connection failed: " + errorField(f.Body(), 'M')
		s.clearOut()
		s.discardUpstream()
		return &protocolError{retrier.StateUnknown, message}
	case 'N', 'A':
	default:
		u.refused = s.outOfStep(u, f.Type)
	}
	return nil
}

// errorFrame handles an error of the upstream. Errors that say something of the
// upstream and not of the statement become an outcome; others are the answer.
func (s *Session) errorFrame(u *unit, f framer.Frame) (ended bool, err error) {
	u.failed, s.scope.failed = true, true
	if u.waits() && u.ops[u.head].mode == opFault {
		s.writeFault(u.items[u.ops[u.head].item].fault)
		s.dropOps(u)
		return !u.sync, nil
	}
	s.dropOps(u)
	code := errorField(f.Body(), 'C')
	o, known := retrier.FromSQLState(code)
	if code == "25006" && s.to.Primary && s.mayBeReadOnly(u) {
		known = false // the caller's own read-only transaction
	}
	if known && o.Kind == retrier.Unknown {
		u.refused = s.lost(u, false)
		return false, nil
	}
	if known && !s.streamed && !s.mayHaveCommitted(u) {
		u.refused, u.told = o, true
		return !u.sync, nil
	}
	return !u.sync, s.gather(f)
}

// mayBeReadOnly reports whether the caller itself may have asked that its
// transaction changes nothing. Otherwise a write that is refused for that has met
// a primary that has become a replica.
func (s *Session) mayBeReadOnly(u *unit) bool {
	_, byDefault := s.settings.find("default_transaction_read_only")
	return u.began || u.request.Statement.Kinds.Has(classifier.Begin) || byDefault
}

// mayHaveCommitted reports whether an earlier statement of a failed unit can
// have ended a transaction for good.
func (s *Session) mayHaveCommitted(u *unit) bool {
	return u.request.Statement.Count > 1 && u.request.Statement.Kinds.Has(classifier.Commit)
}

func isMark(f framer.Frame) bool {
	name, _, ok := cstring(f.Body())
	return ok && string(name) == markParameter
}

// markOf returns the mark that a parameter status reports.
func markOf(f framer.Frame) (m tracker.Mark, ok bool) {
	value := bytes.TrimRight(f.Body()[len(markParameter)+1:], "\x00")
	m, err := tracker.ParseMark(string(value))
	return m, err == nil
}

// noteMark keeps the mark that the upstream reports after a commit.
func (s *Session) noteMark(u *unit, f framer.Frame) {
	if !isMark(f) {
		return
	}
	if m, ok := markOf(f); ok {
		u.mark, s.up.mark = m, m
	}
}

// finish ends an answered attempt: a write waits for its confirmation.
func (s *Session) finish(u *unit) retrier.Outcome {
	s.answering = false
	if u.told {
		return u.refused
	}
	if u.sync && s.tx == txIdle {
		s.releaseUpstream() // others can use it while this write waits
	}
	if !u.mark.IsZero() {
		if o := s.confirm(u); o.Kind != retrier.Done {
			u.final = true
			return o
		}
	}
	if u.sync {
		s.writeReady()
	}
	return retrier.Outcome{Kind: retrier.Done}
}

func (s *Session) confirm(u *unit) retrier.Outcome {
	if s.notes.Mark.Less(u.mark) {
		s.notes.Mark = u.mark
	}
	if s.relay.Confirm == nil {
		return retrier.Outcome{Kind: retrier.Done}
	}
	return s.relay.Confirm(s.relay.ctx, s.to, u.mark, &u.request)
}
