package relayer

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/dialer"
	"basildale.example/basildale/internal/faker/upstream"
)

// Symptom: a booking appears that its caller had given up. Sequence: a statement
// waits for a place, its caller goes away, then the place is free. Cause: what
// nobody waits for must not be sent.
func TestNothingIsSentForACallerThatHasGone(t *testing.T) {
	is := is.New(t)
	g, err := upstream.NewGroup(upstream.Options{Setup: "CREATE TABLE seats (id int PRIMARY KEY)"})
	is.NoErr(err)
	defer g.Close()
	conn, err := (&dialer.Dialer{User: "u"}).Dial(t.Context(), g.Upstreams[0].Addr())
	is.NoErr(err)
	defer conn.Close()
	var s *Session
	back := 0
	r := closedRelay()
	r.Route = func(context.Context, *Request) (Target, *Refusal) {
		s.gone.Store(true) // as Closed does while the statement waits
		return Target{Address: conn.Address(), Primary: true}, nil
	}
	r.Acquire = func(context.Context, Target, *Request) (*Upstream, *Refusal) {
		return NewUpstream(conn), nil
	}
	r.Release = func(_ Target, _ *Upstream, healthy bool) {
		if healthy {
			back++
		}
	}
	c := &script{in: []byte(startupPacket + "Q\x00\x00\x00\x26INSERT INTO seats (id) VALUES (1)\x00")}
	s = r.Open(c)
	s.work()
	is.True(c.closed)
	is.Equal(back, 1)
	is.Equal(len(g.Upstreams[0].Rows("seats")), 0)
	is.Equal(g.Upstreams[0].Counts().Writes, int64(0))
}
