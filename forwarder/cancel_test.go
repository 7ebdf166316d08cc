package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
)

// newPeerWithoutLeader returns a peer that is a gateway of a group without upstreams: its
// statements wait there.
func newPeerWithoutLeader(cancels bool) *Forwarder {
	c := &carrier.Registry{Now: time.Now, Log: zap.NewNop(), ConnectionShares: func(map[string]int, int) map[string]int { return map[string]int{"g": 1} }}
	c.DivideConnections(1, []cataloger.GroupSettings{{Name: "g", MaxConnections: 40}})
	return &Forwarder{Local: c.Group, Now: time.Now, Log: zap.NewNop(), CancelsWaiting: func() bool { return cancels }}
}

// Guards against a statement that keeps its place at a peer after its caller has gone: the
// cancellation reaches the job there, once, and nothing is kept of it afterwards.
func TestCancelReachesServedStatement(t *testing.T) {
	is := is.New(t)
	f := newPeerWithoutLeader(true)
	k := transactionKey{"p", 7}
	j := &carrier.Job{}
	end := f.watchCaller(context.Background(), k, j)
	cancel, err := json.Marshal(request{Action: cancelOne, Group: "g", Stream: 7})
	is.NoErr(err)
	_, err = f.Serve(context.Background(), "p", cancel)
	is.NoErr(err)
	<-j.CallerGone
	end()
	is.Equal(len(f.served.open), 0)
	is.True(f.serve(context.Background(), "p", &request{Action: cancelOne, Stream: 7}).Refused) // ended before
	is.True(f.serve(context.Background(), "q", &request{Action: cancelOne, Stream: 7}).Refused) // of another peer
	ctx, lost := context.WithCancel(context.Background())
	defer f.watchCaller(ctx, k, j)()
	lost()
	<-j.CallerGone
}

// Where the feature is off nothing of a job changes.
func TestNoCancelWithoutFeature(t *testing.T) {
	is := is.New(t)
	f := newPeerWithoutLeader(false)
	j := &carrier.Job{}
	f.watchCaller(context.Background(), transactionKey{"p", 7}, j)()
	is.True(j.CallerGone == nil)
	is.Equal(len(f.served.open), 0)
}

// Guards against a sender that doesn't tell the peer of its caller's end, or gives up the
// answer, so that a write that ran would count as in doubt.
func TestSenderCancelsAndAwaitsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet("away")
		f.CancelsWaiting = func() bool { return true }
		canceled := make(chan uint64, 1)
		f.Send = func(_ context.Context, _ netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
			var r request
			if err := json.Unmarshal(payload, &r); err != nil {
				return nil, err
			}
			if r.Action == cancelOne {
				canceled <- r.Stream
				return json.Marshal(response{})
			}
			is.Equal(<-canceled, r.Stream)
			return json.Marshal(response{Answer: carrier.Answer{Signature: "s"}})
		}
		gone := make(chan struct{})
		close(gone)
		runner, _ := f.Group("g")
		a := runner.Run(&carrier.Job{Writes: true, Arrived: f.now, Deadline: time.Now().Add(time.Second), CallerGone: gone}, carrier.Command{Verb: carrier.Write, ID: "r"})
		is.Equal(a.Code, carrier.OK)
	})
}
