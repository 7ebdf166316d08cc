package layout_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// theirNames are names of the platform's pages that nothing outside platform/
// uses.
var theirNames = regexp.MustCompile(`Basildale-|route_type|max_staleness_ms|store_revision|db_role|sync_replicas|tx_idle_ms|objective_ms`)

// Symptom: a change of the platform's names needs changes all over the project.
// Sequence: a name of theirs is used where a decision is made. Cause: nothing
// keeps them inside the folder that translates.
func TestOnlyThePlatformFolderKnowsItsNames(t *testing.T) {
	is := is.New(t)
	var bad []string
	goFiles(t, func(path string) {
		if strings.HasPrefix(path, "platform/") || strings.HasSuffix(path, "_test.go") {
			return
		}
		src, err := os.ReadFile(filepath.Join(root, path))
		is.NoErr(err)
		if name := theirNames.FindString(string(src)); name != "" {
			bad = append(bad, path+" knows "+name)
		}
	})
	is.Equal(bad, nil) // names of the platform outside platform/
	is.True(theirNames.MatchString(`json:"max_staleness_ms"`))
}
