package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// readsPerSecond and writesPerSecond are the rates of calls that the store accepts.
	readsPerSecond  = 2000
	writesPerSecond = 400
)

// storedObject is an object of the store.
type storedObject struct {
	Meta storedMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// storedMeta is the metadata of an object.
type storedMeta struct {
	Name            string `json:"Name"`
	Revision        uint64 `json:"Revision"`
	CreatedRevision uint64 `json:"CreatedRevision"`
}

// storeEvent is a change of an object.
type storeEvent struct {
	kind     string
	revision uint64
	Object   storedObject `json:"Object"`
	Deleted  bool         `json:"Deleted"`
}

// storeState is what a copy of the store holds.
type storeState struct {
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storeEvent
}

// clone returns a copy of the state.
func (s storeState) clone() storeState {
	out := storeState{revision: s.revision, objects: map[string]map[string]storedObject{}, events: slices.Clone(s.events)}
	for kind, objects := range s.objects {
		out.objects[kind] = maps.Clone(objects)
	}
	return out
}

// store stands in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	state   storeState
	copied  storeState
	era     uint64
	away    bool
	changed chan struct{}
	second  int64
	reads   int
	writes  int
	refused int
	peak    int
	record  *record
}

// newStore returns an empty store.
func newStore(r *record) *store {
	return &store{state: storeState{revision: 10, objects: map[string]map[string]storedObject{}}, era: 1, changed: make(chan struct{}), record: r}
}

// wake wakes the waiting watches. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object. The caller holds the lock.
func (s *store) put(kind, name string, spec json.RawMessage) storedObject {
	before, known := s.state.objects[kind][name]
	if known && string(before.Spec) == string(spec) {
		return before
	}
	s.state.revision++
	o := storedObject{Meta: storedMeta{Name: name, Revision: s.state.revision, CreatedRevision: before.Meta.CreatedRevision}, Spec: spec}
	if !known {
		o.Meta.CreatedRevision = s.state.revision
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]storedObject{}
	}
	s.state.objects[kind][name] = o
	s.state.events = append(s.state.events, storeEvent{kind: kind, revision: s.state.revision, Object: o})
	s.wake()
	return o
}

// Put writes an object on behalf of the operator or of an instance.
func (s *store) Put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// Copy takes the copy from which the store comes back in a drill.
func (s *store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.state.clone()
	s.record.add("store: copy taken at revision %d", s.state.revision)
}

// SetAway makes the store answer 503 to every call, or ends that.
func (s *store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
	s.record.add("store: away=%t", away)
}

// Restore replaces the content by the copy. What the operator and the instances wrote is
// written again; what the system wrote since the copy is gone.
func (s *store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.state
	s.state = s.copied.clone()
	s.era++
	for _, kind := range []string{"config", "servers"} {
		for _, name := range slices.Sorted(maps.Keys(lost.objects[kind])) {
			s.put(kind, name, lost.objects[kind][name].Spec)
		}
	}
	s.wake()
	s.record.add("store: back from the copy in era %d at revision %d, before %d", s.era, s.state.revision, lost.revision)
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	away, limited := s.away, s.overRate(r.Method == http.MethodGet)
	s.mu.Unlock()
	switch {
	case away:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	if r.URL.Query().Has("Watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		if o, ok := s.state.objects[kind][name]; ok {
			reply(w, http.StatusOK, o)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		s.change(w, r, kind, name)
	}
}

// overRate counts a call and reports whether it is beyond the rate. The caller holds the lock.
func (s *store) overRate(read bool) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	count, limit := &s.writes, writesPerSecond
	if read {
		count, limit = &s.reads, readsPerSecond
	}
	*count++
	s.peak = max(s.peak, s.reads)
	if *count > limit {
		s.refused++
	}
	return *count > limit
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// list responds with the objects of a kind. The caller holds the lock.
func (s *store) list(w http.ResponseWriter, kind string) {
	items := []storedObject{}
	for _, name := range slices.Sorted(maps.Keys(s.state.objects[kind])) {
		items = append(items, s.state.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "More": false, "At": s.state.revision})
}

// change runs a call that writes. The caller holds the lock.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in storedObject
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Meta.Name
	}
	revision := in.Meta.Revision
	if q := r.URL.Query().Get("Revision"); q != "" {
		revision, _ = strconv.ParseUint(q, 10, 64)
	}
	before, known := s.state.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known, known && revision != 0 && revision != before.Meta.Revision:
		reply(w, http.StatusConflict, before)
	case r.Method != http.MethodPost && !known:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		delete(s.state.objects[kind], name)
		s.state.revision++
		s.state.events = append(s.state.events, storeEvent{kind: kind, revision: s.state.revision, Object: before, Deleted: true})
		s.wake()
		w.WriteHeader(http.StatusNoContent)
	default:
		o := s.put(kind, name, in.Spec)
		s.record.add("store: %s %s/%s revision %d: %s", r.Method, kind, name, o.Meta.Revision, in.Spec)
		reply(w, http.StatusOK, o)
	}
}

// watch responds with the changes of a kind after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitTimeoutMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.state.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeEvent{}
		for _, e := range s.state.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		at, changed := s.state.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "At": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
