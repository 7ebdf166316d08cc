package relayer

import (
	"time"

	"github.com/cockroachdb/errors"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// errCutOff ends a session whose caller has got a part of a message: nothing
// that could be sent after it would be understood.
var errCutOff = errors.New("relayer: answer cut off inside a message")

// follow decides what comes after an attempt without an answer. again says that
// the unit is to be sent once more.
func (s *Session) follow(u *unit, o retrier.Outcome) (again bool, err error) {
	if s.cutOff {
		return false, errCutOff
	}
	s.clearOut()
	if u.final || s.streamed || s.relay.Decide == nil {
		return false, s.conclude(u, o)
	}
	d := s.relay.Decide(s.account.Group, &u.retry, o)
	for d.Action == retrier.Settle {
		s.wait(d.At)
		settled := s.relay.Settle(s.relay.ctx, s.account.Group, s.request, &u.request)
		d = s.relay.Settled(s.account.Group, &u.retry, settled)
	}
	if d.Action == retrier.Finish {
		return false, s.conclude(u, d.Outcome)
	}
	s.yieldUpstream(u)
	s.wait(d.At)
	u.request.Attempt++
	if d.Avoid {
		u.request.Avoid = s.to.Address
	}
	return true, nil
}

// wait sleeps until t, or until the relay ends.
func (s *Session) wait(t time.Time) {
	d := time.Until(t)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.relay.ctx.Done():
	}
}

// conclude tells the caller the outcome of a unit without an answer.
func (s *Session) conclude(u *unit, o retrier.Outcome) error {
	s.forget(u)
	if o.Kind == retrier.Done && u.undecided.open {
		s.settings.copyOf(&u.undecided.now)
	}
	if s.up == nil && s.tx != txIdle {
		s.bereave(u)
	}
	if done := s.known(u, o); done != "" {
		s.writeTag(done)
	} else {
		f := faultOf(o, u.message, time.Now())
		s.writeFault(f)
	}
	if u.sync {
		s.writeReady()
	}
	s.batch = !u.sync
	s.skipping = !u.sync
	if u.sync && s.tx == txIdle {
		s.releaseUpstream()
	}
	return s.flush()
}

// known returns the tag of a command whose answer is known although it was
// lost: a rollback that the closed connection has done as well, and a COMMIT
// that was settled as done.
func (s *Session) known(u *unit, o retrier.Outcome) string {
	kind := u.request.Statement.Kind
	switch {
	case !u.simple || s.up != nil:
		return ""
	case kind == classifier.Rollback && o.Cause == retrier.Aborted:
		return "ROLLBACK"
	case kind == classifier.Commit && o.Kind == retrier.Done:
		return "COMMIT"
	default:
		return ""
	}
}

// bereave follows the loss of a transaction's connection. The transaction is
// over when the unit was to end it; otherwise the caller has to end it first,
// as with any failed transaction.
func (s *Session) bereave(u *unit) {
	kinds := u.request.Statement.Kinds
	if kinds.Has(classifier.Commit) || kinds.Has(classifier.Rollback) {
		s.tx = txIdle
		return
	}
	s.tx = txFailed
	s.orphaned = true
}

// writeTag gathers a CommandComplete of the proxy's own.
func (s *Session) writeTag(tag string) {
	s.openOut()
	s.out = appendTag(s.out, tag)
}

func appendTag(b []byte, tag string) []byte {
	start := len(b)
	b = append(b, 'C', 0, 0, 0, 0)
	b = append(b, tag...)
	b = append(b, 0)
	putLength(b, start)
	return b
}

// putLength sets the length of the message that begins at start and ends with b.
func putLength(b []byte, start int) {
	n := uint32(len(b) - start - 1)
	b[start+1], b[start+2], b[start+3], b[start+4] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
}

// ready handles one unit of a session that is ready for statements.
func (s *Session) ready() (more bool, err error) {
	f, ok, err := s.message(s.relay.Limits.Message)
	if !ok || err != nil {
		return false, err
	}
	if isBatch(f.Type) {
		return s.readBatch()
	}
	n := len(f.Raw)
	err = s.other(f)
	s.in.drop(n)
	return err == nil && s.phase != phaseEnded, err
}

// other handles a message that is not a part of an extended batch.
func (s *Session) other(f framer.Frame) error {
	switch {
	case f.Type == 'X':
		s.end(nil)
		return nil
	case s.skipping:
		return nil
	case f.Type == 'Q':
		return s.simple(f)
	case f.Type == 'F':
		return s.answerFault(&fault{code: codeUnsupported, message: "refused: function calls aren't supported"})
	case f.Type == 'd' || f.Type == 'c' || f.Type == 'f':
		return nil // what is left of a COPY that was refused
	default:
		return &protocolError{codeProtocol, "unknown message type"}
	}
}

// answerFault answers a simple unit that isn't sent anywhere by an error.
func (s *Session) answerFault(f *fault) error {
	if s.tx == txOpen {
		s.failTransaction()
	}
	s.writeFault(f)
	s.writeReady()
	return s.flush()
}
