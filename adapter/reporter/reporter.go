package reporter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// HeaderTimeout bounds how long a client may take to send its request's head.
const HeaderTimeout = 5 * time.Second

// MaxDecisions is the greatest number of decisions that one answer holds.
const MaxDecisions = 1000

// ErrLeaving says that a graceful stop already runs.
var ErrLeaving = errors.New("reporter: already leaving")

// Reporter answers operators. The sources are set before Handler is called and
// must be safe to call from any goroutine. Each must answer at once or give up
// when its context ends: an operator who asks why a process hangs must not hang
// with it.
type Reporter struct {
	// Registry holds the metrics.
	Registry metrics.Registry
	// Health returns what is broken inside the process, or nil.
	Health func(context.Context) error
	// Ready returns why callers should go elsewhere, or nil.
	Ready func(context.Context) error
	// Status returns what the process sees.
	Status func(context.Context) (Status, error)
	// Explain returns decisions, oldest first.
	Explain func(context.Context, Query) ([]Decision, error)
	// Drain starts a graceful stop. It returns ErrLeaving when one runs.
	Drain func(context.Context) (Drained, error)
	// Force sets the state of an upstream's breaker, or clears it. It returns
	// ErrUpstream for an address that no group has.
	Force func(context.Context, netip.AddrPort, BreakerState) (Forced, error)
	// Timeout bounds each source; zero means two seconds.
	Timeout time.Duration
	// Log may be nil.
	Log *zap.Logger
}

const defaultTimeout = 2 * time.Second

// Handler returns the handler of all paths.
func (r *Reporter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", r.text)
	mux.HandleFunc("GET /metrics.json", r.json)
	mux.HandleFunc("GET /health", r.condition(r.Health))
	mux.HandleFunc("GET /ready", r.condition(r.Ready))
	mux.HandleFunc("GET /status", r.status)
	mux.HandleFunc("GET /explain", r.explain)
	mux.HandleFunc("POST /drain", r.drain)
	mux.HandleFunc("POST /breaker", r.force)
	return r.bounded(mux)
}

// bounded gives each request a deadline.
func (r *Reporter) bounded(next http.Handler) http.Handler {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		ctx, cancel := context.WithTimeout(req.Context(), timeout)
		defer cancel()
		next.ServeHTTP(w, req.WithContext(ctx))
	})
}

func (r *Reporter) condition(source func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if source == nil {
			r.missing(w)
			return
		}
		if err := source(req.Context()); err != nil {
			r.send(w, http.StatusServiceUnavailable, Condition{Reason: err.Error()})
			return
		}
		r.send(w, http.StatusOK, Condition{OK: true})
	}
}

func (r *Reporter) status(w http.ResponseWriter, req *http.Request) {
	if r.Status == nil {
		r.missing(w)
		return
	}
	status, err := r.Status(req.Context())
	r.answer(w, http.StatusOK, status, err)
}

func (r *Reporter) explain(w http.ResponseWriter, req *http.Request) {
	if r.Explain == nil {
		r.missing(w)
		return
	}
	query, err := parseQuery(req)
	if err != nil {
		r.send(w, http.StatusBadRequest, Problem{Error: err.Error()})
		return
	}
	decisions, err := r.Explain(req.Context(), query)
	if decisions == nil {
		decisions = []Decision{}
	}
	r.answer(w, http.StatusOK, decisions, err)
}

func parseQuery(req *http.Request) (Query, error) {
	values := req.URL.Query()
	q := Query{
		Session:  values.Get("session"),
		Group:    values.Get("group"),
		Upstream: values.Get("upstream"),
		Limit:    MaxDecisions,
	}
	if !values.Has("limit") {
		return q, nil
	}
	limit, err := strconv.Atoi(values.Get("limit"))
	if err != nil || limit < 1 || limit > MaxDecisions {
		return Query{}, errors.Newf("limit is %q, allowed is a whole number from 1 to %d", values.Get("limit"), MaxDecisions)
	}
	q.Limit = limit
	return q, nil
}

func (r *Reporter) drain(w http.ResponseWriter, req *http.Request) {
	if r.Drain == nil {
		r.missing(w)
		return
	}
	drained, err := r.Drain(req.Context())
	if errors.Is(err, ErrLeaving) {
		r.send(w, http.StatusConflict, Problem{Error: err.Error()})
		return
	}
	r.answer(w, http.StatusAccepted, drained, err)
}

func (r *Reporter) missing(w http.ResponseWriter) {
	r.send(w, http.StatusNotImplemented, Problem{Error: "reporter: this process doesn't know"})
}

func (r *Reporter) answer(w http.ResponseWriter, code int, v any, err error) {
	if err != nil {
		r.send(w, http.StatusServiceUnavailable, Problem{Error: err.Error()})
		return
	}
	r.send(w, code, v)
}

func (r *Reporter) send(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, `{"error":"reporter: can't be written as JSON"}`, http.StatusInternalServerError)
		r.warn("answer can't be written as JSON", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if _, err := w.Write(append(data, '\n')); err != nil {
		r.warn("answer not sent", err)
	}
}

func (r *Reporter) warn(text string, err error) {
	if r.Log != nil {
		r.Log.Warn("reporter: "+text, zap.Error(err))
	}
}
