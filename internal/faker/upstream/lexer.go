package upstream

import "strings"

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenString
	tokenNumber
	tokenParam
	tokenPunct
)

type token struct {
	kind tokenKind
	text string // words are in lower case, strings unquoted, parameters without $
	end  int
}

// lex cuts src into tokens; comments and casts (::name) are dropped.
func lex(src string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(src); {
		c := src[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
			continue
		case strings.HasPrefix(src[i:], "--"):
			i = skipPast(src, i, "\n")
			continue
		case strings.HasPrefix(src[i:], "/*"):
			i = skipPast(src, i, "*/")
			continue
		case strings.HasPrefix(src[i:], "::"):
			i += 2
			for i < len(src) && isWord(src[i]) {
				i++
			}
			continue
		}
		t, err := next(src, i)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		i = t.end
	}
	return tokens, nil
}

func skipPast(src string, from int, mark string) int {
	at := strings.Index(src[from:], mark)
	if at < 0 {
		return len(src)
	}
	return from + at + len(mark)
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return c == '_' || c == '.' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func next(src string, i int) (token, error) {
	c := src[i]
	end := i + 1
	switch {
	case c == '\'':
		return quoted(src, i, '\'', tokenString)
	case c == '"':
		return quoted(src, i, '"', tokenWord)
	case c == '$':
		for end < len(src) && isDigit(src[end]) {
			end++
		}
		return token{tokenParam, src[i+1 : end], end}, nil
	case isDigit(c), c == '-' && end < len(src) && isDigit(src[end]):
		for end < len(src) && (isDigit(src[end]) || src[end] == '.') {
			end++
		}
		return token{tokenNumber, src[i:end], end}, nil
	case isWord(c):
		for end < len(src) && isWord(src[end]) {
			end++
		}
		return token{tokenWord, strings.ToLower(src[i:end]), end}, nil
	default:
		return token{tokenPunct, src[i:end], end}, nil
	}
}

func quoted(src string, i int, quote byte, kind tokenKind) (token, error) {
	var b strings.Builder
	for j := i + 1; j < len(src); j++ {
		if src[j] != quote {
			b.WriteByte(src[j])
			continue
		}
		if j+1 < len(src) && src[j+1] == quote {
			b.WriteByte(quote)
			j++
			continue
		}
		return token{kind, b.String(), j + 1}, nil
	}
	return token{}, fail(codeSyntax, "unterminated quoted text")
}
