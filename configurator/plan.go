package configurator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Action says what a Change does to its object.
type Action string

// The actions of a change.
const (
	Create Action = "create"
	Update Action = "update"
	Remove Action = "remove"
)

// FieldChange is one field's old and new value as JSON; empty means absent.
type FieldChange struct {
	Field string
	Old   string
	New   string
}

// String returns "field: old -> new".
func (c FieldChange) String() string {
	return fmt.Sprintf("%s: %s -> %s", c.Field, orAbsent(c.Old), orAbsent(c.New))
}

func orAbsent(s string) string {
	if s == "" {
		return "(absent)"
	}
	return s
}

// Change is one object to write, on condition that it is still at version
// Match; 0 means that there is none.
type Change struct {
	Action Action
	ID     ID
	Match  uint64
	Old    Entry // as it was read; its Spec is nil for a new object
	Spec   Spec  // as it shall be; for a removal the last one
	Fields []FieldChange
}

// Plan checks the documents by themselves and together with what is stored, and
// returns the changes that make the stored objects what the documents say, in
// the order in which they are to be written. Nothing is to be written when the
// error, a *ProblemsError, is not nil. Problems that the stored objects have without
// the documents do not count, so that they can be mended one by one.
func Plan(stored Set, docs []Document) ([]Change, error) {
	problems := checkDocuments(docs)
	merged := maps.Clone(stored)
	if merged == nil {
		merged = make(Set)
	}
	for _, d := range docs {
		merged[d.ID] = after(stored, d)
	}
	if len(problems) == 0 { // references of broken specs would only repeat it
		problems = locate(docs, fresh(docs, checkReferences(merged), checkReferences(stored)))
	}
	if len(problems) > 0 {
		return nil, problems.err()
	}
	var changes []Change
	for _, d := range docs {
		if c, ok := change(stored, d); ok {
			changes = append(changes, c)
		}
	}
	slices.SortStableFunc(changes, inOrder)
	return changes, nil
}

// after returns what a document makes of its object.
func after(stored Set, d Document) Entry {
	e := stored[d.ID]
	e.ID = d.ID
	e.Removed = d.Removed
	if !d.Removed {
		e.Spec = d.Spec
	}
	return e
}

// checkDocuments finds what is wrong with each document by itself.
func checkDocuments(docs []Document) Problems {
	var problems Problems
	seen := make(map[ID]*Document)
	for i := range docs {
		d := &docs[i]
		if first, ok := seen[d.ID]; ok {
			text := fmt.Sprintf("stands twice, first in %s:%d", first.file, first.line(""))
			problems = append(problems, Problem{File: d.file, Line: d.line(""), ID: d.ID, Text: text})
		}
		seen[d.ID] = d
		if d.Removed {
			continue
		}
		for _, f := range checkSpec(d.Spec) {
			problems = append(problems, Problem{File: d.file, Line: d.line(f.field), ID: d.ID, Field: f.field, Text: f.text})
		}
	}
	return problems
}

// fresh returns the problems of objects that have a document, and those that the
// stored objects don't have already. An old one may read a little differently
// now, so it is known by its place.
func fresh(docs []Document, problems, old Problems) Problems {
	known := make(map[Problem]bool, len(old))
	for _, p := range old {
		known[Problem{ID: p.ID, Field: p.Field}] = true
	}
	for _, d := range docs {
		maps.DeleteFunc(known, func(p Problem, _ bool) bool { return p.ID == d.ID })
	}
	return slices.DeleteFunc(problems, func(p Problem) bool { return known[Problem{ID: p.ID, Field: p.Field}] })
}

// locate adds file and line to the problems of objects that have a document.
func locate(docs []Document, problems Problems) Problems {
	for i := range problems {
		for j := range docs {
			if docs[j].ID == problems[i].ID {
				problems[i].File = docs[j].file
				problems[i].Line = docs[j].line(problems[i].Field)
			}
		}
	}
	return problems
}

// change returns what a document changes; ok is false when that is nothing.
func change(stored Set, d Document) (c Change, ok bool) {
	old, there := stored[d.ID]
	c = Change{ID: d.ID, Match: old.Version, Old: old, Spec: d.Spec}
	switch {
	case d.Removed && (!there || old.Removed):
		return c, false
	case d.Removed:
		c.Action, c.Spec = Remove, old.Spec
		return c, true
	case !there || old.Removed:
		c.Action = Create
		c.Fields = diff(nil, d.Spec)
		return c, true
	}
	c.Action = Update
	c.Fields = diff(old.Spec, d.Spec)
	return c, len(c.Fields) > 0
}

// inOrder puts removals first, against the order of Kinds, so that an address or
// a database can move from a removed group to another; then the other changes in
// the order of Kinds.
func inOrder(a, b Change) int {
	if (a.Action == Remove) != (b.Action == Remove) {
		if a.Action == Remove {
			return -1
		}
		return 1
	}
	byKind := cmp.Compare(a.ID.Kind.rank(), b.ID.Kind.rank())
	if a.Action == Remove {
		byKind = -byKind
	}
	return cmp.Or(byKind, strings.Compare(a.ID.Name, b.ID.Name))
}

// diff returns the fields in which two specs differ, by name.
func diff(old, now Spec) []FieldChange {
	a, b := flat(old), flat(now)
	var changes []FieldChange
	for _, field := range slices.Sorted(maps.Keys(merge(a, b))) {
		if a[field] != b[field] {
			changes = append(changes, FieldChange{Field: field, Old: a[field], New: b[field]})
		}
	}
	return changes
}

func merge(a, b map[string]string) map[string]string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

// flat returns a spec's fields by path with their values as JSON. Verifiers are
// shown not at all: a diff ends up in terminals and logs.
func flat(s Spec) map[string]string {
	fields := make(map[string]string)
	if s == nil {
		return fields
	}
	b, err := json.Marshal(s)
	if err != nil {
		panic("configurator: a spec can't be encoded: " + err.Error())
	}
	var v any
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		panic("configurator: a spec can't be decoded: " + err.Error())
	}
	flatten(fields, "", v)
	if v, ok := fields["verifier"]; ok {
		// What may be shown is that there is one, and a number by which two of
		// them can be told apart.
		fields["verifier"] = fmt.Sprintf("%q", fmt.Sprintf("hidden %04x", xxhash.Sum64String(v)&0xffff))
	}
	return fields
}

func flatten(fields map[string]string, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(fields, strings.TrimPrefix(at+"."+name, "."), inner)
		}
	case []any:
		for i, inner := range v {
			flatten(fields, fmt.Sprintf("%s[%d]", at, i), inner)
		}
	default:
		b, _ := json.Marshal(v) // a scalar
		fields[at] = string(b)
	}
}

// UsePreset returns the change that puts a preset in force for its workspace. ok
// is false when it is in force already.
func UsePreset(stored Set, name string) (c Change, ok bool, err error) {
	p, found := live[*Preset](stored, KindPreset, name)
	if !found {
		text := fmt.Sprintf("there is no preset %q; there are: %s", name, orNone(stored.names(KindPreset)))
		return Change{}, false, Problems{{ID: ID{KindPreset, name}, Text: text}}.err()
	}
	d := Document{ID: ID{KindActive, p.Workspace}, Spec: &Active{Preset: name}}
	changes, err := Plan(stored, []Document{d})
	if err != nil || len(changes) == 0 {
		return Change{}, false, err
	}
	return changes[0], true, nil
}

// entry returns the entry that a change writes.
func (c *Change) entry(meta Meta) Entry {
	return Entry{ID: c.ID, Version: c.Match, Meta: meta, Removed: c.Action == Remove, Spec: c.Spec}
}

// describe says who wrote an entry, when, and what differs from what was read.
func describe(e Entry, since Change) string {
	what := "changed"
	if e.Removed {
		what = "removed"
	}
	text := fmt.Sprintf("%s was %s by %s at %s (version %d; read at version %d)",
		e.ID, what, e.Meta.Writer, e.Meta.Time.UTC().Format(time.RFC3339), e.Version, since.Match)
	for _, f := range diff(since.Old.Spec, e.Spec) {
		text += "; " + f.String()
	}
	return text
}
