package splitter

import (
	"encoding/json"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// scanner reads a text from a place on.
type scanner struct {
	text  []byte
	at    int
	depth int // brackets that are open
}

// take skips a character, and the space before it, if it is the next one.
func (s *scanner) take(c byte) bool {
	s.skipSpace()
	if s.at == len(s.text) || s.text[s.at] != c {
		return false
	}
	s.at++
	return true
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

// name reads the name of a member, up to its value.
func (s *scanner) name() ([]byte, error) {
	s.skipSpace()
	start := s.at
	if s.at == len(s.text) || s.text[s.at] != '"' || !s.skipString() {
		return nil, errors.Wrapf(ErrSyntax, "no name at byte %d", start)
	}
	name, err := unquote(s.text[start:s.at])
	if err != nil {
		return nil, errors.Wrapf(ErrSyntax, "name at byte %d: %v", start, err)
	}
	if !s.take(':') {
		return nil, errors.Wrapf(ErrSyntax, "no value at byte %d", s.at)
	}
	return name, nil
}

// unquote returns what a string says; where that is what stands between its quotes, it is a
// part of the text.
func unquote(quoted []byte) ([]byte, error) {
	isPlain := func(c byte) bool { return c >= ' ' && c < utf8.RuneSelf && c != '\\' }
	inner := quoted[1 : len(quoted)-1]
	for _, c := range inner {
		if !isPlain(c) {
			var name string
			err := json.Unmarshal(quoted, &name)
			return []byte(name), err
		}
	}
	return inner, nil
}

// value skips a value and returns it.
func (s *scanner) value() ([]byte, error) {
	s.skipSpace()
	start := s.at
	if s.at == len(s.text) || isDelimiter(s.text[s.at]) {
		return nil, errors.Wrapf(ErrSyntax, "no value at byte %d", start)
	}
	for first := true; first || s.depth > 0; first = false {
		if !s.step() {
			return nil, errors.Wrapf(ErrSyntax, "value at byte %d has no end", start)
		}
	}
	return s.text[start:s.at], nil
}

// step skips a bracket, a string or another token, and reports whether there was one that is
// complete.
func (s *scanner) step() bool {
	if s.at == len(s.text) {
		return false
	}
	switch s.text[s.at] {
	case '"':
		return s.skipString()
	case '{', '[':
		s.depth++
		s.at++
	case '}', ']':
		s.depth--
		s.at++
	case ',', ':':
		s.at++
	default:
		s.skipToken()
	}
	return true
}

// skipString skips a string and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.text) // an escape at the end goes beyond it
	return false
}

// skipToken skips a number or a word, or the space between tokens.
func (s *scanner) skipToken() {
	for first := s.at; s.at < len(s.text); s.at++ {
		c := s.text[s.at]
		if isDelimiter(c) || c == '"' || c == '{' || c == '[' || isSpace(c) != isSpace(s.text[first]) {
			return
		}
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// isDelimiter reports whether a character ends a number or a word.
func isDelimiter(c byte) bool { return c == ',' || c == ':' || c == '}' || c == ']' }
