package relayer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a text that the upstream cuts otherwise than the proxy, because a byte of a
// character in it looks like a backslash.
func TestEncodingThatHidesBytesIsRefused(t *testing.T) {
	for _, text := range []string{
		"SET client_encoding TO 'SJIS'", "SET NAMES 'Big-5'", `SET client_encoding = "gbk"`,
		"set session Client_Encoding = E'gb\\061 8030'", "SELECT 1; SET client_encoding TO shift_jis_2004", "BEGIN; SET LOCAL NAMES 'uhc'",
	} {
		is := is.New(t)
		s := newStepped(t, complete("SET")+idle)
		is.True(strings.Contains(s.send(query(text)), "CBD102\x00")) // by text
	}
	for _, text := range []string{"SET client_encoding TO LATIN1", "SET NAMES 'UTF8'", "SET client_encoding = DEFAULT", "SET NAMES", "SET NAMES 'EUC_JP'"} {
		is := is.New(t)
		s := newStepped(t, complete("SET")+idle)
		is.Equal(s.send(query(text)), complete("SET")+idle) // by text
	}
	for _, value := range []string{"SJIS", "windows-932", "JOHAB"} {
		is := is.New(t)
		body := "\x00\x03\x00\x00user\x00u\x00client_encoding\x00" + value + "\x00\x00"
		c := &script{in: []byte("\x00\x00\x00" + string(rune(len(body)+4)) + body)}
		closedRelay().Open(c).work()
		is.True(strings.Contains(string(c.out), "C22023\x00")) // by value
	}
}
