// Package plat is a stand-in of the users' platform, for tests: its store and
// its executors, with faults, speaking the platform's protocol on loopback.
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

// Fault is how the store misbehaves.
type Fault int

// The faults of the store.
const (
	None         Fault = iota
	Busy               // answers 503 and does nothing
	Silent             // does nothing and never answers
	LostReply          // writes are done, their answers are not sent
	StalledWatch       // watches hear nothing; all else works
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
	ttl  time.Duration
	ends time.Time
}

// Store is the stand-in of the platform's store; it is an http.Handler.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	first   int64 // oldest revision that a watch may begin after
	leases  map[int64]*lease
	moved   chan struct{}
	fault   Fault
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{rev: 1, items: make(map[string]item), leases: make(map[int64]*lease), moved: make(chan struct{})}
}

// SetFault makes the store misbehave from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Compact drops the history that watches need.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.first = nil, s.rev
	s.wake()
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(item{Key: key, Value: value})
	s.wake()
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

func (s *Store) wake() {
	close(s.moved)
	s.moved = make(chan struct{})
}

// expire ends leases whose time has come. The caller holds mu.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.end(id)
		}
	}
}

func (s *Store) end(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP answers one call.
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
		s.list(w, r)
	case path == "/v1/kv-watch":
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.txn(w, r, fault)
	case path == "/v1/kv-lease":
		s.lease(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.keep(w, path)
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.end(number(path))
		s.mu.Unlock()
		answer(w, 200, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(path string) int64 {
	n, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return n
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, 200, it)
}

// pageSize is small, so that tests see several pages.
const pageSize = 5

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
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
	answer(w, 200, map[string]any{"items": items, "truncated": more, "as_of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		if after < s.first {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		deaf := s.fault == StalledWatch
		for _, it := range s.history {
			if !deaf && it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, moved := s.rev, s.moved
		if deaf {
			rev = after
		}
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		case <-moved:
		case <-time.After(50 * time.Millisecond): // leases end without a call
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
		answer(w, 400, map[string]string{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, it := range in.Writes {
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
	s.wake()
	if fault == LostReply {
		panic(http.ErrAbortHandler)
	}
	answer(w, 200, map[string]int64{"revision": s.rev})
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
	s.leases[s.rev] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, 200, map[string]int64{"lease": s.rev, "ttl_ms": in.TTL})
}

func (s *Store) keep(w http.ResponseWriter, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[number(path)]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}
