package comparer

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

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
			is := is.New(t)
			var got bytes.Buffer
			report(&got)
			path := filepath.Join("testdata", name)
			if *update {
				is.NoErr(os.WriteFile(path, got.Bytes(), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			if !bytes.Equal(got.Bytes(), want) {
				t.Fatalf("%s differs; -update writes it\ngot:\n%s", path, got.String())
			}
		})
	}
}
