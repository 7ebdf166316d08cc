package layout_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestShares states how many lines are tests and how many are decisions:
//
//	go test -v -run TestShares ./internal/layout
func TestShares(t *testing.T) {
	is := is.New(t)
	var code, tests, deciding, soak int
	goFiles(t, func(path string) {
		src, err := os.ReadFile(filepath.Join(root, path))
		is.NoErr(err)
		lines := bytes.Count(src, []byte("\n"))
		if strings.HasPrefix(path, "platform/faker/soaker/") {
			soak += lines
		}
		switch {
		case strings.HasSuffix(path, "_test.go"):
			tests += lines
		case isDecision(path):
			deciding += lines
			code += lines
		default:
			code += lines
		}
	})
	all := code + tests
	t.Logf("lines of Go: %d; tests: %d (%d %% of all); decision packages: %d (%d %% of what isn't tests); soak: %d",
		all, tests, 100*tests/all, deciding, 100*deciding/code, soak)
	is.True(soak*10 < code)     // the soak is a tenth of what isn't tests, or more
	is.True(deciding*4 >= code) // decision packages are less than a quarter of what isn't tests
}
