package comparer

import (
	"bytes"
	"io"
	"path/filepath"
	"testing"

	"basildale.example/basildale/internal/matcher"
)

// Symptom: a change of a policy costs answers in time and nobody notices.
// Sequence: each comparison is run and held against its golden file.
// Cause: figures that are measured once and written down by hand.
func TestReports(t *testing.T) {
	for name, report := range map[string]func(io.Writer){
		"queues.golden":   Queues,
		"tenants.golden":  Tenants,
		"breakers.golden": Breakers,
		"storm.golden":    Storm,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var got bytes.Buffer
			report(&got)
			matcher.Golden(t, filepath.Join("testdata", name), got.String())
		})
	}
}
