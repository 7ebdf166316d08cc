package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// beatInterval is the time between two heartbeats of a backend. An entry without one for three
// intervals is removed.
const beatInterval = 1200 * time.Millisecond

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is the platform's metadata store and its call for promotions. It keeps all history.
type store struct {
	group *group

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object // by kind and name
	beats    map[string]time.Time          // of backends, by id
	events   []event
	changed  chan struct{}
}

// startStore serves the store on a free port and returns its address.
func startStore(g *group) (*store, string, error) {
	s := &store{group: g, revision: 10, objects: map[string]map[string]*object{}, beats: map[string]time.Time{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", s.promote)
	mux.HandleFunc("GET /basildale/objects/{kind}", s.list)
	mux.HandleFunc("POST /basildale/objects/{kind}", s.create)
	mux.HandleFunc("GET /basildale/objects/{kind}/{name}", s.get)
	mux.HandleFunc("PUT /basildale/objects/{kind}/{name}", s.put)
	mux.HandleFunc("DELETE /basildale/objects/{kind}/{name}", s.remove)
	go func() { _ = http.Serve(ln, mux) }() // until the command ends
	go s.expire()
	return s, ln.Addr().String(), nil
}

// expire removes the entries of backends that have sent no heartbeat for three intervals.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, at := range s.beats {
			if time.Since(at) > 3*beatInterval {
				delete(s.beats, id)
				s.drop("servers", id)
			}
		}
		s.mu.Unlock()
	}
}

// beat takes a heartbeat. The entry changes only if what it says has changed.
func (s *store) beat(id string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[id] = time.Now()
	s.set("servers", id, encode(spec))
}

// has reports whether a backend is listed.
func (s *store) has(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects["servers"][id] != nil
}

// write stores an object whatever its revision.
func (s *store) write(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, encode(spec))
}

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the stand-in's own values
	}
	return b
}

// set stores an object. The caller holds the lock.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &object{Meta: meta{Name: name, Created: s.revision}}
		s.objects[kind][name] = o
	}
	o.Spec, o.Meta.Revision = spec, s.revision
	s.note(event{kind, s.revision, *o, false})
	return *o
}

// drop deletes an object. The caller holds the lock.
func (s *store) drop(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.note(event{kind, s.revision, *o, true})
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	if v != nil {
		_ = json.NewEncoder(w).Encode(v) // a caller that has left reads nothing
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query, kind := r.URL.Query(), r.PathValue("kind")
	if query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > query.Get("after") {
			items = append(items, *o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "more": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		found := []event{}
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		ended := len(found) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-over:
			case <-r.Context().Done():
				return
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
		return
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[r.PathValue("kind")][r.PathValue("name")]; o != nil {
		answer(w, http.StatusOK, o)
		return
	}
	answer(w, http.StatusNotFound, nil)
}

func (s *store) create(w http.ResponseWriter, r *http.Request) { s.change(w, r, "") }

func (s *store) put(w http.ResponseWriter, r *http.Request) { s.change(w, r, r.PathValue("name")) }

// change creates an object, for an empty name, or replaces one.
func (s *store) change(w http.ResponseWriter, r *http.Request, name string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	kind := r.PathValue("kind")
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][in.Meta.Name]
	if name != "" {
		o = s.objects[kind][name]
	}
	switch {
	case name == "" && o != nil, name != "" && o != nil && in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		answer(w, http.StatusConflict, o)
	case name == "":
		answer(w, http.StatusCreated, s.set(kind, in.Meta.Name, in.Spec))
	case o == nil:
		answer(w, http.StatusNotFound, nil)
	default:
		answer(w, http.StatusOK, s.set(kind, name, in.Spec))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name := r.PathValue("kind"), r.PathValue("name")
	o := s.objects[kind][name]
	expected := r.URL.Query().Get("revision")
	switch {
	case o == nil:
		answer(w, http.StatusNotFound, nil)
	case expected != "" && expected != strconv.FormatUint(o.Meta.Revision, 10):
		answer(w, http.StatusConflict, o)
	default:
		s.drop(kind, name)
		answer(w, http.StatusOK, nil)
	}
}

func (s *store) promote(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("Basildale-Fence-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&in) != nil || err != nil || r.Header.Get("Basildale-Duty-Holder") == "" {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if in.Service != s.group.name || !s.group.promote(in.ID, token, r.Header.Get("Basildale-Duty-Holder")) {
		answer(w, http.StatusConflict, nil)
		return
	}
	answer(w, http.StatusOK, nil)
}
