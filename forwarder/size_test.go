package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
)

// Guards against statements that are in doubt, or wait until their deadline, because something
// is too large to be sent, and against peers that are skipped for it.
func TestTooLargeToForwardIsRefusedAtOnce(t *testing.T) {
	unsent := errors.Mark(errors.Mark(errLost, ErrTooLarge), ErrUnsent)
	ran := errors.Mark(errLost, ErrAnswerTooLarge)
	for _, test := range []struct {
		name   string
		err    error
		writes bool
		code   carrier.Code
	}{
		{"read", unsent, false, carrier.TooLarge},
		{"write", unsent, true, carrier.TooLarge},
		{"answer to read", ran, false, carrier.TooLarge},
		{"answer to write", ran, true, carrier.InDoubt},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet("away", "home")
				f.sendErrors[at(0)], f.sendErrors[at(1)] = test.err, test.err
				began := time.Now()
				is.Equal(f.run(test.writes).Code, test.code)
				is.Equal(f.called, []netip.AddrPort{at(1)})
				is.Equal(time.Since(began), time.Duration(0))
				clear(f.sendErrors)
				is.Equal(f.run(test.writes).Code, carrier.OK)
				is.Equal(f.called, []netip.AddrPort{at(1), at(1)}) // it isn't skipped
			})
		})
	}
}

// Guards against a transaction that stays open at a peer because an answer was too large.
func TestTransactionWithTooLargeAnswerIsRolledBack(t *testing.T) {
	for _, test := range []struct {
		name string
		fail action
	}{{"first statement", startTx}, {"next statement", doTx}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet("home")
			rolledBack := make(chan uint64, 1)
			f.Send = func(_ context.Context, _ netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
				var r request
				is.NoErr(json.Unmarshal(payload, &r))
				switch r.Action {
				case test.fail:
					return nil, errors.Mark(errLost, ErrAnswerTooLarge)
				case rollbackTx:
					rolledBack <- r.Stream
				}
				return json.Marshal(response{})
			}
			runner, _ := f.Group("g")
			j := &carrier.Job{Arrived: f.now, Deadline: time.Now().Add(time.Second)}
			tx, answer := runner.Start(j, false, carrier.Command{Verb: carrier.Read})
			if tx != nil {
				answer = tx.Do(j, carrier.Command{Verb: carrier.Read})
				tx.Rollback()
			}
			is.Equal(answer.Code, carrier.TooLarge)
			is.Equal(<-rolledBack, uint64(1))
		})
	}
}

// Guards against a peer that is skipped, or a write in doubt, because of a request that the peer
// cannot decode.
func TestRequestThatIsNotUnderstoodHasNotRun(t *testing.T) {
	is := is.New(t)
	f := newFleet("away", "home")
	_, err := f.Serve(context.Background(), "p", json.RawMessage(`{"command":{"Text":{"c":""}}}`))
	is.True(errors.Is(err, ErrRequest))
	f.sendErrors[at(1)] = errors.Mark(errors.Mark(errLost, ErrRequest), ErrUnsent)
	is.Equal(f.run(true).Code, carrier.OK)
	is.Equal(f.called, []netip.AddrPort{at(1), at(0)})
	is.Equal(len(f.lostPeers), 0)
}
