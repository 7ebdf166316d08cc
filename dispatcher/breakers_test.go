package dispatcher

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/breaker"
	"basildale.example/basildale/controller"
	"basildale.example/basildale/relayer"
	"basildale.example/basildale/retrier"
)

var (
	lost = retrier.Outcome{Kind: retrier.Unknown, Cause: retrier.Lost}
	done = retrier.Outcome{Kind: retrier.Done}
)

// attempt routes a read, and has it end so if it went to the replica.
func (b *bench) attempt(is *is.I, o retrier.Outcome) relayer.Target {
	is.Helper()
	r := b.request(read, time.Second)
	target, refusal := b.Route(context.Background(), r)
	is.Equal(refusal, nil)
	if target.Address == replica {
		b.Observe(target, r, o)
	}
	b.Release(target, true)
	return target
}

// Symptom: reads go on failing at a dead replica, or never come back to it when
// it is well.
//
// Sequence: it loses five answers in a row, then the first probe, then it answers;
// the controller publishes views all the time.
//
// Cause: nobody counted the failures, or each view put the replica back.
func TestFailingReplicaIsBarredAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		var noted []string
		b.Control.Offer = func(ev controller.Event) bool {
			if d, ok := ev.(controller.Decided); ok {
				noted = append(noted, d.Decision.Action+": "+d.Decision.Reason)
			}
			return true
		}
		b.notes.Known = true
		for range breaker.DefaultInARow {
			is.Equal(b.attempt(is, lost).Address, replica)
		}
		b.publish()
		is.Equal(b.attempt(is, lost).Address, primary)
		time.Sleep(breaker.DefaultRecovery)
		synctest.Wait()
		b.publish()
		is.Equal(b.attempt(is, lost).Address, replica) // the probe
		is.Equal(b.attempt(is, lost).Address, primary)
		time.Sleep(breaker.DefaultRecovery)
		synctest.Wait()
		is.Equal(b.attempt(is, done).Address, primary) // twice as long now
		time.Sleep(breaker.DefaultRecovery)
		synctest.Wait()
		is.Equal(b.attempt(is, done).Address, replica)
		is.Equal(b.attempt(is, done).Address, replica)
		is.Equal(noted, []string{
			"open: failures in a row", "half-open: recovery time over", "open: probe failed",
			"half-open: recovery time over", "closed: probe answered",
		})
	})
}

// Symptom: a replica that was well for a second stays out for good. Sequence: the
// probe's caller goes away before the answer. Cause: the breaker waits for the
// report of a probe that nobody will make.
func TestProbeThatIsNeverReportedIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.notes.Known = true
		target := b.attempt(is, done)
		for range breaker.DefaultInARow {
			b.Unreached(target)
		}
		time.Sleep(breaker.DefaultRecovery)
		synctest.Wait()
		probe, _ := b.route(read, time.Second)
		is.Equal(probe.Address, replica)
		b.Release(probe, false)
		is.Equal(b.attempt(is, done).Address, primary)
		time.Sleep(breaker.DefaultProbe)
		synctest.Wait()
		is.Equal(b.attempt(is, done).Address, replica)
		state, reason := b.Breaker("g", replica)
		is.Equal(state, breaker.Closed)
		is.Equal(reason, breaker.ProbeOK)
	})
}

func TestForcedBreakers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		b.notes.Known = true
		_, err := b.Force(netip.MustParseAddrPort("10.0.0.9:5432"), breaker.ForcedOpen)
		is.True(errors.Is(err, ErrNoUpstream))
		state, err := b.Force(replica, breaker.ForcedOpen)
		is.NoErr(err)
		is.Equal(state, breaker.Open)
		b.publish()
		time.Sleep(time.Hour)
		b.publish()
		is.Equal(b.attempt(is, done).Address, primary)
		_, err = b.Force(replica, breaker.ForcedClosed)
		is.NoErr(err)
		for range 2 * breaker.DefaultInARow {
			is.Equal(b.attempt(is, lost).Address, replica)
		}
		_, err = b.Force(replica, breaker.NotForced)
		is.NoErr(err)
		for range breaker.DefaultInARow {
			is.Equal(b.attempt(is, lost).Address, replica)
		}
		is.Equal(b.attempt(is, lost).Address, primary)
	})
}

// Symptom: bookings wait for their deadlines although the primary is up. Sequence:
// it loses five answers. Cause: the primary barred by the breaker, while only the
// promoter may replace it.
func TestBreakerOfThePrimaryBarsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newBench(t)
		for range breaker.DefaultInARow {
			b.Unreached(relayer.Target{Group: "g", Address: primary})
		}
		state, _ := b.Breaker("g", primary)
		is.Equal(state, breaker.Open)
		snapshot := b.group("g").view.Load()
		is.True(!snapshot.load.Barred(0))
		_, err := b.Force(primary, breaker.ForcedOpen)
		is.NoErr(err)
		is.True(snapshot.load.Barred(0))
	})
}
