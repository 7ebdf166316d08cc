package configurator

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"basildale.example/basildale/internal/matcher"
	"basildale.example/basildale/limiter"
)

// golden compares text with a file of testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	matcher.Golden(t, "testdata/"+name, got)
}

func parse(t *testing.T, path string) []Document {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	docs, err := Parse(path, data)
	if err != nil {
		t.Fatal(err)
	}
	return docs
}

const example = "../examples/fleet/damplinjerne.yaml"

// exampleObjects returns the example's objects as they are stored, versions from 1.
func exampleObjects(t *testing.T) []Object {
	t.Helper()
	changes, err := Plan(nil, parse(t, example))
	if err != nil {
		t.Fatal(err)
	}
	a := &Applier{Writer: "anna", Nonce: "n0"}
	var objects []Object
	for cmd := a.Start(changes); cmd != nil; {
		put := cmd.(Put)
		o := Object{Name: put.Name, Version: uint64(len(objects) + 1), Value: put.Value}
		objects = append(objects, o)
		cmd = a.Handle(PutDone{Version: o.Version})
	}
	return objects
}

func stored(t *testing.T) Set {
	t.Helper()
	set, problems := NewSet(exampleObjects(t))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return set
}

// Both examples fit into one fleet.
func TestExamples(t *testing.T) {
	is := is.New(t)
	docs := append(parse(t, example), parse(t, "../examples/fleet/quetzaltenango.yaml")...)
	changes, err := Plan(nil, docs)
	is.NoErr(err)
	is.Equal(len(changes), len(docs))
}

// What get prints can be given to apply.
func TestDocumentsRoundTrip(t *testing.T) {
	is := is.New(t)
	set := stored(t)
	var text []byte
	for _, e := range set {
		doc, err := e.Document()
		is.NoErr(err)
		text = append(append(text, doc...), "---\n"...)
	}
	docs, err := Parse("out.yaml", text)
	is.NoErr(err)
	is.Equal(len(docs), len(set))
	changes, err := Plan(set, docs)
	is.NoErr(err)
	is.Equal(len(changes), 0)
}

func TestProblems(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/problems.yaml")
	is.NoErr(err)
	docs, err := Parse("problems.yaml", data)
	is.True(err != nil)
	text := err.Error() + "\n-- of those that could be read\n"
	_, err = Plan(nil, docs)
	is.True(err != nil)
	golden(t, "problems.golden", text+err.Error()+"\n")
	is.True(!strings.Contains(text+err.Error(), "hunter2")) // it may be a password
}

func TestReferences(t *testing.T) {
	_, err := Plan(stored(t), parse(t, "testdata/references.yaml"))
	golden(t, "references.golden", fmt.Sprintln(err))
}

func TestBrokenYAML(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f.yaml", []byte("kind: pool\nname: [\n"))
	is.True(strings.HasPrefix(err.Error(), "f.yaml:2: "))
	docs, err := Parse("f.yaml", []byte("# nothing\n---\n"))
	is.NoErr(err)
	is.Equal(len(docs), 0)
}

// The order of writes and what is shown to the operator.
func TestPlan(t *testing.T) {
	is := is.New(t)
	changes, err := Plan(nil, parse(t, example))
	is.NoErr(err)
	var b strings.Builder
	show := func(title string, changes []Change) {
		fmt.Fprintln(&b, "--", title)
		for _, c := range changes {
			fmt.Fprintln(&b, c.Action, c.ID, "at", c.Match)
			for _, f := range c.Fields {
				if c.Action == Update {
					fmt.Fprintln(&b, "  ", f)
				}
			}
		}
	}
	show("all new", changes)
	set := stored(t)
	changes, err = Plan(set, parse(t, example))
	is.NoErr(err)
	show("the same again", changes)
	changes, err = Plan(set, parse(t, "testdata/change.yaml"))
	is.NoErr(err)
	show("changed", changes)
	use, ok, err := UsePreset(set, "christmas")
	is.NoErr(err)
	is.True(ok)
	show("preset use", []Change{use})
	_, ok, err = UsePreset(set, "everyday")
	is.NoErr(err)
	is.True(!ok) // in force already
	_, _, err = UsePreset(set, "easter")
	fmt.Fprintln(&b, "-- preset use easter")
	fmt.Fprintln(&b, err)
	golden(t, "plan.golden", b.String())
}

// Every prefix of the writes is a configuration that can be in force: a crash of
// the operator's command between any two of them leaves no workspace without a
// preset and no reference without its object.
func TestPrefixes(t *testing.T) {
	is := is.New(t)
	objects := exampleObjects(t)
	for n := range len(objects) + 1 {
		set, _ := NewSet(objects[:n])
		c := Build(set, uint64(n))
		is.Equal(len(c.Problems), 0)
		for _, w := range c.Workspaces {
			is.True(w.Preset != nil)
		}
	}
}

// What a preset says reaches the limits of each upstream, and every preset that
// passes the checks makes limits that can be kept.
func TestPresetLimits(t *testing.T) {
	is := is.New(t)
	set := stored(t)
	set[ID{KindActive, "damplinjerne"}] = Entry{ID: ID{KindActive, "damplinjerne"}, Spec: &Active{Preset: "maintenance"}}
	c := Build(set, 1)
	l, ok := c.GroupLimits("billet-db-1")
	is.True(ok)
	is.NoErr(l.Check())
	is.Equal(l.Window, 4)
	is.Equal(l.OpenRate, 5.0)
	who, ok := c.LimitsOf("kiosk")
	is.True(ok)
	is.True(!who.Writes)
}

func TestConfig(t *testing.T) {
	is := is.New(t)
	c := Build(stored(t), 12)
	name, g, ok := c.GroupOf("kiosk", "seats2")
	is.True(ok)
	is.Equal(name, "billet-db-2")
	is.Equal(g.Connections, 35)
	_, _, ok = c.GroupOf("stranger", "seats2")
	is.True(!ok)
	l, ok := c.LimitsOf("handheld")
	is.True(ok)
	is.Equal(fmt.Sprint(l), "{lookup 1.5s 5s false true}")
	g2, ok := c.GroupLimits("billet-db-2")
	is.True(ok)
	is.NoErr(g2.Check())
	is.Equal(g2.Connections, 35)
	is.Equal(g2.Classes[limiter.Booking], limiter.ClassLimits{Weight: 2, DefaultTimeout: 2 * time.Second})
	is.Equal(g2.Classes[limiter.Lookup].Slots, 4)
}

// Symptom: a workspace without any limits. Sequence: one operator removes a
// preset while another puts it in force; each change is right by itself. Cause:
// the removal took the content away.
func TestRemovedPresetStaysInForce(t *testing.T) {
	is := is.New(t)
	set := stored(t)
	gone := set[ID{KindPreset, "everyday"}]
	gone.Removed = true
	set[gone.ID] = gone
	c := Build(set, 13)
	is.Equal(c.Workspaces["damplinjerne"].Name, "everyday")
	is.True(len(c.Workspaces["damplinjerne"].Preset.Classes) > 0)
	is.Equal(len(c.Problems), 1)
}
