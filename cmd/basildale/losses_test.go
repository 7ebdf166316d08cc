package main

import (
	"testing"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
)

// Guards against shares that don't add up, and against lines of older processes, which lack
// the fields, that are dropped or counted under someone's name: a workspace with far more
// than its share makes another one late, and one process is older.
func TestLossesBy(t *testing.T) {
	is := is.New(t)
	for _, by := range []string{"workspace", "priority", "group", "gateway"} {
		code, out, _ := command(t, "losses", "--by", by, "testdata/slowed.log")
		is.Equal(code, exitDone)
		matcher.Golden(t, "testdata/losses-"+by+".golden", out)
	}
	code, out, _ := command(t, "losses", "-o", "json", "--by", "workspace", "testdata/slowed.log")
	is.Equal(code, exitDone)
	matcher.Golden(t, "testdata/losses-json.golden", out)
	code, _, _ = command(t, "losses", "--by", "colour", "testdata/slowed.log")
	is.Equal(code, exitUsage)
}
