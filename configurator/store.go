package configurator

import (
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// ErrOrder reports a Delta whose objects do not rise in version.
var ErrOrder = errors.New("configurator: objects out of order")

// Delta is a run of changes: whoever holds everything up to version From holds
// everything up to To after taking Items, which rise in version.
type Delta struct {
	From  uint64   `json:"from"`
	Head  uint64   `json:"head"` // the sender's own version; above To when the run was cut
	Items []Object `json:"items"`
}

// To returns the version of a store that has taken the delta.
func (d Delta) To() uint64 {
	if len(d.Items) == 0 {
		return d.From
	}
	return d.Items[len(d.Items)-1].Version
}

// size returns the bytes of the values in a delta.
func (d Delta) size() int {
	n := 0
	for _, o := range d.Items {
		n += len(o.Value)
	}
	return n
}

// whole reports whether the run was not cut.
func (d Delta) whole() bool { return d.To() >= d.Head }

// Store holds a member's copy of the configuration. Its version is that of the
// last change it has taken, and each object is as it was at that version. This
// holds because only whole runs are taken: in a run that was cut the objects that
// changed after the cut are missing altogether, also as they were before, and
// another member that is further behind would never send them. The zero Store is
// empty, at version 0.
type Store struct {
	version uint64
	objects map[string]Object
	order   []place // rising in version
}

// place is one object's position in the order of changes.
type place struct {
	version uint64
	name    string
}

// Version returns the version of the last change taken.
func (s *Store) Version() uint64 { return s.version }

// Get returns one object by its ID as text.
func (s *Store) Get(name string) (Object, bool) {
	o, ok := s.objects[name]
	return o, ok
}

// Objects returns all objects in the order of their versions.
func (s *Store) Objects() []Object {
	all := make([]Object, 0, len(s.order))
	for _, p := range s.order {
		all = append(all, s.objects[p.name])
	}
	return all
}

// Since returns the changes after from, cut after the object that reaches limit
// bytes of values.
func (s *Store) Since(from uint64, limit int) Delta {
	d := Delta{From: from, Head: s.version}
	first := sort.Search(len(s.order), func(i int) bool { return s.order[i].version > from })
	size := 0
	for _, p := range s.order[first:] {
		o := s.objects[p.name]
		d.Items = append(d.Items, o)
		size += len(o.Value)
		if size >= limit {
			break
		}
	}
	return d
}

// Adopt takes the changes of a whole delta that are newer than the store and
// returns them. It takes none when the delta starts after the store's version: changes
// in between would be missing for ever, since later deltas start past them. It
// takes none that are not newer, whoever sent them, so the version never falls.
func (s *Store) Adopt(d Delta) ([]Object, error) {
	if !d.rising() {
		return nil, errors.Wrapf(ErrOrder, "delta from %d", d.From)
	}
	if d.From > s.version || d.To() <= s.version || !d.whole() {
		return nil, nil
	}
	first := sort.Search(len(d.Items), func(i int) bool { return d.Items[i].Version > s.version })
	taken := d.Items[first:]
	for _, o := range taken {
		s.take(o)
	}
	return taken, nil
}

// rising reports whether the versions of a delta rise from its start on.
func (d Delta) rising() bool {
	last := d.From
	for _, o := range d.Items {
		if o.Version <= last {
			return false
		}
		last = o.Version
	}
	return true
}

// take stores an object that is newer than all others.
func (s *Store) take(o Object) {
	if s.objects == nil {
		s.objects = make(map[string]Object)
	}
	if old, ok := s.objects[o.Name]; ok {
		i := sort.Search(len(s.order), func(i int) bool { return s.order[i].version >= old.Version })
		s.order = slices.Delete(s.order, i, i+1)
	}
	s.objects[o.Name] = o
	s.order = append(s.order, place{o.Version, o.Name})
	s.version = o.Version
}
