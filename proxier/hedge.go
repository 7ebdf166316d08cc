package proxier

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// maxHedgedCalls bounds how many calls one hedged call makes.
const maxHedgedCalls = 3

// hedged makes a call, repeats it in parallel if there is no answer after hedgeDelay, and once
// more after twice that time. The first answer wins. A call sent while the store answers
// nobody is lost, so it has to be repeated; a call that is canceled in favor of a new one
// would start over at a store that is merely slow, so the earlier calls stay open. An error
// ends the hedged call at once: the caller backs off before it retries. A call whose answer
// has begun to arrive is not repeated: the store answers, and more calls would only make a full
// link slower.
func hedged[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel() // also ends the calls that are no longer needed
	var answering atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { answering.Store(true) }})
	type outcome struct {
		value T
		err   error
	}
	answers := make(chan outcome, maxHedgedCalls)
	start := func() {
		value, err := call(ctx)
		answers <- outcome{value, err}
	}
	go start()
	delay := hedgeDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for calls := 1; ; {
		select {
		case o := <-answers:
			return o.value, o.err
		case <-timer.C:
		}
		if calls < maxHedgedCalls && !answering.Load() {
			calls++
			go start()
			delay *= 2
			timer.Reset(delay)
		}
	}
}
