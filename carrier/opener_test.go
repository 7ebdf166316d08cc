package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedUpstream is an opener with a fake clock and a count of its permits.
type pacedUpstream struct {
	opener
	clock     time.Time
	permits   int
	scheduled []func()
}

func newPacedUpstream() *pacedUpstream {
	p := &pacedUpstream{clock: time.Unix(1000, 0)}
	p.now = func() time.Time { return p.clock }
	p.after = func(_ time.Duration, f func()) { p.scheduled = append(p.scheduled, f) }
	p.permit = func() bool { p.permits++; return true }
	return p
}

func (p *pacedUpstream) advance(d time.Duration) {
	p.clock = p.clock.Add(d)
	due := p.scheduled
	p.scheduled = nil
	for _, f := range due {
		f()
	}
}

// Guards against a new leader that is ejected and restored by turns for seconds after a
// change of leader. All statements of a group move to the new leader, and each process
// opens all its connections there at once. The handshakes fill the upstream's slots and its
// queue of new connections, so that opening one times out.
func TestConnectionsAreOpenedAFewAtATime(t *testing.T) {
	is := is.New(t)
	p := newPacedUpstream()
	for range 8 {
		p.request()
	}
	is.Equal(p.permits, maxConcurrentOpenings)
	p.recordEnd(false)
	is.Equal(p.permits, maxConcurrentOpenings+1)
}

// Guards against thousands of refused connections, each of which costs an attempt, after a
// power failure of the whole fleet. The connections of the processes that lost power still
// count, and each statement requests another one. A refusal must delay the next attempt,
// not only lower the pool's limit.
func TestRefusalDelaysNextAttempt(t *testing.T) {
	is := is.New(t)
	p := newPacedUpstream()
	p.request()
	p.recordEnd(true)
	for range 50 {
		p.request()
	}
	is.Equal(p.permits, 1)
	is.True(p.isBlocked())
	p.advance(minRefusalDelay)
	is.Equal(p.permits, 1+maxConcurrentOpenings)
	p.recordEnd(true)
	p.recordEnd(true)
	p.advance(minRefusalDelay)
	is.Equal(p.permits, 1+maxConcurrentOpenings) // the delay grows each time
	p.advance(maxRefusalDelay)
	is.Equal(p.permits, 1+2*maxConcurrentOpenings)
	p.recordEnd(false)
	is.True(!p.isBlocked())
}

// Guards against a state in which no connection is ever opened again: those that waited for
// a connection have been given another one meanwhile, so that the permits are not used.
// Unused permits must not count as openings in progress.
func TestUnusedPermitsAreReleased(t *testing.T) {
	is := is.New(t)
	p := newPacedUpstream()
	needed := false
	p.permit = func() bool { p.permits++; return needed }
	for range 5 {
		p.request()
	}
	is.Equal(p.permits, 5)
	needed = true
	p.request()
	is.Equal(p.permits, 6)
}
