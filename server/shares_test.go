package server

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
)

// Symptom: a proxy has more connections than its share after its configuration
// has changed.
//
// Sequence: a transaction is open while the database name of the connections is
// changed; others come.
//
// Cause: the connections of the former pool counted no more.
func TestShareCountsConnectionsOfTheFormerConfiguration(t *testing.T) {
	is := is.New(t)
	var s *Server
	f := start(t, upstream.Options{Size: 1}, func(made *Server) {
		s = made
		s.Groups[0].Shared = true
	})
	at := s.Groups[0].Upstreams[0]
	two := func(netip.AddrPort) int { return 2 }
	is.Equal(s.Open("billet")[at], 0)
	s.Share("billet", two)
	tx, err := f.connect(t, "").Begin(t.Context())
	is.NoErr(err)
	is.Equal(s.Open("billet")[at], 1)

	next := s.Groups[0]
	next.Database = "another"
	s.Configure([]Group{next})
	is.Equal(s.pools.get("billet", at).Stats().Limit, 0) // nothing before it is counted
	s.Share("billet", two)
	is.Equal(s.pools.get("billet", at).Stats().Limit, 1)
	is.Equal(s.Open("billet")[at], 1)
	is.NoErr(tx.Commit(t.Context()))
	for s.Open("billet")[at] > 0 {
		time.Sleep(time.Millisecond) // a poll; only the bound of the test run ends it
	}
	s.Share("billet", two)
	is.Equal(s.pools.get("billet", at).Stats().Limit, 2)
}

// Symptom: reads go on being sent to a replica that takes no connections. Sequence:
// an upstream dies before anything was sent to it. Cause: only attempts that had
// a connection were counted.
func TestUnreachedUpstreamIsTold(t *testing.T) {
	is := is.New(t)
	told := make(chan relayer.Target, 1)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Control.Unreached = func(t relayer.Target) {
			select {
			case told <- t:
			default:
			}
		}
	})
	c := f.connect(t, "")
	f.group.Upstreams[0].Crash()
	_, err := c.Exec(t.Context(), "SELECT 1")
	is.True(err != nil)
	is.Equal((<-told).Address, f.group.Addrs()[0])
}

// Symptom: the new primary stands still after a failover, setting up connections.
//
// Sequence: many callers come to an upstream without connections at once.
//
// Cause: each got a connection of its own although one serves all in turn.
func TestOpeningIsPaced(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) {
		s.Groups[0].Connections, s.Groups[0].Opening = 8, 0.01
	})
	var callers []*pgx.Conn
	for range 8 {
		callers = append(callers, f.connect(t, ""))
	}
	var running sync.WaitGroup
	for _, c := range callers {
		running.Go(func() {
			_, err := c.Exec(t.Context(), "SELECT holder FROM seats WHERE id = 1")
			is.NoErr(err)
		})
	}
	running.Wait()
	is.Equal(f.group.Upstreams[0].Counts().Opened, int64(1)) // in the first 100 s
}
