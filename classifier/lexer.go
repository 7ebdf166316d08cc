package classifier

import "bytes"

// token is the sort of a lexical token.
type token uint8

const (
	tokenEnd    token = iota // end of the text
	tokenWord                // unquoted name or keyword
	tokenQuoted              // "quoted name"
	tokenString              // string constant of any sort
	tokenNumber              // number or parameter like $1
	tokenOpen                // (
	tokenClose               // )
	tokenSemi                // ;
	tokenDot                 // .
	tokenComma               // ,
	tokenCast                // ::
	tokenOther               // any other operator character
	tokenBad                 // unterminated or ambiguous
)

// lexer cuts a text into tokens. pos is where the next token is looked for,
// start where the last one began.
type lexer struct {
	text  []byte
	pos   int
	start int
}

// raw returns the bytes of the last token.
func (l *lexer) raw() []byte { return l.text[l.start:l.pos] }

// next reads one token.
func (l *lexer) next() token {
	if !l.skipBlank() {
		return tokenBad
	}
	l.start = l.pos
	if l.pos >= len(l.text) {
		return tokenEnd
	}
	c := l.text[l.pos]
	switch {
	case isWordStart(c):
		return l.word()
	case isDigit(c):
		return l.number()
	}
	l.pos++
	switch c {
	case '\'':
		return l.quoted('\'', tokenString)
	case '"':
		return l.quoted('"', tokenQuoted)
	case '$':
		return l.dollar()
	case '(':
		return tokenOpen
	case ')':
		return tokenClose
	case ';':
		return tokenSemi
	case ',':
		return tokenComma
	case '.':
		return l.dot()
	case ':':
		return l.colon()
	case 0:
		return tokenBad
	default:
		return tokenOther
	}
}

// skipBlank passes white space and comments. It reports false if a comment has
// no end.
func (l *lexer) skipBlank() bool {
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		switch {
		case isSpace(c):
			l.pos++
		case c == '-' && l.peek(1) == '-':
			l.skipLine()
		case c == '/' && l.peek(1) == '*':
			if !l.skipComment() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

func (l *lexer) skipLine() {
	for l.pos < len(l.text) && l.text[l.pos] != '\n' && l.text[l.pos] != '\r' {
		l.pos++
	}
}

// skipComment passes a comment that may hold others.
func (l *lexer) skipComment() bool {
	depth := 0
	for l.pos < len(l.text) {
		switch {
		case l.text[l.pos] == '/' && l.peek(1) == '*':
			depth++
			l.pos += 2
		case l.text[l.pos] == '*' && l.peek(1) == '/':
			depth--
			l.pos += 2
			if depth == 0 {
				return true
			}
		default:
			l.pos++
		}
	}
	return false
}

// peek returns the byte n places on, or 0 past the end.
func (l *lexer) peek(n int) byte {
	if l.pos+n >= len(l.text) {
		return 0
	}
	return l.text[l.pos+n]
}

// word reads a name or keyword, or the prefix of a string constant with the
// string: E”, B”, X”, N” and U&”.
func (l *lexer) word() token {
	for l.pos < len(l.text) && isWordPart(l.text[l.pos]) {
		l.pos++
	}
	if l.pos-l.start != 1 {
		return tokenWord
	}
	switch l.text[l.start] {
	case 'e', 'E':
		if l.peek(0) == '\'' {
			l.pos++
			return l.escaped()
		}
	case 'b', 'B', 'x', 'X', 'n', 'N':
		if l.peek(0) == '\'' {
			l.pos++
			return l.quoted('\'', tokenString)
		}
	case 'u', 'U':
		if l.peek(0) == '&' && (l.peek(1) == '\'' || l.peek(1) == '"') {
			q := l.peek(1)
			l.pos += 2
			if q == '"' {
				return l.quoted('"', tokenQuoted)
			}
			return l.quoted('\'', tokenString)
		}
	}
	return tokenWord
}

// number reads the digits of a number. An exponent or a hexadecimal part becomes
// a word of its own, which is harmless: it is on no list.
func (l *lexer) number() token {
	for l.pos < len(l.text) && (isDigit(l.text[l.pos]) || l.text[l.pos] == '.' || l.text[l.pos] == '_') {
		l.pos++
	}
	return tokenNumber
}

func (l *lexer) dot() token {
	if isDigit(l.peek(0)) {
		return l.number()
	}
	return tokenDot
}

func (l *lexer) colon() token {
	if l.peek(0) != ':' {
		return tokenOther
	}
	l.pos++
	return tokenCast
}

// quoted reads up to the closing quote; a doubled one stands for itself.
//
// A backslash right before a quote in a string means two things: with
// standard_conforming_strings off, and in the continuation of an E” string, it
// hides the quote. The end of the string is then not known, and neither is what
// comes after it, so the text counts as unreadable (and so as a write).
func (l *lexer) quoted(q byte, t token) token {
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		l.pos++
		if c != q {
			continue
		}
		if q == '\'' && l.text[l.pos-2] == '\\' {
			return tokenBad
		}
		if l.peek(0) != q {
			return t
		}
		l.pos++
	}
	return tokenBad
}

// escaped reads an E” string after its first quote.
func (l *lexer) escaped() token {
	for l.pos < len(l.text) {
		c := l.text[l.pos]
		l.pos++
		switch {
		case c == '\\':
			l.pos++
		case c == '\'' && l.peek(0) == '\'':
			l.pos++
		case c == '\'':
			return tokenString
		}
	}
	l.pos = len(l.text)
	return tokenBad
}

// dollar reads a parameter or a dollar-quoted string after its first $.
func (l *lexer) dollar() token {
	if isDigit(l.peek(0)) {
		for isDigit(l.peek(0)) {
			l.pos++
		}
		return tokenNumber
	}
	end := l.pos
	for end < len(l.text) && l.text[end] != '$' {
		if !isWordPart(l.text[end]) {
			return tokenOther
		}
		end++
	}
	if end == len(l.text) {
		return tokenOther
	}
	tag := l.text[l.start : end+1]
	i := bytes.Index(l.text[end+1:], tag)
	if i < 0 {
		l.pos = len(l.text)
		return tokenBad
	}
	l.pos = end + 1 + i + len(tag)
	return tokenString
}

func isSpace(c byte) bool {
	return c == ' ' || (c >= '\t' && c <= '\r')
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordStart(c byte) bool {
	return c == '_' || c >= 0x80 || (c|0x20 >= 'a' && c|0x20 <= 'z')
}

func isWordPart(c byte) bool {
	return isWordStart(c) || isDigit(c) || c == '$'
}
