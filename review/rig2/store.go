package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// storeLatency is what the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// store is the project's stand-in for the platform's store, with the limit on the size of
// a value and the latency that the pages give.
type store struct {
	*plat.Store
	valueBytes int
	record     *record

	mu      sync.Mutex
	refused int // transactions with a value over the limit
	largest int // bytes of the largest transaction
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/kv-watch" {
		time.Sleep(storeLatency)
	}
	if r.URL.Path == "/v1/kv-txn" {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler) // the call did not arrive whole: nothing is done
		}
		if !s.fits(raw) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusBadRequest)
			_, _ = w.Write([]byte(`{"error":"a value is over value_bytes"}`))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
	}
	s.Store.ServeHTTP(w, r)
}

// fits reports whether all values of a transaction are within the limit.
func (s *store) fits(raw []byte) bool {
	var in struct {
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
	}
	if json.Unmarshal(raw, &in) != nil {
		return true // the stand-in refuses it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largest = max(s.largest, len(raw))
	for _, it := range in.Writes {
		if len(it.Value) > s.valueBytes {
			if s.refused++; s.refused <= 3 {
				s.record.note("store: %s of %d bytes is over value_bytes = %d, 400", it.Key, len(it.Value), s.valueBytes)
			}
			return false
		}
	}
	return true
}

// largestCall returns the size of the largest transaction that arrived.
func (s *store) largestCall() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest
}
