package store_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/internal/standin/kvfake"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/store"
)

func open(t *testing.T) (*kvfake.Store, *store.HTTP) {
	fake := &kvfake.Store{}
	srv := httptest.NewServer(fake.Handler())
	t.Cleanup(srv.CloseClientConnections)
	return fake, store.NewHTTP(srv.URL, nil)
}

func hasValue(value string) func(store.KV) bool {
	return func(kv store.KV) bool { return string(kv.Value) == value }
}

func TestPutWithReadBackResolvesLostResponse(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	fake, s := open(t)
	fake.SetFaults(kvfake.Faults{LoseAnswers: 1})
	res, err := store.PutWithReadBack(ctx, s, store.Put{Key: "a", Value: []byte("me")}, hasValue("me"))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Applied, qt.IsTrue)

	res, err = store.PutWithReadBack(ctx, s, store.Put{Key: "a", Value: []byte("you")}, hasValue("you"))
	c.Assert(err, qt.IsNil)
	c.Assert(res.Applied, qt.IsFalse)
	c.Assert(string(res.Current.Value), qt.Equals, "me")

	fake.SetFaults(kvfake.Faults{Down: true})
	_, err = store.PutWithReadBack(ctx, s, store.Put{Key: "b", Value: []byte("x")}, hasValue("x"))
	c.Assert(fault.Is(err, fault.StoreUnavailable), qt.IsTrue)
}

func TestLeaseWatchAndLatestRevision(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, s := open(t)
	seen := make(chan store.Change, 8)
	go func() {
		_ = s.Watch(ctx, "live/", 0, func(cs []store.Change) {
			for _, change := range cs {
				seen <- change
			}
		})
	}()
	lease, err := s.Grant(ctx, clock.Second)
	c.Assert(err, qt.IsNil)
	ok, rev, err := s.Swap(ctx, store.Put{Key: "live/x", Value: []byte("1"), Lease: lease})
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	latest, err := s.LatestRevision(ctx, "live/")
	c.Assert(err, qt.IsNil)
	c.Assert(latest, qt.Equals, rev)
	c.Assert((<-seen).Deleted, qt.IsFalse)
	c.Assert(s.Revoke(ctx, lease), qt.IsNil)
	select {
	case change := <-seen:
		c.Assert(change.Deleted, qt.IsTrue)
	case <-time.After(5 * time.Second):
		c.Fatal("watch did not report the deletion of the lease's key within 5 s")
	}
	c.Assert(fault.Is(s.KeepAlive(ctx, lease), fault.NotFound), qt.IsTrue)
}

// Guards against calls that time out one after another on idle connections that
// have gone silent, while a new one would work.
func TestSilentConnectionDiscardsIdleOnes(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	srv := httptest.NewServer((&kvfake.Store{}).Handler())
	t.Cleanup(srv.CloseClientConnections)
	proxy, err := plat.NewProxy(strings.TrimPrefix(srv.URL, "http://"))
	c.Assert(err, qt.IsNil)
	t.Cleanup(proxy.Close)
	proxy.Set(plat.Delay) // keeps the calls of one round open at the same time
	s := store.NewHTTP("http://"+proxy.Addr(), nil)
	var calls sync.WaitGroup
	for range 4 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			_, _, err := s.Get(ctx, "a")
			c.Check(err, qt.IsNil)
		}()
	}
	calls.Wait()
	c.Assert(proxy.Open() > 1, qt.IsTrue)
	proxy.SilenceOpen()
	_, _, err = s.Get(ctx, "a")
	c.Assert(err, qt.IsNotNil)
	_, _, err = s.Get(ctx, "a")
	c.Check(err, qt.IsNil)
}
