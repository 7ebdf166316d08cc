package limiter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLimits reports limits that can't be kept or make no sense.
var ErrLimits = errors.New("limiter: limits out of bounds")

// Bounds of limits.
const (
	GreatestConnections = 10000
	GreatestLength      = 1 << 16
	GreatestWindow      = 1000
	LongestPatience     = 5 * time.Minute
)

// Limits are the values that a preset sets for each upstream of a group.
// Connections is for all proxies together, the rest for each proxy.
type Limits struct {
	Connections int           // connections of an upstream
	Reserved    int           // of these, kept for control: state, fence, promote, settle
	Window      int           // greatest number of requests at an upstream at a time
	Queue       int           // greatest number of waiting requests
	Lookup      time.Duration // patience for a lookup whose caller gives no deadline
	Booking     time.Duration // the same for a booking
	Opening     float64       // connections opened a second
	Retries     float64       // retries for each first attempt
}

// Ordinary returns the limits of ordinary days.
func Ordinary() Limits {
	return Limits{
		Connections: 35, Reserved: 5, Window: DefaultMost, Queue: DefaultLength,
		Lookup: 2 * time.Second, Booking: 5 * time.Second, Opening: DefaultOpenRate, Retries: 0.1,
	}
}

// Peak returns the limits of peaks: shorter waits, fewer retries.
func Peak() Limits {
	l := Ordinary()
	l.Lookup, l.Booking, l.Retries = 500*time.Millisecond, 2*time.Second, 0.05
	return l
}

// Maintenance returns the limits while upstreams are taken out and put back:
// more patience, less load on what is left, connections opened gently.
func Maintenance() Limits {
	l := Ordinary()
	l.Window, l.Lookup, l.Booking, l.Opening = DefaultMost/2, 5*time.Second, 10*time.Second, DefaultOpenRate/2
	return l
}

// Shared returns the connections that the proxies share for data.
func (l Limits) Shared() int { return l.Connections - l.Reserved }

// Patience returns the patience for a class.
func (l Limits) Patience(c Class) time.Duration {
	if c == Booking {
		return l.Booking
	}
	return l.Lookup
}

// Check returns an error that names the first field out of its bounds.
func (l Limits) Check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"connections", l.Connections >= 1 && l.Connections <= GreatestConnections},
		{"reserved", l.Reserved >= 0 && l.Reserved < l.Connections},
		{"window", l.Window >= 1 && l.Window <= GreatestWindow},
		{"queue", l.Queue >= 1 && l.Queue <= GreatestLength},
		{"lookup", l.Lookup > 0 && l.Lookup <= LongestPatience},
		{"booking", l.Booking > 0 && l.Booking <= LongestPatience},
		{"opening", l.Opening > 0},
		{"retries", l.Retries >= 0 && l.Retries <= 1},
	} {
		if !f.ok {
			return errors.Wrapf(ErrLimits, "%s", f.name)
		}
	}
	return nil
}
