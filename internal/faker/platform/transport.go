package platform

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// Transport carries calls to a Platform without a network, so that a client's
// waits and timeouts run in the virtual time of testing/synctest. A call whose
// context ends goes on in the platform, as over a network.
type Transport struct {
	Platform *Platform
	// Refuse makes every dial fail while it returns true; nil never does.
	Refuse func() bool
}

var (
	errRefused = errors.New("platform: connection refused")
	errCut     = errors.New("platform: connection broken")
)

// RoundTrip implements net/http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.Refuse != nil && t.Refuse() {
		return nil, errRefused
	}
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	done := make(chan *recorder, 1)
	go func() { done <- t.serve(req) }()
	select {
	case rec := <-done:
		if rec == nil {
			return nil, errCut
		}
		return &http.Response{
			StatusCode: rec.status,
			Header:     rec.header,
			Body:       io.NopCloser(bytes.NewReader(rec.body)),
			Request:    req,
		}, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

// serve returns the answer, or nil when the handler broke the connection.
func (t *Transport) serve(req *http.Request) (rec *recorder) {
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler { //nolint:errorlint // net/http compares it the same way
				panic(p)
			}
			rec = nil
		}
	}()
	rec = &recorder{status: http.StatusOK, header: make(http.Header)}
	t.Platform.ServeHTTP(rec, req)
	return rec
}
