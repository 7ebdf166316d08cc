package enroller

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"basildale.example/basildale/marker"
)

const (
	// pause is the least time between two looks at the roster.
	pause = 200 * time.Millisecond
	// spread is the time over which the proxies spread the removal of a run, so
	// that one of them does it and the others see it done.
	spread = time.Second
)

// Enroller keeps the roster. Set the exported fields before Run.
type Enroller struct {
	// Self is this run.
	Self marker.Run
	// Watch returns the roster and its version as soon as that is above after, or
	// as it is after some seconds. A roster that isn't there is empty at version
	// 0. It must not return an older one than it has before.
	Watch func(ctx context.Context, after uint64) (marker.Roster, uint64, error)
	// Put changes the roster if its version is still match, and returns the new
	// version. After an error the roster is read again, whatever the error says.
	Put func(ctx context.Context, r marker.Roster, match uint64) (uint64, error)
	// Listed returns the addresses of the proxies that the platform lists, leaving
	// ones too, and false if the list isn't known at present.
	Listed func() ([]netip.AddrPort, bool)
	// View takes each version of the roster that has this run in it.
	View func(version uint64, members []string)
	// Struck is called when this run was in the roster and is no more, though it
	// has not left; nil means nobody wants to know. It does not come back under
	// the same name: what others concluded from its end holds. The process has to
	// be started again to serve writes of named sessions.
	Struck func()

	absence  absence
	enrolled bool // has been seen in the roster
	struck   bool
}

// Run keeps the roster until ctx ends or this run is struck from it.
func (e *Enroller) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	var version uint64
	for ctx.Err() == nil && !e.struck {
		next, err := e.round(ctx, version)
		if err != nil {
			sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
		version = next
		sleep(ctx, pause)
	}
}

// round looks at the roster once and changes it if need be. It returns the
// version that has been seen.
func (e *Enroller) round(ctx context.Context, after uint64) (uint64, error) {
	r, version, err := e.Watch(ctx, after)
	if err != nil {
		return after, err
	}
	enrolled := slices.Contains(r.Runs, e.Self)
	if e.enrolled && !enrolled {
		e.strike()
		return version, nil
	}
	e.tell(&r, version)
	next, changed := r.Next(e.Self, e.ended(&r))
	if !changed || enrolled && !e.first(ctx, version) {
		return version, nil
	}
	written, err := e.Put(ctx, next, version)
	if err != nil {
		return after, err
	}
	e.tell(&next, written)
	return written, nil
}

// tell passes a version on that has this run in it.
func (e *Enroller) tell(r *marker.Roster, version uint64) {
	if slices.Contains(r.Runs, e.Self) {
		e.enrolled = true
		e.View(version, r.Names())
	}
}

func (e *Enroller) strike() {
	e.struck = true
	if e.Struck != nil {
		e.Struck()
	}
}

func (e *Enroller) ended(r *marker.Roster) []netip.AddrPort {
	listed, ok := e.Listed()
	if !ok {
		return nil
	}
	return e.absence.ended(r.Runs, listed, time.Now())
}

// first waits a random time and reports whether the roster is still as it was:
// no other proxy has done the same change.
func (e *Enroller) first(ctx context.Context, version uint64) bool {
	sleep(ctx, rand.N(spread))
	_, now, err := e.Watch(ctx, 0)
	return err == nil && now == version
}

// Leave takes this run out of the roster. It is to be called when nothing is in
// hand any more, and Run has returned. Without it the others take the run out
// when the platform no longer lists it.
func (e *Enroller) Leave(ctx context.Context) error {
	_, err := backoff.Retry(ctx, func() (uint64, error) {
		r, version, err := e.Watch(ctx, 0)
		if err != nil {
			return 0, err
		}
		i := slices.Index(r.Runs, e.Self)
		if i < 0 {
			return version, nil
		}
		r.Runs = slices.Delete(slices.Clone(r.Runs), i, i+1)
		return e.Put(ctx, r, version)
	})
	return errors.Wrap(err, "enroller: leave")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
