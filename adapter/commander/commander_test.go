package commander_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/commander"
	"basildale.example/basildale/internal/faker/upstream"
	"basildale.example/basildale/tracker"
)

func start(t *testing.T, o upstream.Options) (*upstream.Group, *commander.Commander) {
	t.Helper()
	g, err := upstream.NewGroup(o)
	if err != nil {
		t.Fatal(err)
	}
	c := &commander.Commander{User: "app", Password: o.Password, Database: "app"}
	t.Cleanup(g.Close)
	t.Cleanup(c.Close)
	return g, c
}

func TestOneConnectionForAllCommands(t *testing.T) {
	is := is.New(t)
	g, c := start(t, upstream.Options{Size: 2, Password: "p"})
	replica := g.Upstreams[1]
	never := tracker.Mark{Term: tracker.Term{Epoch: 9}}
	until := time.Now().Add(time.Hour)
	ctx, cancel := context.WithCancel(t.Context())
	var waits sync.WaitGroup
	for range 20 {
		waits.Go(func() {
			_, err := c.Wait(ctx, replica.Addr(), never, until)
			is.True(err != nil)
		})
	}
	term := tracker.Term{Epoch: 2}
	answer, err := c.Fence(t.Context(), replica.Addr(), term)
	is.NoErr(err)
	is.Equal(answer.Role, tracker.Fenced)
	_, err = c.Follow(t.Context(), replica.Addr(), term, g.Upstreams[0].Addr())
	is.NoErr(err)
	cancel()
	waits.Wait()
	_, err = c.State(t.Context(), replica.Addr())
	is.NoErr(err)
	is.Equal(replica.Counts().Opened, int64(1)) // a wait that is given up keeps it
}

func TestWaitsEndAtTheirOwnMarks(t *testing.T) {
	is := is.New(t)
	g, c := start(t, upstream.Options{Size: 2})
	const writes = 30
	var waits sync.WaitGroup
	for i := range writes {
		waits.Go(func() {
			mark := tracker.Mark{Term: tracker.Term{Epoch: 1, Seq: 1}, Pos: tracker.Position(i + 1)}
			answer, err := c.Wait(t.Context(), g.Upstreams[1].Addr(), mark, time.Now().Add(time.Hour))
			is.NoErr(err)
			is.True(answer.Confirms(mark))
		})
	}
	for range writes {
		_, err := c.Settle(t.Context(), g.Upstreams[0].Addr(), time.Now().String())
		is.NoErr(err)
	}
	waits.Wait()
}

func TestWaitEndsInTimeWithTheState(t *testing.T) {
	is := is.New(t)
	g, c := start(t, upstream.Options{Size: 2})
	far := tracker.Mark{Term: tracker.Term{Epoch: 9}}
	var patient sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	patient.Go(func() {
		_, err := c.Wait(ctx, g.Upstreams[1].Addr(), far, time.Now().Add(time.Hour))
		is.True(errors.Is(err, commander.ErrLost))
	})
	for _, until := range []time.Time{{}, time.Now().Add(time.Millisecond)} {
		answer, err := c.Wait(ctx, g.Upstreams[1].Addr(), far, until)
		is.NoErr(err)
		is.Equal(answer.Role, tracker.Replica)
		is.True(!answer.Confirms(far))
	}
	cancel()
	patient.Wait()
}

func TestFaults(t *testing.T) {
	term := tracker.Term{Epoch: 2}
	fence := func(ctx context.Context, c *commander.Commander, addr netip.AddrPort) error {
		_, err := c.Fence(ctx, addr, term)
		return err
	}
	settle := func(ctx context.Context, c *commander.Commander, addr netip.AddrPort) error {
		_, err := c.Settle(ctx, addr, "it's")
		return err
	}
	for _, f := range []struct {
		name  string
		warm  bool // a connection is open before the fault
		fault func(*upstream.Upstream)
		call  func(context.Context, *commander.Commander, netip.AddrPort) error
		want  error
	}{
		{"healthy", true, func(*upstream.Upstream) {}, fence, nil},
		{"crashed", false, (*upstream.Upstream).Crash, fence, commander.ErrUnreachable},
		{"crashed with an open connection", true, (*upstream.Upstream).Crash, fence, commander.ErrUnreachable},
		{"back with another connection", true, func(u *upstream.Upstream) { u.Crash(); u.Restore() }, fence, nil},
		{"frozen", false, (*upstream.Upstream).Freeze, fence, commander.ErrUnreachable},
		{"frozen with an open connection", true, (*upstream.Upstream).Freeze, fence, commander.ErrLost},
		{"cut off in silence", true, func(u *upstream.Upstream) { u.Cut(upstream.Cut{Silent: true}) }, fence, commander.ErrLost},
		{"settle on a primary", true, func(*upstream.Upstream) {}, settle, nil},
	} {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			g, c := start(t, upstream.Options{})
			u := g.Upstreams[0]
			if f.warm {
				_, err := c.State(t.Context(), u.Addr())
				is.NoErr(err)
			}
			f.fault(u)
			ctx := t.Context()
			if f.want != nil {
				// The answer never comes, so any deadline gives the same verdict.
				short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				defer cancel()
				ctx = short
			}
			err := f.call(ctx, c, u.Addr())
			is.True(errors.Is(err, f.want))
		})
	}
}

// Symptom: an upstream that was slow for a moment got the answer to an earlier
// command for a later one.
// Sequence: a fence times out while the upstream is frozen; it thaws and answers;
// the next command is sent on the same connection and reads that answer.
// Cause: a connection with an answer given up on must not be used again.
func TestLateAnswerIsNotTakenForAnother(t *testing.T) {
	is := is.New(t)
	g, c := start(t, upstream.Options{})
	u := g.Upstreams[0]
	before, err := c.State(t.Context(), u.Addr())
	is.NoErr(err)
	is.Equal(before.Role, tracker.Primary)
	u.Freeze()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Fence(ctx, u.Addr(), tracker.Term{Epoch: 2})
	is.True(errors.Is(err, commander.ErrLost))
	u.Thaw()
	settled, err := c.Settle(t.Context(), u.Addr(), "a")
	if err == nil {
		is.Equal(settled.Done, false) // the fence never arrived
	} else {
		is.True(errors.Is(err, commander.ErrNotPrimary)) // it did
	}
}

func TestForgottenUpstreamGetsANewConnection(t *testing.T) {
	is := is.New(t)
	g, c := start(t, upstream.Options{})
	addr := g.Upstreams[0].Addr()
	_, err := c.State(t.Context(), addr)
	is.NoErr(err)
	c.Forget(addr)
	_, err = c.State(t.Context(), addr)
	is.NoErr(err) // a new connection
	is.Equal(g.Upstreams[0].Counts().Opened, int64(2))
}
