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
