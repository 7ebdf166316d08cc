package layout_test

import (
	"bytes"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	root     = "../.."
	module   = "basildale.example/basildale/"
	maxLines = 500
)

// decisions lists the packages that are pure functions of state, event and time.
var decisions = []string{
	"assigner", "breaker", "cataloger", "checker", "classifier", "configurator", "confirmer", "controller", "delegator",
	"fetcher", "framer", "leaver", "limiter", "marker", "membership", "placer", "pooler", "promoter", "replacer",
	"retrier", "router", "splitter", "spreader", "throttler", "tracker", "versioner",
}

// impure lists what a decision package never imports: anything that does input
// or output, or that one adapter or process owns.
var impure = []string{
	module + "adapter", module + "server", module + "internal/faker", module + "relayer",
	module + "cmd", module + "platform", "net", "net/http", "os", "os/exec", "io/ioutil", "syscall",
}

// goFiles calls f with the slash path below the root of each Go file.
func goFiles(t *testing.T, f func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := d.Name()
		if d.IsDir() && path != root && strings.HasPrefix(name, ".") {
			return fs.SkipDir
		}
		if !d.IsDir() && strings.HasSuffix(name, ".go") {
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			f(filepath.ToSlash(rel))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func forbidden(imported string) bool {
	return slices.ContainsFunc(impure, func(p string) bool {
		return imported == p || strings.HasPrefix(p, module) && strings.HasPrefix(imported, p+"/")
	})
}

func isDecision(path string) bool {
	first, _, _ := strings.Cut(path, "/")
	return slices.Contains(decisions, first)
}

// Symptom: a decision can only be tested with sockets or real time. Sequence: a
// helper for an adapter is imported where the decision is made. Cause: nothing
// stops an import in the wrong direction but this test.
func TestDecisionsImportNoAdapter(t *testing.T) {
	is := is.New(t)
	var bad []string
	goFiles(t, func(path string) {
		if !isDecision(path) || strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.ImportsOnly)
		is.NoErr(err)
		for _, spec := range file.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			is.NoErr(err)
			if forbidden(imported) {
				bad = append(bad, path+" imports "+imported)
			}
		}
	})
	is.Equal(bad, nil) // imports in the wrong direction
}

// Symptom: a decision gives another answer on a second run. Sequence: it reads
// the clock or starts a goroutine itself. Cause: time must come in as an
// argument, and work in the background belongs to an adapter.
func TestDecisionsReadNoClock(t *testing.T) {
	is := is.New(t)
	var bad []string
	goFiles(t, func(path string) {
		if !isDecision(path) || strings.HasSuffix(path, "_test.go") {
			return
		}
		src, err := os.ReadFile(filepath.Join(root, path))
		is.NoErr(err)
		for n, line := range strings.Split(string(src), "\n") {
			code, _, _ := strings.Cut(line, "//")
			for _, call := range []string{"time.Now(", "time.Since(", "time.Until(", "time.Sleep(", "time.After("} {
				if strings.Contains(code, call) {
					bad = append(bad, path+":"+strconv.Itoa(n+1)+" calls "+call)
				}
			}
		}
	})
	is.Equal(bad, nil) // clocks inside decisions
}

func TestFilesStaySmall(t *testing.T) {
	is := is.New(t)
	var bad []string
	goFiles(t, func(path string) {
		src, err := os.ReadFile(filepath.Join(root, path))
		is.NoErr(err)
		if lines := bytes.Count(src, []byte("\n")); lines > maxLines {
			bad = append(bad, path+" has "+strconv.Itoa(lines)+" lines")
		}
	})
	is.Equal(bad, nil) // files over the limit of lines
}

func TestRulesCanFail(t *testing.T) {
	is := is.New(t)
	is.True(forbidden(module + "adapter/keeper"))
	is.True(forbidden("net/http"))
	is.True(!forbidden("net/netip"))
	is.True(!forbidden(module + "tracker"))
	is.True(isDecision("router/decide.go"))
	is.True(!isDecision("adapter/keeper/keeper.go"))
}
