package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Meta struct {
		Name     string `json:"Name"`
		Revision uint64 `json:"Revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// change is an event of a watch.
type change struct {
	kind     string
	revision uint64
	Object   object `json:"Object"`
	Deleted  bool   `json:"Deleted"`
}

// loss states how the answer of a write is lost: the write is done after a delay, if its condition
// still holds then.
type loss struct {
	late time.Duration
}

// store is a stand-in of the platform's store.
type store struct {
	record *record
	// lose decides, under the lock, whether the answer of a write is lost; nil for never.
	lose func(kind, name string) (loss, bool)

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	// writes counts the writes of all callers since counting began, and lost those without an answer.
	writes, lost int
}

// newStore returns an empty store.
func newStore(r *record) *store {
	return &store{record: r, revision: 10, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object on behalf of the operator or an instance.
func (s *store) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if have, ok := s.objects[kind][name]; ok && string(have.Spec) == string(raw) {
		return
	}
	s.set(kind, name, raw)
}

// set changes an object. The caller holds the lock.
func (s *store) set(kind, name string, spec json.RawMessage) object {
	s.revision++
	var o object
	o.Meta.Name, o.Meta.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP serves the protocol of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.get(w, parts)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, parts)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// respond sends a response.
func respond(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// The caller notices a response that it does not get.
	_ = json.NewEncoder(w).Encode(body)
}

// get responds with one object or with all of a kind.
func (s *store) get(w http.ResponseWriter, parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) > 1 {
		if o, ok := s.objects[parts[0]][parts[1]]; ok {
			respond(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	items := []object{}
	for _, o := range s.objects[parts[0]] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Meta.Name < items[j].Meta.Name })
	respond(w, http.StatusOK, map[string]any{"items": items, "More": false, "At": s.revision})
}

// write handles a write; its answer may be lost.
func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := parts[0]
	s.mu.Lock()
	s.writes++
	if s.lose != nil {
		if l, ok := s.lose(kind, in.Meta.Name); ok {
			s.lost++
			s.mu.Unlock()
			s.record.add("store: the answer to %s %s/%s (condition: revision %d) is lost; done in %s: %s", r.Method, kind, in.Meta.Name, in.Meta.Revision, l.late, in.Spec)
			time.AfterFunc(l.late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				code, _ := s.apply(r.Method, kind, in)
				s.record.add("store: the late %s %s/%s (condition: revision %d) is carried out: %d", r.Method, kind, in.Meta.Name, in.Meta.Revision, code)
			})
			<-r.Context().Done()
			return
		}
	}
	code, o := s.apply(r.Method, kind, in)
	s.mu.Unlock()
	s.record.add("store: %s %s/%s (condition: revision %d) answers %d: %s", r.Method, kind, in.Meta.Name, in.Meta.Revision, code, in.Spec)
	respond(w, code, o)
}

// apply carries out a write if its condition holds. The caller holds the lock.
func (s *store) apply(method, kind string, in object) (int, object) {
	have, ok := s.objects[kind][in.Meta.Name]
	switch {
	case method == http.MethodPost && ok, method == http.MethodPut && ok && in.Meta.Revision != 0 && in.Meta.Revision != have.Meta.Revision:
		return http.StatusConflict, have
	case method == http.MethodPut && !ok:
		return http.StatusNotFound, have
	case ok && string(have.Spec) == string(in.Spec):
		return http.StatusOK, have
	}
	return http.StatusOK, s.set(kind, in.Meta.Name, in.Spec)
}

// watch responds with the changes of a kind after a revision as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitTimeoutMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		found := []change{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				found = append(found, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 || ctx.Err() != nil {
			respond(w, http.StatusOK, map[string]any{"events": found, "At": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// startCounting begins to count the writes.
func (s *store) startCounting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes, s.lost = 0, 0
}

// counts returns the number of writes since counting began, and of those without an answer.
func (s *store) counts() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}
