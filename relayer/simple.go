package relayer

import (
	"bytes"
	"strings"

	"basildale.example/basildale/classifier"
	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// simple carries out a simple query.
func (s *Session) simple(f framer.Frame) error {
	text, ok := bytes.CutSuffix(f.Body(), []byte{0})
	if !ok {
		return &protocolError{codeProtocol, "query without its end"}
	}
	text, own, err := s.ownStatements(text)
	if err != nil {
		return err
	}
	st := classifier.Classify(text)
	if st.Kind == classifier.Empty {
		return s.empty(own)
	}
	if s.orphaned {
		return s.mourn(st.Kind)
	}
	if tag := localTag(&st); tag != "" {
		return s.local(&st, tag)
	}
	refused := refusal(&st, text)
	if refused == nil {
		refused = chained(&st, text)
	}
	if refused != nil {
		return s.answerFault(refused)
	}
	u := s.relay.newUnit()
	defer s.relay.freeUnit(u)
	u.simple, u.sync, u.raw, u.sql = true, true, f.Raw, text
	if own {
		u.raw = appendQuery(nil, text)
	}
	s.open(u, st)
	u.lasting = setsByFunction(st.Kind, text)
	if followed(st.Kinds) {
		u.text = text
	}
	return s.perform(u)
}

// ownStatements carries out the statements at the start of a text that are
// meant for the proxy, and returns what is left.
func (s *Session) ownStatements(text []byte) (rest []byte, own bool, err error) {
	for {
		st, rest := classifier.Next(text)
		if !isNote(&st) {
			return text, own, nil
		}
		own = true
		answer, f := s.note(&st)
		if f != nil {
			return nil, true, s.answerFault(f)
		}
		s.openOut()
		s.out = append(s.out, answer...)
		text = rest
	}
}

// empty answers a text without statements, or what is left when all were the
// proxy's own.
func (s *Session) empty(own bool) error {
	if len(s.out) == 0 && own {
		return nil // answered by an error
	}
	if !own {
		s.openOut()
		s.out = append(s.out, 'I', 0, 0, 0, 4)
	}
	s.writeReady()
	return s.flush()
}

// isNote reports whether a statement sets or shows an annotation.
func isNote(st *classifier.Statement) bool {
	switch st.Kind {
	case classifier.Set, classifier.Reset, classifier.Read:
		return len(st.Name) > len(notePrefix) && bytes.EqualFold(st.Name[:len(notePrefix)], []byte(notePrefix))
	default:
		return false
	}
}

// note carries out SET, RESET or SHOW of an annotation and returns the answer.
func (s *Session) note(st *classifier.Statement) (answer []byte, f *fault) {
	name := string(st.Name)
	switch st.Kind {
	case classifier.Read:
		value, f := s.notes.show(name)
		if f != nil {
			return nil, f
		}
		return appendTag(appendRow(appendColumn(nil, name), value), "SHOW"), nil
	case classifier.Reset:
		return appendTag(nil, "RESET"), s.notes.set(name, "")
	default:
		value, ok := st.Setting()
		if !ok {
			return nil, &fault{code: codeInvalidValue, message: "invalid value for " + name}
		}
		return appendTag(nil, "SET"), s.notes.set(name, string(value))
	}
}

// appendColumn appends the description of a row with one text.
func appendColumn(b []byte, name string) []byte {
	const textOID = 25
	start := len(b)
	b = append(b, 'T', 0, 0, 0, 0, 0, 1)
	b = append(b, name...)
	b = append(b, 0)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0, 0, textOID, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	putLength(b, start)
	return b
}

func appendRow(b []byte, value string) []byte {
	start := len(b)
	n := len(value)
	b = append(b, 'D', 0, 0, 0, 0, 0, 1, byte(n>>24), byte(n>>16), byte(n>>8), byte(n))
	b = append(b, value...)
	putLength(b, start)
	return b
}

func appendQuery(b, text []byte) []byte {
	start := len(b)
	b = append(b, 'Q', 0, 0, 0, 0)
	b = append(b, text...)
	b = append(b, 0)
	putLength(b, start)
	return b
}

// resetsAll reports whether a statement is RESET ALL.
func resetsAll(st *classifier.Statement) bool {
	return st.Kind == classifier.Reset && len(st.Name) == 0
}

// localTag returns the tag of a statement that the proxy carries out itself,
// because the session and not the connection has what it changes.
func localTag(st *classifier.Statement) string {
	switch st.Kind {
	case classifier.Discard:
		return "DISCARD ALL"
	case classifier.Deallocate:
		return "DEALLOCATE"
	case classifier.Reset:
		if resetsAll(st) {
			return "RESET" // it would reset the proxy's own settings too
		}
		return ""
	default:
		return ""
	}
}

// inTransaction refuses what changes all settings inside a transaction, which
// could undo it: the proxy's record of the session has no such way back.
// within says that statements of the same batch come before it.
func (s *Session) inTransaction(st *classifier.Statement, within bool) *fault {
	if st.Kind == classifier.Deallocate || s.tx == txIdle && !s.batch && !within {
		return nil
	}
	return &fault{
		code:    codeActiveTransaction,
		message: "DISCARD ALL and RESET ALL cannot run inside a transaction block",
		hint:    "Send it alone.",
	}
}

// local carries out DISCARD, DEALLOCATE and RESET ALL.
func (s *Session) local(st *classifier.Statement, tag string) error {
	if s.tx == txFailed {
		return s.answerFault(&fault{code: codeInTransaction, message: "current transaction is aborted"})
	}
	if refused := s.inTransaction(st, false); refused != nil {
		return s.answerFault(refused)
	}
	s.openOut()
	s.out = append(s.out, s.carryOut(st)...)
	s.writeTag(tag)
	s.writeReady()
	return s.flush()
}

// carryOut carries out a statement that has a localTag, and returns the values of settings that
// the caller has to be told.
func (s *Session) carryOut(st *classifier.Statement) []byte {
	var told []byte
	switch {
	case st.Kind == classifier.Reset:
		told = s.settings.appendDefaults(nil)
		s.settings.resetAll()
	case st.Kind == classifier.Discard:
		told = s.settings.appendDefaults(nil)
		s.settings, s.statements = settings{}, statements{}
		s.notes = Notes{Session: s.notes.Session, Mark: s.notes.Mark, Known: s.notes.Known}
	case len(st.Name) == 0:
		s.statements = statements{}
	default:
		s.statements.drop(st.Name)
	}
	return told
}

// refusal returns why a statement can't be passed on, nil when it can.
func refusal(st *classifier.Statement, text []byte) *fault {
	refuse := func(what, hint string) *fault {
		return &fault{code: retrier.StateForbidden, message: "refused: " + what + " isn't supported", hint: hint}
	}
	has := st.Kinds.Has
	switch {
	case st.Unclear && setsFirst(text):
		return refuse("this form of SET or RESET", `Write the value as one constant; E'...' with doubled backslashes.`)
	case has(classifier.Copy):
		return refuse("COPY", "Use INSERT with several rows, or SELECT.")
	case has(classifier.Listen):
		return refuse("LISTEN", "Connections are shared between callers.")
	case has(classifier.Prepare), has(classifier.Execute):
		return refuse("PREPARE in SQL", "Prepare statements by the extended protocol, as drivers do.")
	case st.Count > 1 && (has(classifier.Discard) || has(classifier.Deallocate)):
		return refuse("DISCARD or DEALLOCATE among other statements", "Send it alone.")
	case has(classifier.Set), has(classifier.Reset):
		return refusedSetting(text, st.Count > 1, refuse)
	default:
		return nil
	}
}

// setsFirst reports whether a text begins with SET or RESET.
func setsFirst(text []byte) bool {
	rest := string(text)
	for before := ""; rest != before; {
		before = rest
		rest = strings.TrimLeft(rest, " \t\r\n\v\f;")
		switch {
		case strings.HasPrefix(rest, "/*"):
			rest = afterComment(rest)
		case strings.HasPrefix(rest, "--"):
			rest = strings.TrimLeftFunc(rest, func(c rune) bool { return c != '\r' && c != '\n' })
		}
	}
	verb := lower(rest[:min(len(rest), len("reset"))])
	return strings.HasPrefix(verb, "set") || verb == "reset"
}

// refusedSetting returns why a text with SET or RESET can't be passed on. The proxy's
// own settings would reach the upstream from behind other statements.
func refusedSetting(text []byte, several bool, refuse func(what, hint string) *fault) *fault {
	for len(text) > 0 {
		var one classifier.Statement
		one, text = classifier.Next(text)
		if one.Kind != classifier.Set && one.Kind != classifier.Reset {
			continue
		}
		switch {
		case bytes.EqualFold(one.Name, []byte("characteristics")):
			return refuse("SET SESSION CHARACTERISTICS", "Set default_transaction_isolation or default_transaction_read_only.")
		case setsHiding(&one):
			return refuse("this client_encoding", "Use UTF8, or another encoding that a database can have.")
		case several && resetsAll(&one):
			return refuse("RESET ALL among other statements", "Send it alone.")
		case isOwnName(string(one.Name)) && (several || !isNote(&one)):
			return refuse("a setting of the proxy behind other statements", "Send it alone or in front of them, without quotes in its name.")
		}
	}
	return nil
}

// isOwnName reports whether the upstream may read a name as that of one of the proxy's own
// settings, whatever blanks, comments and quotes it is spelled with. One with escapes may be any.
func isOwnName(name string) bool {
	name = strings.ToLower(name)
	if strings.HasPrefix(name, `u&`) {
		return true
	}
	var plain strings.Builder
	for name != "" {
		switch {
		case strings.HasPrefix(name, "/*"):
			name = afterComment(name)
		case strings.HasPrefix(name, "--"):
			end := strings.IndexAny(name, "\r\n")
			if end < 0 {
				end = len(name)
			}
			name = name[end:]
		case strings.IndexByte("\" \t\r\n\v\f", name[0]) >= 0:
			name = name[1:]
		default:
			plain.WriteByte(name[0])
			name = name[1:]
		}
	}
	return strings.HasPrefix(plain.String(), notePrefix)
}

// afterComment returns what follows the comment at the start of a text. Comments nest.
func afterComment(text string) string {
	depth := 0
	for text != "" {
		switch {
		case strings.HasPrefix(text, "/*"):
			depth++
			text = text[2:]
		case strings.HasPrefix(text, "*/"):
			depth--
			text = text[2:]
			if depth == 0 {
				return text
			}
		default:
			text = text[1:]
		}
	}
	return ""
}

const chainedHint = "Send what follows COMMIT or ROLLBACK as a query of its own."

// chained refuses a text that goes on after the end of a transaction. Both would
// run under one request ID: settling the second, when its answer is lost, would
// tell what became of the first.
func chained(st *classifier.Statement, text []byte) *fault {
	if !st.Kinds.Has(classifier.Commit) && !st.Kinds.Has(classifier.Rollback) {
		return nil
	}
	ended := false
	for len(text) > 0 {
		var one classifier.Statement
		one, text = classifier.Next(text)
		if one.Chain || ended && one.Kind != classifier.Empty {
			return &fault{
				code:    retrier.StateForbidden,
				message: "refused: statements after the end of a transaction in one query",
				hint:    chainedHint,
			}
		}
		ended = ended || one.Kind == classifier.Commit || one.Kind == classifier.Rollback
	}
	return nil
}

// mourn answers statements of a transaction whose connection is lost.
func (s *Session) mourn(kind classifier.Kind) error {
	if kind != classifier.Commit && kind != classifier.Rollback {
		return s.answerFault(orphanFault())
	}
	s.orphaned, s.tx = false, txIdle
	s.writeTag("ROLLBACK")
	s.writeReady()
	return s.flush()
}

func orphanFault() *fault {
	return &fault{
		code:    codeInTransaction,
		message: "current transaction is aborted: its connection was lost and it has not run",
		hint:    "End it by ROLLBACK and start again.",
	}
}

// failTransaction makes an open transaction a failed one after an error of the
// proxy's own. The upstream knows nothing of that error and would commit, so
// its side is rolled back now.
func (s *Session) failTransaction() {
	s.tx = txFailed
	s.orphaned = true
	if s.up.rollback() {
		s.releaseUpstream()
		return
	}
	s.discardUpstream()
}
