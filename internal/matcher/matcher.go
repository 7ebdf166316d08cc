// Package matcher holds what a test got against its golden file.
//
// # Usage
//
//	matcher.Golden(t, "testdata/report.golden", got)
//
// Where a change is meant, the files are written anew, and the difference is read
// before it is committed:
//
//	go test ./loader -update
package matcher

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files") //nolint:gochecknoglobals // flags are defined before they are parsed

// Golden fails the test when the text of a file differs from what it got. With
// -update it writes the file first.
func Golden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		write(t, path, got)
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Fatalf("%s (-want +got); -update writes it:\n%s", path, diff)
	}
}

func write(t *testing.T, path, got string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
		t.Fatal(err)
	}
}
