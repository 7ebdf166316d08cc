package messenger

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/membership"
)

// Where the contract tests find another implementation of a peer, and the key
// it shares. Without them they run against a messenger of this process.
const (
	peerEnv = "BASILDALE_PEER"
	keyEnv  = "BASILDALE_PEER_KEY"
)

// contractPeer returns the address and key of the peer that is tested.
func contractPeer(t *testing.T) (netip.AddrPort, []byte) {
	t.Helper()
	if s := os.Getenv(peerEnv); s != "" {
		return netip.MustParseAddrPort(s), []byte(os.Getenv(keyEnv))
	}
	key := []byte("shared key of the contract test")
	m := &Messenger{Keys: [][]byte{key}}
	m.Handler.Ping = func(_ context.Context, _ Peer, q Ping) (Ack, error) {
		return Ack{From: membership.Member{Addr: m.Self.Addr, Start: m.Self.Start}, Digest: q.Digest}, nil
	}
	return serveTCP(t, m), key
}

func TestContract(t *testing.T) {
	to, key := contractPeer(t)
	self := Peer{Addr: testAddr(1), Start: 1}
	client := func(t *testing.T) *Messenger {
		m := &Messenger{Self: self, Keys: [][]byte{key}}
		t.Cleanup(func() { m.Close() })
		return m
	}
	ping := Ping{From: membership.Member{Addr: self.Addr, Start: self.Start}}
	t.Run("answers a ping with itself", func(t *testing.T) {
		is := is.New(t)
		ack, err := client(t).Ping(context.Background(), to, ping)
		is.NoErr(err)
		is.Equal(ack.From.Addr, to)
		is.True(ack.From.Start != 0)
	})
	t.Run("refuses a method it doesn't have", func(t *testing.T) {
		is := is.New(t)
		m := client(t)
		err := m.call(context.Background(), to, "nothing", Empty{}, &Empty{})
		is.True(errors.Is(err, ErrMethod))
		_, err = m.Ping(context.Background(), to, ping) // and goes on
		is.NoErr(err)
	})
	t.Run("refuses what it can't read", func(t *testing.T) {
		is := is.New(t)
		m := client(t)
		err := m.call(context.Background(), to, MethodPing, "no object", &Ack{})
		is.True(errors.Is(err, ErrRequest))
		_, err = m.Ping(context.Background(), to, ping)
		is.NoErr(err)
	})
	t.Run("closes on a message above the limit and takes a new connection", func(t *testing.T) {
		is := is.New(t)
		m := client(t)
		m.MaxMessage = 4 * DefaultMaxMessage
		large := ExplainQuery{Subject: strings.Repeat("x", 2*DefaultMaxMessage)}
		_, err := m.Explain(context.Background(), to, large)
		is.True(err != nil)
		_, err = m.Ping(context.Background(), to, ping)
		is.NoErr(err)
	})
	t.Run("refuses a wrong key", func(t *testing.T) {
		is := is.New(t)
		m := client(t)
		m.Keys = [][]byte{[]byte("a key that nobody has")}
		_, err := m.Ping(context.Background(), to, ping)
		is.True(errors.Is(err, ErrRefused))
	})
}
