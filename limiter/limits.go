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
	MaxQueueLength      = 1 << 16
	MaxWindow           = 1000
	MaxDefaultTimeout   = 5 * time.Minute
)

// ClassLimits are the values of one class. Slots and Queue bound what the class
// takes of an upstream's window and queue at one proxy; zero is no bound of its
// own.
type ClassLimits struct {
	Weight         int           // worth of an answer in time
	Slots          int           // greatest number of its requests at an upstream at a time
	Queue          int           // greatest number of its waiting requests
	DefaultTimeout time.Duration // for requests whose callers give no deadline
}

// Limits are the values that a preset sets for each upstream of a group.
// Connections is for all proxies together, the rest for each proxy.
type Limits struct {
	Connections int     // connections of an upstream
	Reserved    int     // of these, kept for control: state, fence, promote, settle
	Window      int     // greatest number of requests at an upstream at a time
	Queue       int     // greatest number of waiting requests
	OpenRate    float64 // connections opened a second
	RetryRatio  float64 // retries for each first attempt
	Classes     [ClassCount]ClassLimits
}

// DefaultLimits returns the limits of ordinary days.
func DefaultLimits() Limits {
	return Limits{
		Connections: 35, Reserved: 5, Window: DefaultMost, Queue: DefaultLength,
		OpenRate: DefaultOpenRate, RetryRatio: 0.1,
		Classes: [ClassCount]ClassLimits{
			Lookup:  {Weight: 1, DefaultTimeout: 2 * time.Second},
			Booking: {Weight: 2, DefaultTimeout: 5 * time.Second},
		},
	}
}

// Peak returns the limits of peaks: shorter waits, fewer retries.
func Peak() Limits {
	l := DefaultLimits()
	l.RetryRatio = 0.05
	l.Classes[Lookup].DefaultTimeout = 500 * time.Millisecond
	l.Classes[Booking].DefaultTimeout = 2 * time.Second
	return l
}

// Maintenance returns the limits while upstreams are taken out and put back:
// more patience, less load on what is left, connections opened gently.
func Maintenance() Limits {
	l := DefaultLimits()
	l.Window, l.OpenRate = DefaultMost/2, DefaultOpenRate/2
	l.Classes[Lookup].DefaultTimeout = 5 * time.Second
	l.Classes[Booking].DefaultTimeout = 10 * time.Second
	return l
}

// Shared returns the connections that the proxies share for data.
func (l Limits) Shared() int { return l.Connections - l.Reserved }

// Check returns an error that names the first field out of its bounds.
func (l Limits) Check() error {
	for _, f := range []struct {
		name string
		ok   bool
	}{
		{"connections", l.Connections >= 1 && l.Connections <= GreatestConnections},
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
	patient := c.DefaultTimeout > 0 && c.DefaultTimeout <= MaxDefaultTimeout
	return patient && c.Weight >= 1 && c.Slots >= 0 && c.Queue >= 0
}
