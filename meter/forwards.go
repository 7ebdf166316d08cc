package meter

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Forwarded is the name of the counter of forwarded statements.
const Forwarded = "basildale_forwarded_total"

// maxForwards bounds the pairs of group and gateway that are told apart: more than the groups
// that one process has statements for have gateways.
const maxForwards = 256

// Forwards counts the statements that are forwarded to peers, by group and gateway. Beyond 256
// pairs the rest is counted under other. Registry must be set; the rest of the zero value works.
// It is safe for concurrent use.
type Forwards struct {
	// Registry holds every metric under its name and labels; see [Name].
	Registry metrics.Registry

	mu       sync.Mutex
	counters map[forwardKey]metrics.Counter
}

type forwardKey struct{ group, gateway string }

// Count counts a statement.
func (f *Forwards) Count(group, gateway string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := forwardKey{group, gateway}
	if f.counters[key] == nil && len(f.counters) >= maxForwards {
		key = forwardKey{Other, Other}
	}
	c := f.counters[key]
	if c == nil {
		if f.counters == nil {
			f.counters = map[forwardKey]metrics.Counter{}
		}
		c = metrics.NewCounter()
		f.counters[key] = c
		_ = f.Registry.Register(Name(Forwarded, Label{"group", key.group}, Label{"gateway", key.gateway}), c)
	}
	c.Inc(1)
}
