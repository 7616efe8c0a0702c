// Package kvfake stands in for the platform's key-value service in tests and
// in the demo. It keeps everything in memory and can be told to misbehave.
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

// Faults is what the stand-in does wrong.
type Faults struct {
	// Down drops every connection without an answer.
	Down bool `json:"down"`
	// SlowMS delays every answer.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers applies that many writes and drops their answers.
	LoseAnswers int `json:"lose_answers"`
	// StallWatches keeps watches open but silent.
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

// Store is the stand-in. The zero Store is empty and well.
type Store struct {
	mu     sync.Mutex
	items  map[string]item
	log    []change
	rev    int64
	leases map[int64]*lease
	nextID int64
	faults Faults
	calls  map[string]int
	moved  chan struct{}
	start  sync.Once
}

// leaseTick is how often lapsed leases are looked for.
const leaseTick = 50 * time.Millisecond

func (s *Store) init() {
	s.start.Do(func() {
		s.items = make(map[string]item)
		s.leases = make(map[int64]*lease)
		s.calls = make(map[string]int)
		s.moved = make(chan struct{})
		s.rev = 1
		go s.run()
	})
}

func (s *Store) run() {
	for range time.Tick(leaseTick) {
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

// SetFaults changes what goes wrong from now on.
func (s *Store) SetFaults(f Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Handler serves the gateway's paths, and /fault, /calls and /expire for tests.
func (s *Store) Handler() http.Handler {
	s.init()
	mux := http.NewServeMux()
	mux.HandleFunc("/v3/kv/range", s.guard("range", s.rangeKeys))
	mux.HandleFunc("/v3/kv/txn", s.guard("txn", s.txn))
	mux.HandleFunc("/v3/lease/grant", s.guard("lease", s.grant))
	mux.HandleFunc("/v3/lease/keepalive", s.guard("lease", s.keepAlive))
	mux.HandleFunc("/v3/lease/revoke", s.guard("lease", s.revoke))
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

// expireAll lapses every lease at once.
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

func (f fields) inner(name string) fields {
	var in fields
	_ = json.Unmarshal(f[name], &in)
	return in
}

func (f fields) list(name string) []fields {
	var in []fields
	_ = json.Unmarshal(f[name], &in)
	return in
}

type handler func(in fields) (reply any, wrote bool)

func (s *Store) guard(kind string, h handler) http.HandlerFunc {
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
		reply, wrote := h(in)
		lose := wrote && s.faults.LoseAnswers > 0
		if lose {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		if lose {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(reply)
	}
}

type object map[string]any

func num(v int64) string { return strconv.FormatInt(v, 10) }

func (s *Store) header() object { return object{"revision": num(s.rev)} }

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
	return object{"key": []byte(k), "value": it.value, "mod_revision": num(it.rev)}
}

func (s *Store) txn(in fields) (any, bool) {
	for _, c := range in.list("compare") {
		if s.items[string(c.bytes("key"))].rev != c.number("mod_revision") {
			return object{"header": s.header()}, false
		}
	}
	s.rev++
	for _, op := range in.list("success") {
		if put := op.inner("request_put"); put != nil {
			s.put(string(put.bytes("key")), put.bytes("value"), put.number("lease"))
		}
		if del := op.inner("request_delete_range"); del != nil {
			s.remove(string(del.bytes("key")))
		}
	}
	s.wake()
	return object{"header": s.header(), "succeeded": true}, true
}

func (s *Store) put(key string, value []byte, leaseID int64) {
	s.items[key] = item{value: value, rev: s.rev, lease: leaseID}
	s.log = append(s.log, change{rev: s.rev, key: key, value: value})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.log = append(s.log, change{rev: s.rev, key: key, deleted: true})
	}
}

func (s *Store) wake() {
	close(s.moved)
	s.moved = make(chan struct{})
}

func (s *Store) grant(in fields) (any, bool) {
	s.nextID++
	ttl := time.Duration(in.number("TTL")) * time.Second
	s.leases[s.nextID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return object{"ID": num(s.nextID), "TTL": in.text("TTL")}, true
}

func (s *Store) keepAlive(in fields) (any, bool) {
	l, ok := s.leases[in.number("ID")]
	if !ok {
		return object{"result": object{"ID": in.text("ID")}}, false
	}
	l.expires = time.Now().Add(l.ttl)
	return object{"result": object{"ID": in.text("ID"), "TTL": num(int64(l.ttl / time.Second))}}, true
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
	s.wake()
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var in fields
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	create := in.inner("create_request")
	from, end := string(create.bytes("key")), string(create.bytes("range_end"))
	next := create.number("start_revision")
	flusher := w.(http.Flusher)
	_ = json.NewEncoder(w).Encode(object{"result": object{"created": true}})
	flusher.Flush()
	for {
		s.mu.Lock()
		s.calls["watch_wait"]++
		events := s.since(next, from, end)
		next = max(next, s.rev+1)
		down, moved := s.faults.Down, s.moved
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(object{"result": object{"events": events}})
			flusher.Flush()
		}
		select {
		case <-moved:
		case <-r.Context().Done():
			return
		}
	}
}

// since lists the changes from a revision on; a stalled watch loses them.
func (s *Store) since(rev int64, from, end string) []object {
	var out []object
	if s.faults.StallWatches {
		return nil
	}
	at := sort.Search(len(s.log), func(i int) bool { return s.log[i].rev >= rev })
	for _, c := range s.log[at:] {
		if c.key < from || c.key >= end {
			continue
		}
		e := object{"kv": object{"key": []byte(c.key), "value": c.value, "mod_revision": num(c.rev)}}
		if c.deleted {
			e["type"] = "DELETE"
		}
		out = append(out, e)
	}
	return out
}
