package mirror_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/store"
	"gypsumcrank/platform"
)

func newMirror(t *testing.T, s *plat.Store, maxDelay clock.Millis) (*mirror.Mirror, *platform.KV) {
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	k := platform.NewKV(strings.TrimPrefix(srv.URL, "http://"))
	m := &mirror.Mirror{Prefix: "a/", Store: k, MaxDelay: maxDelay, Log: slog.New(slog.DiscardHandler)}
	startMirror(t, m)
	return m, k
}

func startMirror(t *testing.T, m *mirror.Mirror) {
	qt.Assert(t, m.Start(context.Background(), nil), qt.IsNil)
	t.Cleanup(func() { _ = m.Stop(context.Background()) })
}

// Guards against late changes while a watch is silent. In run scale-2 of
// cedarleaf (job 452a53b3) the planner learned of urgent jobs 1.3 s after they
// were accepted. A poll waits up to 1.5 s.
func TestExpectRevisionRelistsWhenWatchIsSilent(t *testing.T) {
	c := qt.New(t)
	s := plat.NewStore()
	m, k := newMirror(t, s, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(m.Wait(ctx, 1), qt.IsNil)
	for i, key := range []string{"a/1", "a/2"} {
		s.SetFault(plat.StalledWatch)
		res, err := k.Commit(ctx, store.Txn{Put: []store.Item{{Key: key, Value: []byte("v")}}})
		c.Assert(err, qt.IsNil)
		began := time.Now()
		m.ExpectRevision(res.Rev)
		c.Assert(m.Wait(ctx, res.Rev), qt.IsNil)
		if i == 0 {
			c.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
		}
		_, ok := m.Get(key)
		c.Check(ok, qt.IsTrue)
		s.SetFault(plat.None)
	}
}

// Guards against a configuration that stays out of force while its watch is
// silent and the store serves all other calls. Nobody tells its copy of newer
// revisions.
func TestChangeArrivesInTimeWhileWatchIsSilent(t *testing.T) {
	c := qt.New(t)
	s := plat.NewStore()
	m, _ := newMirror(t, s, 2*clock.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(m.Wait(ctx, 1), qt.IsNil)
	s.SetFault(plat.SilentWatch)
	for rev := int64(2); rev < 5; rev++ {
		s.Put("a/config", []byte("v"))
		began := time.Now()
		c.Assert(m.Wait(ctx, rev), qt.IsNil)
		c.Check(time.Since(began) < 2*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	}
}

// Guards against a copy that counts as young on a host that was suspended: the monotonic
// clock stands still meanwhile.
func TestSuspensionCountsForTheAgeOfACopy(t *testing.T) {
	c, clk := qt.New(t), clock.Manual(1000)
	s := plat.NewStore()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	m := &mirror.Mirror{Prefix: "a/", Store: platform.NewKV(strings.TrimPrefix(srv.URL, "http://")), MaxDelay: 2 * clock.Second, Clock: clk, Log: slog.New(slog.DiscardHandler)}
	startMirror(t, m)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(m.Wait(ctx, 1), qt.IsNil)
	s.SetFault(plat.Silent)
	clk.Suspend(7 * clock.Second)
	age, _ := m.Freshness()
	c.Check(age >= 7*clock.Second, qt.IsTrue, qt.Commentf("age %s", age))
}

// Guards against a copy that stays behind for good: a watch that was interrupted for a while has more to deliver than a
// response may hold, and was asked for the same again and again (review/14).
func TestChangesThatDoNotFitAResponseAreListed(t *testing.T) {
	c := qt.New(t)
	s := plat.NewStore()
	m, _ := newMirror(t, s, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.Assert(m.Wait(ctx, 1), qt.IsNil)
	s.SetFault(plat.StalledWatch)
	for range 12 {
		s.Put("a/large", make([]byte, 1<<20))
	}
	s.Put("a/small", []byte("v"))
	s.SetFault(plat.None)
	c.Assert(m.Wait(ctx, 14), qt.IsNil)
	_, ok := m.Get("a/small")
	c.Check(ok, qt.IsTrue)
	s.Put("a/small", []byte("w"))
	c.Assert(m.Wait(ctx, 15), qt.IsNil)
}
