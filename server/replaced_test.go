package server

import (
	"context"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/tracker"
)

// Symptom: after a failover the writes that were under way are answered as
// unknown when their deadline is over, long after another primary leads.
// Sequence: a write is sent, the primary is cut off without a word, another is
// promoted. Cause: the session waits for an answer that can't come.
func TestReplacedPrimaryIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	old := tracker.Term{Epoch: 1, Seq: 1}
	f := start(t, upstream.Options{Size: 1, Term: old}, func(s *Server) {
		s.Control.Route = func(_ context.Context, r *relayer.Request) (relayer.Target, *relayer.Refusal) {
			return relayer.Target{Group: r.Account.Group, Address: s.Groups[0].Upstreams[0], Primary: true, Term: old}, nil
		}
	})
	c := f.connect(t, "basildale.deadline=3600000")
	_, err := c.Exec(t.Context(), "INSERT INTO seats (id, holder) VALUES (1, 'Ole')")
	is.NoErr(err)
	f.group.Upstreams[0].Cut(upstream.Cut{Silent: true})
	ended := make(chan error, 1)
	go func() {
		_, err := c.Exec(context.Background(), "INSERT INTO seats (id, holder) VALUES (2, 'Karen')")
		ended <- err
	}()
	sent := func() bool {
		f.server.held.mu.Lock()
		defer f.server.held.mu.Unlock()
		return len(f.server.held.all) == 1
	}
	for !sent() {
		select {
		case err := <-ended:
			t.Fatal("answered before the primary was replaced: ", err)
		default:
		}
	}
	f.server.Replaced("billet", old, f.group.Addrs()[0])                  // the same one: nothing happens
	f.server.Replaced("billet", tracker.Term{Epoch: 2}, netip.AddrPort{}) // only the run's own bound would end it otherwise
	var answer *pgconn.PgError
	is.True(errors.As(<-ended, &answer))
	is.Equal(answer.Code, "08007")
	f.group.Upstreams[0].Restore()
}
