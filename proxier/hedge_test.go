package proxier

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errUnavailable = errors.New("store unavailable")

// runHedged makes a hedged call whose attempts take the given times. It returns the attempt
// that answered, the time that took, and the number of attempts.
func runHedged(t *testing.T, durations ...time.Duration) (answered int, took time.Duration, made int, err error) {
	t.Helper()
	var calls atomic.Int64
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		answered, err = hedged(t.Context(), func(ctx context.Context) (int, error) {
			n := int(calls.Add(1)) - 1
			select {
			case <-time.After(durations[n]):
				return n, nil
			case <-ctx.Done():
				return n, ctx.Err()
			}
		})
		took = time.Since(began)
		synctest.Wait()
	})
	return answered, took, int(calls.Load()), err
}

// Guards against processes that lost power while the store answered nobody, and accept callers
// most of a second later than the store is back. The first call is lost, and the kernel
// retries its connection only after a second; without a hedged call nothing else is tried
// until the call times out.
func TestLostCallIsRepeated(t *testing.T) {
	is := is.New(t)
	answered, took, made, err := runHedged(t, time.Minute, 5*time.Millisecond)
	is.NoErr(err)
	is.Equal(answered, 1)
	is.Equal(took, hedgeDelay+5*time.Millisecond)
	is.Equal(made, 2)
}

// Guards against calls that fill the store's link after a loss of power everywhere: each answer
// takes more than a second to arrive, and repeated calls would triple what the link carries.
func TestCallWhoseAnswerArrivesIsNotRepeated(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		_, err := hedged(t.Context(), func(ctx context.Context) (int, error) {
			calls++
			time.Sleep(hedgeDelay / 2)
			httptrace.ContextClientTrace(ctx).GotFirstResponseByte()
			time.Sleep(4 * hedgeDelay)
			return 0, nil
		})
		is.NoErr(err)
		is.Equal(calls, 1)
	})
}

// Guards against processes that start while the store is slow and have neither configuration
// nor peers for seconds. Each call takes half a second, so a call that is canceled in favor
// of a new one starts over each time.
func TestSlowCallIsNotAbandoned(t *testing.T) {
	is := is.New(t)
	answered, took, made, err := runHedged(t, 500*time.Millisecond, 500*time.Millisecond, time.Minute)
	is.NoErr(err)
	is.Equal(answered, 0)
	is.Equal(took, 500*time.Millisecond)
	is.Equal(made, 2)
	_, took, made, err = runHedged(t, time.Hour, time.Hour, time.Hour)
	is.True(err != nil)
	is.Equal(took, callTimeout)
	is.Equal(made, maxHedgedCalls)
}

// Guards against an immediate retry of a call that the store refuses.
func TestRefusedCallIsNotRepeated(t *testing.T) {
	is := is.New(t)
	made := 0
	_, err := hedged(t.Context(), func(context.Context) (int, error) { made++; return 0, errUnavailable })
	is.Equal(err, errUnavailable)
	is.Equal(made, 1)
}
