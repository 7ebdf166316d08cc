package relayer

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"basildale.example/basildale/framer"
	"basildale.example/basildale/retrier"
)

// script is a caller whose bytes are given beforehand.
type script struct {
	in     []byte
	out    []byte
	closed bool
}

func (c *script) Read(p []byte) (int, error) {
	if c.closed {
		return 0, io.EOF
	}
	n := copy(p, c.in)
	c.in = c.in[n:]
	return n, nil
}

func (c *script) Write(p []byte) (int, error) {
	c.out = append(c.out, p...)
	return len(p), nil
}

func (c *script) Flush(time.Time) {}

// CloseWrite does nothing.
func (c *script) CloseWrite() error { return nil }

func (c *script) Close() error {
	c.closed = true
	return nil
}

func (c *script) Remote() netip.AddrPort { return netip.AddrPort{} }

// closedRelay lets everybody in and runs nothing.
func closedRelay() *Relay {
	return &Relay{
		Login: func(string, string) (Account, bool) { return Account{Group: "g"}, true },
		Route: func(context.Context, *Request) (Target, *Refusal) {
			return Target{}, &Refusal{Outcome: retrier.Outcome{Kind: retrier.NotRun, Cause: retrier.Busy}}
		},
		Limits: Limits{Message: 1 << 12, Batch: 1 << 8},
	}
}

const startupPacket = "\x00\x00\x00\x10\x00\x03\x00\x00user\x00u\x00\x00"

// FuzzSession checks that no bytes of a caller make a session panic, that what
// it answers are whole frames, and that a session that goes on holds no buffer
// when nothing is left to handle.
func FuzzSession(f *testing.F) {
	for _, seed := range []string{
		"", "Q\x00\x00\x00\x0dSELECT 1\x00", "Q\x00\x00\x00\x04", "X\x00\x00\x00\x04",
		"P\x00\x00\x00\x10p\x00SELECT 1\x00\x00\x00B\x00\x00\x00\x0d\x00p\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04",
		"P\x00\x00\x00\x1f\x00SHOW basildale.class\x00\x00\x00\x00D\x00\x00\x00\x06S\x00B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04",
		"Q\x00\x00\x00\x22SET basildale.mark='1.1/1';SELECT\x00", "C\x00\x00\x00\x06S\x00H\x00\x00\x00\x04D\x00\x00\x00\x06P\x00S\x00\x00\x00\x04",
		"Q\x00\x00\x00\x10DISCARD ALL\x00", "B\x00\x00\x00\x06\x00x\x00S\x00\x00\x00\x04d\x00\x00\x00\x04",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &script{in: append([]byte(startupPacket), data...)}
		s := closedRelay().Open(c)
		s.work()
		rest := c.out
		for len(rest) > 0 {
			_, n, err := framer.Cut(rest, 0)
			if err != nil || n == 0 {
				t.Fatalf("answer %q ends inside a frame", c.out)
			}
			rest = rest[n:]
		}
		if s.phase == phaseReady && len(s.in.bytes()) == 0 && (s.in.buf != nil || s.out != nil) {
			t.Fatal("an idle session holds a buffer")
		}
		s.end(nil)
		if !c.closed {
			t.Fatal("the connection stays open")
		}
	})
}
