package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/checker"
	"basildale.example/basildale/demonstrator"
	"basildale.example/basildale/examples"
	"basildale.example/basildale/relayer"
)

// command runs one command line and returns its exit code and output.
func command(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, err bytes.Buffer
	e := &env{ctx: context.Background(), in: strings.NewReader("example\n"), out: &out, err: &err}
	code = runIn(e, args)
	return code, out.String(), err.String()
}

// Symptom: a script goes on although the demonstration lost a booking.
// Sequence: a count is not 0 at the end.
// Cause: the exit code looks only at errors.
func TestBrokenPromisesExitWithOne(t *testing.T) {
	is := is.New(t)
	for _, counts := range []checker.Counts{{Lost: 1}, {Doubled: 1}, {Stale: 1}, {Cut: 1}, {Mixed: 1}} {
		is.Equal(report(io.Discard, verdict(&demonstrator.Report{Counts: counts}, nil)), exitFailed)
	}
	is.Equal(report(io.Discard, verdict(&demonstrator.Report{}, nil)), exitDone)
	is.Equal(report(io.Discard, verdict(nil, errors.New("no port"))), exitFailed)
}

func TestVerifierNeverRepeatsThePassword(t *testing.T) {
	is := is.New(t)
	code, stdout, stderr := command(t, "verifier")
	is.Equal(code, exitDone)
	_, err := relayer.ParseVerifier(strings.TrimSpace(stdout))
	is.NoErr(err)
	is.True(!strings.Contains(stdout+stderr, "example"))
	is.Equal(runIn(&env{in: strings.NewReader("\n"), out: io.Discard, err: io.Discard}, []string{"verifier"}), exitUsage)
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	good := filepath.Join(dir, "good.yaml")
	data, err := examples.Files.ReadFile("damplinjerne.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(good, data, 0o600); err != nil {
		t.Fatal(err)
	}
	key, err := examples.Files.ReadFile("peers.key")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "peers.key"), key, 0o600); err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, append(data, "colour: green\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string
	}{
		{"help", []string{"--help"}, exitDone, "Exit codes: 0 done", ""},
		{"help of a command", []string{"check", "--help"}, exitDone, "Exits with 2", ""},
		{"version", []string{"version"}, exitDone, "basildale ", ""},
		{"no command", nil, exitUsage, "", "--help"},
		{"unknown command", []string{"chekc"}, exitUsage, "", "chekc"},
		{"right settings", []string{"check", good}, exitDone, "all settings are right", ""},
		{"right settings as JSON", []string{"check", "-o", "json", good}, exitDone, "[]", ""},
		{"wrong settings", []string{"check", bad}, exitUsage, "bad.yaml:36: colour is not a setting, allowed are", "1 wrong settings"},
		{"wrong settings as JSON", []string{"check", "-o", "json", bad}, exitUsage, `"line": 36`, "1 wrong settings"},
		{"serve with wrong settings", []string{"serve", bad}, exitUsage, "", "colour is not a setting, allowed are"},
		{"serve without a file", []string{"serve", filepath.Join(dir, "none")}, exitUsage, "", "no such file"},
		{"no file", []string{"check", filepath.Join(dir, "none")}, exitUsage, "", "no such file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := command(t, tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stdout, tc.stdout)) // the output says it
			is.True(strings.Contains(stderr, tc.stderr)) // the errors say it
		})
	}
}
