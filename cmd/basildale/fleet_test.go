package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"basildale.example/basildale/adapter/keeper"
	"basildale.example/basildale/configurator"
	"basildale.example/basildale/internal/faker/platform"
)

const fleetExample = "../../examples/fleet/damplinjerne.yaml"

// operator runs commands against a platform of its own.
type operator struct {
	*is.I
	t        *testing.T
	platform *platform.Platform
}

func newOperator(t *testing.T) operator {
	p := &platform.Platform{}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	t.Setenv("BASILDALE_PLATFORM", p.Addr().String())
	return operator{I: is.New(t), t: t, platform: p}
}

// does runs a command line that has to end with code and returns its output.
func (o operator) does(code int, args ...string) string {
	o.Helper()
	got, stdout, stderr := command(o.t, args...)
	if got != code {
		o.t.Fatalf("%v: exit code %d in place of %d\n%s%s", args, got, code, stdout, stderr)
	}
	return stdout + stderr
}

// file writes documents and returns the path.
func (o operator) file(text string) string {
	path := filepath.Join(o.t.TempDir(), "f.yaml")
	o.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestFleetCommands(t *testing.T) {
	o := newOperator(t)
	out := o.does(exitDone, "apply", "-f", fleetExample, "--writer", "anna")
	o.True(strings.Contains(out, "create group/billet-db-1\n"))
	o.Equal(o.does(exitDone, "apply", "-f", fleetExample), "nothing changed\n")
	o.Equal(o.does(exitDone, "diff", "-f", fleetExample), "no differences\n")

	o.does(exitUsage, "diff", "-f", o.file(o.does(exitDone, "get", "all", "-o", "yaml"))) // verifiers are left out
	again := o.file(o.does(exitDone, "get", "all", "-o", "yaml", "--secrets"))
	o.Equal(o.does(exitDone, "diff", "-f", again), "no differences\n")
	o.True(strings.Contains(o.does(exitDone, "get", "group"), "billet-db-3"))
	o.does(exitFailed, "get", "group", "nobody")

	o.Equal(o.does(exitDone, "preset", "use", "christmas", "--writer", "berta"), "update active/damplinjerne\n")
	var shown []shownPreset
	o.NoErr(json.Unmarshal([]byte(o.does(exitDone, "preset", "show", "-o", "json")), &shown))
	o.Equal(shown[0].Preset, "christmas")
	o.Equal(shown[0].Writer, "berta")
	o.Equal(shown[0].Others, []string{"everyday", "maintenance"})

	removal := o.file("kind: preset\nname: everyday\nremoved: true\n")
	o.Equal(o.does(exitDone, "apply", "-f", removal), "remove preset/everyday\n")
	o.does(exitFailed, "get", "preset", "everyday")
	o.True(strings.Contains(o.does(exitDone, "get", "preset", "everyday", "--removed"), "removed"))
}

// A verifier that is made can be put into a document, and opens the account.
func TestVerifier(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	e := &env{ctx: context.Background(), in: strings.NewReader("hunter2\n"), out: &out, err: &errs}
	is.NoErr(verifierCmd{}.Run(e))
	is.True(!strings.Contains(out.String()+errs.String(), "hunter2"))
	o := newOperator(t)
	o.does(exitDone, "apply", "-f", fleetExample)
	doc := "kind: caller\nname: new\nworkspace: damplinjerne\nclass: lookup\nverifier: " + out.String()
	o.Equal(o.does(exitDone, "apply", "-f", o.file(doc)), "create caller/new\n")
	o.True(!strings.Contains(o.does(exitDone, "get", "caller", "new", "-o", "json"), "SCRAM"))
	e.in = strings.NewReader("\n")
	is.True(verifierCmd{}.Run(e) != nil)
}

func TestWrongDocumentsWriteNothing(t *testing.T) {
	o := newOperator(t)
	text := o.does(exitUsage, "apply", "-f", fleetExample, "-f", o.file("kind: pool\nname: p\nworkspace: nowhere\n"))
	o.True(strings.Contains(text, `f.yaml:3: pool/p: workspace: there is no workspace "nowhere"; there are: damplinjerne`))
	o.Equal(o.platform.Calls()["put"], 0)
	o.does(exitUsage, "preset", "use", "easter")
}

// Symptom: an operator repeats a change that is in force already, or believes in
// one that is not. Sequence: the answer to a write is lost; the platform is down.
// Cause: the command takes a broken connection for "not written".
func TestFleetCommandsInTrouble(t *testing.T) {
	o := newOperator(t)
	o.platform.LoseAnswer()
	o.True(strings.Contains(o.does(exitDone, "apply", "-f", fleetExample), "create preset/christmas\n"))
	o.platform.Down()
	o.does(exitSilent, "preset", "use", "christmas", "--timeout", "50ms")
	o.platform.Up()
	o.True(strings.Contains(o.does(exitDone, "preset", "show"), "everyday"))
}

// Symptom: the later of two operators undoes what the first has just done.
// Sequence: both read, the first writes, the second writes. Cause: the second
// write doesn't depend on what was read.
func TestOperatorsRace(t *testing.T) {
	o := newOperator(t)
	o.does(exitDone, "apply", "-f", fleetExample)
	second := writing{fleet: fleet{Platform: []netip.AddrPort{o.platform.Addr()}, Timeout: time.Minute}, Writer: "berta"}
	var out bytes.Buffer
	e := &env{ctx: context.Background(), out: &out, err: &out}
	err := second.change(e, format{}, func(set configurator.Set) ([]configurator.Change, error) {
		o.does(exitDone, "preset", "use", "maintenance", "--writer", "anna")
		change, _, err := configurator.UsePreset(set, "christmas")
		return []configurator.Change{change}, err
	})
	o.Equal(report(&out, err), exitRefused)
	o.True(strings.Contains(out.String(), `active/damplinjerne was changed by anna`))
	o.True(strings.Contains(out.String(), `preset: "everyday" -> "maintenance"`))
}

// A wait ends when every live proxy has the version, and names those that don't.
func TestAwait(t *testing.T) {
	o := newOperator(t)
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 5432) }
	o.platform.SetInstances([]platform.Instance{
		{Name: "p1", Role: "proxy", Address: at(1), State: "live"},
		{Name: "p2", Role: "proxy", Address: at(2), State: "live"},
		{Name: "p3", Role: "proxy", Address: at(3), State: "leaving"},
		{Name: "u1", Role: "upstream", Address: at(4), State: "live"},
	})
	client := &keeper.Client{Addrs: []netip.AddrPort{o.platform.Addr()}}
	e := &env{ctx: context.Background(), out: &bytes.Buffer{}, err: &bytes.Buffer{}}
	asked := make(chan netip.AddrPort, 100)
	rounds := 0
	w := inForce{Port: 7480, Patience: time.Hour, version: func(_ context.Context, addr netip.AddrPort) (uint64, error) {
		asked <- addr
		if addr.Addr() == at(2).Addr() {
			rounds++ // only this address is counted, one call at a time
			return uint64(rounds), nil
		}
		return 7, nil
	}}
	n, err := w.await(e, client, 2)
	o.NoErr(err)
	o.Equal(n, 2)
	o.Equal((<-asked).Port(), uint16(7480))

	w.version = func(_ context.Context, addr netip.AddrPort) (uint64, error) {
		if addr.Addr() == at(2).Addr() {
			return 0, errors.New("silent")
		}
		return 1, nil
	}
	behind := w.behind(e.ctx, []netip.AddrPort{at(1), at(2)}, 2)
	o.Equal(behind, []string{"10.0.0.1:5432 (version 1)", "10.0.0.2:5432 (no answer)"})
}
