package dialer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/server"
)

const (
	query  = "Q\x00\x00\x00\x0dSELECT 1\x00"
	answer = "C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I"
)

// pair returns a connection and the other end of it.
func pair(t *testing.T) (*dialer.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		b := make([]byte, 1024)
		_, _ = c.Read(b) // the startup
		_, _ = c.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"))
		accepted <- c
	}()
	c, err := (&dialer.Dialer{User: "u"}).Dial(t.Context(), ln.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	other := <-accepted
	t.Cleanup(func() { _ = other.Close() })
	return c, other
}

func TestAskReadsTheAnswer(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	for range 3 {
		go func() {
			_, _ = io.ReadFull(other, make([]byte, len(query)))
			_, _ = other.Write([]byte(answer))
		}()
		sent, err := c.Ask([]byte(query))
		is.NoErr(err)
		is.Equal(sent, len(query))
		for _, want := range []byte("CZ") {
			h, err := c.Head()
			is.NoErr(err)
			f, err := c.Frame(h)
			is.NoErr(err)
			is.Equal(f.Type, want)
		}
		is.Equal(c.Buffered(), 0)
	}
}

// Symptom: a large statement is cut. Sequence: it doesn't fit the socket's
// buffer at once. Cause: what was not written in the first step has to follow.
func TestAskLargeRequest(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	large := make([]byte, 16<<20)
	got := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(other, make([]byte, len(large)))
		got <- err
	}()
	sent, err := c.Ask(large)
	is.NoErr(err)
	is.Equal(sent, len(large))
	is.NoErr(<-got)
}

// TestAskTellsWhatWasSent checks what the outcome of a statement hangs on: 0
// only when the upstream can have seen nothing.
func TestAskTellsWhatWasSent(t *testing.T) {
	t.Run("deadline before", func(t *testing.T) {
		is := is.New(t)
		c, _ := pair(t)
		c.SetDeadline(time.Now().Add(-time.Second))
		sent, err := c.Ask([]byte(query))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(sent, 0)
	})
	t.Run("closed by us", func(t *testing.T) {
		is := is.New(t)
		c, _ := pair(t)
		c.Close()
		sent, err := c.Ask([]byte(query))
		is.True(err != nil)
		is.Equal(sent, 0)
	})
	t.Run("no answer", func(t *testing.T) {
		is := is.New(t)
		c, _ := pair(t)
		c.SetDeadline(time.Now().Add(20 * time.Millisecond))
		sent, err := c.Ask([]byte(query))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(sent, len(query))
	})
	t.Run("closed in place of an answer", func(t *testing.T) {
		is := is.New(t)
		c, other := pair(t)
		go func() {
			_, _ = io.ReadFull(other, make([]byte, len(query)))
			_ = other.Close()
		}()
		sent, err := c.Ask([]byte(query))
		is.True(errors.Is(err, io.EOF))
		is.Equal(sent, len(query))
	})
}

func TestAlive(t *testing.T) {
	is := is.New(t)
	c, other := pair(t)
	is.True(c.Alive())
	_, err := other.Write([]byte("N")) // a word that nobody asked for
	is.NoErr(err)
	for c.Alive() {
		continue // it is on its way
	}
}

func TestPasswords(t *testing.T) {
	group, err := upstream.NewGroup(upstream.Options{Password: "clear"})
	if err != nil {
		t.Fatal(err)
	}
	defer group.Close()
	v, err := relayer.NewVerifier("hidden")
	if err != nil {
		t.Fatal(err)
	}
	s := &server.Server{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Control.Login = func(string, string) (relayer.Account, bool) { return relayer.Account{Verifier: v}, true }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Started()
	for _, tt := range []struct {
		name     string
		address  netip.AddrPort
		password string
		ok       bool
	}{
		{"clear text", group.Upstreams[0].Addr(), "clear", true},
		{"clear text, wrong", group.Upstreams[0].Addr(), "hidden", false},
		{"SCRAM", s.Bound(), "hidden", true},
		{"SCRAM, wrong", s.Bound(), "clear", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, err := (&dialer.Dialer{User: "u", Password: tt.password}).Dial(t.Context(), tt.address)
			is.Equal(err == nil, tt.ok)
			if err != nil {
				is.True(errors.Is(err, dialer.ErrRefused))
				return
			}
			c.Terminate()
		})
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
