package server

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"basildale.example/basildale/internal/faker/upstream"
)

// Symptom: the process runs out of memory. Sequence: callers open connections
// without end. Cause: no bound on those that have authenticated.
func TestCallersAreBounded(t *testing.T) {
	is := is.New(t)
	f := start(t, upstream.Options{Size: 1}, func(s *Server) { s.Limits.Callers = 2 })
	f.connect(t, "")
	f.connect(t, "")
	_, err := pgx.Connect(t.Context(), f.url(""))
	is.True(err != nil) // one too many
}
