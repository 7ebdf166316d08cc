package relayer

import (
	"bytes"
	"strings"

	"go.uber.org/zap"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// An answer carries no name of its request, so one that an upstream sends twice
// can be told from that of the next unit only where it has not the form that
// the unit's answer must have.

// fits reports whether a message may come next in the answer to a unit.
func (u *unit) fits(kind byte) bool {
	switch kind {
	case 'E', 'N', 'S', 'A':
		return true
	case 'Z':
		return u.sync && (u.failed || !u.waits() && (!u.simple || u.completed > 0))
	}
	if u.failed {
		return false
	}
	if u.simple {
		return strings.IndexByte("TDCIGHW", kind) >= 0
	}
	return u.waits() && strings.IndexByte(answersTo(u.ops[u.head].kind), kind) >= 0
}

// answersTo returns the kinds of messages that may answer one of the extended
// protocol.
func answersTo(kind byte) string {
	switch kind {
	case 'P':
		return "1"
	case 'B':
		return "2"
	case 'C':
		return "3"
	case 'D':
		return "tTn"
	default: // Execute
		return "DCIsGHW"
	}
}

// completes reports whether a tag may be that of the unit's next statement. It
// knows the tags of texts with one statement.
func (u *unit) completes(tag []byte) bool {
	st := &u.request.Statement
	if !u.simple || st.Count != 1 || u.completed > 0 {
		return true
	}
	word, _, _ := bytes.Cut(bytes.TrimRight(tag, "\x00"), []byte{' '})
	is := func(words ...string) bool {
		for _, w := range words {
			if string(word) == w {
				return true
			}
		}
		return false
	}
	switch st.Kind {
	case classifier.Read:
		return is("SELECT", "SHOW", "EXPLAIN")
	case classifier.Begin:
		return is("BEGIN", "START")
	case classifier.Commit:
		return is("COMMIT", "ROLLBACK")
	case classifier.Rollback:
		return is("ROLLBACK")
	case classifier.Savepoint:
		return is("SAVEPOINT", "RELEASE", "ROLLBACK")
	case classifier.Set:
		return is("SET")
	case classifier.Reset:
		return is("RESET")
	case classifier.Write:
		verb := changeVerb(u.sql)
		return verb == "" || is(verb)
	default:
		return true
	}
}

// changeVerb returns the verb of a text that begins with INSERT, UPDATE or
// DELETE, whose tag begins with it whatever the text goes on with.
func changeVerb(text []byte) string {
	text = bytes.TrimLeft(text, " \t\r\n")
	for _, verb := range []string{"INSERT", "UPDATE", "DELETE"} {
		n := len(verb)
		if len(text) > n && text[n] == ' ' && bytes.EqualFold(text[:n], []byte(verb)) {
			return verb
		}
	}
	return ""
}

// settles reports whether a unit can have led to the transaction state of a
// ReadyForQuery. failed says that one of its statements has failed.
func (u *unit) settles(body []byte, before byte, failed bool) bool {
	if len(body) != 1 || body[0] != txIdle && body[0] != txOpen && body[0] != txFailed {
		return false
	}
	state, st := body[0], &u.request.Statement
	switch {
	case !u.simple:
		return true // a portal of an earlier batch may have run
	case st.Kind == classifier.Read && failed:
		return state == before || before == txOpen && state == txFailed
	case st.Kind == classifier.Read:
		return state == before && before != txFailed && u.completed == st.Count
	case failed || st.Count != 1:
		return true
	}
	switch st.Kind {
	case classifier.Begin, classifier.Savepoint:
		return state == txOpen
	case classifier.Commit, classifier.Rollback:
		return state == txIdle
	case classifier.Set, classifier.Reset:
		return state == before
	default:
		return true
	}
}

// outOfStep gives up a connection whose answer can't be that of the unit. What
// the unit did is not known.
func (s *Session) outOfStep(u *unit, kind byte) retrier.Outcome {
	s.relay.Log.Warn("relayer: answer out of step", zap.Stringer("upstream", s.up.Address()),
		zap.String("message", string(rune(kind))), zap.Stringer("statement", u.request.Statement.Kind))
	return s.lost(u, false)
}

// inStep reports whether a message can be the next of the unit's answer.
func (s *Session) inStep(u *unit, f framer.Frame) bool {
	switch {
	case !u.fits(f.Type):
		return false
	case f.Type == 'Z':
		return u.settles(f.Body(), s.tx, u.failed)
	case f.Type == 'C':
		return u.completes(f.Body())
	case f.Type == 'S' && isMark(f):
		m, ok := markOf(f)
		return !ok || s.up.mark.Less(m)
	default:
		return true
	}
}
