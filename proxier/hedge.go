package proxier

import (
	"context"
	"time"
)

// tries bounds how many calls one hedged call makes.
const tries = 3

// hedged makes a call, and makes it again beside the first when that has no answer
// after a while, and once more after twice as long. The first answer counts. A call
// that was sent while the store answered nobody is lost, and one that is given up
// for another would start over at a store that is only slow. An error ends it at
// once: whoever calls waits before the next one.
func hedged[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel() // also of the calls that aren't needed any more
	type outcome struct {
		value T
		err   error
	}
	answers := make(chan outcome, tries)
	start := func() {
		value, err := call(ctx)
		answers <- outcome{value, err}
	}
	go start()
	wait := firstTimeout
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for made := 1; ; {
		select {
		case o := <-answers:
			return o.value, o.err
		case <-timer.C:
		}
		if made < tries {
			made++
			go start()
			wait *= 2
			timer.Reset(wait)
		}
	}
}
