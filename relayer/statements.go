package relayer

import (
	"bytes"
	"unique"

	"basildale.example/basildale/classifier"
)

// body is the text of a Parse message after the statement's name: the SQL text,
// a zero byte and the parameter types. Sessions and connections share one copy
// of each.
type body = unique.Handle[string]

// statement is a prepared statement of a session.
type statement struct {
	body  body
	kind  classifier.Kind
	local bool // carried out by the proxy itself
	// lasting says that it may change settings in a way that can't be followed.
	lasting bool
}

// statements are a session's prepared statements. They live in the session and
// are made again on each upstream connection that needs them.
type statements struct {
	named   map[string]statement
	unnamed statement
}

func (l *statements) get(name []byte) (statement, bool) {
	if len(name) == 0 {
		return l.unnamed, l.unnamed != (statement{})
	}
	st, ok := l.named[string(name)]
	return st, ok
}

func (l *statements) put(name []byte, st statement) {
	if len(name) == 0 {
		l.unnamed = st
		return
	}
	if l.named == nil {
		l.named = map[string]statement{}
	}
	l.named[string(name)] = st
}

func (l *statements) drop(name []byte) {
	if len(name) == 0 {
		l.unnamed = statement{}
		return
	}
	delete(l.named, string(name))
}

// sqlOf returns the SQL text of a Parse message's body.
func sqlOf(b []byte) []byte {
	sql, _, ok := bytes.Cut(b, []byte{0})
	if !ok {
		return nil
	}
	return sql
}
