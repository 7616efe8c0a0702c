// Package kvfake is a stand-in for the platform's key-value service in tests
// and in the demo. It keeps all data in memory and injects faults on request.
package kvfake

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// SlowMS delays every response, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of further writes that are applied but whose
	// responses are dropped.
	LoseAnswers int `json:"lose_answers"`
	// StallWatches keeps watches open but drops their events.
	StallWatches bool `json:"stall_watches"`
}

type item struct {
	value []byte
	rev   int64
	lease int64
}

type change struct {
	rev     int64
	key     string
	value   []byte
	deleted bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is the stand-in. The zero value is an empty store without faults.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []change
	rev      int64
	leases   map[int64]*lease
	nextID   int64
	faults   Faults
	calls    map[string]int
	changed  chan struct{}
	initOnce sync.Once
}

// leaseCheckInterval is the interval between checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

func (s *Store) init() {
	s.initOnce.Do(func() {
		s.items = make(map[string]item)
		s.leases = make(map[int64]*lease)
		s.calls = make(map[string]int)
		s.changed = make(chan struct{})
		s.rev = 1
		go s.expireLeases()
	})
}

func (s *Store) expireLeases() {
	for range time.Tick(leaseCheckInterval) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.dropLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Handler serves the paths of the service's HTTP gateway, and /fault, /calls
// and /expire for tests.
func (s *Store) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("/v3/kv/range", s.withFaults("range", s.rangeKeys))
	mux.HandleFunc("/v3/kv/txn", s.withFaults("txn", s.txn))
	mux.HandleFunc("/v3/lease/grant", s.withFaults("lease", s.grant))
	mux.HandleFunc("/v3/lease/keepalive", s.withFaults("lease", s.keepAlive))
	mux.HandleFunc("/v3/lease/revoke", s.withFaults("lease", s.revoke))
	mux.HandleFunc("/v3/watch", s.watch)
	mux.HandleFunc("/fault", s.setFaults)
	mux.HandleFunc("/calls", s.showCalls)
	mux.HandleFunc("/expire", s.expireAll)
	return mux
}

func (s *Store) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) showCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}

// expireAll expires every lease at once.
func (s *Store) expireAll(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.dropLease(id)
	}
}

type fields map[string]json.RawMessage

func (f fields) bytes(name string) []byte {
	var b []byte
	_ = json.Unmarshal(f[name], &b)
	return b
}

func (f fields) number(name string) int64 {
	v, _ := strconv.ParseInt(string(bytes.Trim(f[name], `"`)), 10, 64)
	return v
}

func (f fields) text(name string) string {
	return string(bytes.Trim(f[name], `"`))
}

func (f fields) nested(name string) fields {
	var in fields
	_ = json.Unmarshal(f[name], &in)
	return in
}

func (f fields) list(name string) []fields {
	var in []fields
	_ = json.Unmarshal(f[name], &in)
	return in
}

type handler func(in fields) (response any, wrote bool)

func (s *Store) withFaults(kind string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in fields
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.calls[kind]++
		faults := s.faults
		s.mu.Unlock()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.SlowMS > 0 {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		s.mu.Lock()
		response, wrote := h(in)
		dropResponse := wrote && s.faults.LoseAnswers > 0
		if dropResponse {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		if dropResponse {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(response)
	}
}

type object map[string]any

func formatInt(v int64) string { return strconv.FormatInt(v, 10) }

func (s *Store) header() object { return object{"revision": formatInt(s.rev)} }

func (s *Store) rangeKeys(in fields) (any, bool) {
	from, end := string(in.bytes("key")), string(in.bytes("range_end"))
	var keys []string
	for k := range s.items {
		if k == from || (end != "" && k >= from && k < end) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if in.text("sort_target") == "MOD" {
		newestFirst := in.text("sort_order") == "DESCEND"
		sort.Slice(keys, func(i, j int) bool {
			return (s.items[keys[i]].rev > s.items[keys[j]].rev) == newestFirst
		})
	}
	if n := in.number("limit"); n > 0 && int64(len(keys)) > n {
		keys = keys[:n]
	}
	var kvs []object
	for _, k := range keys {
		kv := s.kv(k)
		if in.text("keys_only") == "true" {
			delete(kv, "value")
		}
		kvs = append(kvs, kv)
	}
	return object{"header": s.header(), "kvs": kvs}, false
}

func (s *Store) kv(k string) object {
	it := s.items[k]
	return object{"key": []byte(k), "value": it.value, "mod_revision": formatInt(it.rev)}
}

func (s *Store) txn(in fields) (any, bool) {
	for _, c := range in.list("compare") {
		if s.items[string(c.bytes("key"))].rev != c.number("mod_revision") {
			return object{"header": s.header()}, false
		}
	}
	s.rev++
	for _, op := range in.list("success") {
		if put := op.nested("request_put"); put != nil {
			s.put(string(put.bytes("key")), put.bytes("value"), put.number("lease"))
		}
		if del := op.nested("request_delete_range"); del != nil {
			s.remove(string(del.bytes("key")))
		}
	}
	s.notify()
	return object{"header": s.header(), "succeeded": true}, true
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.items[key] = item{value: value, rev: s.rev, lease: leaseID}
	s.history = append(s.history, change{rev: s.rev, key: key, value: value})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, change{rev: s.rev, key: key, deleted: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) grant(in fields) (any, bool) {
	s.nextID++
	ttl := time.Duration(in.number("TTL")) * time.Second
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return object{"ID": formatInt(s.nextID), "TTL": in.text("TTL")}, true
}

func (s *Store) keepAlive(in fields) (any, bool) {
	l, ok := s.leases[in.number("ID")]
	if !ok {
		return object{"result": object{"ID": in.text("ID")}}, false
	}
	l.expires = time.Now().Add(l.ttl)
	return object{"result": object{"ID": in.text("ID"), "TTL": formatInt(int64(l.ttl / time.Second))}}, true
}

func (s *Store) revoke(in fields) (any, bool) {
	s.dropLease(in.number("ID"))
	return object{}, true
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.lease == id {
			s.rev++
			s.remove(k)
		}
	}
	s.notify()
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var in fields
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	create := in.nested("create_request")
	from, end := string(create.bytes("key")), string(create.bytes("range_end"))
	next := create.number("start_revision")
	flusher := w.(http.Flusher)
	_ = json.NewEncoder(w).Encode(object{"result": object{"created": true}})
	flusher.Flush()
	for {
		s.mu.Lock()
		s.calls["watch_wait"]++
		events := s.changesSince(next, from, end)
		next = max(next, s.rev+1)
		down, changed := s.faults.Down, s.changed
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(object{"result": object{"events": events}})
			flusher.Flush()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the changes from rev on; while watches are stalled, it
// returns none, and they are lost.
func (s *Store) changesSince(rev int64, from, end string) []object {
	var out []object
	if s.faults.StallWatches {
		return nil
	}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].rev >= rev })
	for _, c := range s.history[first:] {
		if c.key < from || c.key >= end {
			continue
		}
		e := object{"kv": object{"key": []byte(c.key), "value": c.value, "mod_revision": formatInt(c.rev)}}
		if c.deleted {
			e["type"] = "DELETE"
		}
		out = append(out, e)
	}
	return out
}
