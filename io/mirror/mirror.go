// Package mirror keeps a copy of all keys under a prefix of the store, by
// listing them once and watching from there.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/kern"
	"gypsumcrank/io/store"
)

// Waits of the watch.
const (
	// pollWait bounds how long a watch that has gone silent goes unnoticed;
	// a configuration has to be in force within 2 s.
	pollWait = 1500 * clock.Millisecond
	// retryPause is the wait after a failed call.
	retryPause = 100 * time.Millisecond
	// newsWait is how long a watch that was quiet may take to bring what is known
	// to be written; with a store that answers within 4 ms it takes less than 20.
	newsWait = 50 * clock.Millisecond
	// silentFor is how long a watch must have brought nothing at all to count as
	// silent; one that is only behind catches up sooner than a list of 1 MB, which
	// takes 0.8 s at 10 Mbit/s.
	silentFor = 200 * clock.Millisecond
	// listPause is the least time between two lists for that reason.
	listPause = clock.Second
)

// Mirror follows a prefix. Set the exported fields before Start.
type Mirror struct {
	Prefix string
	Store  store.Keeper
	Log    *slog.Logger
	// See is called with changes in order, from one goroutine.
	See func([]store.Change)

	mu     sync.Mutex
	keys   map[string]store.KV
	rev    int64
	moved  chan struct{}
	heard  clock.Millis
	out    bool
	wanted int64              // a revision that is known to be written
	listed clock.Millis       // when the last list was asked for because of that
	unpoll context.CancelFunc // ends the poll under way
	cancel context.CancelFunc
	ended  chan struct{}
}

// Start begins to follow; it does not wait for the store.
func (m *Mirror) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.ended = cancel, make(chan struct{})
	m.keys, m.moved = make(map[string]store.KV), make(chan struct{})
	go m.run(ctx)
	return nil
}

// Stop ends following.
func (m *Mirror) Stop(context.Context) error {
	m.cancel()
	<-m.ended
	return nil
}

// Rev is the revision up to which the copy is complete, 0 before the first list.
func (m *Mirror) Rev() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// Heard is when the store last answered, on the steady clock; 0 if never.
func (m *Mirror) Heard() clock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard
}

// Nudge says that the store holds a revision. If the watch does not bring it
// soon, all keys are listed anew: a watch may be silent while changes are made.
func (m *Mirror) Nudge(rev int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev <= m.rev || rev <= m.wanted {
		return
	}
	m.wanted = rev
	time.AfterFunc(newsWait.Duration(), m.hurry)
}

// hurry ends the poll under way if it has missed news.
func (m *Mirror) hurry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rev >= m.wanted || m.unpoll == nil {
		return
	}
	now := clock.System().Monotonic()
	pause := m.heard + silentFor - now
	if m.listed > 0 {
		pause = max(pause, m.listed+listPause-now)
	}
	if pause > 0 {
		time.AfterFunc(pause.Duration(), m.hurry)
		return
	}
	m.listed = now
	m.Log.Info("watch_behind", "prefix", m.Prefix, "revision", m.rev, "news", m.wanted)
	m.unpoll()
	m.unpoll = nil
}

// Wait returns once the copy is complete up to a revision, or ctx ends.
func (m *Mirror) Wait(ctx context.Context, rev int64) error {
	for {
		m.mu.Lock()
		have, moved := m.rev, m.moved
		m.mu.Unlock()
		if have >= rev {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}

func (m *Mirror) run(ctx context.Context) {
	defer close(m.ended)
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = m.list(ctx)
			listed = err == nil
		} else {
			var hurried bool
			hurried, err = m.poll(ctx)
			if errors.Is(err, store.ErrCompacted) {
				m.Log.Info("mirror_history_lost", "prefix", m.Prefix, "revision", m.Rev())
				hurried = true
			}
			if hurried {
				listed, err = false, nil
			}
		}
		m.health(ctx, err)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryPause):
			}
		}
	}
}

// health logs when the store is lost and when it is back.
func (m *Mirror) health(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !m.out:
		m.out = true
		m.Log.Warn("store_lost", "prefix", m.Prefix, "revision", m.Rev(), "error", err)
	case err == nil && m.out:
		m.out = false
		m.Log.Info("store_back", "prefix", m.Prefix, "revision", m.Rev())
	}
}

// list takes all keys anew and reports what differs from the copy.
func (m *Mirror) list(ctx context.Context) error {
	kvs, rev, err := m.Store.List(ctx, m.Prefix)
	if err != nil {
		return err
	}
	now := make(map[string]bool, len(kvs))
	var changes []store.Change
	for _, kv := range kvs {
		now[kv.Key] = true
		changes = append(changes, store.Change{KV: kv})
	}
	m.mu.Lock()
	for key := range m.keys {
		if !now[key] {
			changes = append(changes, store.Change{KV: store.KV{Key: key, Rev: rev}, Deleted: true})
		}
	}
	m.mu.Unlock()
	m.apply(changes, rev)
	return nil
}

// poll waits for changes. It was hurried if it was ended for a list.
func (m *Mirror) poll(ctx context.Context) (hurried bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.unpoll = cancel
	if m.wanted > m.rev {
		time.AfterFunc(newsWait.Duration(), m.hurry)
	}
	m.mu.Unlock()
	changes, rev, err := m.Store.Poll(ctx, m.Prefix, m.Rev(), pollWait)
	m.mu.Lock()
	hurried = m.unpoll == nil
	m.unpoll = nil
	m.mu.Unlock()
	if err != nil {
		return hurried, err
	}
	m.apply(changes, rev)
	return hurried, nil
}

// apply drops what is already known, tells See about the rest, and then
// announces the revision.
func (m *Mirror) apply(changes []store.Change, rev int64) {
	var fresh []store.Change
	m.mu.Lock()
	for _, c := range changes {
		old, have := m.keys[c.Key]
		if have && old.Rev >= c.Rev && !(c.Deleted && old.Rev == c.Rev) || c.Deleted && !have {
			continue
		}
		if c.Deleted {
			delete(m.keys, c.Key)
		} else {
			m.keys[c.Key] = c.KV
		}
		fresh = append(fresh, c)
	}
	m.mu.Unlock()
	if len(fresh) > 0 && m.See != nil {
		m.See(fresh)
	}
	m.mu.Lock()
	m.heard = clock.System().Monotonic()
	if rev > m.rev {
		m.rev = rev
		close(m.moved)
		m.moved = make(chan struct{})
	}
	m.mu.Unlock()
}

// Get reads a key from the copy.
func (m *Mirror) Get(key string) (store.KV, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	return kv, ok
}
