package forwarder

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/carrier"
)

// hedgingFleet is a fleet of two gateways that answer after 5 ms, unless they are cut off.
type hedgingFleet struct {
	*fleet
	on     bool
	cut    netip.AddrPort
	silent bool // the gateway that isn't cut off refuses
	calls  atomic.Int64
}

func newHedgingFleet() *hedgingFleet {
	f := &hedgingFleet{fleet: newFleet("home", "away"), on: true}
	f.Now = time.Now
	f.HedgesReads = func() bool { return f.on }
	f.Send = func(ctx context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
		f.calls.Add(1)
		if to == f.cut {
			<-ctx.Done()
			return nil, errLost
		}
		time.Sleep(5 * time.Millisecond)
		return json.Marshal(response{Refused: f.silent && f.cut.IsValid(), Answer: carrier.Answer{Signature: "s"}})
	}
	return f
}

// ask runs one statement and returns the answer's code and how long it took.
func (f *hedgingFleet) ask(writes bool) (carrier.Code, time.Duration) {
	f.lostPeers = nil // each statement is the first to a gateway that is cut off
	verb := carrier.Read
	if writes {
		verb = carrier.Write
	}
	runner, _ := f.Group("g")
	began := time.Now()
	a := runner.Run(&carrier.Job{Writes: writes, Arrived: began, Deadline: began.Add(800 * time.Millisecond)}, carrier.Command{Verb: verb, ID: "r"})
	return a.Code, time.Since(began)
}

// Guards against reads that wait for a gateway until their deadline because it was cut off a
// moment ago, against second offers without a bound, and against a write that is sent twice.
func TestReadIsOfferedToASecondGateway(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(f *hedgingFleet)
		writes  bool
		inTime  int // of 20 statements
		calls   int64
	}{
		{name: "on", inTime: 8, calls: 28},
		{name: "off", prepare: func(f *hedgingFleet) { f.on = false }, calls: 20},
		{name: "writes", writes: true, calls: 20},
		{name: "second refuses", prepare: func(f *hedgingFleet) { f.silent = true }, calls: 28},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newHedgingFleet()
				for range 300 {
					code, took := f.ask(test.writes)
					is.Equal(code, carrier.OK)
					is.Equal(took, 5*time.Millisecond)
				}
				f.calls.Store(0)
				f.cut = at(0)
				if test.prepare != nil {
					test.prepare(f)
				}
				inTime := 0
				for range 20 {
					code, took := f.ask(test.writes)
					if code == carrier.OK && took < 50*time.Millisecond {
						inTime++
					}
				}
				synctest.Wait()
				is.Equal(inTime, test.inTime)
				is.Equal(f.calls.Load(), test.calls)
			})
		})
	}
}

// Guards against a caller that gets the failure of the second gateway, whose upstreams may be
// lost or full, while the first would have answered, and against one that waits for a gateway
// that is cut off to hear of a mistake of its own. A read that may have run at the first gateway
// must not be refused as one of which nothing ran.
func TestOutcomeOfTwoOffers(t *testing.T) {
	for _, test := range []struct {
		name          string
		first, second response
		firstTakes    time.Duration // the call is lost where that is after its deadline
		code          carrier.Code
	}{
		{name: "second has no connection", second: response{Answer: carrier.Answer{Code: carrier.Overloaded}}, firstTakes: 100 * time.Millisecond},
		{name: "second lags", second: response{Answer: carrier.Answer{Code: carrier.Lagging}}, firstTakes: 100 * time.Millisecond},
		{name: "second fails", second: response{Answer: carrier.Answer{Code: carrier.Failed}}, firstTakes: 100 * time.Millisecond},
		{name: "first fails later", first: response{Answer: carrier.Answer{Code: carrier.Failed}}, firstTakes: 12 * time.Millisecond},
		{name: "both fail", first: response{Answer: carrier.Answer{Code: carrier.Failed}}, second: response{Answer: carrier.Answer{Code: carrier.Overloaded}}, firstTakes: 100 * time.Millisecond, code: carrier.Failed},
		{name: "lost, second refuses", second: response{Refused: true}, firstTakes: time.Hour, code: carrier.Timeout},
		{name: "lost, second has no room", second: response{Answer: carrier.Answer{Code: carrier.Busy}}, firstTakes: time.Hour, code: carrier.Timeout},
		{name: "mistake of the caller", second: response{Answer: carrier.Answer{Code: carrier.Forbidden}}, firstTakes: time.Hour, code: carrier.Forbidden},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newHedgingFleet()
				for range 100 {
					f.ask(false)
				}
				f.answerAs(test.first, test.second, test.firstTakes)
				code, took := f.ask(false)
				is.Equal(code, test.code)
				is.True(took <= 100*time.Millisecond || code == carrier.Timeout)
				time.Sleep(time.Second) // until the slower call has ended
			})
		})
	}
}

// answerAs has the first gateway answer after a time, or not before the deadline, and the second
// one after 10 ms.
func (f *hedgingFleet) answerAs(first, second response, firstTakes time.Duration) {
	f.Send = func(ctx context.Context, to netip.AddrPort, _ json.RawMessage) (json.RawMessage, error) {
		f.calls.Add(1)
		out, takes := second, 10*time.Millisecond
		if to == at(0) {
			out, takes = first, firstTakes
		}
		select {
		case <-ctx.Done():
			return nil, errLost
		case <-time.After(takes):
			return json.Marshal(out)
		}
	}
}

// Guards against a read that takes a place at a second gateway after its caller has gone, whether
// it was offered there before or after that.
func TestGoneCallerEndsSecondOffer(t *testing.T) {
	for _, test := range []struct {
		name            string
		goneAfter       time.Duration
		calls, canceled int64 // a call to the first gateway is canceled as well
	}{
		{name: "before the second offer", goneAfter: 3 * time.Millisecond, calls: 1, canceled: 1},
		{name: "after it", goneAfter: 20 * time.Millisecond, calls: 2, canceled: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newHedgingFleet()
				f.CancelsWaiting = func() bool { return true }
				for range 100 {
					f.ask(false)
				}
				f.calls.Store(0)
				var canceled atomic.Int64
				f.Send = func(ctx context.Context, _ netip.AddrPort, payload json.RawMessage) (json.RawMessage, error) {
					var r request
					is.NoErr(json.Unmarshal(payload, &r))
					if r.Action == cancelOne {
						canceled.Add(1)
						return json.Marshal(response{})
					}
					f.calls.Add(1)
					<-ctx.Done()
					return nil, errLost
				}
				gone := make(chan struct{})
				time.AfterFunc(test.goneAfter, func() { close(gone) })
				runner, _ := f.Group("g")
				runner.Run(&carrier.Job{Arrived: time.Now(), Deadline: time.Now().Add(800 * time.Millisecond), CallerGone: gone}, carrier.Command{Verb: carrier.Read, ID: "r"})
				is.Equal(f.calls.Load(), test.calls)
				is.Equal(canceled.Load(), test.canceled)
			})
		})
	}
}
