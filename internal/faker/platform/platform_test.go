package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func do(p *Platform, method, match, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, "/objects/pool/a", http.NoBody)
	if body != "" {
		r = httptest.NewRequest(method, "/objects/pool/a", strings.NewReader(body))
	}
	r.Header.Set("If-Match", match)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// Symptom: a proxy that has stopped still gets work from its peers. Sequence:
// it announces leaving, the list changes, peers read the list. Cause: the list
// lags, and the stand-in must show that.
func TestInstancesLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := &Platform{Lag: 5 * time.Second, Now: func() time.Time { return now }}
	p.SetInstances([]Instance{{Name: "p1", State: "live"}})
	is.Equal(len(p.shown()), 0)
	now = now.Add(5 * time.Second)
	is.Equal(p.shown()[0].State, "live")
	p.SetInstances([]Instance{{Name: "p1", State: "leaving"}})
	now = now.Add(4 * time.Second)
	is.Equal(p.shown()[0].State, "live")
	now = now.Add(time.Second)
	is.Equal(p.shown()[0].State, "leaving")
}

func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	p := &Platform{}
	is.Equal(do(p, "PUT", "0", `{"value":{}}`).Code, http.StatusOK)
	is.Equal(do(p, "PUT", "0", `{"value":{}}`).Code, http.StatusConflict)
	p.Down()
	is.Equal(do(p, "GET", "", "").Code, http.StatusServiceUnavailable)
	p.Up()
	is.Equal(do(p, "GET", "", "").Code, http.StatusOK)
	is.Equal(p.Calls(), map[string]int{"put": 2, "get": 2})
}
