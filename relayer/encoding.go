package relayer

import (
	"bytes"
	"strings"

	"basildale.example/basildale/classifier"
)

const encodingSetting = "client_encoding"

// hidesBytes reports whether characters of an encoding may end with the byte of a
// backslash or a letter. Upstreams convert a text before they read it, so such a
// byte would end a string for the proxy and not for the upstream, or the other way
// round. Names of encodings are compared as PostgreSQL does.
func hidesBytes(encoding string) bool {
	plain := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' {
			return c
		}
		return -1
	}, lower(encoding))
	switch plain {
	case "sjis", "shiftjis", "mskanji", "win932", "windows932", "shiftjis2004",
		"big5", "win950", "windows950", "gbk", "win936", "windows936", "gb18030",
		"uhc", "win949", "windows949", "johab":
		return true
	default:
		return false
	}
}

// setsHiding reports whether a statement sets an encoding that hides bytes, or
// one that can't be read.
func setsHiding(st *classifier.Statement) bool {
	if st.Kind != classifier.Set || len(st.Value) == 0 || canonical(string(st.Name)) != encodingSetting {
		return false
	}
	value, plain := st.Setting()
	return !plain || hidesBytes(string(bytes.TrimSpace(value)))
}
