package auditor

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write golden files")

// A crash of a leader as its log tells it: a late answer, refusals while nobody leads, a
// write in doubt, a change of leader whose steps add up to the gap, refusals after it.
// Lines of others and lines that were cut are counted, not read.
func TestReport(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("testdata/change.log")
	is.NoErr(err)
	defer func() { _ = f.Close() }() // it was only read
	var a Audit
	is.NoErr(a.Read(f))
	report := a.Report()
	got, err := json.MarshalIndent(report, "", "  ")
	is.NoErr(err)
	const golden = "testdata/change.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(string(got)+"\n", string(want))
	is.Equal(len(report.Gaps), 1)
	g := report.Gaps[0]
	is.Equal(g.Noticing+g.Deciding+g.Promoting+g.Hearing, g.To.Sub(g.From))
}

// Logs of several processes are read one after the other, so lines come out of order.
func TestOrderOfLogsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/change.log")
	is.NoErr(err)
	lines := strings.SplitAfter(string(text), "\n")
	half := len(lines) / 2
	var whole, parts Audit
	is.NoErr(whole.Read(strings.NewReader(string(text))))
	is.NoErr(parts.Read(strings.NewReader(strings.Join(lines[half:], ""))))
	is.NoErr(parts.Read(strings.NewReader(strings.Join(lines[:half], ""))))
	is.Equal(whole.Report(), parts.Report())
}
