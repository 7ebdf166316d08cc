package proxier

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/carrier"
	"basildale.example/basildale/internal/matcher"
)

// answering returns a peer that answers requests with a status and a body.
func answering(t *testing.T, name string, status int, body string) usagePeer {
	t.Helper()
	return handling(t, name, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

func handling(t *testing.T, name string, h http.HandlerFunc) usagePeer {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return usagePeer{name, netip.MustParseAddrPort(s.Listener.Addr().String())}
}

// using returns the use of one upstream by name of the workspace and tenths of a second.
func using(group, upstream string, leads bool, waiting int, uses ...carrier.WorkspaceUsage) []carrier.UpstreamUsage {
	return []carrier.UpstreamUsage{{Group: group, Upstream: upstream, Leads: leads, Slots: 4, Waiting: waiting, Workspaces: uses}}
}

func reportOf(t *testing.T, process string, used []carrier.UpstreamUsage) string {
	t.Helper()
	body, err := json.Marshal(usageReport(process, used))
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against an operator who gets no answer, or a wrong one, because of some peers: one
// does not answer, one answers garbage, one a report that cannot be true, one 1 MiB, one is an
// old process that has no usage, one has no address, and one is not reached. Each is named with
// its reason, and the others add up.
func TestUsageOfAFleetWithBadPeers(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	peers := []usagePeer{
		answering(t, "front-2", http.StatusOK, reportOf(t, "front-2", append(
			using("billet-db-1", "i-264bb7ac34", true, 9, carrier.WorkspaceUsage{Workspace: "encuestas-sur", Busy: 14200 * time.Millisecond, Running: 2}, carrier.WorkspaceUsage{Workspace: "encuestas-norte", Busy: 400 * time.Millisecond}),
			using("billet-db-1", "i-32fb964a04", false, 0, carrier.WorkspaceUsage{Workspace: "encuestas-sur", Busy: 3100 * time.Millisecond, Running: 1})...,
		))),
		answering(t, "front-3", http.StatusOK, "not a report"),
		answering(t, "front-4", http.StatusOK, `{"upstreams":[{"group":"billet-db-1","upstream":"i-264bb7ac34","waiting":-1}]}`),
		answering(t, "front-5", http.StatusOK, strings.Repeat(" ", 1<<20)),
		answering(t, "front-6", http.StatusNotFound, "404 page not found"),
		{Name: "front-7"},
		{"front-8", netip.MustParseAddrPort(closed.Listener.Addr().String())},
		handling(t, "front-9", func(http.ResponseWriter, *http.Request) { <-hang }),
	}
	own := using("billet-db-1", "i-264bb7ac34", true, 3, carrier.WorkspaceUsage{Workspace: "encuestas-sur", Busy: 19100 * time.Millisecond, Running: 1}, carrier.WorkspaceUsage{Workspace: "", Busy: 20 * time.Millisecond})
	q := &usageQuery{Process: "front-1", Own: func() []carrier.UpstreamUsage { return own }, Peers: func() []usagePeer { return peers }, Client: &http.Client{}, Log: zap.NewNop()}
	began := time.Now()
	w := httptest.NewRecorder()
	q.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/usage", http.NoBody))
	is.True(time.Since(began) < 2*usageTimeout)
	var pretty bytes.Buffer
	is.NoErr(json.Indent(&pretty, w.Body.Bytes(), "", "  "))
	matcher.Golden(t, "testdata/usage.golden", pretty.String())
	w = httptest.NewRecorder()
	q.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/usage?scope=process", http.NoBody))
	is.Equal(strings.TrimSpace(w.Body.String()), reportOf(t, "front-1", own)) // a peer's request asks nobody else
}

// Guards against a query that opens a connection to each of a thousand peers at once, and
// against a second operator who doubles the work.
func TestUsageQueryIsBounded(t *testing.T) {
	is := is.New(t)
	var open, most atomic.Int64
	var mu sync.Mutex
	peer := handling(t, "peer", func(w http.ResponseWriter, _ *http.Request) {
		n := open.Add(1)
		defer open.Add(-1)
		mu.Lock()
		most.Store(max(most.Load(), n))
		mu.Unlock()
		time.Sleep(time.Millisecond)
		_, _ = w.Write([]byte("{}"))
	})
	q := &usageQuery{Own: func() []carrier.UpstreamUsage { return nil }, Peers: func() []usagePeer { return make100(peer) }, Client: &http.Client{}, Log: zap.NewNop()}
	is.True(q.fleet(context.Background()).Answered > 1)
	is.True(most.Load() <= maxUsageRequests)
	q.running.Lock()
	w := httptest.NewRecorder()
	q.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/usage", http.NoBody))
	is.Equal(w.Code, http.StatusServiceUnavailable)
}

// Guards against an answer that lacks the processes that work, because many others hang and
// are asked first, and against one that lacks a process that is only slow.
func TestHangingPeersDontHideOthers(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	hanging := handling(t, "hanging", func(http.ResponseWriter, *http.Request) { <-hang })
	slow := handling(t, "slow", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(firstUsageTimeout + 50*time.Millisecond)
		_, _ = w.Write([]byte("{}"))
	})
	good := make100(answering(t, "good", http.StatusOK, "{}"))[:40]
	for _, d := range []struct {
		hanging int
		others  []usagePeer
	}{{2 * maxUsageRequests, good}, {maxUsageRequests - 1, append([]usagePeer{slow}, good...)}} {
		peers := append(make100(hanging)[:d.hanging], d.others...)
		q := &usageQuery{Own: func() []carrier.UpstreamUsage { return nil }, Peers: func() []usagePeer { return peers }, Client: &http.Client{}, Log: zap.NewNop()}
		u := q.fleet(t.Context())
		is.Equal(u.Answered, 1+len(d.others)) // with the own process
		is.Equal(len(u.Silent), d.hanging)
	}
}

func make100(p usagePeer) []usagePeer {
	out := make([]usagePeer, 100)
	for i := range out {
		out[i] = p
	}
	return out
}

// Guards against memory that grows with what processes report: 10,000 workspaces at a process
// make a short report, and 100,000 names of a wrong one a bounded sum, without losing any use.
func TestSumOfUsageIsBounded(t *testing.T) {
	is := is.New(t)
	var many []carrier.WorkspaceUsage
	for i := range 10_000 {
		many = append(many, carrier.WorkspaceUsage{Workspace: fmt.Sprint("w", i), Busy: time.Millisecond})
	}
	report := usageReport("p", using("g", "u", true, 0, many...))
	is.Equal(len(report.Upstreams[0].Workspaces), maxReportedWorkspaces)
	var s usageSum
	for p := range 10 {
		wrong := reporter.UpstreamUsage{Group: "g", Upstream: "u"}
		for i := range 10_000 {
			wrong.Workspaces = append(wrong.Workspaces, reporter.WorkspaceUsage{Workspace: fmt.Sprint(p, "/", i), Busy: reporter.Seconds(time.Millisecond)})
		}
		is.NoErr(s.add(&reporter.Usage{Upstreams: []reporter.UpstreamUsage{wrong}}))
	}
	for i := range 10_000 {
		is.NoErr(s.add(&reporter.Usage{Upstreams: []reporter.UpstreamUsage{{Group: "g", Upstream: fmt.Sprint(i)}}}))
	}
	out := s.usage("p", nil)
	is.Equal(len(out.Upstreams), maxSummedUpstreams)
	all := out.Upstreams[len(out.Upstreams)-1]
	is.Equal(all.Upstream, "u")
	is.Equal(len(all.Workspaces), maxSummedWorkspaces+1)
	is.Equal(all.Workspaces[0].Busy, reporter.Seconds(80*time.Second))
}

// Any process of a running fleet can be asked.
func TestUsageOfARunningFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	for _, m := range f.proxies {
		is.Equal(f.dial(m, "seats").ask("WRITE seat anna").code, "")
	}
	for _, m := range f.proxies {
		f.waitFor("every process", func() bool {
			u, err := reporter.Client{Address: m.OperatorsAddr()}.Usage(t.Context())
			return err == nil && u.Process == m.Settings.Name && u.Answered == 3 && len(u.Silent) == 0 &&
				len(u.Upstreams) > 0 && u.Upstreams[0].Group == "billet" && u.Upstreams[0].Workspaces[0].Busy > 0
		})
	}
}
