package proxier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/carrier"
	"basildale.example/basildale/cataloger"
	"basildale.example/basildale/conductor"
	"basildale.example/basildale/loader"
	"basildale.example/basildale/meter"
)

// Guards against requests that are counted under a wrong outcome or cause, and against
// statements of this process that count as forwarded.
func TestRequestsAreCountedByWorkspace(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	p := &Proxier{Settings: loader.Settings{Name: "front-1"}, meter: &meter.Meter{Registry: r}, workspaces: &meter.Workspaces{Registry: r}, forwards: &meter.Forwards{Registry: r}}
	for _, a := range []carrier.Answer{
		{Gateway: "front-1"},
		{Gateway: "front-2", Queued: 30 * time.Millisecond},
		{Gateway: "front-2", Code: carrier.InDoubt},
		{Code: carrier.Busy, Text: "the workspace's quota is used up; come back in 50ms"},
		{Code: carrier.Busy, Text: "upstream is overloaded; come back in 90ms", Queued: 20 * time.Millisecond},
		{Code: carrier.Busy, Text: "no proxy reaches the group; come back in 1s"},
		{Code: carrier.Busy, Text: "no leader is known; come back in 1s"},
		{Code: carrier.Timeout, Text: "no answer in time"},
	} {
		took := 10 * time.Millisecond
		if a.Queued > 0 {
			took = time.Second
		}
		p.recordRequest(conductor.Outcome{Route: cataloger.Route{Group: "g", Objective: 100 * time.Millisecond}, Job: &carrier.Job{Workspace: "w"}, Answer: a, Took: took})
	}
	count := func(name string, labels ...meter.Label) int64 {
		c, ok := r.Get(meter.Name(name, labels...)).(metrics.Counter)
		if !ok {
			return 0
		}
		return c.Count()
	}
	for outcome, n := range map[string]int64{meter.InTime: 1, meter.Late: 1, meter.InDoubt: 1, meter.Refused: 5} {
		is.Equal(count(meter.WorkspaceRequests, meter.Label{Name: "workspace", Value: "w"}, meter.Label{Name: "outcome", Value: outcome}), n)
	}
	for _, cause := range []string{"quota", "queue", "no gateway", "leader", "timeout"} {
		is.Equal(count(meter.WorkspaceRefusals, meter.Label{Name: "workspace", Value: "w"}, meter.Label{Name: "cause", Value: cause}), int64(1))
	}
	is.Equal(count(meter.Forwarded, meter.Label{Name: "group", Value: "g"}, meter.Label{Name: "gateway", Value: "front-2"}), int64(2))
	is.Equal(r.Get(meter.Name(meter.WorkspaceQueued, meter.Label{Name: "workspace", Value: "w"})).(*meter.Seconds).Value(), 0.05)
}
