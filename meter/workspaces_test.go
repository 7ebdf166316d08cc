package meter

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// sumOf adds up the counters of a metric, and returns how many there are.
func sumOf(r metrics.Registry, metric string) (sum int64, series int) {
	r.Each(func(name string, v any) {
		c, ok := v.(metrics.Counter)
		if ok && strings.HasPrefix(name, metric+"{") {
			sum += c.Count()
			series++
		}
	})
	return sum, series
}

// Guards against series and memory that grow with 10,000 workspaces, against a workspace that
// becomes hot late and stays among the others, and against counts that get lost or fall when a
// workspace loses its place.
func TestSeriesOfManyWorkspacesAreBounded(t *testing.T) {
	is := is.New(t)
	w := &Workspaces{Registry: metrics.NewRegistry()}
	const n = 40_000
	for i := range n {
		name := fmt.Sprint("w", i%10_000)
		if i > n/2 && i%4 == 0 {
			name = "hot"
		}
		w.Record(Request{Workspace: name, Outcome: Refused, Cause: fmt.Sprint("cause ", i), Queued: time.Millisecond})
		if i%1000 == 0 {
			sum, _ := sumOf(w.Registry, WorkspaceRequests)
			is.Equal(sum, int64(i+1))
		}
	}
	_, series := sumOf(w.Registry, WorkspaceRequests)
	is.True(series <= maxWorkspaces+1)
	sum, series := sumOf(w.Registry, WorkspaceRefusals)
	is.Equal(sum, int64(n))
	is.True(series <= (maxWorkspaces+1)*(maxRefusalCauses+1))
	is.Equal(len(w.ranked), maxRanked)
	is.Equal(len(w.places), maxRanked)
	is.True(w.series["hot"] != nil)
	is.True(w.Registry.Get(Name(WorkspaceQueued, Label{"workspace", "hot"})) != nil)
	var queued time.Duration
	for _, s := range w.series {
		queued += s.queued.Duration()
	}
	is.Equal(queued, n*time.Millisecond)
}

// Guards against causes of refusals that add up without a bound among the others, as one
// workspace after another becomes hot and loses its place.
func TestCausesOfOthersAreBounded(t *testing.T) {
	is := is.New(t)
	w := &Workspaces{Registry: metrics.NewRegistry()}
	const n = 200 * rankingInterval
	for i := range n {
		name := fmt.Sprint("w", i%100)
		if i%2 == 0 {
			name = fmt.Sprint("hot", i/(4*rankingInterval))
		}
		w.Record(Request{Workspace: name, Outcome: Refused, Cause: fmt.Sprint(name, i%100)})
	}
	is.True(len(w.series[Other].causes) <= maxRefusalCauses+1)
	sum, _ := sumOf(w.Registry, WorkspaceRefusals)
	is.Equal(sum, int64(n))
}

// Guards against series that change hands between workspaces with about as many requests: the
// counters of each would start anew every time.
func TestWorkspacesWithEqualDemandKeepTheirSeries(t *testing.T) {
	is := is.New(t)
	w := &Workspaces{Registry: metrics.NewRegistry()}
	for i := range 40_000 {
		w.Record(Request{Workspace: fmt.Sprint("w", i%86), Outcome: InTime})
	}
	for i := range maxWorkspaces {
		is.True(w.series[fmt.Sprint("w", i)] != nil)
	}
}

// Guards against data races between requests and a reader of the metrics, and against counts
// that are lost.
func TestWorkspacesAreCountedConcurrently(t *testing.T) {
	is := is.New(t)
	w := &Workspaces{Registry: metrics.NewRegistry()}
	f := &Forwards{Registry: w.Registry}
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 2000 {
				w.Record(Request{Workspace: fmt.Sprint(i, "/", n%100), Outcome: Late, Queued: time.Microsecond})
				f.Count(fmt.Sprint("g", n), fmt.Sprint("p", i))
				if n%100 == 0 {
					sumOf(w.Registry, WorkspaceRequests)
				}
			}
		})
	}
	group.Wait()
	sum, _ := sumOf(w.Registry, WorkspaceRequests)
	is.Equal(sum, int64(16_000))
	sum, series := sumOf(w.Registry, Forwarded)
	is.Equal(sum, int64(16_000))
	is.Equal(series, maxForwards+1)
}

func BenchmarkWorkspaces(b *testing.B) {
	for _, n := range []int{86, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := &Workspaces{Registry: metrics.NewRegistry()}
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			i := 0
			for b.Loop() {
				i++
				w.Record(Request{Workspace: names[i%n], Outcome: InTime, Queued: time.Millisecond})
			}
		})
	}
}
