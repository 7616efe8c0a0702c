// Package plat is a stand-in for the users' platform in tests: its store and
// its executors, which speak the platform's protocol on loopback and inject
// faults.
package plat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a fault that the store injects.
type Fault int

// The faults of the store.
const (
	None         Fault = iota
	Busy               // every call is refused with 503
	Silent             // calls are not carried out and get no response
	LostResponse       // writes are applied, their responses are dropped
	StalledWatch       // watches report no changes; other calls work
	SilentWatch        // watches get no response; other calls work
)

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is a stand-in for the platform's store; it is an http.Handler.
type Store struct {
	mu         sync.Mutex
	rev        int64
	items      map[string]item
	history    []item
	compactRev int64 // oldest revision that a watch may start after
	leases     map[int64]*lease
	changed    chan struct{}
	fault      Fault
	valueBytes int // length of the longest value that is accepted
}

// maxValueBytes is value_bytes of the users' sites.
const maxValueBytes = 1 << 20

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rev: 1, valueBytes: maxValueBytes, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{})}
}

// SetFault sets the fault that the store injects from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// LimitValues sets the length of the longest value that is accepted from now on; 0 sets that of the users'
// sites.
func (s *Store) LimitValues(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.valueBytes = bytes; bytes == 0 {
		s.valueBytes = maxValueBytes
	}
}

// Compact drops the history, so that a watch from an older revision fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactRev = nil, s.rev
	s.notify()
}

// Put writes a key unconditionally, as an operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: value})
	s.notify()
}

// Remove removes a key unconditionally, as an operator does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

func (s *Store) write(it item) {
	it.Revision, it.Created = s.rev, s.rev
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.rev, Tombstone: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases revokes the leases that have expired. The caller holds mu.
func (s *Store) expireLeases() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.revoke(id)
		}
	}
}

func (s *Store) revoke(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		return
	}
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.get(w, r)
	case path == "/v1/kv-range":
		s.listRange(w, r)
	case path == "/v1/kv-watch" && fault == SilentWatch:
		<-r.Context().Done()
	case path == "/v1/kv-watch":
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.txn(w, r, fault)
	case path == "/v1/kv-lease":
		s.lease(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.keepAlive(w, path)
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.revoke(idFromPath(path))
		s.mu.Unlock()
		writeJSON(w, 200, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func idFromPath(path string) int64 {
	n, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return n
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, 200, it)
}

// pageSize is small so that tests cover paging.
const pageSize = 5

func (s *Store) listRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	q := r.URL.Query()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	writeJSON(w, 200, map[string]any{"items": items, "truncated": more, "as_of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expireLeases()
		if after < s.compactRev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		stalled := s.fault == StalledWatch
		for _, it := range s.history {
			if !stalled && it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		if stalled {
			rev = after
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		case <-changed:
		case <-time.After(50 * time.Millisecond): // leases expire without a call
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request, fault Fault) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Writes []item   `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expected)+len(in.Writes)+len(in.Remove) > 32 {
		writeJSON(w, 400, map[string]string{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, it := range in.Writes {
		if len(it.Value) > s.valueBytes {
			writeJSON(w, 400, map[string]string{"error": "value too long"})
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, it := range in.Writes {
		s.write(it)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.notify()
	if fault == LostResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, 200, map[string]int64{"revision": s.rev})
}

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTL < 1000 {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	ttl := time.Duration(in.TTL) * time.Millisecond
	s.leases[s.rev] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, 200, map[string]int64{"lease": s.rev, "ttl_ms": in.TTL})
}

func (s *Store) keepAlive(w http.ResponseWriter, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	l := s.leases[idFromPath(path)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}
