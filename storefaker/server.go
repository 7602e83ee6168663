// Package storefaker provides a fake of the platform's store.
//
// It serves the protocol of package keeper, counts every call, and can be given
// the faults of the real store.
package storefaker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// maxChanges is the maximum number of writes kept for watches to resume from.
const maxChanges = 4096

// Server is a fake store. It implements http.Handler.
type Server struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]keeper.Object
	changes  []keeper.Object
	vms      []keeper.VM
	changed  chan struct{}
	calls    keeper.CallCounts
	faults   Faults
}

// New returns a Server with an empty store.
func New() *Server {
	return &Server{objects: map[string]keeper.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the active faults and wakes waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// SetVMs replaces the list of live and leaving VMs.
func (s *Server) SetVMs(vms []keeper.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append([]keeper.VM(nil), vms...)
}

// Calls returns the number of calls so far.
func (s *Server) Calls() keeper.CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves the protocol of package keeper.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		http.Error(w, "the store is down", http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.URL.Path == "/vms" && r.Method == http.MethodPut:
		s.putVM(w, r)
	case r.URL.Path == "/vms":
		s.listVMs(w)
	case r.URL.Path == "/watch":
		s.watch(w, r)
	case r.URL.Path == "/objects":
		s.list(w, r)
	case strings.HasPrefix(r.URL.EscapedPath(), "/objects/") && r.Method == http.MethodPut:
		s.put(w, r)
	case strings.HasPrefix(r.URL.EscapedPath(), "/objects/"):
		s.get(w, r)
	default:
		http.NotFound(w, r)
	}
}

// currentFaults returns the active faults.
func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// notifyWatches makes all waiting watches check for changes again. The caller must hold
// s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// objectKey returns the object key of a request.
func objectKey(r *http.Request) string {
	k, err := url.PathUnescape(strings.TrimPrefix(r.URL.EscapedPath(), "/objects/"))
	if err != nil {
		return ""
	}
	return k
}

// get responds with one object.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls.Reads++
	o, ok := s.objects[objectKey(r)]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", o.Version)
	writeJSON(w, o)
}

// put writes one object if the conditions of the request hold.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, keeper.MaxValueBytes+1))
	if err != nil || len(value) > keeper.MaxValueBytes {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	s.calls.Writes++
	dropResponse := s.faults.DroppedResponses > 0
	if dropResponse {
		s.faults.DroppedResponses--
	}
	writeDelay := s.faults.WriteDelay
	s.mu.Unlock()
	if writeDelay > 0 {
		time.Sleep(writeDelay)
	}
	o, ok := s.apply(objectKey(r), value, r.Header.Get("If-Match"), r.Header.Get("If-None-Match"))
	switch {
	case dropResponse:
		abort(w)
	case !ok:
		http.Error(w, "the condition does not hold", http.StatusPreconditionFailed)
	default:
		w.Header().Set("ETag", o.Version)
		writeJSON(w, keeper.Object{Key: o.Key, Version: o.Version, Revision: o.Revision})
	}
}

// apply performs a conditional write and reports whether its conditions held.
func (s *Server) apply(key string, value []byte, match, noneMatch string) (keeper.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[key]
	if (noneMatch == "*" && exists) || (match != "" && (!exists || old.Version != match)) {
		return keeper.Object{}, false
	}
	s.revision++
	o := keeper.Object{Key: key, Version: "v" + strconv.FormatUint(s.revision, 10), Revision: s.revision, Value: value}
	s.objects[key] = o
	s.changes = append(s.changes, o)
	if len(s.changes) > maxChanges {
		s.changes = append([]keeper.Object(nil), s.changes[maxChanges/2:]...)
	}
	s.notifyWatches()
	return o, true
}

// list responds with the objects under a prefix.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.calls.Reads++
	p := keeper.Page{Revision: s.revision}
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			p.Objects = append(p.Objects, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Objects, func(i, j int) bool { return p.Objects[i].Key < p.Objects[j].Key })
	writeJSON(w, p)
}

// watch responds with the writes under a prefix after a revision, and waits for
// them if there are none.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	s.mu.Lock()
	s.calls.Watches++
	s.mu.Unlock()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		p, changed, down := s.changesSince(q.Get("prefix"), after)
		if down {
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		if len(p.Objects) > 0 || p.TooOld {
			writeJSON(w, p)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the writes under a prefix after a revision, a channel that is
// closed at the next change, and whether the store is down.
func (s *Server) changesSince(prefix string, after uint64) (p keeper.Page, changed <-chan struct{}, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.Revision = s.revision
	if after > s.revision || (len(s.changes) > 0 && after+1 < s.changes[0].Revision) {
		p.TooOld = true
		return p, s.changed, s.faults.Down
	}
	for _, o := range s.changes {
		if o.Revision > after && strings.HasPrefix(o.Key, prefix) {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, s.changed, s.faults.Down
}

// putVM adds a VM to the list or replaces the entry with its ID.
func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	var vm keeper.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, keeper.MaxValueBytes)).Decode(&vm); err != nil {
		http.Error(w, "not a VM", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.vms {
		if s.vms[i].ID == vm.ID {
			s.vms[i] = vm
			return
		}
	}
	s.vms = append(s.vms, vm)
}

// listVMs responds with the list of VMs.
func (s *Server) listVMs(w http.ResponseWriter) {
	s.mu.Lock()
	s.calls.Reads++
	vms := append([]keeper.VM{}, s.vms...)
	s.mu.Unlock()
	writeJSON(w, vms)
}

// writeJSON responds with a JSON value.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// abort closes the connection without a response.
func abort(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
