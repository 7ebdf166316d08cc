package reporter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/meter"
)

func get(t *testing.T, r *Reporter, method, path string) (code int, body string) {
	t.Helper()
	rec := httptest.NewRecorder()
	r.Handler().ServeHTTP(rec, httptest.NewRequest(method, path, http.NoBody))
	data, err := io.ReadAll(rec.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return rec.Code, string(data)
}

func filled() metrics.Registry {
	m := &meter.Meter{Registry: metrics.NewRegistry()}
	for i := range 100 {
		m.Series("damplinjerne", "booking").Observe(meter.Timing{
			Wait:     time.Duration(i) * 100 * time.Microsecond,
			Upstream: 4 * time.Millisecond,
			Total:    time.Duration(i) * time.Millisecond,
		})
		m.Outcome("damplinjerne", "booking", "done")
	}
	m.Outcome("damplinjerne", "booking", "not run")
	m.Route("replica-fresh")
	m.Gauge(func() int64 { return 7 }, "basildale_callers")
	metrics.GetOrRegisterCounter("messenger.ping.in", m.Registry).Inc(42)
	return m.Registry
}

func TestMetricsPages(t *testing.T) {
	r := &Reporter{Registry: filled()}
	for path, golden := range map[string]string{"/metrics": "metrics.golden", "/metrics.json": "json.golden"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			code, body := get(t, r, http.MethodGet, path)
			is.Equal(code, http.StatusOK)
			matcher.Golden(t, "testdata/"+golden, body)
		})
	}
}

func TestAnswers(t *testing.T) {
	broken := func(context.Context) error { return errors.New("control goroutine is stuck") }
	fine := func(context.Context) error { return nil }
	leaving := func(context.Context) (Drained, error) { return Drained{}, ErrLeaving }
	stuck := func(ctx context.Context) (Status, error) {
		<-ctx.Done()
		return Status{}, ctx.Err()
	}
	for _, tc := range []struct {
		name, method, path string
		r                  Reporter
		code               int
		body               string
	}{
		{"healthy", "GET", "/health", Reporter{Health: fine}, 200, `{"ok":true}`},
		{"broken", "GET", "/health", Reporter{Health: broken}, 503, "stuck"},
		{"not ready", "GET", "/ready", Reporter{Ready: broken}, 503, `{"ok":false,"reason":"control goroutine is stuck"}`},
		{"nobody knows", "GET", "/status", Reporter{}, 501, "doesn't know"},
		{"no explanations", "GET", "/explain", Reporter{}, 501, "doesn't know"},
		{"no metrics", "GET", "/metrics", Reporter{}, 501, "doesn't know"},
		{"source hangs", "GET", "/status", Reporter{Status: stuck, Timeout: time.Nanosecond}, 503, "deadline"},
		{"drain by GET", "GET", "/drain", Reporter{Drain: leaving}, 405, ""},
		{"drained before", "POST", "/drain", Reporter{Drain: leaving}, 409, "already leaving"},
		{"wrong limit", "GET", "/explain?limit=0", Reporter{Explain: nothing}, 400, "allowed is a whole number from 1 to 1000"},
		{"no decisions", "GET", "/explain", Reporter{Explain: nothing}, 200, "[]"},
		{"unknown path", "GET", "/", Reporter{}, 404, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, body := get(t, &tc.r, tc.method, tc.path)
			is.Equal(code, tc.code)
			is.True(strings.Contains(body, tc.body)) // the body says it
		})
	}
}

func nothing(context.Context, Query) ([]Decision, error) { return nil, nil }

func TestClientReadsWhatReporterSends(t *testing.T) {
	is := is.New(t)
	at := time.Date(2026, 12, 2, 18, 0, 0, 0, time.UTC)
	status := Status{
		Name: "vejle-1", State: "ready", At: at, Preset: "ordinary", Version: 4,
		Groups: []Group{{Name: "billet-db-1", Term: "3.1", Upstreams: []Upstream{{
			Name: "a", Address: netip.MustParseAddrPort("10.1.1.1:5432"), Role: "replica", Behind: new(Seconds(1500 * time.Microsecond)),
		}}}},
	}
	decision := Decision{At: at, Part: "router", Action: "primary", Reason: "mark not reached", Session: "s1"}
	var asked Query
	srv := httptest.NewServer((&Reporter{
		Status: func(context.Context) (Status, error) { return status, nil },
		Explain: func(_ context.Context, q Query) ([]Decision, error) {
			asked = q
			return []Decision{decision}, nil
		},
		Drain: func(context.Context) (Drained, error) { return Drained{State: "leaving", Deadline: at}, nil },
		Ready: func(context.Context) error { return errors.New("no primary yet") },
	}).Handler())
	defer srv.Close()
	c := Client{Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), HTTP: srv.Client()}
	ctx := context.Background()

	gotStatus, err := c.Status(ctx)
	is.NoErr(err)
	is.Equal(cmp.Diff(status, gotStatus, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), "")

	query := Query{Session: "s1", Group: "a&b=c", Limit: 3}
	decisions, err := c.Explain(ctx, query)
	is.NoErr(err)
	is.Equal(decisions, []Decision{decision})
	is.Equal(asked, query)

	drained, err := c.Drain(ctx)
	is.NoErr(err)
	is.Equal(drained, Drained{State: "leaving", Deadline: at})

	err = c.Ready(ctx)
	is.True(errors.Is(err, ErrRefused))
	is.True(strings.Contains(err.Error(), "no primary yet"))

	srv.Close()
	_, err = c.Status(ctx)
	is.True(errors.Is(err, ErrSilent))
}

// Guards against a sum of seconds that is served as a gauge, or cut to whole seconds.
func TestSumsOfSecondsAreCounters(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	var s meter.Seconds
	s.Add(1500 * time.Millisecond)
	is.NoErr(r.Register("basildale_x_seconds_total", &s))
	list := collect(r)
	is.Equal(kind(list[0].value), "counter")
	var b bytes.Buffer
	list[0].write(&b)
	is.Equal(b.String(), "basildale_x_seconds_total 1.5\n")
	is.Equal(*list[0].metric().Value, 1.5)
}
