package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/adapter/reporter"
	"basildale.example/basildale/internal/matcher"
)

// Guards against a table or JSON that says something else than the process answered, and
// against an old process that looks like one that is down.
func TestUsage(t *testing.T) {
	is := is.New(t)
	answer, err := os.ReadFile("../../proxier/testdata/usage.golden")
	is.NoErr(err)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /usage", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) })
	s := httptest.NewServer(mux)
	defer s.Close()
	code, out, _ := command(t, "usage", s.Listener.Addr().String())
	is.Equal(code, exitDone)
	matcher.Golden(t, "testdata/usage.golden", out)
	code, out, _ = command(t, "usage", "-o", "json", s.Listener.Addr().String())
	is.Equal(code, exitDone)
	var want, got reporter.Usage
	is.NoErr(json.Unmarshal(answer, &want))
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(got, want)
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	code, _, _ = command(t, "usage", old.Listener.Addr().String())
	is.Equal(code, exitRefused)
}
