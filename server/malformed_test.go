package server

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// hello is the startup packet of the caller kiosk.
var hello = "\x00\x00\x00\x24\x00\x03\x00\x00user\x00kiosk\x00database\x00billet\x00\x00"

// message makes a regular message.
func message(kind byte, body string) string {
	n := len(body) + 4
	return string([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}) + body
}

// readUntil reads until what was read holds the text.
func readUntil(t *testing.T, c net.Conn, text string) []byte {
	t.Helper()
	var got []byte
	b := make([]byte, 512)
	for !bytes.Contains(got, []byte(text)) {
		n, err := c.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, b[:n]...)
	}
	return got
}

// Symptom: one broken caller disturbs all others. Sequence: it sends what is no
// message, or half of one, and goes away. Cause: bytes without a known border
// can only be answered by an error and the end of that one connection.
func TestMalformedInput(t *testing.T) {
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Limits = relayer.Limits{Message: 100 << 10, Batch: 1 << 10}
		s.Groups[0].Connections = 1
	})
	query := message('Q', "SELECT 1\x00")
	for _, tt := range []struct {
		name  string
		bytes string
		code  string // of the error before the end; empty for none
		open  bool   // the connection is not closed by the proxy
	}{
		{"another protocol", "GET / HTTP/1.1\r\n\r\n", "54000", false},
		{"startup too small", "\x00\x00\x00\x04", "08P01", false},
		{"startup of version 2", "\x00\x00\x00\x08\x00\x02\x00\x00", "08P01", false},
		{"startup cut short inside", "\x00\x00\x00\x0d\x00\x03\x00\x00user\x00", "08P01", false},
		{"startup without a caller", "\x00\x00\x00\x09\x00\x03\x00\x00\x00", "28000", false},
		{"half a startup", hello[:20], "", true},
		{"unknown type", hello + message('z', "abc"), "08P01", false},
		{"length below itself", hello + "Q\x00\x00\x00\x03", "08P01", false},
		{"above the limit", hello + "Q\x00\x10\x00\x00", "54000", false},
		{"above the limit in a batch", hello + message('S', "") + "P\x00\x10\x00\x00", "54000", false},
		{"query without its end", hello + message('Q', "SELECT 1"), "08P01", false},
		{"parse cut short", hello + message('P', "name") + message('S', ""), "08P01", false},
		{"parse without a text", hello + message('P', "name\x00SELECT") + message('S', ""), "08P01", false},
		{"bind cut short", hello + message('B', "\x00") + message('S', ""), "08P01", false},
		{"describe cut short", hello + message('D', "S") + message('S', ""), "08P01", false},
		{"execute cut short", hello + message('E', "portal") + message('S', ""), "08P01", false},
		{"half a header", hello + "Q\x00", "", true},
		{"half a message", hello + query[:8], "", true},
		{"half a message after a whole one", hello + query + query[:8], "", true},
		{"half a batch", hello + message('P', "\x00SELECT 1\x00\x00\x00"), "", true},
		{"function call", hello + message('F', "\x00\x00\x00\x01\x00\x00"), "BD102", true},
		{"copy data", hello + message('d', "x") + message('c', "") + message('f', "x\x00"), "", true},
		{"unknown statement", hello + message('B', "\x00none\x00\x00\x00\x00\x00\x00\x00") + message('S', ""), "26000", true},
		{"unknown portal", hello + message('E', "none\x00\x00\x00\x00\x00") + message('S', ""), "34000", true},
		{"terminated", hello + message('X', ""), "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", f.server.Bound().String())
			is.NoErr(err)
			defer c.Close()
			_, err = c.Write([]byte(tt.bytes))
			is.NoErr(err)
			var answer []byte
			if tt.open {
				answer = readUntil(t, c, tt.code)
				// A caller that goes away here must leave nothing behind.
				is.NoErr(c.(*net.TCPConn).CloseWrite())
			}
			rest, _ := io.ReadAll(c)
			answer = append(answer, rest...)
			has := func(code string) bool { return bytes.Contains(answer, []byte("\x00C"+code+"\x00")) }
			is.True(tt.code == "" || has(tt.code))
			is.Equal(bytes.Contains(answer, []byte("SFATAL")), tt.code != "" && !tt.open)
			good := f.connect(t, "")
			_, err = good.Exec(t.Context(), "SELECT 1")
			is.NoErr(err)
			is.NoErr(good.Close(t.Context()))
		})
	}
}

// Symptom: connections to an upstream run out over a day. Sequence: callers go
// away inside transactions. Cause: a
// session that ends must give its connection back, rolled back or closed.
func TestCallerGoneInsideTransaction(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Groups[0].Connections = 1 })
	for range 3 {
		c, err := net.Dial("tcp", f.server.Bound().String())
		is.NoErr(err)
		_, err = c.Write([]byte(hello + message('Q', "BEGIN\x00") + message('Q', book+"\x00")))
		is.NoErr(err)
		readUntil(t, c, "INSERT 0 1")
		is.NoErr(c.Close())
		good := f.connect(t, "")
		_, err = good.Exec(t.Context(), "SELECT 1")
		is.NoErr(err)
		is.NoErr(good.Close(t.Context()))
	}
	is.Equal(len(f.group.Upstreams[0].Rows("seats")), 0)
	is.Equal(f.group.Upstreams[0].Counts().Opened, int64(1)) // rolled back, not closed
}
