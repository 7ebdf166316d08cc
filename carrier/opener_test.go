package carrier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pacedUpstream is an opener with a clock of its own and a count of what it permitted.
type pacedUpstream struct {
	opener
	at      time.Time
	permits int
	later   []func()
}

func paced() *pacedUpstream {
	p := &pacedUpstream{at: time.Unix(1000, 0)}
	p.now = func() time.Time { return p.at }
	p.after = func(_ time.Duration, f func()) { p.later = append(p.later, f) }
	p.permit = func() bool { p.permits++; return true }
	return p
}

func (p *pacedUpstream) pass(d time.Duration) {
	p.at = p.at.Add(d)
	due := p.later
	p.later = nil
	for _, f := range due {
		f()
	}
}

// Symptom: for seconds after a change of leader the new one is barred and freed by
// turns. Sequence: all statements of a group
// move to the new leader, and each process opens all its connections there at
// once. Cause: handshakes fill the upstream's slots and its queue of new
// connections, so that opening one times out.
func TestConnectionsAreOpenedAFewAtATime(t *testing.T) {
	is := is.New(t)
	p := paced()
	for range 8 {
		p.want()
	}
	is.Equal(p.permits, openings)
	p.opened(false)
	is.Equal(p.permits, openings+1)
}

// Symptom: after a loss of power everywhere the upstreams refuse thousands of
// connections, and each attempt is paid for. Sequence: connections of the processes
// that lost power still count; each statement asks for another one. Cause: a
// refusal held back only the pool's limit, not the next attempt.
func TestARefusalHoldsTheNextAttemptBack(t *testing.T) {
	is := is.New(t)
	p := paced()
	p.want()
	p.opened(true)
	for range 50 {
		p.want()
	}
	is.Equal(p.permits, 1)
	is.True(p.refused())
	p.pass(firstRefusal)
	is.Equal(p.permits, 1+openings)
	p.opened(true)
	p.opened(true)
	p.pass(firstRefusal)
	is.Equal(p.permits, 1+openings) // it waits longer each time
	p.pass(longestRefusal)
	is.Equal(p.permits, 1+2*openings)
	p.opened(false)
	is.True(!p.refused())
}

// Symptom: no connection is opened any more. Sequence: those who waited for one
// have got another meanwhile, so the permits are lost. Cause: lost permits count as
// connections under way for ever.
func TestLostPermitsAreGivenAnew(t *testing.T) {
	is := is.New(t)
	p := paced()
	needed := false
	p.permit = func() bool { p.permits++; return needed }
	for range 5 {
		p.want()
	}
	is.Equal(p.permits, 5)
	needed = true
	p.want()
	is.Equal(p.permits, 6)
}
