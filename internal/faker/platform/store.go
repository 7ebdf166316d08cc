package platform

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"sync"
)

// Object is one stored value. Version is the store's at the object's last
// change. Deleted marks what a watch tells of an object that is gone.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// page is the answer to a list or a watch.
type page struct {
	Items   []Object `json:"items"`
	Version uint64   `json:"version"`
	More    bool     `json:"more,omitempty"`
}

type key struct{ kind, name string }

// result tells a conditional change that took place from those that did not.
type result uint8

const (
	changed result = iota
	conflict
	missing
)

// store holds the objects, deleted ones too, and wakes those who wait for a
// change. The zero value is empty.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[key]Object
	wake    chan struct{}
}

func (s *store) get(k key) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[k]
	return o, ok && !o.Deleted
}

// put stores value if the object's version is match; 0 means that there is none.
func (s *store) put(k key, match uint64, value json.RawMessage) (Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, ok := s.objects[k]
	if ok && now.Deleted {
		now, ok = Object{Kind: k.kind, Name: k.name}, false
	}
	if now.Version != match {
		if !ok {
			now = Object{Kind: k.kind, Name: k.name}
		}
		return now, conflict
	}
	return s.change(Object{Kind: k.kind, Name: k.name, Value: value}), changed
}

// remove deletes the object if its version is match.
func (s *store) remove(k key, match uint64) (Object, result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, ok := s.objects[k]
	if !ok || now.Deleted {
		return Object{}, missing
	}
	if now.Version != match {
		return now, conflict
	}
	return s.change(Object{Kind: k.kind, Name: k.name, Deleted: true}), changed
}

// change stores o at the next version and wakes the watches. The caller holds
// the lock.
func (s *store) change(o Object) Object {
	if s.objects == nil {
		s.objects = make(map[key]Object)
	}
	s.version++
	o.Version = s.version
	s.objects[key{o.Kind, o.Name}] = o
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
	return o
}

// list returns up to limit objects of a kind with names past after.
func (s *store) list(kind, after string, limit int) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.pick(func(o Object) bool {
		return o.Kind == kind && !o.Deleted && o.Name > after
	})
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	cut := min(limit, len(items))
	return page{Items: items[:cut], Version: s.version, More: cut < len(items)}
}

// since returns up to limit changes of a kind past a version, in their order,
// and a channel that is closed by the next change of anything. The page's
// version is where a reader goes on from: the store's, or the last item's when
// the page was cut.
func (s *store) since(kind string, after uint64, limit int) (page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := s.pick(func(o Object) bool { return o.Kind == kind && o.Version > after })
	slices.SortFunc(items, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	if len(items) > limit {
		items = items[:limit]
		return page{Items: items, Version: items[limit-1].Version, More: true}, s.wake
	}
	return page{Items: items, Version: s.version}, s.wake
}

func (s *store) pick(want func(Object) bool) []Object {
	items := []Object{}
	for o := range maps.Values(s.objects) {
		if want(o) {
			items = append(items, o)
		}
	}
	return items
}
