package messenger

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/internal/faker/network"
)

func echo(_ context.Context, _ Peer, q ExplainQuery) (Explanation, error) {
	return Explanation{Payload: []byte(`"` + q.Subject + `"`)}, nil
}

func TestCallsShareOneConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{Explain: echo})
		b := join(t, &n, 2, Handler{Explain: echo})
		ctx, cancel := within(time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for _, subject := range strings.Fields("a b c d e f g h") {
			wg.Go(func() {
				got, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: subject})
				is.NoErr(err)
				is.Equal(string(got.Payload), `"`+subject+`"`) // each its own answer
			})
		}
		wg.Wait()
		_, err := b.Explain(ctx, testAddr(1), ExplainQuery{Subject: "back"})
		is.NoErr(err)
		is.Equal(n.Dials(), 1) // both directions on the one that a opened
		synctest.Wait()
		out := metrics.GetOrRegisterCounter("messenger.explain.out", a.Metrics).Count()
		in := metrics.GetOrRegisterCounter("messenger.explain.in", b.Metrics).Count()
		is.True(out > 0)
		is.Equal(out, in) // what a counts as sent, b counts as received
		time.Sleep(2 * DefaultIdleTimeout)
		is.Equal(a.Links()+b.Links(), 0) // closed when idle
		_, err = b.Explain(context.Background(), testAddr(1), ExplainQuery{Subject: "again"})
		is.NoErr(err)
		is.Equal(n.Dials(), 2) // and opened again on demand
	})
}

func TestBothDialAtOnce(t *testing.T) {
	// Symptom: calls between two peers fail with a closed connection.
	// Sequence: both dial each other at the same moment; each closes the
	// connection that it likes less.
	// Cause: the two sides choose differently.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{Explain: echo})
		b := join(t, &n, 2, Handler{Explain: echo})
		ctx, cancel := within(time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				_, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"})
				is.NoErr(err)
			})
			wg.Go(func() {
				_, err := b.Explain(ctx, testAddr(1), ExplainQuery{Subject: "y"})
				is.NoErr(err)
			})
		}
		wg.Wait()
		for range 2 * DefaultIdleTimeout / time.Second {
			_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: "x"})
			is.NoErr(err)
			_, err = b.Explain(context.Background(), testAddr(1), ExplainQuery{Subject: "y"})
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		is.Equal(a.Links(), 1)
		is.Equal(b.Links(), 1)
	})
}

func TestLateAnswerReachesNobody(t *testing.T) {
	// Symptom: a request gets the answer of an earlier one.
	// Sequence: a request runs into its deadline; its answer comes while the
	// next one waits.
	// Cause: ids are used twice, or the answer is handed to whoever waits.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		slow := func(ctx context.Context, p Peer, q ExplainQuery) (Explanation, error) {
			if q.Subject == "slow" {
				time.Sleep(1500 * time.Millisecond)
			}
			return echo(ctx, p, q)
		}
		b := join(t, &n, 2, Handler{Explain: slow})
		b.CallTimeout = time.Hour
		ping := func(d time.Duration, subject string) (Explanation, error) {
			ctx, cancel := within(d)
			defer cancel()
			return a.Explain(ctx, testAddr(2), ExplainQuery{Subject: subject})
		}
		late := make(chan error)
		go func() {
			_, err := ping(time.Second, "slow")
			late <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := ping(time.Second, "quick") // shows that the link isn't silent
		is.NoErr(err)
		is.True(errors.Is(<-late, ErrDeadline))
		for range 10 {
			got, err := ping(time.Second, "next")
			is.NoErr(err)
			is.Equal(string(got.Payload), `"next"`)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(n.Dials(), 1)
	})
}

func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		release := make(chan struct{})
		a := join(t, &n, 1, Handler{})
		a.MaxInFlight, a.MaxMessage = 2, 2000
		b := join(t, &n, 2, Handler{Explain: func(ctx context.Context, p Peer, q ExplainQuery) (Explanation, error) {
			if q.Subject == "hold" {
				<-release
			}
			return echo(ctx, p, q)
		}})
		b.MaxInFlight, b.MaxMessage = 1, 1000
		call := func(subject string) error {
			_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: subject})
			return err
		}
		held := make(chan error)
		go func() { held <- call("hold") }()
		synctest.Wait()
		is.True(errors.Is(call("more"), ErrBusy)) // b serves one at a time
		go func() { held <- call("hold") }()
		synctest.Wait()
		is.True(errors.Is(<-held, ErrBusy))
		close(release)
		is.NoErr(<-held)
		is.True(errors.Is(call(strings.Repeat("x", 3000)), ErrSize))   // refused here
		is.True(errors.Is(call(strings.Repeat("x", 1500)), ErrClosed)) // b closes
		is.NoErr(call("small"))                                        // on a new connection
	})
}

func TestSilentPeer(t *testing.T) {
	// Symptom: every call to a peer runs into its deadline for many minutes.
	// Sequence: the peer's host vanishes without closing its connections; a new
	// process starts at the same address.
	// Cause: the old connection is kept although nothing comes in on it.
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		stuck := join(t, &n, 2, Handler{Explain: func(ctx context.Context, _ Peer, _ ExplainQuery) (Explanation, error) {
			<-ctx.Done()
			return Explanation{}, ctx.Err()
		}})
		ctx, cancel := within(time.Second)
		defer cancel()
		_, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"})
		is.True(errors.Is(err, ErrDeadline))
		stuck.Close()
		run(t, &n, &Messenger{Self: Peer{Addr: testAddr(2), Start: 2}, Keys: a.Keys, Handler: Handler{Explain: echo}, Dial: n.Dial})
		_, err = a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: "x"})
		is.NoErr(err)
	})
}

func TestMarksTravel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		kept := make(chan Marks, 1)
		join(t, &n, 2, Handler{
			Marks: func(_ context.Context, _ Peer, q Marks) (Empty, error) {
				kept <- q
				return Empty{}, nil
			},
		})
		a := join(t, &n, 1, Handler{})
		want := Marks{Payload: json.RawMessage(`[{"put":{"mark":"3.1/1042"}}]`)}
		_, err := a.Marks(context.Background(), testAddr(2), want)
		is.NoErr(err)
		is.Equal(<-kept, want)
	})
}

// cut is a connection on which nothing arrives any more once it is cut.
type cut struct {
	net.Conn
	off   *atomic.Bool
	ended chan struct{}
	once  sync.Once
}

func (c *cut) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.off.Load() {
		<-c.ended
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cut) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Symptom: for seconds after a partition each statement that a peer carries takes
// its whole time and fails. Sequence: the peer is cut off, so that its answers get
// lost, while the connection stays open. Cause: nothing but the request's own
// deadline ends the wait.
func TestPeerThatIsCutOffIsNoticedBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		var off atomic.Bool
		a := join(t, &n, 1, Handler{})
		a.Silence = 200 * time.Millisecond
		a.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			conn, err := n.Dial(ctx, to)
			return &cut{Conn: conn, off: &off, ended: make(chan struct{})}, err
		}
		join(t, &n, 2, Handler{Explain: echo})
		ctx, cancel := within(time.Minute)
		defer cancel()
		_, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"})
		is.NoErr(err)
		off.Store(true)
		began := time.Now()
		_, err = a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"})
		is.True(errors.Is(err, ErrClosed))
		is.True(!errors.Is(err, ErrUnsent)) // it may have run
		is.Equal(time.Since(began), 2*a.Silence)
	})
}

// A peer that works on a long request and answers pings isn't given up.
func TestPeerThatIsSlowIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		a.Silence = 200 * time.Millisecond
		join(t, &n, 2, Handler{Explain: func(ctx context.Context, p Peer, q ExplainQuery) (Explanation, error) {
			time.Sleep(3 * time.Second)
			return echo(ctx, p, q)
		}})
		ctx, cancel := within(time.Minute)
		defer cancel()
		got, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"})
		is.NoErr(err)
		is.Equal(string(got.Payload), `"x"`)
	})
}

// Symptom: a write is told to be in doubt that nobody has heard of. Sequence: the
// peer that was to carry it can't be reached. Cause: the error of opening a
// connection looks like that of a lost answer.
func TestRequestThatWasNeverSentIsMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		ctx, cancel := within(time.Second)
		defer cancel()
		_, err := a.Explain(ctx, testAddr(2), ExplainQuery{Subject: "x"}) // nobody listens
		is.True(errors.Is(err, ErrUnsent))
	})
}

// Guards against an answer above the size limit that looks like a request that has not run.
func TestAnswerTooLargeIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		b := join(t, &n, 2, Handler{Explain: func(context.Context, Peer, ExplainQuery) (Explanation, error) {
			return Explanation{Payload: []byte(`"` + strings.Repeat("x", 2000) + `"`)}, nil
		}, Cancel: func(context.Context, Peer, CancelForward) (Empty, error) { return Empty{}, nil }})
		b.MaxMessage = 1000
		_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{})
		is.True(errors.Is(err, ErrAnswer))
		is.True(!errors.Is(err, ErrSize))
		_, err = a.Cancel(context.Background(), testAddr(2), CancelForward{})
		is.NoErr(err)
		is.Equal(n.Dials(), 1) // the link goes on
	})
}

// Guards against statements and rows that callers may send and that don't pass between peers.
func TestLargeMessagesPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		a := join(t, &n, 1, Handler{})
		b := join(t, &n, 2, Handler{Explain: echo})
		a.MaxMessage, b.MaxMessage = 4<<20, 4<<20
		subject := strings.Repeat("x", 3<<20)
		for range 2 {
			got, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: subject})
			is.NoErr(err)
			is.Equal(len(got.Payload), len(subject)+2)
		}
		_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: subject + subject})
		is.True(errors.Is(err, ErrSize))
		is.Equal(n.Dials(), 1)
	})
}

// Guards against a large message that ends the link to a peer of an earlier build, with all other
// requests on it.
func TestLargeMessageIsNotSentToPeerThatDoesNotReadIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		large := strings.Repeat("x", 2<<20)
		answer := func(context.Context, Peer, ExplainQuery) (Explanation, error) {
			return Explanation{Payload: []byte(`"` + large + `"`)}, nil
		}
		a := join(t, &n, 1, Handler{Explain: answer})
		b := join(t, &n, 2, Handler{Explain: answer})
		a.MaxMessage = 4 << 20
		_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: large})
		is.True(errors.Is(err, ErrSize))
		_, err = b.Explain(context.Background(), testAddr(1), ExplainQuery{})
		is.True(errors.Is(err, ErrAnswer))
		is.Equal(n.Dials(), 1)
	})
}

// Guards against memory without a bound: each large request is held while it is served.
func TestLargeRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n network.Network
		release := make(chan struct{})
		a := join(t, &n, 1, Handler{})
		b := join(t, &n, 2, Handler{Explain: func(_ context.Context, _ Peer, q ExplainQuery) (Explanation, error) {
			if len(q.Subject) > DefaultMaxMessage {
				<-release
			}
			return Explanation{Payload: []byte(`"done"`)}, nil
		}})
		a.MaxMessage, b.MaxMessage, b.MaxLarge = 4<<20, 4<<20, 1
		call := func(size int) error {
			_, err := a.Explain(context.Background(), testAddr(2), ExplainQuery{Subject: strings.Repeat("x", size)})
			return err
		}
		held := make(chan error)
		go func() { held <- call(2 << 20) }()
		synctest.Wait()
		is.True(errors.Is(call(2<<20), ErrLarge))
		is.NoErr(call(10)) // small ones pass
		close(release)
		is.NoErr(<-held)
		is.NoErr(call(2 << 20))
	})
}
