package keeper

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// Delays between calls that fail: the first, and the longest. Each is drawn
// from half to one and a half of these, so that a fleet that lost the platform
// at one moment doesn't come back to it at one moment.
const (
	firstDelay = 100 * time.Millisecond
	lastDelay  = 5 * time.Second
)

// NewBackoff returns the jittered delays with which calls to the platform are
// repeated. It is not safe for use by several goroutines.
func NewBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     firstDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         lastDelay,
	}
}

// Retry repeats call until it succeeds, fails otherwise than by ErrDown, or the
// context ends. It never repeats a change that may have taken effect.
func Retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := call()
		last = err
		if err != nil && !errors.Is(err, ErrDown) {
			return v, backoff.Permanent(err)
		}
		return v, err
	}, backoff.WithBackOff(NewBackoff()), backoff.WithMaxElapsedTime(0))
	if err != nil && last != nil {
		return v, last // says more than that the context has ended
	}
	return v, err
}

// Follow watches a kind from version after until the context ends, and hands
// what comes to tell: a page, which may be empty, or the error of a call, after
// which it waits before the next. It returns the context's error.
func (c *Client) Follow(ctx context.Context, kind string, after uint64, wait time.Duration, tell func(Page, error)) error {
	delays := NewBackoff()
	for ctx.Err() == nil {
		p, err := c.Watch(ctx, kind, after, wait)
		if ctx.Err() != nil {
			break
		}
		tell(p, err)
		if err == nil {
			delays.Reset()
			after = max(after, p.Version)
			continue
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}
