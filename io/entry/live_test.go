package entry

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/spec"
	"gypsumcrank/internal/standin/kvfake"
	"gypsumcrank/io/store"
)

// Ended records are deleted after a day, jobs together with their responses;
// open records stay.
func TestCollect(t *testing.T) {
	c := qt.New(t)
	srv := httptest.NewServer((&kvfake.Store{}).Handler())
	defer srv.Close()
	now := clock.Manual(10 * 24 * clock.Hour)
	e := &Entry{Name: "entry-1", Region: "r", Store: store.NewHTTP(srv.URL, nil), Clock: now, events: &event.Recorder{Clock: now}}
	k, ctx := e.keys(), context.Background()
	put := func(key string, v any) {
		raw, err := json.Marshal(v)
		c.Assert(err, qt.IsNil)
		ok, _, err := e.Store.Swap(ctx, store.Put{Key: key, Value: raw})
		c.Assert(ok && err == nil, qt.IsTrue)
	}
	old, young := now.Now()-2*recordRetention, now.Now()-clock.Hour
	put(k.job("old"), spec.JobRecord{ID: "old", State: spec.Done, EndedAt: old})
	put(k.answer("old/1.0"), "answer")
	put(k.job("young"), spec.JobRecord{ID: "young", State: spec.Done, EndedAt: young})
	put(k.answer("young/1.0"), "answer")
	put(k.job("open"), spec.JobRecord{ID: "open", State: spec.Running})
	put(k.claim("a", "old"), spec.Claim{State: spec.ClaimDone, At: old})
	put(k.claim("a", "open"), spec.Claim{State: spec.Claimed, At: old})
	m := &mirror{entry: e}
	m.collectExpired(ctx, k.jobs())
	m.collectExpired(ctx, k.claims())
	kvs, _, err := e.Store.List(ctx, k.root)
	c.Assert(err, qt.IsNil)
	var left []string
	for _, kv := range kvs {
		left = append(left, kv.Key)
	}
	c.Assert(left, qt.DeepEquals, []string{k.answer("young/1.0"), k.claim("a", "open"), k.job("open"), k.job("young")})
}
