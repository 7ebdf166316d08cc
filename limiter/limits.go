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

// ClassLimits are the values of one class. Slots and Queue bound what the class
// takes of an upstream's window and queue at one proxy; zero is no bound of its
// own.
type ClassLimits struct {
	Weight   int           // worth of an answer in time
	Slots    int           // greatest number of its requests at an upstream at a time
	Queue    int           // greatest number of its waiting requests
	Patience time.Duration // for requests whose callers give no deadline
}

// Limits are the values that a preset sets for each upstream of a group.
// Connections is for all proxies together, the rest for each proxy.
type Limits struct {
	Connections int     // connections of an upstream
	Reserved    int     // of these, kept for control: state, fence, promote, settle
	Window      int     // greatest number of requests at an upstream at a time
	Queue       int     // greatest number of waiting requests
	Opening     float64 // connections opened a second
	Retries     float64 // retries for each first attempt
	Classes     [ClassCount]ClassLimits
}

// Ordinary returns the limits of ordinary days.
func Ordinary() Limits {
	return Limits{
		Connections: 35, Reserved: 5, Window: DefaultMost, Queue: DefaultLength,
		Opening: DefaultOpenRate, Retries: 0.1,
		Classes: [ClassCount]ClassLimits{
			Lookup:  {Weight: 1, Patience: 2 * time.Second},
			Booking: {Weight: 2, Patience: 5 * time.Second},
		},
	}
}

// Peak returns the limits of peaks: shorter waits, fewer retries.
func Peak() Limits {
	l := Ordinary()
	l.Retries = 0.05
	l.Classes[Lookup].Patience = 500 * time.Millisecond
	l.Classes[Booking].Patience = 2 * time.Second
	return l
}

// Maintenance returns the limits while upstreams are taken out and put back:
// more patience, less load on what is left, connections opened gently.
func Maintenance() Limits {
	l := Ordinary()
	l.Window, l.Opening = DefaultMost/2, DefaultOpenRate/2
	l.Classes[Lookup].Patience = 5 * time.Second
	l.Classes[Booking].Patience = 10 * time.Second
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
		{"window", l.Window >= 1 && l.Window <= GreatestWindow},
		{"queue", l.Queue >= 1 && l.Queue <= GreatestLength},
		{"lookup", l.Classes[Lookup].ok()},
		{"booking", l.Classes[Booking].ok()},
		{"opening", l.Opening > 0},
		{"retries", l.Retries >= 0 && l.Retries <= 1},
	} {
		if !f.ok {
			return errors.Wrapf(ErrLimits, "%s", f.name)
		}
	}
	return nil
}

func (c ClassLimits) ok() bool {
	patient := c.Patience > 0 && c.Patience <= LongestPatience
	return patient && c.Weight >= 1 && c.Slots >= 0 && c.Queue >= 0
}
