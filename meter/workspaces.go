package meter

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics by workspace.
const (
	WorkspaceRequests = "basildale_workspace_requests_total"
	WorkspaceRefusals = "basildale_workspace_refusals_total"
	WorkspaceQueued   = "basildale_workspace_queued_seconds_total"
)

// Outcomes of a request of a workspace.
const (
	InTime  = "in time"
	Late    = "late"
	Refused = "refused"
	InDoubt = "in doubt"
)

const (
	// maxWorkspaces is the number of workspaces with series of their own.
	maxWorkspaces = 32
	// maxRanked is the number of workspaces whose requests are counted to find those with the
	// most. A workspace with more than this part of all requests is always among them.
	maxRanked = 128
	// rankingInterval is the number of requests between two choices of the workspaces with
	// series. Counts are halved each time, so that they follow the demand.
	rankingInterval = 1024
	// maxRefusalCauses bounds the causes of refusals that are told apart in one workspace.
	maxRefusalCauses = 16
	// leadPercent is how many requests a workspace without series has to have for each 100 of
	// the one whose place it takes, so that two that have about as many don't alternate.
	leadPercent = 125
)

// Workspaces counts requests by workspace: those of the 32 with the most, and all others
// together. Memory and series are bounded whatever the number of workspaces. The counts of a
// workspace that loses its place are added to the others, so that sums never fall. Registry must
// be set; the rest of the zero value works. It is safe for concurrent use.
type Workspaces struct {
	// Registry holds every metric under its name and labels; see [Name].
	Registry metrics.Registry

	mu       sync.Mutex
	ranked   []rankedWorkspace
	places   map[string]int // in ranked
	series   map[string]*workspaceSeries
	requests int // since the last choice
}

// Request is how a request of a workspace ended.
type Request struct {
	Workspace string
	// Outcome is one of the outcomes above, and Cause that of a refusal.
	Outcome string
	Cause   string
	Queued  time.Duration
}

// rankedWorkspace is a workspace and its requests, of which up to excess may have been those of
// workspaces that had its place before.
type rankedWorkspace struct {
	name          string
	count, excess int
}

func (r rankedWorkspace) least() int { return r.count - r.excess }

// workspaceSeries holds the metrics of a workspace, and their names.
type workspaceSeries struct {
	outcomes map[string]metrics.Counter
	causes   map[string]metrics.Counter
	queued   *Seconds
}

// cause returns the cause under which a refusal is counted.
func (s *workspaceSeries) cause(value string) string {
	if s.causes[value] == nil && len(s.causes) >= maxRefusalCauses {
		return Other
	}
	return value
}

// Record counts a request.
func (w *Workspaces) Record(r Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rank(r.Workspace)
	s := w.seriesOf(r.Workspace)
	w.counter(s.outcomes, WorkspaceRequests, s, r.Workspace, "outcome", r.Outcome).Inc(1)
	s.queued.Add(r.Queued)
	if r.Cause != "" {
		w.counter(s.causes, WorkspaceRefusals, s, r.Workspace, "cause", s.cause(r.Cause)).Inc(1)
	}
}

// rank counts a request of a workspace. One that is not counted yet takes the place of the one
// with the fewest, and its count as the excess.
func (w *Workspaces) rank(name string) {
	i, known := w.places[name]
	switch {
	case known:
	case len(w.ranked) < maxRanked:
		if w.places == nil {
			w.places = map[string]int{}
		}
		i = len(w.ranked)
		w.ranked = append(w.ranked, rankedWorkspace{name: name})
		w.places[name] = i
	default:
		for k := range w.ranked {
			if w.ranked[k].count < w.ranked[i].count {
				i = k
			}
		}
		delete(w.places, w.ranked[i].name)
		w.ranked[i].name, w.ranked[i].excess = name, w.ranked[i].count
		w.places[name] = i
	}
	w.ranked[i].count++
	if w.requests++; w.requests >= rankingInterval {
		w.requests = 0
		w.choose()
	}
}

// choose gives the series to the workspaces with the most requests.
func (w *Workspaces) choose() {
	order := slices.Clone(w.ranked)
	slices.SortFunc(order, func(x, y rankedWorkspace) int {
		return cmp.Or(cmp.Compare(y.least(), x.least()), cmp.Compare(x.name, y.name))
	})
	for _, r := range order[:min(len(order), maxWorkspaces)] {
		if w.series[r.name] != nil || len(w.series) <= maxWorkspaces {
			continue // the others have series too, besides the 32
		}
		last, least := w.last()
		if 100*r.least() < leadPercent*least {
			break
		}
		w.fold(last)
		w.add(r.name)
	}
	for i := range w.ranked {
		w.ranked[i].count /= 2
		w.ranked[i].excess /= 2
	}
}

// last returns the workspace with series that has the fewest requests, and their number.
func (w *Workspaces) last() (name string, least int) {
	for s := range w.series {
		if s == Other {
			continue
		}
		n := 0
		if i, known := w.places[s]; known {
			n = w.ranked[i].least()
		}
		if name == "" || n < least || n == least && s < name {
			name, least = s, n
		}
	}
	return name, least
}

// seriesOf returns the series under which a workspace is counted.
func (w *Workspaces) seriesOf(name string) *workspaceSeries {
	if s := w.series[name]; s != nil {
		return s
	}
	if w.series == nil {
		w.series = map[string]*workspaceSeries{}
		w.add(Other)
	}
	if len(w.series) <= maxWorkspaces && name != Other {
		return w.add(name)
	}
	return w.series[Other]
}

func (w *Workspaces) add(name string) *workspaceSeries {
	s := &workspaceSeries{outcomes: map[string]metrics.Counter{}, causes: map[string]metrics.Counter{}, queued: &Seconds{}}
	w.series[name] = s
	_ = w.Registry.Register(Name(WorkspaceQueued, Label{"workspace", name}), s.queued)
	return s
}

// fold adds the counts of a workspace to those of the others and drops its series.
func (w *Workspaces) fold(name string) {
	from, to := w.series[name], w.series[Other]
	delete(w.series, name)
	for value, c := range from.outcomes {
		w.counter(to.outcomes, WorkspaceRequests, to, Other, "outcome", value).Inc(c.Count())
		w.Registry.Unregister(fullName(WorkspaceRequests, name, "outcome", value))
	}
	for value, c := range from.causes {
		w.counter(to.causes, WorkspaceRefusals, to, Other, "cause", to.cause(value)).Inc(c.Count())
		w.Registry.Unregister(fullName(WorkspaceRefusals, name, "cause", value))
	}
	to.queued.Add(from.queued.Duration())
	w.Registry.Unregister(Name(WorkspaceQueued, Label{"workspace", name}))
}

// counter returns a counter of series, a new one at first.
func (w *Workspaces) counter(of map[string]metrics.Counter, metric string, s *workspaceSeries, name, label, value string) metrics.Counter {
	if c := of[value]; c != nil {
		return c
	}
	if s == w.series[Other] {
		name = Other
	}
	c := metrics.NewCounter()
	of[value] = c
	_ = w.Registry.Register(fullName(metric, name, label, value), c)
	return c
}

func fullName(metric, workspace, label, value string) string {
	return Name(metric, Label{"workspace", workspace}, Label{label, value})
}

// Seconds is a sum of durations that is served as a number of seconds. Its zero value is ready
// for use. It is safe for concurrent use.
type Seconds struct{ nanos atomic.Int64 }

// Add adds a duration.
func (s *Seconds) Add(d time.Duration) { s.nanos.Add(int64(d)) }

// Duration returns the sum.
func (s *Seconds) Duration() time.Duration { return time.Duration(s.nanos.Load()) }

// Value returns the sum in seconds.
func (s *Seconds) Value() float64 { return s.Duration().Seconds() }

// Update sets the sum to a number of seconds, as the registry's gauges do.
func (s *Seconds) Update(v float64) { s.nanos.Store(int64(v * float64(time.Second))) }

// Snapshot returns the sum as it is now.
func (s *Seconds) Snapshot() metrics.GaugeFloat64 { return metrics.GaugeFloat64Snapshot(s.Value()) }
