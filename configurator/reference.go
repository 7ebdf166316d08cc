package configurator

import (
	"fmt"
	"net/netip"
	"slices"
)

// Set holds entries by their ID.
type Set map[ID]Entry

// NewSet takes objects apart. Those that can't be are left out and returned as
// problems.
func NewSet(objects []Object) (Set, Problems) {
	set := make(Set, len(objects))
	var problems Problems
	for _, o := range objects {
		e, err := Decode(o)
		if err != nil {
			problems = append(problems, Problem{Text: err.Error()})
			continue
		}
		set[e.ID] = e
	}
	return set, problems
}

// live returns the spec of an object that is there and not removed.
func live[T Spec](s Set, kind Kind, name string) (spec T, ok bool) {
	e, found := s[ID{kind, name}]
	if !found || e.Removed {
		return spec, false
	}
	spec, ok = e.Spec.(T)
	return spec, ok
}

// names returns the names of the objects of a kind that are there.
func (s Set) names(kind Kind) []string {
	var names []string
	for id, e := range s {
		if id.Kind == kind && !e.Removed {
			names = append(names, id.Name)
		}
	}
	slices.Sort(names)
	return names
}

// all calls each for every object that is there, by kind and name.
func (s Set) all(each func(Entry)) {
	for _, kind := range Kinds() {
		for _, name := range s.names(kind) {
			each(s[ID{kind, name}])
		}
	}
}

// refs finds what does not fit together in a set.
type refs struct {
	set       Set
	problems  Problems
	addresses map[netip.AddrPort]ID
	databases map[[2]string]ID // workspace and database
}

// checkReferences finds the objects that name others that are not there, and
// names and addresses that can be there only once.
func checkReferences(set Set) Problems {
	r := &refs{set: set, addresses: make(map[netip.AddrPort]ID), databases: make(map[[2]string]ID)}
	set.all(r.check)
	return r.problems
}

func (r *refs) add(id ID, field, format string, args ...any) {
	r.problems = append(r.problems, Problem{ID: id, Field: field, Text: fmt.Sprintf(format, args...)})
}

// needs adds a problem unless the object that a field names is there.
func (r *refs) needs(id ID, field string, kind Kind, name string) bool {
	e, ok := r.set[ID{kind, name}]
	if ok && !e.Removed {
		return true
	}
	r.add(id, field, "there is no %s %q; there are: %s", kind, name, orNone(r.set.names(kind)))
	return false
}

func (r *refs) check(e Entry) {
	switch s := e.Spec.(type) {
	case *Workspace:
		if a, ok := live[*Active](r.set, KindActive, e.ID.Name); !ok {
			r.add(e.ID, "name", "no preset is in force; add a document of kind active, named %q, with the preset's name", e.ID.Name)
		} else if p, ok := live[*Preset](r.set, KindPreset, a.Preset); ok && p.Workspace != e.ID.Name {
			r.add(ID{KindActive, e.ID.Name}, "preset", "%q belongs to workspace %q", a.Preset, p.Workspace)
		}
	case *Pool:
		r.needs(e.ID, "workspace", KindWorkspace, s.Workspace)
	case *Group:
		r.group(e.ID, s)
	case *Caller:
		r.needs(e.ID, "workspace", KindWorkspace, s.Workspace)
	case *Preset:
		r.needs(e.ID, "workspace", KindWorkspace, s.Workspace)
	case *Active:
		r.needs(e.ID, "preset", KindPreset, s.Preset)
		r.needs(e.ID, "name", KindWorkspace, e.ID.Name)
	}
}

func (r *refs) group(id ID, s *Group) {
	for i, u := range s.Upstreams {
		if other, ok := r.addresses[u.Address]; ok && other != id {
			r.add(id, fmt.Sprintf("upstreams[%d].address", i), "%s is an upstream of %s already", u.Address, other)
		}
		r.addresses[u.Address] = id
	}
	if !r.needs(id, "pool", KindPool, s.Pool) {
		return
	}
	pool, _ := live[*Pool](r.set, KindPool, s.Pool)
	for i, d := range s.Databases {
		key := [2]string{pool.Workspace, d}
		if other, ok := r.databases[key]; ok {
			r.add(id, fmt.Sprintf("databases[%d]", i), "%q is in %s already", d, other)
		}
		r.databases[key] = id
	}
	ws, ok := live[*Workspace](r.set, KindWorkspace, pool.Workspace)
	if !ok {
		return // the pool's own problem
	}
	for i, u := range s.Upstreams {
		if !slices.Contains(ws.Zones, u.Zone) {
			r.add(id, fmt.Sprintf("upstreams[%d].zone", i), "%q is no zone of workspace %q; allowed: %s", u.Zone, pool.Workspace, joined(ws.Zones))
		}
	}
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return joined(names)
}
