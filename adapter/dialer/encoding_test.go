package dialer_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/dialer"
)

// Guards against an upstream whose own encoding is taken for the UTF-8 that callers are told.
func TestStartupAsksForUTF8(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	startup := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		b := make([]byte, 1024)
		n, _ := c.Read(b)
		startup <- string(b[:n])
		_, _ = c.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"))
	}()
	c, err := (&dialer.Dialer{User: "u"}).Dial(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	is.NoErr(err)
	defer c.Close()
	is.True(strings.Contains(<-startup, "\x00client_encoding\x00UTF8\x00"))
}
