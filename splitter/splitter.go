package splitter

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// MaxDepth is how many levels a valid value is nested at most. encoding/json takes 10,000;
// the rest is left to the texts that a value becomes a part of.
const MaxDepth = 1000

// The errors of this package.
var (
	// ErrSyntax reports a text in which no values can be found.
	ErrSyntax = errors.New("splitter: not a JSON object or array")
	// ErrInvalid reports a value that can't be decoded.
	ErrInvalid = errors.New("splitter: invalid value")
)

// Members calls member with the name and the value of each member of an object, in their
// order. A null has none. It stops at the first error. Names and values are parts of the text,
// but for names with escapes.
func Members(text []byte, member func(name, value []byte) error) error {
	return split(text, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return member(name, value)
	})
}

// Elements calls element with each element of an array, in their order. A null has none. It
// stops at the first error. The elements are parts of the text.
func Elements(text []byte, element func(value []byte) error) error {
	return split(text, '[', ']', func(s *scanner) error {
		value, err := s.value()
		if err != nil {
			return err
		}
		return element(value)
	})
}

// Valid returns nil if a value is valid JSON that is nested at most MaxDepth levels, so that it
// can be decoded, by itself and as a part of another text. Otherwise the error is an ErrInvalid.
func Valid(value []byte) error {
	s := scanner{text: value}
	for s.at < len(value) {
		if s.step(); s.depth > MaxDepth {
			return errors.Wrapf(ErrInvalid, "nested more than %d levels deep", MaxDepth)
		}
	}
	// Valid reports no cause, and decoding the value to learn it would copy the value.
	if !json.Valid(value) {
		return errors.Wrap(ErrInvalid, "not JSON")
	}
	return nil
}

// split calls next at each member or element between an opening and a closing bracket.
func split(text []byte, opening, closing byte, next func(s *scanner) error) error {
	s := scanner{text: text}
	if bytes.Equal(bytes.TrimSpace(text), []byte("null")) {
		return nil
	}
	if !s.take(opening) {
		return errors.Wrapf(ErrSyntax, "no %q", opening)
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return errors.Wrapf(ErrSyntax, "no %q at byte %d", closing, s.at)
		}
		if err := next(&s); err != nil {
			return err
		}
	}
	if s.skipSpace(); s.at < len(text) {
		return errors.Wrapf(ErrSyntax, "more after byte %d", s.at)
	}
	return nil
}
