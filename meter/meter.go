package meter

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics. Histograms are in seconds where they are served.
const (
	WaitSeconds     = "basildale_wait_seconds"
	UpstreamSeconds = "basildale_upstream_seconds"
	TotalSeconds    = "basildale_total_seconds"
	Outcomes        = "basildale_outcomes_total"
	Routes          = "basildale_routes_total"
	Callers         = "basildale_callers"
)

// Other is the tenant of everything beyond the bound on series.
const Other = "other"

// DefaultLimit is the bound on pairs of tenant and class when none is set: about
// 5 MiB of histograms.
const DefaultLimit = 512

// Meter makes and remembers the metrics of one process. Registry must be set;
// the rest of the zero value works.
type Meter struct {
	// Registry holds every metric under its name and labels; see [Name].
	Registry metrics.Registry
	// Limit bounds the pairs of tenant and class; zero means DefaultLimit.
	Limit int

	mu       sync.RWMutex
	series   map[pair]*Series
	counters map[counterKey]metrics.Counter
}

type pair struct{ tenant, class string }

type counterKey struct{ name, tenant, class, value string }

// Series are the histograms of one tenant and class.
type Series struct {
	Wait     *Histogram
	Upstream *Histogram
	Total    *Histogram
}

// Timing is where one statement's time went.
type Timing struct {
	Wait     time.Duration
	Upstream time.Duration
	Total    time.Duration
}

// Label is a name and a value that tell series of one metric apart.
type Label struct{ Name, Value string }

// Observe records one statement.
func (s *Series) Observe(t Timing) {
	s.Wait.Observe(t.Wait)
	s.Upstream.Observe(t.Upstream)
	s.Total.Observe(t.Total)
}

// Series returns the histograms of a tenant and class, new ones at first. A
// session keeps what it got.
func (m *Meter) Series(tenant, class string) *Series {
	key := pair{tenant, class}
	m.mu.RLock()
	s := m.series[key]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.add(key)
}

func (m *Meter) add(key pair) *Series {
	key = m.bound(key)
	if s := m.series[key]; s != nil {
		return s
	}
	if m.series == nil {
		m.series = make(map[pair]*Series)
	}
	s := &Series{
		Wait:     m.histogram(WaitSeconds, key),
		Upstream: m.histogram(UpstreamSeconds, key),
		Total:    m.histogram(TotalSeconds, key),
	}
	m.series[key] = s
	return s
}

// bound returns key, or the pair that stands for all others once the bound is
// reached. Without it a long list of tenants would take the memory that the
// callers' connections need, and one would notice only when the process dies.
func (m *Meter) bound(key pair) pair {
	limit := m.Limit
	if limit == 0 {
		limit = DefaultLimit
	}
	if _, known := m.series[key]; known || len(m.series) < limit {
		return key
	}
	return pair{Other, key.class}
}

func (m *Meter) histogram(name string, key pair) *Histogram {
	h := NewHistogram()
	full := Name(name, Label{"tenant", key.tenant}, Label{"class", key.class})
	// A second one of the same name can't be: the map is looked at first.
	_ = m.Registry.Register(full, h)
	return h
}

// Outcome counts one outcome (done, not run, unknown, or a finer word) of a
// tenant and class.
func (m *Meter) Outcome(tenant, class, outcome string) {
	m.counter(counterKey{Outcomes, tenant, class, outcome}).Inc(1)
}

// Route counts one decision of the router by its reason.
func (m *Meter) Route(reason string) {
	m.counter(counterKey{name: Routes, value: reason}).Inc(1)
}

func (m *Meter) counter(key counterKey) metrics.Counter {
	m.mu.RLock()
	c := m.counters[key]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addCounter(key)
}

func (m *Meter) addCounter(key counterKey) metrics.Counter {
	if key.name == Outcomes {
		p := m.bound(pair{key.tenant, key.class})
		m.add(p) // counts towards the bound
		key.tenant, key.class = p.tenant, p.class
	}
	if c := m.counters[key]; c != nil {
		return c
	}
	if m.counters == nil {
		m.counters = make(map[counterKey]metrics.Counter)
	}
	c := metrics.NewCounter()
	m.counters[key] = c
	_ = m.Registry.Register(key.full(), c)
	return c
}

func (k counterKey) full() string {
	if k.name == Routes {
		return Name(k.name, Label{"reason", k.value})
	}
	return Name(k.name, Label{"tenant", k.tenant}, Label{"class", k.class}, Label{"outcome", k.value})
}

// Gauge registers a value that read returns whenever it is asked for; an earlier
// one of the same name and labels stays.
func (m *Meter) Gauge(read func() int64, name string, labels ...Label) {
	_ = m.Registry.Register(Name(name, labels...), metrics.NewFunctionalGauge(read))
}

// Name returns the registry's name of a metric: the name, then the labels in
// braces as the text exposition format writes them.
func Name(name string, labels ...Label) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels))
	for _, l := range labels {
		pairs = append(pairs, l.Name+"="+strconv.Quote(l.Value))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}
