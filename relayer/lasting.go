package relayer

import (
	"bytes"

	"basildale.example/basildale/classifier"
)

// setsByFunction reports whether a text may change settings beyond its
// transaction by the function set_config. No answer tells which, so the
// connection of such a text is not used by another session.
func setsByFunction(kind classifier.Kind, text []byte) bool {
	if kind == classifier.Read {
		return false
	}
	const name = "set_config"
	for i := 0; i+len(name) <= len(text); i++ {
		next := bytes.IndexByte(text[i:], '_')
		if next < 0 {
			return false
		}
		i += next
		from, to := i-len("set"), i+len("_config")
		if from < 0 || to > len(text) || !bytes.EqualFold(text[from:to], []byte(name)) {
			continue
		}
		if !endsWithTransaction(text[to:]) {
			return true
		}
	}
	return false
}

// endsWithTransaction reports whether a call's arguments, at the start of the
// text, end with the constant true, which makes a setting end with its
// transaction. It reports false for what it doesn't read: comments, escapes,
// quoted names and dollar quotes.
func endsWithTransaction(text []byte) bool {
	depth, last, quoted := 0, 0, false
	for i, c := range text {
		switch {
		case c == '\\':
			return false
		case c == '\'':
			quoted = !quoted
		case quoted:
		case c == '"', c == '-', c == '/', c == '$' && !followedByDigit(text, i):
			return false
		case c == '(':
			depth++
		case c == ',' && depth == 1:
			last = i + 1
		case c == ')' && depth > 1:
			depth--
		case c == ')':
			return bytes.EqualFold(bytes.TrimSpace(text[last:i]), []byte("true"))
		}
	}
	return false
}

func followedByDigit(text []byte, i int) bool {
	return i+1 < len(text) && text[i+1] >= '0' && text[i+1] <= '9'
}
