package layout_test

import (
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Symptom: a newcomer finds a package or a message that no page speaks of.
// Sequence: it is added, moved or taken out. Cause: nobody thinks of the table.
func TestTablesAreComplete(t *testing.T) {
	is := is.New(t)
	var packages, listed []string
	goFiles(t, func(file string) {
		if dir := path.Dir(file); !slices.Contains(packages, dir) {
			packages = append(packages, dir)
		}
	})
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*`) \\|").FindAllStringSubmatch(read(t, "docs/ARCHITECTURE.md"), -1) {
		for name := range strings.SplitSeq(row[1], ", ") {
			listed = append(listed, strings.Trim(name, "`"))
		}
	}
	slices.Sort(packages)
	slices.Sort(listed)
	is.Equal(strings.Join(listed, "\n"), strings.Join(packages, "\n")) // the table of docs/ARCHITECTURE.md
	methods := regexp.MustCompile(`Method = "([a-z.]+)"`).FindAllStringSubmatch(read(t, "adapter/messenger/messages.go"), -1)
	is.True(len(methods) > 0)
	contract := read(t, "docs/CONTRACTS.md")
	for _, m := range methods {
		is.True(strings.Contains(contract, "| `"+m[1]+"` |")) // each method stands in docs/CONTRACTS.md
	}
}

func read(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, name))
	is.New(t).NoErr(err)
	return string(b)
}
