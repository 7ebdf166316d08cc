package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"basildale.example/basildale/meter"
)

const root = "../.."

// pages returns the text of README and docs by file.
func pages(t *testing.T) map[string]string {
	t.Helper()
	files, err := filepath.Glob(root + "/docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	texts := make(map[string]string)
	for _, file := range append(files, root+"/README.md", root+"/CONTRIBUTING.md") {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		texts[filepath.Base(file)] = string(data)
	}
	return texts
}

// model builds the command line without leaving the process.
func model(t *testing.T) *kong.Kong {
	t.Helper()
	k, err := parser(io.Discard, io.Discard, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Symptom: a command copied from a page fails with a usage error.
// Sequence: a flag is renamed, the page isn't.
// Cause: nothing read the page.
func TestDocumentedCommandsParse(t *testing.T) {
	line := regexp.MustCompile(`(?m)^    (?:basildale|go run \./cmd/basildale)[ ]+([^#\n]+)`)
	found := 0
	for page, text := range pages(t) {
		for _, match := range line.FindAllStringSubmatch(text, -1) {
			found++
			t.Run(page+" "+match[1], func(t *testing.T) {
				is := is.New(t)
				_, err := model(t).Parse(strings.Fields(match[1]))
				is.NoErr(err)
			})
		}
	}
	if found < 5 {
		t.Fatalf("only %d commands found in the pages", found)
	}
}

// Symptom: an operator can't find out what a command, flag or metric means.
// Sequence: it was added to the program.
// Cause: the page for operators was forgotten.
func TestOperatorsPageNamesEverything(t *testing.T) {
	is := is.New(t)
	page := pages(t)["OPERATIONS.md"]
	var missing []string
	need := func(text string) {
		if !strings.Contains(page, text) {
			missing = append(missing, text)
		}
	}
	for _, cmd := range model(t).Model.Children {
		need("`basildale " + cmd.Name)
		for _, flag := range cmd.Flags {
			if flag.Name != "help" {
				need("`--" + flag.Name)
			}
		}
	}
	for _, metric := range []string{meter.WaitSeconds, meter.UpstreamSeconds, meter.TotalSeconds, meter.Outcomes, meter.Routes, meter.Callers, meter.WorkspaceRequests, meter.WorkspaceRefusals, meter.WorkspaceQueued, meter.Forwarded} {
		need("`" + metric + "`")
	}
	is.Equal(missing, nil) // not on the page
}

// Symptom: an operator can't find out which part a line of the log is from.
// Sequence: a part logs for the first time. Cause: the page was forgotten.
func TestOperatorsPageNamesEveryLogPrefix(t *testing.T) {
	is := is.New(t)
	line := regexp.MustCompile(`(?m)^[^/\n]*\.(?:Debug|Info|Warn|Error)\("([a-z]+: )`) // no comments
	prefixes := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, match := range line.FindAllStringSubmatch(string(data), -1) {
			prefixes[match[1]] = true
		}
		return err
	})
	is.NoErr(err)
	is.True(len(prefixes) > 5) // the sources log
	page := pages(t)["OPERATIONS.md"]
	for prefix := range prefixes {
		if !strings.Contains(page, "`"+prefix+"`") {
			t.Errorf("%q is not on the page", prefix)
		}
	}
}

// Guards against lines and tables on the page that the program prints otherwise: those of its
// golden files stand there word for word.
func TestOperatorsPageShowsWhatIsPrinted(t *testing.T) {
	is := is.New(t)
	page := pages(t)["OPERATIONS.md"]
	for _, name := range []string{
		"testdata/losses-workspace.golden", "testdata/losses-priority.golden", "testdata/losses-gateway.golden", "testdata/usage.golden",
		root + "/conductor/testdata/ended.golden", root + "/proxier/testdata/changed.golden",
	} {
		data, err := os.ReadFile(name)
		is.NoErr(err)
		var block strings.Builder
		for line := range strings.Lines(string(data)) {
			block.WriteString(strings.TrimRight("    "+line, " \n") + "\n")
		}
		if !strings.Contains(page, block.String()) {
			t.Errorf("%s is not on the page:\n%s", name, block.String())
		}
	}
}
