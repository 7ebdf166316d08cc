package limiter

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrLimits reports limits that are out of bounds or contradict each other.
var ErrLimits = errors.New("limiter: limits out of bounds")

// Bounds of limits.
const (
	MaxConnections    = 10000
	MaxQueueLength    = 1 << 16
	MaxWindow         = 1000
	MaxDefaultTimeout = 5 * time.Minute
)

// ClassLimits are the limits of one class. Slots and Queue bound the class's use of an
// upstream's window and queue at one proxy; zero means no limit for the class.
type ClassLimits struct {
	Weight         int           // value of an answer in time
	Slots          int           // maximum concurrent requests at an upstream
	Queue          int           // maximum waiting requests
	DefaultTimeout time.Duration // for requests whose callers give no deadline
}

// Limits are the values that a preset sets for each upstream of a group. Connections
// applies to all proxies together, the rest to each proxy.
type Limits struct {
	Connections int     // connections that an upstream accepts
	Reserved    int     // of these, kept for control: state, fence, promote, settle
	Window      int     // maximum concurrent requests at an upstream
	Queue       int     // maximum waiting requests
	OpenRate    float64 // connections opened per second
	RetryRatio  float64 // retries per first attempt
	Classes     [ClassCount]ClassLimits
}

// DefaultLimits returns the limits for normal load.
func DefaultLimits() Limits {
	return Limits{
		Connections: 35, Reserved: 5, Window: DefaultMaxWindow, Queue: DefaultQueueLength,
		OpenRate: DefaultOpenRate, RetryRatio: 0.1,
		Classes: [ClassCount]ClassLimits{
			Lookup:  {Weight: 1, DefaultTimeout: 2 * time.Second},
			Booking: {Weight: 2, DefaultTimeout: 5 * time.Second},
		},
	}
}

// PeakLimits returns the limits for peak load: shorter waits and fewer retries.
func PeakLimits() Limits {
	l := DefaultLimits()
	l.RetryRatio = 0.05
	l.Classes[Lookup].DefaultTimeout = 500 * time.Millisecond
	l.Classes[Booking].DefaultTimeout = 2 * time.Second
	return l
}

// MaintenanceLimits returns the limits while upstreams are taken out and put back:
// longer waits, less load on the remaining upstreams and connections opened more
// slowly.
func MaintenanceLimits() Limits {
	l := DefaultLimits()
	l.Window, l.OpenRate = DefaultMaxWindow/2, DefaultOpenRate/2
	l.Classes[Lookup].DefaultTimeout = 5 * time.Second
	l.Classes[Booking].DefaultTimeout = 10 * time.Second
	return l
}

// DataConnections returns the connections that the proxies share for data.
func (l Limits) DataConnections() int { return l.Connections - l.Reserved }

// Check returns an error that names the first field out of its bounds.
func (l Limits) Check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"connections", l.Connections >= 1 && l.Connections <= MaxConnections},
		{"reserved", l.Reserved >= 0 && l.Reserved < l.Connections},
		{"window", l.Window >= 1 && l.Window <= MaxWindow},
		{"queue", l.Queue >= 1 && l.Queue <= MaxQueueLength},
		{"lookup", l.Classes[Lookup].ok()},
		{"booking", l.Classes[Booking].ok()},
		{"opening", l.OpenRate > 0},
		{"retries", l.RetryRatio >= 0 && l.RetryRatio <= 1},
	} {
		if !f.ok {
			return errors.Wrapf(ErrLimits, "%s", f.name)
		}
	}
	return nil
}

func (c ClassLimits) ok() bool {
	timeoutOK := c.DefaultTimeout > 0 && c.DefaultTimeout <= MaxDefaultTimeout
	return timeoutOK && c.Weight >= 1 && c.Slots >= 0 && c.Queue >= 0
}
