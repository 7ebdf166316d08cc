package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/internal/matcher"
)

// process serves r and returns its address.
func process(t *testing.T, r *reporter.Reporter) string {
	t.Helper()
	srv := httptest.NewServer(r.Handler())
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

func sampleStatus(context.Context) (reporter.Status, error) {
	return reporter.Status{
		Name: "vejle-1", Zone: "vejle-hal", Workspace: "damplinjerne", State: "ready",
		Preset: "ordinary", Version: 12, Platform: "up", Callers: 40, Running: 3,
		Groups: []reporter.Group{{
			Name: "billet-db-1", Leader: "aarhus-2", Term: "4.1",
			Upstreams: []reporter.Upstream{
				{Name: "a", Zone: "vejle-hal", Address: netip.MustParseAddrPort("10.1.1.1:5432"), Role: "primary", Behind: new(reporter.Seconds), Mark: "4.1/900", Breaker: "closed", Open: 3, Share: 4},
				{Name: "b", Zone: "aarhus-hal", Address: netip.MustParseAddrPort("10.1.1.2:5432"), Role: "replica", Breaker: "open"},
			},
		}},
		Peers: []reporter.Peer{{Name: "aarhus-2", Zone: "aarhus-hal", Address: netip.MustParseAddrPort("10.1.0.12:7400"), State: "live"}},
	}, nil
}

func sampleDecisions(context.Context, reporter.Query) ([]reporter.Decision, error) {
	return []reporter.Decision{{
		At:   time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC),
		Part: "router", Action: "primary", Reason: "mark not reached", Session: "s1", Group: "billet-db-1", Detail: "mark 4.1/900",
	}}, nil
}

func TestPagesOfARunningProcess(t *testing.T) {
	at := process(t, &reporter.Reporter{Status: sampleStatus, Explain: sampleDecisions})
	for name, args := range map[string][]string{
		"status":       {"status", at},
		"status-json":  {"status", "-o", "json", at},
		"explain":      {"explain", at, "--session", "s1"},
		"explain-json": {"explain", "-o", "json", at},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, _ := command(t, args...)
			is.Equal(code, exitDone)
			matcher.Golden(t, "testdata/"+name+".golden", stdout)
		})
	}
}

func TestExitCodesOfARunningProcess(t *testing.T) {
	busy := process(t, &reporter.Reporter{
		Drain: func(context.Context) (reporter.Drained, error) { return reporter.Drained{}, reporter.ErrLeaving },
		Force: func(_ context.Context, a netip.AddrPort, s reporter.BreakerState) (reporter.Forced, error) {
			if a.Port() == 1 {
				return reporter.Forced{}, reporter.ErrUpstream
			}
			return reporter.Forced{Upstream: a, State: s, Breaker: "open"}, nil
		},
	})
	gone := httptest.NewServer(http.NotFoundHandler())
	silent := gone.Listener.Addr().String()
	gone.Close()
	for _, tc := range []struct {
		name   string
		args   []string
		code   int
		stderr string
	}{
		{"nobody there", []string{"status", silent}, exitSilent, "no answer from " + silent},
		{"source missing", []string{"explain", busy}, exitRefused, "doesn't know"},
		{"drained twice", []string{"drain", busy}, exitRefused, "already leaving"},
		{"breaker forced", []string{"breaker", busy, "10.0.0.1:5432", "open"}, exitDone, ""},
		{"breaker of nobody", []string{"breaker", busy, "10.0.0.1:1", "open"}, exitRefused, "no such upstream"},
		{"breaker without a state", []string{"breaker", busy, "10.0.0.1:5432", "ajar"}, exitUsage, "must be one of"},
		{"name for an address", []string{"status", "vejle-1:7480"}, exitUsage, "unable to parse IP"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := command(t, tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stderr, tc.stderr)) // says why
		})
	}
}

func TestDrainWaitsUntilTheProcessIsGone(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int32
	r := &reporter.Reporter{Status: sampleStatus}
	r.Drain = func(context.Context) (reporter.Drained, error) {
		return reporter.Drained{State: "leaving", Deadline: time.Now().Add(time.Hour)}, nil
	}
	next := r.Handler()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/status" && asked.Add(1) > 1 {
			panic(http.ErrAbortHandler) // the connection breaks, as at an exit
		}
		next.ServeHTTP(w, req)
	}))
	defer srv.Close()
	code, stdout, stderr := command(t, "drain", "--wait", srv.Listener.Addr().String())
	is.Equal(code, exitDone)
	is.Equal(stdout, srv.Listener.Addr().String()+": gone\n")
	is.Equal(stderr, "") // no progress where there is no terminal
	is.True(asked.Load() >= 2)
}
