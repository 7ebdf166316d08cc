package retrier

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of the pauses between attempts.
const (
	DefaultFirstPause  = 10 * time.Millisecond
	DefaultLongestWait = 500 * time.Millisecond
)

const pauseMultiplier = 2

// Pause computes the waits between attempts: they double from First to Longest,
// and each is drawn from its upper half. Zero fields take the defaults.
type Pause struct {
	First   time.Duration
	Longest time.Duration
}

// After returns the wait before attempt n+1, n counted from zero. The same seed
// and n give the same wait.
//
// The intervals are those of the library; its randomisation is off, because it
// draws from a global source, and replaced by a draw from the seed.
func (p Pause) After(n int, seed uint64) time.Duration {
	if p.First == 0 {
		p.First = DefaultFirstPause
	}
	if p.Longest == 0 {
		p.Longest = DefaultLongestWait
	}
	steps := backoff.ExponentialBackOff{
		InitialInterval: p.First,
		Multiplier:      pauseMultiplier,
		MaxInterval:     p.Longest,
	}
	wait := steps.NextBackOff()
	for range n {
		wait = steps.NextBackOff()
	}
	half := wait / 2
	return half + time.Duration(mix(seed, uint64(n))%uint64(half+1))
}

// mix returns the n-th number of the splitmix64 sequence of seed.
func mix(seed, n uint64) uint64 {
	x := seed + (n+1)*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
